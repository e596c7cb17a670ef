// The clocks of this process.
#ifndef BURDOCKROCK_RUNTIME_CLOCK_H_
#define BURDOCKROCK_RUNTIME_CLOCK_H_

#include <chrono>
#include <cstdint>

#include "model/time.h"

namespace burdockrock {

// Monotonic; what the reducer's events carry.
inline Time SteadyNow() {
  return std::chrono::duration_cast<Time>(
      std::chrono::steady_clock::now().time_since_epoch());
}

// Microseconds since 1970. May jump.
inline std::uint64_t WallMicroseconds() {
  const auto since = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(since).count());
}

}  // namespace burdockrock

#endif  // BURDOCKROCK_RUNTIME_CLOCK_H_
