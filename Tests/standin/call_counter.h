// Counts the calls to the platform, in all and in each second, by kind.
#ifndef BURDOCKROCK_STANDIN_CALL_COUNTER_H_
#define BURDOCKROCK_STANDIN_CALL_COUNTER_H_

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>

#include "model/time.h"

namespace burdockrock::standin {

enum class CallKind { kGet, kPut, kDelete, kRange, kWatch, kInstances, kLease };
inline constexpr std::size_t kCallKindCount = 7;

const char* CallKindName(CallKind kind);

// True for calls that the platform counts as writes.
bool IsWrite(CallKind kind);

struct CallCounts {
  std::uint64_t total = 0;
  std::uint64_t this_second = 0;  // in the second of the last call
  std::uint64_t last_second = 0;  // in the second before that
  std::uint64_t peak_second = 0;  // in the fullest second

  auto operator<=>(const CallCounts&) const = default;
};

class CallCounter {
 public:
  void Add(CallKind kind, Time now);

  const CallCounts& Of(CallKind kind) const;

  // Writes, or all other calls.
  const CallCounts& OfGroup(bool writes) const;

 private:
  void StartSecond(std::int64_t second);

  std::array<CallCounts, kCallKindCount> kinds_;
  std::array<CallCounts, 2> groups_;
  std::int64_t second_ = 0;
};

}  // namespace burdockrock::standin

#endif  // BURDOCKROCK_STANDIN_CALL_COUNTER_H_
