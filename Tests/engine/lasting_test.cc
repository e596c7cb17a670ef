// Tasks that last are at work again soon after their last run, whatever became
// of the word of its end.
#include <algorithm>

#include <doctest/doctest.h>

#include "engine/fleet.h"

namespace burdockrock::engine {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kTasks = 36;
// A task may be away for so long after its last run.
constexpr Duration kAwayBound = milliseconds(6000);

JobSpec Lasting() {
  JobSpec spec = OneStep(kTasks);
  spec.steps.front().lasting = true;
  return spec;
}

std::size_t CountAtWork(Fleet& fleet) {
  for (const std::string& it : fleet.worker_names()) {
    fleet.worker(it).Advance(fleet.now());
  }
  return static_cast<std::size_t>(
      std::count_if(fleet.seen.begin(), fleet.seen.end(),
                    [](const SeenRun& it) { return it.ended == kForever; }));
}

// All tasks are at work, and go on unless a test says otherwise.
void Begin(Fleet& fleet) {
  fleet.Settle();
  PlanAll(fleet, {.endless = true});
  fleet.Submit("n0", "j1", Lasting());
  fleet.Run(seconds(1));
  REQUIRE(CountAtWork(fleet) == kTasks);
}

// All that runs on the worker ends at its next occasion.
void EndRuns(Fleet& fleet, const std::string& worker) {
  FakeWorker& it = fleet.worker(worker);
  const std::string node = [&] {
    for (const std::string& name : fleet.nodes()) {
      if (fleet.state(name).owned.contains(worker + "-1")) {
        return name;
      }
    }
    return std::string();
  }();
  REQUIRE_FALSE(node.empty());
  const std::uint64_t fence = fleet.state(node).owned.at(worker + "-1").fence;
  std::size_t stopped = 0;
  for (const SeenRun& run : fleet.seen) {
    if (run.worker == worker + "-1" && run.ended == kForever) {
      ++stopped;
      it.Handle(fleet.now(),
                StopRun{.task = run.task, .run = run.run, .fence = fence});
    }
  }
  REQUIRE(stopped > 0);
}

// The tasks' ends came while the job's owner died: they were told to it alone.
TEST_CASE("Lasting tasks come back if their job's owner dies with their end") {
  Fleet fleet;
  Begin(fleet);
  EndRuns(fleet, "w1");
  fleet.Kill("n0");
  fleet.Run(kAwayBound);
  CHECK(CountAtWork(fleet) == kTasks);
  CheckPromises(fleet);
}

// The owner of the worker died before it could tell of the ends.
TEST_CASE("Lasting tasks come back if their worker's owner dies at their end") {
  Fleet fleet;
  Begin(fleet);
  EndRuns(fleet, "w1");
  fleet.Kill("n1");
  fleet.Run(kAwayBound);
  CHECK(CountAtWork(fleet) == kTasks);
  CheckPromises(fleet);
}

// Both owners died together.
TEST_CASE("Lasting tasks come back if both owners die at their end") {
  Fleet fleet({.instances = 4});
  Begin(fleet);
  EndRuns(fleet, "w1");
  fleet.Kill("n0");
  fleet.Kill("n1");
  fleet.Run(kAwayBound);
  CHECK(CountAtWork(fleet) == kTasks);
  CheckPromises(fleet);
}

// A worker was replaced while its owner and the job's owner died.
TEST_CASE("Lasting tasks of a replaced worker come back without its owner") {
  Fleet fleet({.instances = 4});
  Begin(fleet);
  fleet.worker("w1").Crash(fleet.now(), "w1-2");
  fleet.Kill("n0");
  fleet.Kill("n1");
  fleet.Run(milliseconds(1500));
  fleet.store.Remove("worker/w1-1");
  fleet.store.Put("worker/w1-2", "w1|b|s|8000|0");
  fleet.Run(kAwayBound - milliseconds(1500));
  CHECK(CountAtWork(fleet) == kTasks);
  CheckPromises(fleet);
}

// All instances lost power for so long that all leases ran out.
TEST_CASE("Lasting tasks come back after all instances lost power") {
  Fleet fleet;
  Begin(fleet);
  for (const std::string& it : fleet.nodes()) {
    fleet.Kill(it);
  }
  fleet.Run(seconds(9));
  REQUIRE(CountAtWork(fleet) == 0);
  for (const std::string& it : fleet.nodes()) {
    fleet.Start(it);
  }
  fleet.Run(kAwayBound);
  CHECK(CountAtWork(fleet) == kTasks);
  CheckPromises(fleet);
}

// A worker was cut off until its leases ran out, and came back.
TEST_CASE("Lasting tasks come back after their worker was cut off") {
  Fleet fleet;
  Begin(fleet);
  fleet.order_fault = [](const std::string&, const std::string& worker,
                         const WorkerRequest&) {
    return worker == "w1" ? OrderFault::kUnreached : OrderFault::kNone;
  };
  fleet.Run(milliseconds(7500));
  fleet.order_fault = [](const std::string&, const std::string&,
                         const WorkerRequest&) { return OrderFault::kNone; };
  fleet.Run(seconds(4));
  CHECK(CountAtWork(fleet) == kTasks);
  CheckPromises(fleet);
}

// A run had ended and was counted, then the job was adopted. A former owner of
// the worker told the adopter that the run was there; the end that the worker
// lists came after that and was passed over, as it was counted already. The
// task was taken for running 3 s longer, until the adopter asked for it.
TEST_CASE("An end that is counted already still frees its task") {
  Fleet fleet;
  Begin(fleet);
  // Nothing of a queue that is not known starts: the task has no later run.
  fleet.SetQueue({.name = "other", .host = "h", .prefix = "/o/"});
  fleet.Run(milliseconds(100));
  EndRuns(fleet, "w1");
  REQUIRE(
      fleet.RunUntil([&] { return CountAtWork(fleet) < kTasks; }, seconds(1)));
  const auto ended =
      std::find_if(fleet.seen.begin(), fleet.seen.end(),
                   [](const SeenRun& it) { return it.ended != kForever; });
  const SeenRun run = *ended;
  REQUIRE(fleet.RunUntil(
      [&] {
        return fleet.store.ValueOf("job/j1").find("ended") != std::string::npos;
      },
      seconds(2)));
  fleet.Kill("n0");
  std::string adopter;
  REQUIRE(fleet.RunUntil(
      [&] {
        for (const std::string& it : fleet.nodes()) {
          if (fleet.IsUp(it) && fleet.state(it).jobs.contains("j1")) {
            adopter = it;
          }
        }
        return !adopter.empty();
      },
      seconds(6)));
  const std::string other = adopter == "n1" ? "n2-1" : "n1-1";
  fleet.Tell(adopter, other,
             AdoptReport{.jobs = {"j1"},
                         .runs = {{.task = run.task,
                                   .run = run.run,
                                   .worker = run.worker,
                                   .state = RunState::kRunning}}});
  fleet.Tell(adopter, other,
             EndReports{.ends = {{.worker = run.worker,
                                  .sequence = 1,
                                  .task = run.task,
                                  .run = run.run,
                                  .how = RunEnd::kStopped}}});
  const TaskPhase phase = [&] {
    const Job& job = fleet.state(adopter).jobs.at("j1");
    const auto name = ParseTaskName(run.task);
    return job.occurrences[0].steps[0].tasks[name->index].phase;
  }();
  CHECK(phase == TaskPhase::kWaiting);
}

// An entry instance stopped as planned while the store was slow. Whoever was
// chosen for its jobs had just had no answer from the store, took the end of
// the registration for one that an outage causes, and waited 2 s for it to come
// back; the other members, whose calls had been answered, took that one for the
// owner. Of 12 runs of one load, a lasting task that failed meanwhile was away
// for 3.8 to 4.9 s in six: `handed_over` at 9.02, `run_ended` at 9.18, and
// `job_adopted` only at 10.91, as the next process of that machine registered,
// which then waited 2.1 s for its list of workers. Jobs that others adopted
// were recovered in 0.13 s.
struct LeavingOwner {
  LeavingOwner() {
    Begin(fleet);
    fleet.store_fault = [](const std::string& node, const StoreRequest&) {
      return node == "n0" ? StoreFault::kNone : StoreFault::kRefuse;
    };
    fleet.Run(milliseconds(900));
    fleet.store_fault = [](const std::string&, const StoreRequest&) {
      return StoreFault::kNone;
    };
    fleet.Run(milliseconds(200));
  }

  Fleet fleet;
};

TEST_CASE("Lasting tasks come back if their job's owner leaves store trouble") {
  LeavingOwner it;
  it.fleet.StopPlanned("n0");
  it.fleet.Run(milliseconds(100));
  EndRuns(it.fleet, "w1");
  it.fleet.Run(seconds(1));
  CHECK(CountAtWork(it.fleet) == kTasks);
  CheckPromises(it.fleet);
}

// The word that the owner leaves came after the end of its registration.
TEST_CASE("A late word of a planned stop hands its jobs over at once") {
  LeavingOwner it;
  it.fleet.is_cut = [](const std::string& from, const std::string&) {
    return from == "n0";
  };
  it.fleet.StopPlanned("n0");
  it.fleet.Run(milliseconds(100));
  EndRuns(it.fleet, "w1");
  for (const char* node : {"n1", "n2"}) {
    REQUIRE_FALSE(it.fleet.state(node).jobs.contains("j1"));
    it.fleet.Tell(node, "n0-1", StoppedRenewing());
  }
  it.fleet.Run(seconds(1));
  CHECK(CountAtWork(it.fleet) == kTasks);
  CheckPromises(it.fleet);
}

}  // namespace

}  // namespace burdockrock::engine
