// Tests that no task waits while workers that may run it have room.
#include <algorithm>
#include <functional>
#include <string>
#include <vector>

#include <doctest/doctest.h>
#include <fmt/format.h>

#include "engine/fleet.h"
#include "engine/lasting_job.h"

namespace burdockrock::engine {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A task whose turn has come starts within this time if there is room.
constexpr Duration kStartBound = seconds(3);
constexpr const char* kFailing = "failing";

// Starts of tasks of the job.
std::size_t CountStarts(const Fleet& fleet, const std::string& job) {
  return static_cast<std::size_t>(std::count_if(
      fleet.seen.begin(), fleet.seen.end(),
      [&](const SeenRun& it) { return it.task.starts_with(job + "."); }));
}

// Whether every instance sees every worker as accepting tasks.
bool AllSeenAccepting(const Fleet& fleet) {
  const auto nodes = fleet.nodes();
  return std::all_of(nodes.begin(), nodes.end(), [&](const std::string& node) {
    const State& state = fleet.state(node);
    return std::all_of(state.workers.begin(), state.workers.end(),
                       [&](const auto& it) {
                         const auto view = state.view.find(it.first);
                         return view != state.view.end() &&
                                view->second.accepting && !view->second.lost;
                       });
  });
}

// Whether no instance sees any worker as accepting tasks.
bool NoneSeenAccepting(const Fleet& fleet) {
  const auto nodes = fleet.nodes();
  return std::all_of(nodes.begin(), nodes.end(), [&](const std::string& node) {
    const State& state = fleet.state(node);
    return std::none_of(state.view.begin(), state.view.end(),
                        [](const auto& it) { return it.second.accepting; });
  });
}

// Submits the job to each instance in turn and checks that all its tasks start.
void CheckStartsEverywhere(Fleet& fleet, const JobSpec& spec) {
  for (const std::string& node : fleet.nodes()) {
    const std::string job = "probe-" + node;
    fleet.Submit(node, job, spec);
    std::size_t tasks = 0;
    for (const StepSpec& it : spec.steps) {
      tasks += it.count;
    }
    CHECK(fleet.RunUntil([&] { return CountStarts(fleet, job) >= tasks; },
                         kStartBound));
    CancelNow(fleet, node, job);
    fleet.Run(seconds(1));
  }
}

// Submits jobs whose tasks fail until all workers are quarantined, and cancels
// those that are left.
void QuarantineAll(Fleet& fleet) {
  for (const std::string& it : fleet.worker_names()) {
    fleet.worker(it).plan = [](const std::string& task, std::uint64_t) {
      return RunPlan{
          .takes = milliseconds(100),
          .how = task.starts_with(kFailing) ? RunEnd::kFailed : RunEnd::kDone};
    };
  }
  int jobs = 0;
  REQUIRE(fleet.RunUntil(
      [&] {
        fleet.Submit(fleet.nodes()[static_cast<std::size_t>(jobs) % 3],
                     fmt::format("{}{}", kFailing, jobs), OneStep(12));
        ++jobs;
        return NoneSeenAccepting(fleet);
      },
      seconds(20)));
  for (int it = 0; it < jobs; ++it) {
    fleet.Cancel("n0", fmt::format("{}{}", kFailing, it));
  }
  fleet.Run(milliseconds(1500));
}

// Lets all workers refuse starts as unhealthy until they are paused.
void RefuseAll(Fleet& fleet) {
  fleet.command_fault = [](const std::string&, const std::string&,
                           const WorkerRequest& request) {
    return std::holds_alternative<StartRun>(request) ? CommandFault::kUnhealthy
                                                     : CommandFault::kNone;
  };
  fleet.Submit("n0", "refused", OneStep(48));
  REQUIRE(fleet.RunUntil([&] { return NoneSeenAccepting(fleet); }, seconds(5)));
  CancelNow(fleet, "n0", "refused");
  fleet.command_fault = [](const std::string&, const std::string&,
                           const WorkerRequest&) {
    return CommandFault::kNone;
  };
}

// Prepares all workers for their machines to be taken down, which then does
// not happen.
void PrepareAll(Fleet& fleet) {
  for (const std::string& node : fleet.nodes()) {
    for (const auto& [id, worker] : fleet.state(node).owned) {
      fleet.DeliverPeerMessage(node, fleet.state(node).options.self.incarnation,
                               PrepareWorker{.worker = id});
    }
  }
  fleet.Run(milliseconds(200));
  REQUIRE(NoneSeenAccepting(fleet));
}

// Lets the runs of all workers stand still until these are paused.
void StallAll(Fleet& fleet) {
  PlanAll(fleet, {.takes = seconds(1)});
  fleet.Submit("n0", "still", OneStep(48));
  fleet.Run(milliseconds(300));
  for (const std::string& it : fleet.worker_names()) {
    fleet.worker(it).Stall(fleet.now(), fleet.now() + seconds(60));
  }
  REQUIRE(
      fleet.RunUntil([&] { return NoneSeenAccepting(fleet); }, seconds(20)));
  CancelNow(fleet, "n0", "still");
  fleet.Run(milliseconds(500));
  for (const std::string& it : fleet.worker_names()) {
    fleet.worker(it).Stall(fleet.now(), fleet.now());
  }
  PlanAll(fleet, {.takes = milliseconds(500)});
}

using Pause = std::function<void(Fleet&)>;

std::vector<JobSpec> AllShapes() {
  JobSpec gang = OneStep(12);
  gang.steps[0].gang = true;
  JobSpec spread = OneStep(6);
  spread.steps[0].spread = 1;
  JobSpec copies = OneStep(12);
  copies.steps[0].concurrent = true;
  return {OneStep(12), gang, Lasting(12), spread, copies};
}

// Pauses all workers and checks that jobs of every shape start after a quiet
// time.
void CheckAfterPause(const Pause& pause, Duration quiet) {
  for (const JobSpec& spec : AllShapes()) {
    Fleet fleet;
    fleet.Settle();
    pause(fleet);
    fleet.Run(quiet);
    CHECK(AllSeenAccepting(fleet));
    CheckStartsEverywhere(fleet, spec);
  }
}

}  // namespace

