// Tests requests that the store or a worker refuses for good: what they belong
// to is told or tried again after a pause, and nothing else is held up.
#include <algorithm>
#include <string>
#include <variant>

#include <doctest/doctest.h>
#include <fmt/format.h>

#include "engine/context.h"
#include "engine/fleet.h"

namespace burdockrock::engine {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::size_t CountLines(const Fleet& fleet, EventNumber number) {
  return static_cast<std::size_t>(
      std::count_if(fleet.log.begin(), fleet.log.end(),
                    [&](const LogLine& it) { return it.number == number; }));
}

void Reject(Fleet& fleet, const std::string& prefix) {
  fleet.store.rejects = [prefix](const StorePut& put) {
    return put.key.starts_with(prefix);
  };
}

void AcceptAll(Fleet& fleet) {
  fleet.store.rejects = [](const StorePut&) { return false; };
}

}  // namespace

// Guards against a write that the store never accepts and that is repeated
// before all others.
TEST_CASE("A rejected write does not hold up the others") {
  Fleet fleet;
  fleet.Settle();
  PlanAll(fleet, {.takes = milliseconds(400)});
  Reject(fleet, JobKey("bad"));
  const std::uint64_t bad = fleet.Submit("n0", "bad", OneStep(2));
  for (int it = 0; it < 6; ++it) {
    fleet.Submit("n0", fmt::format("j{}", it), OneStep(4));
  }
  fleet.Run(seconds(8));
  REQUIRE(fleet.answers.contains(bad));
  CHECK(std::holds_alternative<BadRequest>(fleet.answers.at(bad)));
  CHECK(CountRuns(fleet, "bad") == 0);
  for (int it = 0; it < 6; ++it) {
    CHECK(fleet.StateOf("n0", fmt::format("j{}", it)) == JobState::kCompleted);
  }
  CHECK(fleet.state("n0").totals.rejected_writes == 1);
}

// Guards against the same with the progress and the adoption of a stored job.
TEST_CASE("A job whose record is rejected does not hold up the others") {
  Fleet fleet;
  fleet.Settle();
  PlanAll(fleet, {.takes = milliseconds(400)});
  fleet.Submit("n0", "bad", OneStep(2));
  fleet.Run(milliseconds(300));
  Reject(fleet, JobKey("bad"));
  SUBCASE("progress") {}
  SUBCASE("adoption") {
    fleet.Kill("n0");
    fleet.Run(milliseconds(700));
    fleet.Start("n0");
    fleet.Run(seconds(4));
  }
  for (int it = 0; it < 9; ++it) {
    fleet.Submit(fmt::format("n{}", it % 3), fmt::format("j{}", it),
                 OneStep(4));
  }
  fleet.Run(seconds(8));
  for (int it = 0; it < 9; ++it) {
    CHECK(fleet.StateOf("n1", fmt::format("j{}", it)) == JobState::kCompleted);
  }
  AcceptAll(fleet);
  fleet.Run(seconds(25));
  CHECK(fleet.StateOf("n1", "bad") == JobState::kCompleted);
  CheckInvariants(fleet);
}

// Guards against ends of other jobs that are never listed: a worker keeps more
// ends than it lists of a job whose progress the store does not accept.
TEST_CASE(
    "The ends of a job that can't be stored do not hide those of others") {
  Fleet fleet({.workers = 1, .processors_milli = 32'000});
  fleet.Settle();
  PlanAll(fleet, {.takes = milliseconds(300)});
  fleet.worker("w0").processors = [](const std::string&) { return 250; };
  fleet.Submit("n0", "bad", OneStep(700, 250));
  fleet.Run(milliseconds(300));
  Reject(fleet, JobKey("bad"));
  fleet.Run(seconds(3));
  CHECK(fleet.worker("w0").kept_ends() > FakeWorker::kMaxListedEnds);
  fleet.Submit("n1", "other", OneStep(4, 250));
  fleet.Run(seconds(25));
  CHECK(fleet.StateOf("n1", "other") == JobState::kCompleted);
  CHECK(CountLines(fleet, EventNumber::kEndsNotStored) > 0);
  AcceptAll(fleet);
  fleet.Run(seconds(15));
  CHECK(fleet.StateOf("n1", "bad") == JobState::kCompleted);
  CheckInvariants(fleet);
}

// Guards against a wave whose status is written again and again without a pause
// and before those of the others.
TEST_CASE("A rejected status of a wave does not hold up the others") {
  Fleet fleet;
  fleet.Settle();
  Reject(fleet, "status/wave/1");
  fleet.RequestWave(
      {.number = 1, .machines = {"w0"}, .time = seconds(30), .cap = 1});
  fleet.Run(seconds(1));
  fleet.RequestWave(
      {.number = 2, .machines = {"w1"}, .time = seconds(30), .cap = 1});
  fleet.Run(seconds(20));
  CHECK(fleet.store.ValueOf("status/wave/2") == "completed");
  CHECK(fleet.store.rejected() <= 3);
  CHECK(CountLines(fleet, EventNumber::kWriteRejected) ==
        fleet.store.rejected());
  AcceptAll(fleet);
  fleet.Run(seconds(15));
  CHECK(fleet.store.ValueOf("status/wave/1") == "completed");
}

// Guards against an instance that sends its registration as fast as the store
// rejects it.
TEST_CASE("A rejected registration is tried again after a pause") {
  Fleet fleet;
  fleet.Settle();
  fleet.Kill("n0");
  Reject(fleet, "member/n0");
  fleet.Run(seconds(5));
  fleet.Start("n0");
  constexpr Duration kTried = seconds(3);
  fleet.Run(kTried);
  CHECK(fleet.store.rejected() >= 2);
  CHECK(fleet.store.rejected() <= 1 + kTried / kStoreRetryDelay);
  AcceptAll(fleet);
  fleet.Run(seconds(2));
  CHECK(fleet.state("n0").members.fence != 0);
}

// Guards against a worker whose refusals of polls no line tells.
TEST_CASE("A worker that refuses its polls is logged once") {
  Fleet fleet;
  fleet.Settle();
  fleet.log.clear();
  fleet.command_fault = [](const std::string&, const std::string& worker,
                           const WorkerRequest& request) {
    const bool refuses =
        worker == "w0" && std::holds_alternative<PollWorker>(request);
    return refuses ? CommandFault::kUnhealthy : CommandFault::kNone;
  };
  fleet.Run(seconds(3));
  CHECK(CountLines(fleet, EventNumber::kWorkerSilent) == 1);
}

}  // namespace burdockrock::engine
