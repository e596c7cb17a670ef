// Jobs of steps under failures of instances, of the store and of workers.
#include <algorithm>

#include <doctest/doctest.h>

#include "engine/fleet.h"

namespace burdockrock::engine {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

bool IsWrite(const StoreRequest& request) {
  return std::holds_alternative<StoreTransaction>(request);
}

// Symptom: tasks ran again seconds after their ends were acknowledged.
// Sequence: the store turns an instance away, its registration lapses and its
// jobs are adopted; another instance restarts meanwhile; the first comes back
// and offers the tasks, of which the restarted one knows no newer owner.
// Cause: an instance took itself for the owner of jobs after its registration
// was lost.
TEST_CASE("An instance that was turned away does not go on with lost jobs") {
  Fleet fleet;
  fleet.Settle();
  PlanAll(fleet, {.takes = seconds(4)});
  fleet.Submit("n0", "j1", OneStep(6));
  fleet.Run(milliseconds(500));
  fleet.store_fault = [&](const std::string& node, const StoreRequest&) {
    return node == "n0" ? StoreFault::kRefuse : StoreFault::kNone;
  };
  fleet.Run(seconds(3));
  fleet.Kill("n2");
  fleet.Run(seconds(2));
  fleet.Start("n2");
  fleet.Run(seconds(4));
  fleet.store_fault = [](const std::string&, const StoreRequest&) {
    return StoreFault::kNone;
  };
  fleet.Run(seconds(8));
  CHECK(fleet.StateOf("n1", "j1") == JobState::kCompleted);
  CHECK(CountRuns(fleet, "j1") == 6);
  CheckInvariants(fleet);
}

// Symptom: a task that had ended done ran a second time.
// Sequence: the answer to a start is lost; the run ends; the order is repeated
// and refused as old; the job's owner is told that it did not start.
// Cause: that refusal was taken for a start that never was.
TEST_CASE("A start whose answer was lost is not started again elsewhere") {
  Fleet fleet;
  fleet.Settle();
  PlanAll(fleet, {.takes = milliseconds(50)});
  fleet.command_fault = [](const std::string&, const std::string&,
                           const WorkerRequest& request) {
    return std::holds_alternative<StartRun>(request) ? CommandFault::kLoseAnswer
                                                     : CommandFault::kNone;
  };
  fleet.Submit("n0", "j1", OneStep(4));
  fleet.Run(seconds(4));
  CHECK(fleet.StateOf("n0", "j1") == JobState::kCompleted);
  CHECK(CountRuns(fleet, "j1") == 4);
}

// Symptom: a job was shown as failed though no task had failed so often.
// Sequence: a task fails; its owner stores that and dies before the worker is
// told; the job's new owner reads the count and hears of the same end again.
// Cause: the record did not say which runs its counts hold.
TEST_CASE("A failed run counts once, also for a new owner of the job") {
  Fleet fleet;
  fleet.Settle();
  for (const std::string& it : fleet.worker_names()) {
    fleet.worker(it).plan = [](const std::string&, std::uint64_t run) {
      return RunPlan{.takes = milliseconds(300),
                     .how = run < 3 ? RunEnd::kFailed : RunEnd::kDone};
    };
  }
  fleet.Submit("n0", "j1", OneStep(3));
  // Two failures of each task are stored at once, the ends wait for their
  // acknowledgement.
  REQUIRE(fleet.RunUntil(
      [&] {
        return fleet.store.ValueOf("job/j1").find("222") != std::string::npos;
      },
      seconds(4)));
  fleet.Kill("n0");
  fleet.Run(seconds(8));
  CHECK(fleet.StateOf("n1", "j1") == JobState::kCompleted);
  CheckInvariants(fleet);
}

// Symptom: tasks of a cancelled job ran on for ever.
// Sequence: all instances lose power; they come back and adopt the job; it is
// cancelled before its new owner has heard what runs.
// Cause: the job counted as settled, and nobody stopped what was found later.
TEST_CASE("A job that is cancelled while it is adopted is stopped") {
  Fleet fleet;
  fleet.Settle();
  PlanAll(fleet, {.endless = true});
  fleet.Submit("n0", "j1", OneStep(6));
  fleet.Run(seconds(1));
  for (const std::string& it : fleet.nodes()) {
    fleet.Kill(it);
  }
  fleet.Run(milliseconds(500));
  for (const std::string& it : fleet.nodes()) {
    fleet.Start(it);
  }
  bool cancelled = false;
  REQUIRE(fleet.RunUntil(
      [&] {
        for (const std::string& it : fleet.nodes()) {
          if (!cancelled && fleet.state(it).jobs.contains("j1")) {
            fleet.Cancel(it, "j1");
            cancelled = true;
          }
        }
        return cancelled;
      },
      seconds(6)));
  fleet.Run(seconds(4));
  CHECK(CountEnds(fleet, RunEnd::kStopped) == 6);
}

// Symptom: a run of a cancelled job went on, its lease renewed.
// Sequence: a job is cancelled and stored as such; all instances lose power
// before the stop orders are out; the job is adopted by nobody, as it has
// ended.
// Cause: the new owner of the worker renewed whatever it found there.
TEST_CASE("Runs of a job that has ended in the store are stopped") {
  Fleet fleet;
  fleet.Settle();
  PlanAll(fleet, {.endless = true});
  fleet.command_fault = [](const std::string&, const std::string&,
                           const WorkerRequest& request) {
    return std::holds_alternative<StopRun>(request) ? CommandFault::kUnreached
                                                    : CommandFault::kNone;
  };
  fleet.Submit("n0", "j1", OneStep(3));
  fleet.Run(seconds(1));
  const std::uint64_t call = fleet.Cancel("n0", "j1");
  REQUIRE(
      fleet.RunUntil([&] { return fleet.answers.contains(call); }, seconds(1)));
  for (const std::string& it : fleet.nodes()) {
    fleet.Kill(it);
    fleet.Start(it);
  }
  fleet.command_fault = [](const std::string&, const std::string&,
                           const WorkerRequest&) {
    return CommandFault::kNone;
  };
  fleet.Run(seconds(5));
  CHECK(CountEnds(fleet, RunEnd::kStopped) == 3);
}

// Symptom: urgent jobs were late by a second and more though they had run in
// time; questions about jobs that nobody knows got no answer.
// Sequence: a caller asks at an instance that does not own the job; the record
// is asked for again while the first read is under way, and so for ever.
// Cause: an answer counted as old as soon as another read was wanted.
TEST_CASE("A question about any job is answered anywhere within one read") {
  Fleet fleet;
  fleet.Settle();
  PlanAll(fleet, {.takes = seconds(5)});
  fleet.Submit("n0", "j1", Chain(2, 1));
  fleet.Run(milliseconds(500));
  const std::uint64_t known = fleet.QueryState("n1", "j1");
  const std::uint64_t unknown = fleet.QueryState("n1", "nobody");
  fleet.Run(milliseconds(60));
  REQUIRE(fleet.answers.contains(known));
  CHECK(fleet.answers[known] ==
        CallerAnswer(JobStateFound{.state = JobState::kRunning}));
  REQUIRE(fleet.answers.contains(unknown));
  CHECK(std::holds_alternative<NoSuchJob>(fleet.answers[unknown]));
}

// Symptom: callers got no answer about their jobs at one instance for 9 s.
// Sequence: the store turns the instance away; the job belongs to another one.
// Cause: only the store was asked whose the job is.
TEST_CASE("An instance that the store turns away asks the other members") {
  Fleet fleet;
  fleet.Settle();
  PlanAll(fleet, {.takes = seconds(9)});
  fleet.Submit("n0", "j1", Chain(2, 1));
  fleet.store_fault = [](const std::string& node, const StoreRequest&) {
    return node == "n1" ? StoreFault::kRefuse : StoreFault::kNone;
  };
  fleet.Run(seconds(2));
  const std::uint64_t call = fleet.QueryState("n1", "j1");
  fleet.Run(milliseconds(100));
  REQUIRE(fleet.answers.contains(call));
  CHECK(fleet.answers[call] ==
        CallerAnswer(JobStateFound{.state = JobState::kRunning}));
}

// Symptom: callers were told "running" 2 ms before the end was known, and the
// next time they asked was 250 ms later.
// Sequence: the last run ends; the caller asks; the end is on its way.
// Cause: the answer was given from what was known at that moment.
TEST_CASE("A question that comes with the end is answered with the end") {
  Fleet fleet;
  fleet.Settle();
  fleet.Submit("n0", "j1", OneStep(1));
  REQUIRE(fleet.RunUntil(
      [&] {
        return !fleet.seen.empty() &&
               fleet.now() >= fleet.seen.front().began + milliseconds(500);
      },
      seconds(3)));
  const std::uint64_t call = fleet.QueryState("n1", "j1");
  fleet.Run(milliseconds(200));
  CHECK(fleet.answers[call] ==
        CallerAnswer(JobStateFound{.state = JobState::kCompleted}));
}

// Symptom: instances held each other's workers after a common start.
// Sequence: one instance sees no other yet and claims all workers; the others
// claim theirs; the first, its claims refused, raises its fence and takes them
// back.
// Cause: a claim went on though its worker was another's by then.
TEST_CASE("After a common start each worker is owned within its domain") {
  Fleet fleet;
  fleet.Settle();
  for (const std::string& node : fleet.nodes()) {
    const State& state = fleet.state(node);
    CHECK(state.owned.size() == 2);
    for (const auto& [id, worker] : state.owned) {
      CHECK(worker.claimed);
      CHECK(worker.info.domain == state.options.self.domain);
    }
  }
}

// Symptom: running tasks lapse when the owner of their worker dies.
// Sequence: an instance is killed; its registration lapses after 2.5 s; another
// claims its workers before their leases of 6 s are over.
TEST_CASE("Runs outlive the owner of their worker and the owner of their job") {
  Fleet fleet;
  fleet.Settle();
  PlanAll(fleet, {.takes = seconds(8)});
  fleet.Submit("n0", "j1", OneStep(12));
  fleet.Run(seconds(1));
  fleet.Kill("n0");
  fleet.Run(seconds(12));
  CHECK(fleet.StateOf("n1", "j1") == JobState::kCompleted);
  CHECK(CountRuns(fleet, "j1") == 12);
  CHECK(CountEnds(fleet, RunEnd::kDone) == 12);
  CheckInvariants(fleet);
}

// Symptom: a task ran again on a worker of an instance that had lost its job.
// Sequence: the store is silent to an instance; its job is adopted, a run's end
// is stored and acknowledged; the former owner asks the worker's owner for the
// run, hears that it is not there, and starts the task on a worker of its own,
// which nobody has claimed yet.
// Cause: a question of a former owner was answered.
TEST_CASE("A former owner of a job is not told that a run is gone") {
  Fleet fleet;
  fleet.Settle();
  fleet.Submit("n0", "j1", Chain(2, 12));
  fleet.Run(milliseconds(300));
  const std::string n0 = "n0-1";
  const std::string task = fleet.seen.front().task;
  const std::uint64_t queries = fleet.CountRunReports();
  fleet.DeliverPeerMessage(
      "n1", "n2-1", AdoptQuery{.jobs = {{.job = "j1", .generation = 2}}});
  fleet.DeliverPeerMessage(
      "n1", n0,
      RunQueries{.runs = {{.task = task, .run = 9, .worker = "w1-1"}}});
  fleet.Run(milliseconds(200));
  CHECK(fleet.CountRunReports() == queries);
}

TEST_CASE("All instances lose power: nothing is lost and nothing doubled") {
  Fleet fleet;
  fleet.Settle();
  PlanAll(fleet, {.takes = seconds(3)});
  std::vector<std::uint64_t> calls;
  for (int it = 0; it < 6; ++it) {
    const std::string n = std::to_string(it);
    calls.push_back(
        fleet.Submit("n" + std::to_string(it % 3), "j" + n, Chain(2, 3)));
  }
  fleet.Run(milliseconds(20));  // right after the acknowledgements
  for (const std::string& it : fleet.nodes()) {
    fleet.Kill(it);
  }
  fleet.Run(seconds(9));
  for (const std::string& it : fleet.nodes()) {
    fleet.Start(it);
  }
  fleet.Run(seconds(25));
  for (int it = 0; it < 6; ++it) {
    CHECK(std::holds_alternative<JobAccepted>(
        fleet.answers[calls[static_cast<std::size_t>(it)]]));
    CHECK(fleet.StateOf("n0", "j" + std::to_string(it)) ==
          JobState::kCompleted);
  }
  CheckInvariants(fleet);
}

// Symptom: an outage of the store kills running work, or lets jobs be accepted
// that are lost.
TEST_CASE("While the store is down accepted work goes on and no new is taken") {
  Fleet fleet;
  fleet.Settle();
  PlanAll(fleet, {.takes = seconds(2)});
  fleet.Submit("n0", "j1", Chain(3, 3));
  fleet.Run(milliseconds(500));
  fleet.store_fault = [](const std::string&, const StoreRequest&) {
    return StoreFault::kNoReply;
  };
  fleet.Run(seconds(3));
  const std::uint64_t refused = fleet.Submit("n1", "j2", OneStep(1));
  fleet.Run(milliseconds(50));
  REQUIRE(fleet.answers.contains(refused));
  CHECK(std::holds_alternative<Unavailable>(fleet.answers[refused]));
  fleet.Run(seconds(5));
  CHECK(fleet.seen.size() == 9);  // all steps ran
  fleet.store_fault = [](const std::string&, const StoreRequest&) {
    return StoreFault::kNone;
  };
  fleet.Run(seconds(4));
  CHECK(fleet.StateOf("n2", "j1") == JobState::kCompleted);
  CHECK(CountRuns(fleet, "j1") == 9);
  CHECK(CountEnds(fleet, RunEnd::kDone) == 9);
  CheckInvariants(fleet);
}

// Symptom: work moves between instances, and runs lapse, after an outage in
// which all registrations ran out.
TEST_CASE("Registrations that lapse in an outage move no work") {
  Fleet fleet;
  fleet.Settle();
  PlanAll(fleet, {.takes = seconds(12)});
  fleet.Submit("n0", "j1", OneStep(6));
  fleet.Run(seconds(1));
  fleet.store_fault = [](const std::string&, const StoreRequest&) {
    return StoreFault::kRefuse;
  };
  fleet.Run(seconds(6));
  fleet.store.Revoke("member/");
  fleet.store_fault = [](const std::string&, const StoreRequest&) {
    return StoreFault::kNone;
  };
  fleet.Run(seconds(10));
  CHECK(fleet.StateOf("n1", "j1") == JobState::kCompleted);
  CHECK(CountRuns(fleet, "j1") == 6);
  CHECK(fleet.state("n0").jobs.at("j1").generation == 1);
}

// Symptom: a caller is told that its job was refused, and it runs all the same.
// Sequence: the write takes effect and its answer is lost.
TEST_CASE("A write whose answer was lost is read back") {
  Fleet fleet;
  fleet.Settle();
  bool lost = false;
  fleet.store_fault = [&](const std::string&, const StoreRequest& request) {
    if (IsWrite(request) && !lost) {
      lost = true;
      return StoreFault::kLoseAnswer;
    }
    return StoreFault::kNone;
  };
  const std::uint64_t call = fleet.Submit("n0", "j1", OneStep(2));
  fleet.Run(seconds(3));
  REQUIRE(lost);
  CHECK(std::holds_alternative<JobAccepted>(fleet.answers[call]));
  CHECK(fleet.StateOf("n1", "j1") == JobState::kCompleted);
  CHECK(CountRuns(fleet, "j1") == 2);
}

// Symptom: workers that came while the history was forgotten are never used.
TEST_CASE("A forgotten history is made up for by reading all again") {
  Fleet fleet;
  fleet.Settle();
  fleet.store_fault = [](const std::string&, const StoreRequest& request) {
    return std::holds_alternative<StoreWatch>(request) ? StoreFault::kRefuse
                                                       : StoreFault::kNone;
  };
  fleet.Run(seconds(2));
  fleet.store.Remove("worker/w0-1");
  fleet.store.ForgetHistory();
  fleet.store_fault = [](const std::string&, const StoreRequest&) {
    return StoreFault::kNone;
  };
  fleet.Run(seconds(2));
  for (const std::string& it : fleet.nodes()) {
    CHECK_FALSE(fleet.state(it).workers.at("w0-1").listed);
  }
}

// Symptom: the store refuses calls of all instances.
// Sequence: jobs come one by one and faster than the store takes writes.
// Cause would be: a transaction for each of them.
TEST_CASE("A flood of submissions stays within the store's budget") {
  Fleet fleet({.store_writes = 60});
  fleet.Settle();
  PlanAll(fleet, {.takes = milliseconds(100)});
  const std::uint64_t before = fleet.store.transactions();
  constexpr int kSeconds = 4;
  constexpr int kJobsPerSecond = 200;
  for (int it = 0; it < kSeconds * kJobsPerSecond; ++it) {
    fleet.Submit("n" + std::to_string(it % 3), "j" + std::to_string(it),
                 OneStep(1, 10));
    fleet.Run(milliseconds(1000 / kJobsPerSecond));
  }
  const std::uint64_t writes = fleet.store.transactions() - before;
  CHECK(writes <= kSeconds * 30 + 3 * 4);
  fleet.Run(seconds(10));
  for (int it = 0; it < kSeconds * kJobsPerSecond; it += 50) {
    CHECK(fleet.StateOf("n0", "j" + std::to_string(it)) ==
          JobState::kCompleted);
  }
}

// Symptom: the store fills with records of jobs that ended long ago.
// Sequence: the owner of a job that has ended is lost.
// Cause: only the owner removed its records.
TEST_CASE("Records of ended jobs go also when their owner is gone") {
  Fleet fleet({.state_kept = seconds(20)});
  fleet.Settle();
  fleet.Submit("n0", "j1", OneStep(2));
  fleet.Submit("n1", "j2", OneStep(2));
  fleet.Run(seconds(3));
  fleet.Kill("n0");
  fleet.Run(seconds(60));
  CHECK(fleet.StateOf("n1", "j1") == JobState::kCompleted);
  CHECK(fleet.store.Keys("job/j2").empty());
  fleet.Run(seconds(90));
  CHECK(fleet.store.Keys("job/").empty());
  CHECK(fleet.store.Keys("spec/").empty());
}

// Symptom: a task runs twice after a takeover.
// Sequence: start orders get no answer and are carried out 3 s later; their
// sender is killed meanwhile and the worker has a new owner.
TEST_CASE("Late orders of a former owner start nothing") {
  Fleet fleet;
  fleet.Settle();
  PlanAll(fleet, {.takes = seconds(1)});
  fleet.command_fault = [](const std::string& node, const std::string&,
                           const WorkerRequest& request) {
    const bool start = std::holds_alternative<StartRun>(request);
    return node == "n0" && start ? CommandFault::kLate : CommandFault::kNone;
  };
  fleet.Submit("n1", "j1", OneStep(12));
  fleet.Run(milliseconds(400));
  fleet.Kill("n0");
  fleet.Run(seconds(12));
  CHECK(fleet.StateOf("n1", "j1") == JobState::kCompleted);
  CheckInvariants(fleet);
}

// Symptom: an instance that was paused goes on as if it owned what it did.
TEST_CASE("A frozen instance that wakes up starts nothing twice") {
  Fleet fleet;
  fleet.Settle();
  PlanAll(fleet, {.takes = milliseconds(800)});
  fleet.Submit("n0", "j1", Chain(6, 3));
  fleet.Run(milliseconds(900));
  fleet.Freeze("n0", seconds(5));
  fleet.Run(seconds(16));
  CHECK(fleet.StateOf("n1", "j1") == JobState::kCompleted);
  CheckInvariants(fleet);
}

TEST_CASE("A planned stop hands over jobs and workers, and no run ends by it") {
  Fleet fleet;
  fleet.Settle();
  PlanAll(fleet, {.takes = seconds(3)});
  fleet.Submit("n0", "j1", Chain(2, 6));
  fleet.Run(seconds(1));
  fleet.StopPlanned("n0");
  REQUIRE(fleet.RunUntil([&] { return !fleet.IsUp("n0"); }, seconds(5)));
  const std::uint64_t call = fleet.QueryState("n1", "j1");
  fleet.Run(seconds(10));
  CHECK(fleet.answers.contains(call));
  CHECK(fleet.StateOf("n1", "j1") == JobState::kCompleted);
  CHECK(CountEnds(fleet, RunEnd::kDone) == 12);
  CheckInvariants(fleet);
}

}  // namespace

// Guards against states of a record that was read before its job ended.
TEST_CASE("A job that has ended is shown so while its owner stands still") {
  Fleet fleet;
  fleet.Settle();
  fleet.Submit("n0", "j1", OneStep(1));
  REQUIRE(fleet.StateOf("n2", "j1").has_value());
  fleet.Run(seconds(2));
  REQUIRE(fleet.StateOf("n1", "j1") == JobState::kCompleted);
  fleet.Freeze("n0", seconds(3));
  CHECK(fleet.StateOf("n2", "j1") == JobState::kCompleted);
}

}  // namespace burdockrock::engine
