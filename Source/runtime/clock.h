// The clocks of this process.
#ifndef BURDOCKROCK_RUNTIME_CLOCK_H_
#define BURDOCKROCK_RUNTIME_CLOCK_H_

#include <chrono>
#include <cstdint>
#include <ctime>

#include "model/time.h"

namespace burdockrock {

// Monotonic, and goes on while the machine is suspended; what the reducer's
// events carry. By the standard library's steady clock, which stands still
// meanwhile, an instance that wakes up believes in a registration that has
// ended, and renews leases for longer than the others wait for them to run out.
inline Time SteadyNow() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return std::chrono::duration_cast<Time>(
      std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

// Microseconds since 1970. May jump.
inline std::uint64_t WallMicroseconds() {
  const auto since = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(since).count());
}

}  // namespace burdockrock

#endif  // BURDOCKROCK_RUNTIME_CLOCK_H_
