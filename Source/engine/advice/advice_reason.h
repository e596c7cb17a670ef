// Why calls for advice are made, and what they bring.
#ifndef BURDOCKROCK_ENGINE_ADVICE_ADVICE_REASON_H_
#define BURDOCKROCK_ENGINE_ADVICE_ADVICE_REASON_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "model/time.h"

namespace burdockrock::engine {

enum class AdviceReason {
  kFirst,     // nothing is known of the workers that may run the step
  kAdopted,   // likewise, and the job has had another owner
  kWider,     // the workers with tickets have too little room
  kLapsed,    // no ticket is valid any more
  kRepeated,  // the question before was not answered in time, or failed
};

inline constexpr std::size_t kAdviceReasons = 5;

// "first", for logs and metrics.
const char* AdviceReasonName(AdviceReason reason);

// Of this instance's steps, since its start.
struct AdviceCount {
  std::uint64_t calls = 0;     // that were answered
  std::uint64_t names = 0;     // workers in them
  std::uint64_t allowed = 0;   // of these, by the answers
  std::uint64_t starts = 0;    // tasks that were offered with their tickets
  std::uint64_t unused = 0;    // calls whose step had ended by their answer
  std::uint64_t given_up = 0;  // questions without an answer
  Duration time{0};            // that the answered ones take the service
};

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

// In the order of their values.
inline constexpr std::array<AdviceReason, kAdviceReasons> kAllAdviceReasons = {
    AdviceReason::kFirst, AdviceReason::kAdopted, AdviceReason::kWider,
    AdviceReason::kLapsed, AdviceReason::kRepeated};

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_ADVICE_ADVICE_REASON_H_
