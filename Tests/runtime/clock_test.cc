#include "runtime/clock.h"

#include <ctime>

#include <doctest/doctest.h>

namespace burdockrock {

namespace {

Time BootTime() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return std::chrono::duration_cast<Time>(
      std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

// By a clock that stands still while the machine is suspended an instance
// renewed leases for 4.5 s longer than the others waited for them to run out.
TEST_CASE("The clock of events goes on while the machine is suspended") {
  const Time before = BootTime();
  const Time shown = SteadyNow();
  CHECK(before <= shown);
  CHECK(shown <= BootTime());
}

}  // namespace

}  // namespace burdockrock
