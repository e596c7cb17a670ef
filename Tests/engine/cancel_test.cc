// Runs of a job that has ended are stopped, whichever instance started them and
// whatever happened to the owners of the job and of its workers.
#include <algorithm>

#include <doctest/doctest.h>

#include "engine/fleet.h"

namespace burdockrock::engine {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// All runs of a job must have ended this long after its cancel was
// acknowledged.
constexpr Duration kCancelBound = milliseconds(3400);

bool HaveAllRunsEnded(const Fleet& fleet, const std::string& job) {
  return std::none_of(
      fleet.seen.begin(), fleet.seen.end(), [&](const SeenRun& it) {
        return it.task.starts_with(job + ".") && it.ended == kForever;
      });
}

// The instance that owns the worker; empty if none does.
std::string OwnerAt(const Fleet& fleet, const std::string& worker) {
  for (const std::string& it : fleet.nodes()) {
    if (fleet.IsUp(it) && fleet.state(it).owned.contains(worker + "-1")) {
      return it;
    }
  }
  return {};
}

// Runs the fleet until an instance has adopted the job, and returns its name.
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

void DropWorkerCommands(Fleet& fleet, const std::string& worker) {
  fleet.command_fault = [worker](const std::string&, const std::string& to,
                                 const WorkerRequest&) {
    return to == worker ? CommandFault::kUnreached : CommandFault::kNone;
  };
}

// Starts the task with a command like one of the worker's owner.
void StartAt(Fleet& fleet, const std::string& worker, const std::string& task) {
  const std::string owner = OwnerAt(fleet, worker);
  REQUIRE_FALSE(owner.empty());
  const OwnedWorker& owned = fleet.state(owner).owned.at(worker + "-1");
  fleet.worker(worker).Handle(fleet.now(),
                              StartRun{.task = task,
                                       .run = 1,
                                       .payload = "p",
                                       .fence = owned.fence,
                                       .lease_until_ms = owned.lease_until_ms});
}

// Starts a job at n0 whose 36 tasks run until they are stopped.
void BeginEndless(Fleet& fleet) {
  fleet.Settle();
  PlanAll(fleet, {.endless = true});
  fleet.Submit("n0", "j1", OneStep(36));
  fleet.Run(seconds(1));
}

// Guards against workers' owners that keep the runs of an ended job. The job's
// owner stores the cancel, answers it and dies; its stop commands are lost, and
// no member adopts a job that has ended. One log had "job_ended
// state=cancelled", but no other had a "run_ended".
TEST_CASE("Runs of a cancelled job are stopped after its owner died") {
  Fleet fleet;
  BeginEndless(fleet);
  REQUIRE(CountRuns(fleet, "j1") == 36);
  fleet.is_cut = [](const std::string& from, const std::string&) {
    return from == "n0";
  };
  CancelNow(fleet, "n0", "j1");
  fleet.Kill("n0");
  fleet.Run(seconds(4));
  CHECK(HaveAllRunsEnded(fleet, "j1"));
  CHECK(CountRuns(fleet, "j1") == 36);
}

// Guards against leases that are renewed forever for a cancelled job. Its owner
// reaches the store, but all of its messages to the worker's owner are lost,
// including the stop commands that it repeats every 500 ms.
TEST_CASE("Runs of a cancelled job are stopped while its owner is cut off") {
  Fleet fleet;
  BeginEndless(fleet);
  fleet.is_cut = [](const std::string& from, const std::string& to) {
    return from == "n0" && to == "n1";
  };
  CancelNow(fleet, "n0", "j1");
  fleet.Run(seconds(6));
  CHECK(HaveAllRunsEnded(fleet, "j1"));
}

// Guards against a lost stop command that is not repeated. An adopted job waits
// up to 18 s for a worker that has died; meanwhile its cancel is acknowledged
// and one stop command is lost. The replies to the adopter's queries, one every
// 120 ms, counted as updates of the run, so the command never became due again
// and the run ended 17 s after the cancel.
TEST_CASE("A stop that is lost during the adoption of a job is repeated") {
  Fleet fleet;
  BeginEndless(fleet);
  DropWorkerCommands(fleet, "w0");
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
    const bool ended_or_lost = it.ended != kForever || it.worker == "w0-1";
    CHECK(ended_or_lost);
  }
}

