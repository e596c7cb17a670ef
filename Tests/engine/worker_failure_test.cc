// Tests jobs under failures of workers that are replaced, cut off,
// unresponsive, stalled, failing or draining.
#include <algorithm>

#include <doctest/doctest.h>

#include "engine/context.h"
#include "engine/fleet.h"
#include "engine/workers/run_progress.h"

namespace burdockrock::engine {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against a task that stays lost with its worker, or runs twice. A
// worker dies with its runs, and another incarnation replies at the same
// address under a new id.
TEST_CASE("Runs of a worker that was replaced are started again") {
  Fleet fleet;
  fleet.Settle();
  PlanAll(fleet, {.takes = seconds(2)});
  fleet.Submit("n0", "j1", OneStep(12));
  fleet.Run(seconds(1));
  FakeWorker& worker = fleet.worker("w0");
  worker.Crash(fleet.now(), "w0-2");
  fleet.store.Remove("worker/w0-1");
  fleet.store.Put("worker/w0-2", "w0|a|s|8000|0");
  fleet.Run(seconds(6));
  CHECK(fleet.StateOf("n0", "j1") == JobState::kCompleted);
  CheckInvariants(fleet);
}

// Guards against a task that runs at two workers at once. A worker that is cut
// off continues its runs, which must not start elsewhere before its leases have
// expired.
TEST_CASE("Runs on a worker that is cut off are restarted after its lease") {
  Fleet fleet;
  fleet.Settle();
  PlanAll(fleet, {.endless = true});
  fleet.Submit("n0", "j1", OneStep(12));
  fleet.Run(seconds(1));
  const std::size_t before = fleet.seen.size();
  const std::string cut = fleet.seen.front().worker.substr(0, 2);
  fleet.command_fault = [cut](const std::string&, const std::string& worker,
                              const WorkerRequest&) {
    return worker == cut ? CommandFault::kUnreached : CommandFault::kNone;
  };
  fleet.Run(seconds(5));
  CHECK(fleet.seen.size() == before);
  fleet.Run(seconds(6));
  CHECK(fleet.seen.size() > before);
  CheckInvariants(fleet);
}

// Guards against a task that runs again after it ended `done`, or twice at
// once. When a failure domain is cut off, its instance loses its registration
// and its workers lose their entries in the store, but both continue together.
// A missing entry must not declare a worker lost.
TEST_CASE("A worker that is cut off with its owner is not declared lost") {
  Fleet fleet;
  fleet.Settle();
  PlanAll(fleet, {.takes = seconds(9)});
  fleet.Submit("n1", "j1", OneStep(24));
  fleet.Run(milliseconds(500));
  const std::vector<std::string> far = {"w0", "w3"};  // of the domain of n0
  fleet.store_fault = [](const std::string& node, const StoreRequest&) {
    return node == "n0" ? StoreFault::kNoReply : StoreFault::kNone;
  };
  fleet.is_cut = [](const std::string& from, const std::string& to) {
    return (from == "n0") != (to == "n0");
  };
  fleet.command_fault = [&far](const std::string& node,
                               const std::string& worker,
                               const WorkerRequest&) {
    const bool is_far = std::find(far.begin(), far.end(), worker) != far.end();
    return is_far == (node == "n0") ? CommandFault::kNone
                                    : CommandFault::kUnreached;
  };
  fleet.Run(seconds(3));
  fleet.store.Remove("worker/w0-1");
  fleet.store.Remove("worker/w3-1");
  fleet.Run(milliseconds(6500));
  CheckInvariants(fleet);
  CHECK(CountRuns(fleet, "j1") == 24);
}

// Guards against tasks that wait 18 s although there is room. The store refuses
// an instance, a worker that it owns is removed, and the instance's jobs and
// workers get other owners, which can't reach that worker. The new owner waited
// for as long as the former one might renew leases without the store.
TEST_CASE("A worker removed while the store refuses its owner is soon lost") {
  Fleet fleet;
  fleet.Settle();
  PlanAll(fleet, {.takes = seconds(2)});
  fleet.Submit("n0", "j1", OneStep(24));
  fleet.Run(milliseconds(500));
  fleet.store_fault = [](const std::string& node, const StoreRequest&) {
    return node == "n0" ? StoreFault::kRefuse : StoreFault::kNone;
  };
  fleet.command_fault = [](const std::string&, const std::string& worker,
                           const WorkerRequest&) {
    return worker == "w0" ? CommandFault::kUnreached : CommandFault::kNone;
  };
  fleet.Run(seconds(2));
  fleet.store.Remove("worker/w0-1");
  fleet.Run(seconds(2));
  fleet.Kill("n0");
  fleet.Run(seconds(6));
  CHECK(fleet.StateOf("n1", "j1") == JobState::kCompleted);
  CheckInvariants(fleet);
}

// Guards against jobs that are late by the length of a worker's stall. A
// stalled worker replies to all calls while its runs make no progress, and the
// leases of such runs were renewed indefinitely.
TEST_CASE("Stalled runs are moved to other workers") {
  Fleet fleet;
  fleet.Settle();
  PlanAll(fleet, {.takes = seconds(2)});
  fleet.Submit("n0", "j1", OneStep(12));
  fleet.Run(milliseconds(600));
  const std::string stalled = fleet.seen.front().worker.substr(0, 2);
  fleet.worker(stalled).Stall(fleet.now(), fleet.now() + seconds(30));
  fleet.Run(seconds(8));
  CHECK(fleet.StateOf("n1", "j1") == JobState::kCompleted);
  CheckInvariants(fleet);
}

// Guards against healthy runs that are moved as stalled. The reply to a poll
// that the worker wrote before a start can arrive after the reply to the start,
// and does not list the run. A run that no listing had shown yet counted as
// having made no progress since the beginning.
TEST_CASE("A run that was not listed yet does not count as stalled") {
  State state = MakeState({.self = {.incarnation = "n0-1", .node = "n0"}});
  Effects effects;
  Context context{.state = state, .effects = effects, .now = seconds(100)};
  OwnedWorker& worker = state.owned["w0"];
  worker.claimed = true;
  LocalRun& run = worker.runs["j1.0.0.0"];
  run = LocalRun{.run = 1,
                 .phase = RunPhase::kRunning,
                 .spec = {.estimate = milliseconds(500)},
                 .owner = "n0-1",
                 .since = seconds(100) - milliseconds(5)};
  CheckProgress(context, "w0", worker);
  CHECK(effects.empty());
  CHECK(worker.stalled_until == Time::min());
  // Listed, and without progress for 9 s.
  run.since = seconds(90);
  run.progress = BeginProgress(seconds(91), 10);
  CheckProgress(context, "w0", worker);
  CHECK(worker.stalled_until > context.now);
}

// Guards against a stalled worker that accepts one task after the other.
TEST_CASE("A stalled worker gets no new tasks") {
  Fleet fleet;
  fleet.Settle();
  fleet.worker("w0").Stall(fleet.now(), fleet.now() + seconds(10));
  for (int it = 0; it < 30; ++it) {
    fleet.Submit("n" + std::to_string(it % 3), "j" + std::to_string(it),
                 OneStep(6));
    fleet.Run(milliseconds(250));
  }
  const auto there =
      std::count_if(fleet.seen.begin(), fleet.seen.end(),
                    [](const SeenRun& it) { return it.worker == "w0-1"; });
  CHECK(there <= 16);  // twice its capacity
  fleet.Run(seconds(12));
  for (int it = 0; it < 30; ++it) {
    CHECK(fleet.StateOf("n0", "j" + std::to_string(it)) ==
          JobState::kCompleted);
  }
  CheckInvariants(fleet);
}

// Guards against a step that allows copies and still waits for the leases of a
// worker that is cut off.
TEST_CASE(
    "A step that allows copies continues without an unresponsive worker") {
  Fleet fleet;
  fleet.Settle();
  PlanAll(fleet, {.takes = seconds(1)});
  JobSpec spec = Chain(2, 12);
  spec.steps[0].concurrent = true;
  spec.steps[1].concurrent = true;
  fleet.Submit("n0", "j1", spec);
  fleet.Run(milliseconds(500));
  const std::string cut = fleet.seen.front().worker.substr(0, 2);
  fleet.command_fault = [cut](const std::string&, const std::string& worker,
                              const WorkerRequest&) {
    return worker == cut ? CommandFault::kUnreached : CommandFault::kNone;
  };
  fleet.Run(milliseconds(5500));
  CHECK(fleet.StateOf("n1", "j1") == JobState::kCompleted);
}

// Guards against a copy that continues after the task is done, and a task that
// counts twice.
TEST_CASE("The first copy to finish counts, the others are stopped") {
  Fleet fleet;
  fleet.Settle();
  PlanAll(fleet, {.takes = seconds(3)});
  JobSpec spec = Chain(2, 6);
  spec.steps[0].concurrent = true;
  fleet.Submit("n0", "j1", spec);
  fleet.Run(milliseconds(1500));
  const std::string stalled = fleet.seen.front().worker.substr(0, 2);
  fleet.worker(stalled).Stall(fleet.now(), fleet.now() + seconds(8));
  fleet.Run(seconds(12));
  CHECK(fleet.StateOf("n1", "j1") == JobState::kCompleted);
  CHECK(CountEnds(fleet, RunEnd::kStopped) >= 1);
  for (const SeenRun& it : fleet.seen) {
    CHECK(it.ended != kForever);
  }
}

// Guards against tasks that start on a worker that is about to shut down.
TEST_CASE("A draining worker gets no new tasks and its runs are moved") {
  Fleet fleet;
  fleet.Settle();
  PlanAll(fleet, {.takes = seconds(4)});
  fleet.Submit("n0", "j1", OneStep(12));
  fleet.Run(seconds(1));
  fleet.store.Put("worker/w0-1", "w0|a|s|8000|1");
  fleet.Run(seconds(2));
  const Time drained = fleet.now();
  fleet.Submit("n1", "j2", OneStep(12));
  fleet.Run(seconds(8));
  for (const SeenRun& it : fleet.seen) {
    CHECK((it.worker != "w0-1" || it.began < drained));
    CHECK((it.worker != "w0-1" || it.ended < drained));
  }
  CHECK(fleet.StateOf("n0", "j1") == JobState::kCompleted);
  CHECK(fleet.StateOf("n0", "j2") == JobState::kCompleted);
}

// Guards against a worker that fails every task and accepts one after the
// other.
TEST_CASE("A worker that fails every task gets no tasks for a while") {
  Fleet fleet;
  fleet.Settle();
  fleet.worker("w0").plan = [](const std::string&, std::uint64_t) {
    return RunPlan{.takes = milliseconds(20), .how = RunEnd::kFailed};
  };
  for (int it = 0; it < 20; ++it) {
    fleet.Submit("n" + std::to_string(it % 3), "j" + std::to_string(it),
                 OneStep(4));
    fleet.Run(milliseconds(200));
  }
  fleet.Run(seconds(2));
  const auto failed = CountEnds(fleet, RunEnd::kFailed);
  CHECK(failed <= 16);
  for (int it = 0; it < 20; ++it) {
    CHECK(fleet.StateOf("n0", "j" + std::to_string(it)) ==
          JobState::kCompleted);
  }
}

}  // namespace

}  // namespace burdockrock::engine
