#include "observe/process_usage.h"

#include <vector>

#include <doctest/doctest.h>

namespace burdockrock {
namespace {

TEST_CASE("Resident memory grows with touched memory, time with work") {
  constexpr std::size_t kTouched = 64U << 20U;
  const auto before = ReadProcessUsage();
  const std::vector<char> touched(kTouched, 'x');
  const auto after = ReadProcessUsage();
  REQUIRE(before.has_value());
  REQUIRE(after.has_value());
  CHECK(touched.back() == 'x');
  CHECK(after->resident_bytes - before->resident_bytes > kTouched / 2);
  CHECK(after->processor_seconds > 0);
  CHECK(after->processor_seconds >= before->processor_seconds);
}

}  // namespace
}  // namespace burdockrock
