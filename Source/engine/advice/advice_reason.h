// Reasons for calls to the advice service, and counters of their results.
#ifndef BURDOCKROCK_ENGINE_ADVICE_ADVICE_REASON_H_
#define BURDOCKROCK_ENGINE_ADVICE_ADVICE_REASON_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "model/time.h"

namespace burdockrock::engine {

enum class AdviceReason {
  kFirst,     // no advice for the step yet
  kAdopted,   // no advice yet, and the job had another owner before
  kWider,     // the workers with tickets have too little room
  kLapsed,    // all tickets have expired
  kRepeated,  // the previous query had no reply in time, or failed
};

inline constexpr std::size_t kAdviceReasons = 5;

// Name in logs and metrics, such as "first".
const char* AdviceReasonName(AdviceReason reason);

// Totals for this instance's steps since its start.
struct AdviceCount {
  std::uint64_t calls = 0;     // calls that the service answered
  std::uint64_t names = 0;     // workers named in them
  std::uint64_t allowed = 0;   // named workers that were allowed
  std::uint64_t starts = 0;    // tasks offered with the tickets
  std::uint64_t unused = 0;    // calls whose step had ended before the reply
  std::uint64_t given_up = 0;  // queries without a reply
  // Calls after which tasks waited and no worker with a ticket had room.
  std::uint64_t room_gone = 0;
  Duration time{0};  // expected service time of the answered calls
};

// One AdviceCount for each reason.
class AdviceCounts {
 public:
  AdviceCount& operator[](AdviceReason reason) {
    return counts_[static_cast<std::size_t>(reason)];
  }
  const AdviceCount& operator[](AdviceReason reason) const {
    return counts_[static_cast<std::size_t>(reason)];
  }

 private:
  std::array<AdviceCount, kAdviceReasons> counts_{};
};

// All reasons in the order of their values.
inline constexpr std::array<AdviceReason, kAdviceReasons> kAllAdviceReasons = {
    AdviceReason::kFirst, AdviceReason::kAdopted, AdviceReason::kWider,
    AdviceReason::kLapsed, AdviceReason::kRepeated};

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_ADVICE_ADVICE_REASON_H_
