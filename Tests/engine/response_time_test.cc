// Tests of the timeout that is learned from response times.
#include "engine/response_time.h"

#include <doctest/doctest.h>

namespace burdockrock::engine {

namespace {

using std::chrono::milliseconds;

TEST_CASE("The timeout follows the response times within its bounds") {
  const Duration least = milliseconds(50);
  const Duration most = milliseconds(500);
  ResponseTime fast;
  CHECK(fast.Timeout(least, most) == most);
  for (int it = 0; it < 50; ++it) {
    fast = fast.With(milliseconds(4));
  }
  CHECK(fast.Timeout(least, most) == least);
  ResponseTime slow = fast;
  for (int it = 0; it < 50; ++it) {
    slow = slow.With(milliseconds(it % 2 == 0 ? 60 : 120));
  }
  CHECK(slow.Timeout(least, most) > milliseconds(150));
  CHECK(slow.Timeout(least, most) < most);
}

}  // namespace

}  // namespace burdockrock::engine
