// Jobs of steps under failures of workers: gone, cut off, silent, standing
// still, failing, leaving.
#include <algorithm>

#include <doctest/doctest.h>

#include "engine/context.h"
#include "engine/fleet.h"
#include "engine/workers/run_progress.h"

namespace burdockrock::engine {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Symptom: a task stays lost with its worker, or runs twice.
// Sequence: a worker dies with its runs, and another life of it answers at the
// same address under a new id.
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
  CheckPromises(fleet);
}

// Symptom: a task runs at two workers at once.
// Sequence: a worker is cut off with its runs and works on.
// Cause would be: starting them elsewhere before its leases have run out.
TEST_CASE(
    "Runs on a worker that is cut off are started again after its lease") {
  Fleet fleet;
  fleet.Settle();
  PlanAll(fleet, {.endless = true});
  fleet.Submit("n0", "j1", OneStep(12));
  fleet.Run(seconds(1));
  const std::size_t before = fleet.seen.size();
  const std::string cut = fleet.seen.front().worker.substr(0, 2);
  fleet.order_fault = [cut](const std::string&, const std::string& worker,
                            const WorkerRequest&) {
    return worker == cut ? OrderFault::kUnreached : OrderFault::kNone;
  };
  fleet.Run(seconds(5));
  CHECK(fleet.seen.size() == before);
  fleet.Run(seconds(6));
  CHECK(fleet.seen.size() > before);
  CheckPromises(fleet);
}

// Symptom: a task runs again though it has ended done, or twice at once.
// Sequence: a failure domain is cut off; its instance loses its registration
// and its workers their entries in the store, and both go on together. Cause
// would be: taking a worker for gone because the store dropped its entry.
TEST_CASE("A worker that is cut off with its owner is not taken for gone") {
  Fleet fleet;
  fleet.Settle();
  PlanAll(fleet, {.takes = seconds(9)});
  fleet.Submit("n1", "j1", OneStep(24));
  fleet.Run(milliseconds(500));
  const std::vector<std::string> far = {"w0", "w3"};  // of the domain of n0
  fleet.store_fault = [](const std::string& node, const StoreRequest&) {
    return node == "n0" ? StoreFault::kSilent : StoreFault::kNone;
  };
  fleet.is_cut = [](const std::string& from, const std::string& to) {
    return (from == "n0") != (to == "n0");
  };
  fleet.order_fault = [&far](const std::string& node, const std::string& worker,
                             const WorkerRequest&) {
    const bool is_far = std::find(far.begin(), far.end(), worker) != far.end();
    return is_far == (node == "n0") ? OrderFault::kNone
                                    : OrderFault::kUnreached;
  };
  fleet.Run(seconds(3));
  fleet.store.Remove("worker/w0-1");
  fleet.store.Remove("worker/w3-1");
  fleet.Run(milliseconds(6500));
  CheckPromises(fleet);
  CHECK(CountRuns(fleet, "j1") == 24);
}

// Symptom: tasks of an accepted job wait for 18 s though there is room.
// Sequence: the store turns an instance away; a worker that it owns leaves for
// good; its jobs and its workers get other owners, who can't reach that worker.
// Cause: the former owner might have renewed the worker's leases for as long as
// it goes on without the store, so the new one waited for that.
TEST_CASE("A worker that left while its owner was turned away is soon gone") {
  Fleet fleet;
  fleet.Settle();
  PlanAll(fleet, {.takes = seconds(2)});
  fleet.Submit("n0", "j1", OneStep(24));
  fleet.Run(milliseconds(500));
  fleet.store_fault = [](const std::string& node, const StoreRequest&) {
    return node == "n0" ? StoreFault::kRefuse : StoreFault::kNone;
  };
  fleet.order_fault = [](const std::string&, const std::string& worker,
                         const WorkerRequest&) {
    return worker == "w0" ? OrderFault::kUnreached : OrderFault::kNone;
  };
  fleet.Run(seconds(2));
  fleet.store.Remove("worker/w0-1");
  fleet.Run(seconds(2));
  fleet.Kill("n0");
  fleet.Run(seconds(6));
  CHECK(fleet.StateOf("n1", "j1") == JobState::kCompleted);
  CheckPromises(fleet);
}

