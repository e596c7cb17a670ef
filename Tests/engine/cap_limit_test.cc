// What event 516 tells of a step that waits for its team's cap.
#include "engine/teams/cap_limit.h"

#include <string>

#include <doctest/doctest.h>

#include "engine/reducer.h"

namespace burdockrock::engine {

namespace {

using std::chrono::seconds;

constexpr const char* kTeam = "team";
constexpr Time kNow = seconds(1000);
constexpr Resources kCap{.processors_milli = 1000, .memory_mb = 8000};
constexpr Resources kNeed{.processors_milli = 100, .memory_mb = 400};

CapLimit LimitWith(const CapUse& use) {
  State state = MakeState({});
  state.quota.shares[kTeam] = {.cap = kCap, .use = use};
  Effects effects;
  const Context context{
      .state = state, .effects = effects, .now = kNow, .wall_ms = 0};
  Job job;
  job.team = kTeam;
  return CapLimitOf(context, job, kNeed);
}

}  // namespace

// Guards against waits for a cap that can't be told apart: it is held by
// others, blocked by former members, or not granted.
TEST_CASE("The state of a cap tells who has to act") {
  const Resources most{.processors_milli = 950, .memory_mb = 1000};
  const Resources some{.processors_milli = 500, .memory_mb = 1000};
  CHECK(LimitWith({.told_at = kNow, .taken = most}).state == CapState::kFull);
  CHECK(LimitWith({.told_at = kNow, .taken = most, .blocked = some}).state ==
        CapState::kBlocked);
  CHECK(LimitWith({.told_at = kNow, .taken = some}).state ==
        CapState::kUngranted);
  const CapLimit silent =
      LimitWith({.told_at = kNow - seconds(3), .taken = most});
  CHECK(silent.state == CapState::kUngranted);
  CHECK(silent.since_told == seconds(3));
}

// Guards against a line that names processors, of which the cap has room, where
// its memory is full.
TEST_CASE("The dimension that a cap lacks is named") {
  const CapLimit limit = LimitWith(
      {.told_at = kNow, .taken = {.processors_milli = 500, .memory_mb = 7900}});
  CHECK(std::string(limit.dimension) == "memory_mb");
  CHECK(limit.state == CapState::kFull);
  CHECK(limit.taken == 7900);
}

}  // namespace burdockrock::engine