// Guards against a cancel that stops only one of two runs. A task has a stalled
// run and a copy of it when its job is adopted; the new owner got reports of
// both and kept only the run with the higher number.
TEST_CASE("Both runs of a task are stopped after its job was adopted") {
  Fleet fleet;
  fleet.Settle();
  PlanAll(fleet, {.takes = seconds(60)});
  JobSpec spec = OneStep(4);
  spec.steps.front().concurrent = true;
  fleet.Submit("n0", "j1", spec);
  fleet.Run(seconds(1));
  const std::string stalled = fleet.seen.back().worker.substr(0, 2);
  fleet.worker(stalled).Stall(fleet.now(), fleet.now() + seconds(60));
  REQUIRE(
      fleet.RunUntil([&] { return CountRuns(fleet, "j1") > 4; }, seconds(8)));
  fleet.Run(milliseconds(200));
  // The adopter waits long for this worker, as it can't be reached.
  DropWorkerCommands(fleet, "w5");
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

// Guards against a task that runs twice. A start command gets no answer and
// takes effect 3 s later; the worker refuses its repetition as unhealthy. That
// counted as a refusal of both, so the task was started elsewhere too.
TEST_CASE("A refused start is withdrawn if an earlier attempt got no answer") {
  Fleet fleet;
  fleet.Settle();
  PlanAll(fleet, {.endless = true});
  std::string chosen;
  int tries = 0;
  fleet.command_fault = [&](const std::string&, const std::string& worker,
                            const WorkerRequest& request) {
    if (!std::holds_alternative<StartRun>(request) ||
        (!chosen.empty() && worker != chosen)) {
      return CommandFault::kNone;
    }
    chosen = worker;
    ++tries;
    return tries == 1   ? CommandFault::kLate
           : tries == 2 ? CommandFault::kUnhealthy
                        : CommandFault::kNone;
  };
  fleet.Submit("n0", "j1", OneStep(1));
  fleet.Run(seconds(6));
  REQUIRE(tries >= 2);
  CHECK(fleet.state("n0").jobs.at("j1").started);
  CheckInvariants(fleet);
  CancelNow(fleet, "n0", "j1");
  fleet.Run(seconds(1));
  CHECK(HaveAllRunsEnded(fleet, "j1"));
}

// Guards against a start command without an answer that takes effect 3 s later,
// after the job was cancelled.
TEST_CASE("A run that its worker starts after the cancel is stopped") {
  Fleet fleet;
  fleet.Settle();
  PlanAll(fleet, {.endless = true});
  fleet.command_fault = [](const std::string&, const std::string&,
                           const WorkerRequest& request) {
    return std::holds_alternative<StartRun>(request) ? CommandFault::kLate
                                                     : CommandFault::kNone;
  };
  fleet.Submit("n0", "j1", OneStep(36));
  fleet.Run(milliseconds(300));
  CancelNow(fleet, "n0", "j1");
  fleet.Run(milliseconds(500));
  fleet.Kill("n0");
  fleet.Run(seconds(9));
  CHECK(HaveAllRunsEnded(fleet, "j1"));
}

// Guards against a run that is started after its stop. The stop command
// overtakes the offer: the worker's owner has no such run yet, and accepts the
// offer a moment later.
TEST_CASE("A stop that overtakes the offer of its run prevents the start") {
  Fleet fleet;
  fleet.Settle();
  PlanAll(fleet, {.endless = true});
  const std::string owner = OwnerAt(fleet, "w0");
  const std::uint64_t fence = fleet.state(owner).owned.at("w0-1").fence;
  const std::string other = owner == "n1" ? "n2" : "n1";
  fleet.DeliverPeerMessage(owner, other + "-1",
                           TaskStops{.stops = {{.task = "j1.0.0.0",
                                                .run = 1,
                                                .worker = "w0-1",
                                                .generation = 1}}});
  fleet.DeliverPeerMessage(
      owner, other + "-1",
      TaskOffer{.job = "j1",
                .generation = 1,
                .spec = OneStep(1).steps.front(),
                .tasks = {{.run = 1, .worker = "w0-1", .fence = fence}}});
  fleet.Run(milliseconds(500));
  CHECK(CountRuns(fleet, "j1") == 0);
}

// Guards against runs that never end because their job's record was removed
// from the store.
TEST_CASE("A run whose job has no record is stopped") {
  Fleet fleet;
  fleet.Settle();
  PlanAll(fleet, {.endless = true});
  StartAt(fleet, "w0", "j1.0.0.0");
  fleet.Run(seconds(3));
  CHECK(HaveAllRunsEnded(fleet, "j1"));
}

// Guards against a run of an ended job that continues while the store can't be
// reached. The job was known to have ended, but its record was read again
// before the run was stopped.
TEST_CASE("Runs of a job that is known to have ended stop without the store") {
  Fleet fleet;
  fleet.Settle();
  PlanAll(fleet, {.endless = true});
  StartAt(fleet, "w0", "j1.0.0.0");
  fleet.Run(seconds(3));
  REQUIRE(HaveAllRunsEnded(fleet, "j1"));
  fleet.store_fault = [](const std::string&, const StoreRequest&) {
    return StoreFault::kRefuse;
  };
  StartAt(fleet, "w0", "j1.0.0.1");
  REQUIRE_FALSE(HaveAllRunsEnded(fleet, "j1"));
  fleet.Run(seconds(3));
  CHECK(HaveAllRunsEnded(fleet, "j1"));
}

// Guards against stopping wanted runs. While the store can't be read, no
// instance knows whether the job has ended.
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

// Guards against a stop command that is lost when the worker's owner dies.
TEST_CASE("Runs are stopped if their worker's owner dies at the cancel") {
  Fleet fleet;
  BeginEndless(fleet);
  fleet.Kill("n1");
  CancelNow(fleet, "n0", "j1");
  fleet.Run(seconds(4));
  CHECK(HaveAllRunsEnded(fleet, "j1"));
  CHECK(CountEnds(fleet, RunEnd::kStopped) == 36);
}

// Guards against stops that take effect late because an instance handles its
// messages 900 ms late.
TEST_CASE("A slowed instance stops the runs of a cancelled job in time") {
  Fleet fleet;
  BeginEndless(fleet);
  const Time cancelled = fleet.now();
  CancelNow(fleet, "n0", "j1");
  while (fleet.now() < cancelled + kCancelBound) {
    fleet.Freeze("n1", milliseconds(900));
    fleet.Run(milliseconds(950));
  }
  CHECK(HaveAllRunsEnded(fleet, "j1"));
}

// Guards against stop commands that queue behind other events. With an eighth
// of a core an event of 2 ms of processor time takes 15 ms, and 20 jobs a
// second arrive: the stops took effect 1.8 s after the cancel was acknowledged.
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
  const auto submit_others = [&](Duration span) {
    for (const Time until = fleet.now() + span; fleet.now() < until;) {
      const std::string n = std::to_string(others);
      fleet.Submit("n" + std::to_string(others % 3), "other" + n, OneStep(2));
      ++others;
      fleet.Run(milliseconds(50));
    }
  };
  submit_others(seconds(20));
  const std::uint64_t call = fleet.Cancel("n0", "j1");
  submit_others(milliseconds(50));
  REQUIRE(fleet.answers.contains(call));
  submit_others(kCancelBound - milliseconds(50));
  CHECK(HaveAllRunsEnded(fleet, "j1"));
}