// Symptom: jobs are late by the seconds for which a worker stands still.
// Sequence: a worker answers all calls, and what runs there does not go on.
// Cause: the leases of such runs were renewed for ever.
TEST_CASE("Runs that stand still are moved to other workers") {
  Fleet fleet;
  fleet.Settle();
  PlanAll(fleet, {.takes = seconds(2)});
  fleet.Submit("n0", "j1", OneStep(12));
  fleet.Run(milliseconds(600));
  const std::string still = fleet.seen.front().worker.substr(0, 2);
  fleet.worker(still).Stall(fleet.now(), fleet.now() + seconds(30));
  fleet.Run(seconds(8));
  CHECK(fleet.StateOf("n1", "j1") == JobState::kCompleted);
  CheckPromises(fleet);
}

// Symptom: on a quiet day runs are moved as if they stood still.
// Sequence: a start is answered; then comes the answer to a hold that the
// worker wrote before the start and that does not list the run. Cause: a run
// that no listing has shown yet counted as without progress for ever.
TEST_CASE("A run that was not listed yet does not count as standing still") {
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
  // Listed, and without progress for long.
  run.since = seconds(90);
  run.progress = BeginProgress(seconds(91), 10);
  CheckProgress(context, "w0", worker);
  CHECK(worker.stalled_until > context.now);
}

// Symptom: a worker that stands still takes one task after the other.
TEST_CASE("A worker that stands still gets no new tasks") {
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
  CHECK(there <= 16);  // two rounds of what it has room for
  fleet.Run(seconds(12));
  for (int it = 0; it < 30; ++it) {
    CHECK(fleet.StateOf("n0", "j" + std::to_string(it)) ==
          JobState::kCompleted);
  }
  CheckPromises(fleet);
}

// Symptom: a step that allows copies waits for a worker that is cut off until
// the worker's leases have run out.
TEST_CASE("A step that allows copies goes on without a worker that is silent") {
  Fleet fleet;
  fleet.Settle();
  PlanAll(fleet, {.takes = seconds(1)});
  JobSpec spec = Chain(2, 12);
  spec.steps[0].concurrent = true;
  spec.steps[1].concurrent = true;
  fleet.Submit("n0", "j1", spec);
  fleet.Run(milliseconds(500));
  const std::string cut = fleet.seen.front().worker.substr(0, 2);
  fleet.order_fault = [cut](const std::string&, const std::string& worker,
                            const WorkerRequest&) {
    return worker == cut ? OrderFault::kUnreached : OrderFault::kNone;
  };
  fleet.Run(milliseconds(5500));
  CHECK(fleet.StateOf("n1", "j1") == JobState::kCompleted);
}

// Symptom: a copy runs on after the task is done, or the task counts twice.
TEST_CASE("The first copy to finish counts, the others are stopped") {
  Fleet fleet;
  fleet.Settle();
  PlanAll(fleet, {.takes = seconds(3)});
  JobSpec spec = Chain(2, 6);
  spec.steps[0].concurrent = true;
  fleet.Submit("n0", "j1", spec);
  fleet.Run(milliseconds(1500));
  const std::string still = fleet.seen.front().worker.substr(0, 2);
  fleet.worker(still).Stall(fleet.now(), fleet.now() + seconds(8));
  fleet.Run(seconds(12));
  CHECK(fleet.StateOf("n1", "j1") == JobState::kCompleted);
  CHECK(CountEnds(fleet, RunEnd::kStopped) >= 1);
  for (const SeenRun& it : fleet.seen) {
    CHECK(it.ended != kForever);
  }
}

// Symptom: tasks start on a worker that is about to leave.
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

// Symptom: a worker that fails all it starts takes one task after the other.
TEST_CASE("A worker that fails everything gets no work for a while") {
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