// Guards against workers that stay closed for good after a quarantine, as
// nothing changes at a worker that has become empty meanwhile.
TEST_CASE("Jobs start once a quarantine is over") {
  CheckAfterPause(QuarantineAll, seconds(10));
  CheckAfterPause(QuarantineAll, seconds(40));
}

// The same after a worker refused a start as unhealthy.
TEST_CASE("Jobs start once unhealthy workers accept starts again") {
  CheckAfterPause(RefuseAll, seconds(10));
}

// The same after a take-down that was prepared and then dropped.
TEST_CASE("Jobs start once a take-down is dropped") {
  CheckAfterPause(PrepareAll, seconds(10));
}

// The same after runs that stood still.
TEST_CASE("Jobs start once runs no longer stand still") {
  CheckAfterPause(StallAll, seconds(10));
}

// Guards against a worker that only its owner uses: the other members took it
// for lost for as long as its owner had the same fence.
TEST_CASE("A worker that was lost and claimed again is used by all members") {
  Fleet fleet;
  fleet.Settle();
  for (const std::string& name : fleet.worker_names()) {
    fleet.command_fault = [&](const std::string&, const std::string& worker,
                              const WorkerRequest&) {
      return worker == name ? CommandFault::kUnreached : CommandFault::kNone;
    };
    fleet.Run(seconds(25));
    fleet.command_fault = [](const std::string&, const std::string&,
                             const WorkerRequest&) {
      return CommandFault::kNone;
    };
    fleet.ListAgain(name);
    fleet.Run(seconds(5));
  }
  CHECK(AllSeenAccepting(fleet));
  CheckStartsEverywhere(fleet, OneStep(44));
}

// The same with a worker that was lost before its owner could claim it.
TEST_CASE("A worker that was lost unclaimed is used by all members") {
  Fleet fleet;
  fleet.command_fault = [](const std::string&, const std::string& worker,
                           const WorkerRequest&) {
    return worker == "w0" ? CommandFault::kUnreached : CommandFault::kNone;
  };
  fleet.Run(seconds(40));
  fleet.command_fault = [](const std::string&, const std::string&,
                           const WorkerRequest&) {
    return CommandFault::kNone;
  };
  fleet.ListAgain("w0");
  fleet.Run(seconds(5));
  CHECK(AllSeenAccepting(fleet));
  CheckStartsEverywhere(fleet, OneStep(44));
}

// Guards against a task that fits its worker and never starts: the share that a
// queue leaves free for more urgent ones made it too large for any.
TEST_CASE("A task that needs nearly all of a worker starts on an empty one") {
  Fleet fleet;
  fleet.AddQueue("low", 3);
  fleet.Settle();
  fleet.SendRequest("n0", {.query = CallerQuery::kSubmit,
                           .host = "h",
                           .path = "/low/j1",
                           .spec = OneStep(2, 7900)});
  CHECK(fleet.RunUntil([&] { return CountStarts(fleet, "j1") == 2; },
                       kStartBound));
}

}  // namespace burdockrock::engine