// Guards against pending callers that never get an answer. A job is cancelled
// before it is stored, and the store refuses its write, so the submission is
// withdrawn; callers that waited for the cancel or for the state were
// forgotten.
TEST_CASE("A cancel of a submission that is withdrawn is answered") {
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
  CHECK(std::holds_alternative<Unavailable>(fleet.answers[submit]));
  REQUIRE(fleet.answers.contains(cancel));
  CHECK(std::holds_alternative<NoSuchJob>(fleet.answers[cancel]));
}

// Guards against a cancel that is acknowledged though no instance accepted it.
// An instance restarts at the same address with a query pending; the late reply
// had the number of the first query of the new process, which was the cancel of
// another job.
TEST_CASE("A reply to a former incarnation does not acknowledge a cancel") {
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
  fleet.DeliverPeerMessage(
      "n1", "n2-1",
      JobReply{.call = 1, .known = true, .state = JobState::kCancelled});
  fleet.Run(milliseconds(500));
  CHECK_FALSE(fleet.answers.contains(call));
  CHECK_FALSE(HaveAllRunsEnded(fleet, "j1"));
}

// Guards against one message for each stopped task: 24 messages at once to one
// instance with two workers, each repeated after 500 ms.
TEST_CASE("The stops of a cancelled job are sent together and at once") {
  Fleet fleet;
  BeginEndless(fleet);
  REQUIRE(CountRuns(fleet, "j1") == 36);
  std::size_t messages = 0;
  fleet.is_cut = [&](const std::string& from, const std::string&) {
    messages += from == "n0" ? 1 : 0;
    return false;
  };
  // The store's answer takes 4 ms; the stops must not wait for it.
  fleet.Cancel("n0", "j1");
  fleet.Run(milliseconds(3));
  CHECK(messages >= 2);
  CHECK(messages <= 4);
}

}  // namespace

// Guards against callers that get no answer for as long as the store is
// unresponsive.
TEST_CASE("A cancel at the job's owner is answered in time without the store") {
  Fleet fleet;
  BeginEndless(fleet);
  fleet.store_fault = [](const std::string&, const StoreRequest&) {
    return StoreFault::kNoReply;
  };
  const std::uint64_t cancel = fleet.Cancel("n0", "j1");
  REQUIRE(fleet.RunUntil([&] { return fleet.answers.contains(cancel); },
                         seconds(2)));
  CHECK(std::holds_alternative<OutcomeUnknown>(fleet.answers[cancel]));
  fleet.store_fault = [](const std::string&, const StoreRequest&) {
    return StoreFault::kNone;
  };
  fleet.Run(seconds(3));
  CancelNow(fleet, "n0", "j1");
  fleet.Run(kCancelBound);
  CHECK(HaveAllRunsEnded(fleet, "j1"));
}

}  // namespace burdockrock::engine
