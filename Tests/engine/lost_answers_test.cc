// Tests jobs with little slack while calls to workers get no reply and are
// executed seconds later.
#include <algorithm>

#include <doctest/doctest.h>
#include <fmt/format.h>

#include "engine/fleet.h"

namespace burdockrock::engine {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kTaskTime = milliseconds(500);
constexpr int kJobs = 20;

// One in `each` calls of the type gets no reply.
template <typename Call>
auto LoseOneIn(int each) {
  return [each, n = 0](const std::string&, const std::string&,
                       const WorkerRequest& it) mutable {
    const bool lost = std::holds_alternative<Call>(it) && ++n % each == 0;
    return lost ? CommandFault::kLate : CommandFault::kNone;
  };
}

// Submits jobs one after the other, 200 ms apart. Returns the longest time from
// a submission to the completed state.
Duration SlowestJob(Fleet& fleet, const std::string& name) {
  Duration slowest{0};
  for (int it = 0; it < kJobs; ++it) {
    const std::string job = fmt::format("{}{}", name, it);
    const Time sent = fleet.now();
    fleet.Submit(fmt::format("n{}", it % 3), job, OneStep(6));
    REQUIRE(fleet.RunUntil(
        [&] {
          const State& owner = fleet.state(fmt::format("n{}", it % 3));
          const auto at = owner.jobs.find(job);
          return at != owner.jobs.end() &&
                 at->second.state == JobState::kCompleted;
        },
        seconds(20)));
    slowest = std::max(slowest, fleet.now() - sent);
    fleet.Run(milliseconds(200));
  }
  return slowest;
}

std::size_t CountUnresponsive(const Fleet& fleet) {
  return static_cast<std::size_t>(
      std::count_if(fleet.log.begin(), fleet.log.end(), [](const LogLine& it) {
        return it.number == EventNumber::kWorkerSilent;
      }));
}

// Guards against a timeout for a lost reply to a start that exceeds the slack
// of a short job.
TEST_CASE("A start without a reply is repeated within a short job's slack") {
  Fleet fleet;
  fleet.Settle();
  PlanAll(fleet, {.takes = kTaskTime});
  SlowestJob(fleet, "calm");
  fleet.command_fault = LoseOneIn<StartRun>(8);
  CHECK(SlowestJob(fleet, "lossy") <= kTaskTime + milliseconds(400));
  CheckInvariants(fleet);
}

// Guards against ends that stay unknown for the whole wait of a long poll whose
// reply was lost.
TEST_CASE("Ends are known soon while long polls lose their replies") {
  Fleet fleet;
  fleet.Settle();
  PlanAll(fleet, {.takes = kTaskTime});
  fleet.command_fault = LoseOneIn<PollWorker>(8);
  SlowestJob(fleet, "first");
  CHECK(SlowestJob(fleet, "lossy") <= kTaskTime + milliseconds(900));
  CheckInvariants(fleet);
}

// Guards against a worker that gets no tasks, or whose lasting tasks are
// reported as unreachable, because of one lost reply.
TEST_CASE("One lost reply to a poll does not make a worker unresponsive") {
  Fleet fleet;
  fleet.Settle();
  bool lost = false;
  fleet.command_fault = [&lost](const std::string&, const std::string& worker,
                                const WorkerRequest& it) {
    const bool lose =
        !lost && worker == "w0" && std::holds_alternative<PollWorker>(it);
    lost = lost || lose;
    return lose ? CommandFault::kLate : CommandFault::kNone;
  };
  fleet.Run(seconds(6));
  REQUIRE(lost);
  CHECK(CountUnresponsive(fleet) == 0);
}

// Guards against timeouts that are learned from fast replies and reject every
// reply once all become slow.
TEST_CASE("Jobs complete when all replies of workers become slow") {
  Fleet fleet;
  fleet.Settle();
  PlanAll(fleet, {.takes = kTaskTime});
  fleet.command_fault = LoseOneIn<PollWorker>(8);
  SlowestJob(fleet, "fast");
  fleet.worker_latency = milliseconds(150);
  SlowestJob(fleet, "first");
  const std::size_t before = CountUnresponsive(fleet);
  CHECK(SlowestJob(fleet, "slow") <= kTaskTime + milliseconds(2500));
  CHECK(CountUnresponsive(fleet) - before <= 2);
  CHECK(CountEnds(fleet, RunEnd::kStopped) == 0);
  CheckInvariants(fleet);
}

}  // namespace

}  // namespace burdockrock::engine
