// What still runs of a job that has ended is stopped, whoever started it and
// whatever became of its owners.
#include <algorithm>

#include <doctest/doctest.h>

#include "engine/fleet.h"

namespace burdockrock::engine {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A task has to be gone this long after its job's cancel was acknowledged.
constexpr Duration kCancelBound = milliseconds(3400);

bool IsGone(const Fleet& fleet, const std::string& job) {
  return std::none_of(
      fleet.seen.begin(), fleet.seen.end(), [&](const SeenRun& it) {
        return it.task.starts_with(job + ".") && it.ended == kForever;
      });
}

// The instance that holds the worker.
std::string OwnerAt(const Fleet& fleet, const std::string& worker) {
  for (const std::string& it : fleet.nodes()) {
    if (fleet.IsUp(it) && fleet.state(it).owned.contains(worker + "-1")) {
      return it;
    }
  }
  return {};
}

// Until some instance has adopted the job; its name.
std::string AwaitAdoption(Fleet& fleet, const std::string& job) {
  std::string adopter;
  REQUIRE(fleet.RunUntil(
      [&] {
        for (const std::string& it : fleet.nodes()) {
          if (fleet.IsUp(it) && fleet.state(it).jobs.contains(job)) {
            adopter = it;
          }
        }
        return !adopter.empty();
      },
      seconds(6)));
  return adopter;
}

void LoseWorkerOrders(Fleet& fleet, const std::string& worker) {
  fleet.order_fault = [worker](const std::string&, const std::string& to,
                               const WorkerRequest&) {
    return to == worker ? OrderFault::kUnreached : OrderFault::kNone;
  };
}

// An order as the worker's owner would give it.
void StartAt(Fleet& fleet, const std::string& worker, const std::string& task) {
  const std::string owner = OwnerAt(fleet, worker);
  REQUIRE_FALSE(owner.empty());
  const OwnedWorker& held = fleet.state(owner).owned.at(worker + "-1");
  fleet.worker(worker).Handle(fleet.now(),
                              StartRun{.task = task,
                                       .run = 1,
                                       .payload = "p",
                                       .fence = held.fence,
                                       .lease_until_ms = held.lease_until_ms});
}

// A job of n0 whose 36 tasks run on until they are stopped.
void BeginEndless(Fleet& fleet) {
  fleet.Settle();
  PlanAll(fleet, {.endless = true});
  fleet.Submit("n0", "j1", OneStep(36));
  fleet.Run(seconds(1));
}

// The job's owner stored the cancel, answered it and died; what it told the
// workers' owners was lost. A job that has ended is adopted by nobody, and the
// workers' owners took its runs for wanted: "job_ended state=cancelled" stood
// in one log, and no "run_ended" followed in any other.
TEST_CASE("Runs of a cancelled job are stopped though its owner died") {
  Fleet fleet;
  BeginEndless(fleet);
  REQUIRE(CountRuns(fleet, "j1") == 36);
  fleet.is_cut = [](const std::string& from, const std::string&) {
    return from == "n0";
  };
  CancelNow(fleet, "n0", "j1");
  fleet.Kill("n0");
  fleet.Run(seconds(4));
  CHECK(IsGone(fleet, "j1"));
  CHECK(CountRuns(fleet, "j1") == 36);
}

// The job's owner lives and reaches the store, but no message of its gets to
// the worker's owner: the stops were repeated every 500 ms and all lost, and
// the worker's owner renewed the leases for ever.
TEST_CASE("Runs of a cancelled job are stopped though its owner is cut off") {
  Fleet fleet;
  BeginEndless(fleet);
  fleet.is_cut = [](const std::string& from, const std::string& to) {
    return from == "n0" && to == "n1";
  };
  CancelNow(fleet, "n0", "j1");
  fleet.Run(seconds(6));
  CHECK(IsGone(fleet, "j1"));
}

// A job was adopted and waited 18 s to hear of a worker that had died. Its
// cancel was acknowledged meanwhile, and one order to stop got lost. The
// answers to the adopter's questions, one each 120 ms, counted as word of the
// run, so that the order was never due again: the run ended 17 s after the
// cancel.
TEST_CASE("A stop that got lost while the job is adopted is repeated") {
  Fleet fleet;
  BeginEndless(fleet);
  LoseWorkerOrders(fleet, "w0");
  fleet.Kill("n0");
  const std::string adopter = AwaitAdoption(fleet, "j1");
  fleet.Run(seconds(2));
  REQUIRE(fleet.state(adopter).jobs.at("j1").recovering);
  fleet.is_cut = [&](const std::string& from, const std::string&) {
    return from == adopter;
  };
  const Time cancelled = fleet.now();
  CancelNow(fleet, adopter, "j1");
  fleet.is_cut = [](const std::string&, const std::string&) { return false; };
  fleet.Run(cancelled + kCancelBound - fleet.now());
  for (const SeenRun& it : fleet.seen) {
    INFO(it.task << " on " << it.worker);
    const bool gone = it.ended != kForever || it.worker == "w0-1";
    CHECK(gone);
  }
}

// A task had two runs, the second a copy of one that stood still. The job was
// adopted: its new owner heard of both and kept the one with the higher number.
// The cancel stopped that one alone.
TEST_CASE("Both runs of a task are stopped when its job was adopted") {
  Fleet fleet;
  fleet.Settle();
  PlanAll(fleet, {.takes = seconds(60)});
  JobSpec spec = OneStep(4);
  spec.steps.front().concurrent = true;
  fleet.Submit("n0", "j1", spec);
  fleet.Run(seconds(1));
  const std::string still = fleet.seen.back().worker.substr(0, 2);
  fleet.worker(still).Stall(fleet.now(), fleet.now() + seconds(60));
  REQUIRE(
      fleet.RunUntil([&] { return CountRuns(fleet, "j1") > 4; }, seconds(8)));
  fleet.Run(milliseconds(200));
  // Of this one the adopter hears for long that it can't be reached.
  LoseWorkerOrders(fleet, "w5");
  fleet.Kill("n0");
  const std::string adopter = AwaitAdoption(fleet, "j1");
  fleet.Run(seconds(2));
  REQUIRE(fleet.state(adopter).jobs.at("j1").recovering);
  const Time cancelled = fleet.now();
  CancelNow(fleet, adopter, "j1");
  fleet.Run(cancelled + kCancelBound - fleet.now());
  for (const SeenRun& it : fleet.seen) {
    INFO(it.task << " run " << it.run << " on " << it.worker);
    CHECK(it.worker != "w5-1");
    CHECK(it.ended != kForever);
  }
}

// An order to start got no answer and was carried out 3 s later. Its repetition
// was refused by the worker as unhealthy, and that counted for both: the task
// was started elsewhere, and then ran twice.
TEST_CASE("A refused start is withdrawn if an earlier try got no answer") {
  Fleet fleet;
  fleet.Settle();
  PlanAll(fleet, {.endless = true});
  std::string chosen;
  int tries = 0;
  fleet.order_fault = [&](const std::string&, const std::string& worker,
                          const WorkerRequest& request) {
    if (!std::holds_alternative<StartRun>(request) ||
        (!chosen.empty() && worker != chosen)) {
      return OrderFault::kNone;
    }
    chosen = worker;
    ++tries;
    return tries == 1   ? OrderFault::kLate
           : tries == 2 ? OrderFault::kUnhealthy
                        : OrderFault::kNone;
  };
  fleet.Submit("n0", "j1", OneStep(1));
  fleet.Run(seconds(6));
  REQUIRE(tries >= 2);
  CHECK(fleet.state("n0").jobs.at("j1").started);
  CheckPromises(fleet);
  CancelNow(fleet, "n0", "j1");
  fleet.Run(seconds(1));
  CHECK(IsGone(fleet, "j1"));
}

// An order to start got no answer, the job was cancelled, and the worker
// carried the order out 3 s later.
TEST_CASE("A task that its worker starts after the cancel does not run on") {
  Fleet fleet;
  fleet.Settle();
  PlanAll(fleet, {.endless = true});
  fleet.order_fault = [](const std::string&, const std::string&,
                         const WorkerRequest& request) {
    return std::holds_alternative<StartRun>(request) ? OrderFault::kLate
                                                     : OrderFault::kNone;
  };
  fleet.Submit("n0", "j1", OneStep(36));
  fleet.Run(milliseconds(300));
  CancelNow(fleet, "n0", "j1");
  fleet.Run(milliseconds(500));
  fleet.Kill("n0");
  fleet.Run(seconds(9));
  CHECK(IsGone(fleet, "j1"));
}

// The order to stop overtook the offer of the run. The worker's owner had no
// such run when the stop came, and took the offer a moment later.
TEST_CASE("A stop that overtakes the offer of its run is not forgotten") {
  Fleet fleet;
  fleet.Settle();
  PlanAll(fleet, {.endless = true});
  const std::string owner = OwnerAt(fleet, "w0");
  const std::uint64_t fence = fleet.state(owner).owned.at("w0-1").fence;
  const std::string other = owner == "n1" ? "n2" : "n1";
  fleet.Tell(owner, other + "-1",
             TaskStops{.stops = {{.task = "j1.0.0.0",
                                  .run = 1,
                                  .worker = "w0-1",
                                  .generation = 1}}});
  fleet.Tell(
      owner, other + "-1",
      TaskOffer{.job = "j1",
                .generation = 1,
                .spec = OneStep(1).steps.front(),
                .tasks = {{.run = 1, .worker = "w0-1", .fence = fence}}});
  fleet.Run(milliseconds(500));
  CHECK(CountRuns(fleet, "j1") == 0);
}

// A worker runs a task of a job that the store has no record of any more.
TEST_CASE("A run whose job has no record is stopped") {
  Fleet fleet;
  fleet.Settle();
  PlanAll(fleet, {.endless = true});
  StartAt(fleet, "w0", "j1.0.0.0");
  fleet.Run(seconds(3));
  CHECK(IsGone(fleet, "j1"));
}

// A second run of a job that was known to have ended showed up while the store
// was away. It was read about again instead of being stopped.
TEST_CASE("A run of a job that is known to have ended needs no store to stop") {
  Fleet fleet;
  fleet.Settle();
  PlanAll(fleet, {.endless = true});
  StartAt(fleet, "w0", "j1.0.0.0");
  fleet.Run(seconds(3));
  REQUIRE(IsGone(fleet, "j1"));
  fleet.store_fault = [](const std::string&, const StoreRequest&) {
    return StoreFault::kRefuse;
  };
  StartAt(fleet, "w0", "j1.0.0.1");
  REQUIRE_FALSE(IsGone(fleet, "j1"));
  fleet.Run(seconds(3));
  CHECK(IsGone(fleet, "j1"));
}

// While the store can't be read nobody knows whether the job has ended: what
// is found of it must not be stopped.
TEST_CASE("A run is not stopped before the state of its job is known") {
  Fleet fleet;
  BeginEndless(fleet);
  fleet.store_fault = [](const std::string&, const StoreRequest&) {
    return StoreFault::kRefuse;
  };
  fleet.is_cut = [](const std::string&, const std::string&) { return true; };
  fleet.Run(seconds(8));
  CHECK(CountEnds(fleet, RunEnd::kStopped) == 0);
  CHECK(CountRuns(fleet, "j1") == 36);
}

// The worker's owner died with the order to stop.
TEST_CASE("Runs are stopped when their worker's owner dies with the cancel") {
  Fleet fleet;
  BeginEndless(fleet);
  fleet.Kill("n1");
  CancelNow(fleet, "n0", "j1");
  fleet.Run(seconds(4));
  CHECK(IsGone(fleet, "j1"));
  CHECK(CountEnds(fleet, RunEnd::kStopped) == 36);
}

// An instance that handles what it is told 900 ms late still gets each stop to
// its workers in time.
TEST_CASE("A slowed instance stops the runs of a cancelled job in time") {
  Fleet fleet;
  BeginEndless(fleet);
  const Time cancelled = fleet.now();
  CancelNow(fleet, "n0", "j1");
  while (fleet.now() < cancelled + kCancelBound) {
    fleet.Freeze("n1", milliseconds(900));
    fleet.Run(milliseconds(950));
  }
  CHECK(IsGone(fleet, "j1"));
}

// An instance with an eighth of a core needs 15 ms for an event that takes 2 ms
// of processor time, and 20 jobs a second come. The stops wait behind what came
// before them: they took effect 1.8 s after the cancel was acknowledged.
TEST_CASE("A busy instance stops the runs of a cancelled job in time") {
  Fleet fleet;
  fleet.Settle();
  for (const std::string& it : fleet.worker_names()) {
    fleet.worker(it).plan = [](const std::string& task, std::uint64_t) {
      return RunPlan{.takes = milliseconds(400),
                     .endless = task.starts_with("j1.")};
    };
  }
  fleet.Submit("n0", "j1", OneStep(24));
  fleet.Run(seconds(1));
  fleet.Slow("n1", milliseconds(15));
  int others = 0;
  const auto go_on = [&](Duration span) {
    for (const Time until = fleet.now() + span; fleet.now() < until;) {
      const std::string n = std::to_string(others);
      fleet.Submit("n" + std::to_string(others % 3), "other" + n, OneStep(2));
      ++others;
      fleet.Run(milliseconds(50));
    }
  };
  go_on(seconds(20));
  const std::uint64_t call = fleet.Cancel("n0", "j1");
  go_on(milliseconds(50));
  REQUIRE(fleet.answers.contains(call));
  go_on(kCancelBound - milliseconds(50));
  CHECK(IsGone(fleet, "j1"));
}

// A job was cancelled before the store had it. The store refused its write, so
// that the submission was taken back; whoever waited for the cancel, or had
// asked for the state, got no answer at all.
TEST_CASE("A cancel of a submission that is taken back is answered") {
  Fleet fleet;
  fleet.Settle();
  fleet.store_fault = [](const std::string&, const StoreRequest& request) {
    return std::holds_alternative<StoreTransaction>(request)
               ? StoreFault::kRefuse
               : StoreFault::kNone;
  };
  const std::uint64_t submit = fleet.Submit("n0", "j1", OneStep(1));
  const std::uint64_t cancel = fleet.Cancel("n0", "j1");
  fleet.Run(seconds(2));
  REQUIRE(fleet.answers.contains(submit));
  CHECK(std::holds_alternative<NotNow>(fleet.answers[submit]));
  REQUIRE(fleet.answers.contains(cancel));
  CHECK(std::holds_alternative<NoSuchJob>(fleet.answers[cancel]));
}

// An instance died with a question out and came back at the same address. The
// answer came then, and its number was that of the first question of the new
// life: the cancel of another job was acknowledged though nobody had taken it.
TEST_CASE("An answer to a former life does not acknowledge a cancel") {
  Fleet fleet;
  fleet.Settle();
  PlanAll(fleet, {.endless = true});
  fleet.Submit("n0", "j1", OneStep(6));
  fleet.Run(seconds(1));
  fleet.Kill("n1");
  fleet.Start("n1");
  fleet.Run(seconds(4));
  fleet.is_cut = [](const std::string& from, const std::string&) {
    return from == "n1";
  };
  const std::uint64_t call = fleet.Cancel("n1", "j1");
  fleet.Run(milliseconds(10));
  fleet.Tell("n1", "n2-1",
             JobReply{.call = 1, .known = true, .state = JobState::kCancelled});
  fleet.Run(milliseconds(500));
  CHECK_FALSE(fleet.answers.contains(call));
  CHECK_FALSE(IsGone(fleet, "j1"));
}

// A cancel of a job with many tasks told each of them by itself: 24 messages
// at once for one instance with two workers, each repeated after 500 ms.
TEST_CASE("The stops of a cancelled job go out together and at once") {
  Fleet fleet;
  BeginEndless(fleet);
  REQUIRE(CountRuns(fleet, "j1") == 36);
  std::size_t messages = 0;
  fleet.is_cut = [&](const std::string& from, const std::string&) {
    messages += from == "n0" ? 1 : 0;
    return false;
  };
  // The store's answer takes 4 ms: the stops don't wait for it.
  fleet.Cancel("n0", "j1");
  fleet.Run(milliseconds(3));
  CHECK(messages >= 2);
  CHECK(messages <= 4);
}

}  // namespace

// Guards against callers that wait for the store as long as it is away.
TEST_CASE("A cancel at the job's owner is answered in time without the store") {
  Fleet fleet;
  BeginEndless(fleet);
  fleet.store_fault = [](const std::string&, const StoreRequest&) {
    return StoreFault::kSilent;
  };
  const std::uint64_t cancel = fleet.Cancel("n0", "j1");
  REQUIRE(fleet.RunUntil([&] { return fleet.answers.contains(cancel); },
                         seconds(2)));
  CHECK(std::holds_alternative<NotKnown>(fleet.answers[cancel]));
  fleet.store_fault = [](const std::string&, const StoreRequest&) {
    return StoreFault::kNone;
  };
  fleet.Run(seconds(3));
  CancelNow(fleet, "n0", "j1");
  fleet.Run(kCancelBound);
  CHECK(IsGone(fleet, "j1"));
}

}  // namespace burdockrock::engine
