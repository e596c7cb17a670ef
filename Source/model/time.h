// Time as the reducer sees it. All times are handed in with events; nothing
// below the runtime reads a clock.
#ifndef BURDOCKROCK_MODEL_TIME_H_
#define BURDOCKROCK_MODEL_TIME_H_

#include <chrono>

namespace burdockrock {

// A span of time in microseconds.
using Duration = std::chrono::microseconds;

// Monotonic time since an arbitrary start of the process. Times of two
// processes are never compared.
using Time = std::chrono::microseconds;

inline constexpr Time kForever = Time::max();

// Rounds down; the wire carries whole milliseconds.
constexpr long long ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

}  // namespace burdockrock

#endif  // BURDOCKROCK_MODEL_TIME_H_
