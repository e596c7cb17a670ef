// Jobs with steps during failures of instances, of the store and of workers.
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

// Guards against tasks that run again seconds after their ends were
// acknowledged. The store refuses an instance, whose registration lapses and
// whose jobs are adopted; another instance restarts meanwhile. When the first
// one reaches the store again it offers the tasks, and the restarted one knows
// no newer owner: an instance counted itself as the owner of its jobs after its
// registration was lost.
TEST_CASE("An instance that the store refused does not continue lost jobs") {
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

// Guards against a finished task that runs a second time. The answer to a start
// command is lost, the run ends, and the worker refuses the repeated command as
// old; the refusal was reported to the job's owner as a run that never started.
TEST_CASE("A task whose start got no answer is not started again elsewhere") {
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

// Guards against a job that fails although no task reached the limit of
// failures. The job's owner stores a failure and dies before the worker gets
// the acknowledgement; the new owner reads the count and receives the same end
// again. The record did not name the runs that it had counted.
TEST_CASE("A failed run counts once, even for a new owner of the job") {
  Fleet fleet;
  fleet.Settle();
  for (const std::string& it : fleet.worker_names()) {
    fleet.worker(it).plan = [](const std::string&, std::uint64_t run) {
      return RunPlan{.takes = milliseconds(300),
                     .how = run < 3 ? RunEnd::kFailed : RunEnd::kDone};
    };
  }
  fleet.Submit("n0", "j1", OneStep(3));
  // Two failures of each task are stored at once; their ends are not
  // acknowledged yet.
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

// Guards against runs of a cancelled job that never end. All instances lose
// power, restart and adopt the job, which is cancelled before its new owner
// knows its runs; the job then counted as settled, and runs that were reported
// later were not stopped.
TEST_CASE("A job that is cancelled during its adoption is stopped") {
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

// Guards against a run of a cancelled job whose lease is still renewed. The
// cancel is stored, and all instances lose power before the stop commands are
// sent; no member adopts the job, as it has ended, and the worker's new owner
// renewed every run that it found there.
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

// Guards against queries about unknown jobs that get no reply, and urgent jobs
// that are reported late by a second and more though they ran in time. A caller
// queries an instance that does not own the job, and the record is requested
// again while the first read is in flight, and so on: a read counted as
// outdated as soon as another one was requested.
TEST_CASE("Any instance answers a query about any job within one read") {
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

// Guards against callers that get no reply at one instance for 9 s. The store
// refuses the instance, and the job belongs to another one: the owner was
// looked up only in the store.
TEST_CASE("An instance that the store refuses queries the other members") {
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

// Guards against the reply "running" 2 ms before the job's end is known, as the
// caller's next query comes 250 ms later. The query arrives after the last run
// has ended and before the end is reported, and was answered at once.
TEST_CASE("A query that arrives while the job ends is answered with the end") {
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

// Guards against instances that own each other's workers after starting
// together. One instance sees no other yet and claims all workers; the others
// claim theirs; the first one, whose claims are refused, advances its fence and
// takes them back: a claim was continued although its worker belonged to
// another instance by then.
TEST_CASE("After instances start together each worker is owned in its domain") {
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

// Guards against runs that lapse when the owner of their worker dies. An
// instance is killed and its registration lapses after 2.5 s; another one has
// to claim its workers before their leases of 6 s end.
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

// Guards against a task that runs again on a worker of its job's former owner.
// The store is unresponsive to an instance; its job is adopted, and a run's end
// is stored and acknowledged. The former owner queries the worker's owner for
// the run, gets the reply that it is absent, and starts the task on a worker of
// its own that no other instance has claimed yet.
TEST_CASE("A former owner of a job gets no report that a run is absent") {
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

TEST_CASE("No job is lost or run twice when all instances lose power") {
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

// Guards against a store outage that ends running work, or during which jobs
// are accepted and lost.
TEST_CASE("While the store is down accepted jobs run, new ones are refused") {
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

// Guards against jobs that change owners and runs that lapse after a store
// outage in which all registrations expired.
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

// Guards against a job that runs although its caller got a refusal: the write
// takes effect, but its answer is lost.
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

// Guards against changes to the list of workers that are missed because the
// store compacted its history, as workers that are never used.
TEST_CASE("After the store's history is compacted the lists are read again") {
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

// Guards against reads of the members that have each instance choose all owners
// anew, although they return what is known.
TEST_CASE("A read of the members that returns no change is no change") {
  Fleet fleet;
  fleet.Settle();
  const std::uint64_t version = fleet.state("n0").members.version;
  const Time read_at = fleet.now();
  fleet.store.Put("other", "");
  fleet.store.ForgetHistory();
  fleet.Run(seconds(3));
  const MembersState& members = fleet.state("n0").members;
  CHECK(fleet.state("n0").watches[0].known_to > read_at);
  CHECK(members.present.size() == fleet.nodes().size());
  CHECK(members.version == version);
}

// Guards against a store that refuses the calls of all instances because jobs
// arrive one by one, faster than it accepts writes, and each takes a
// transaction.
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

// Guards against a store that fills with records of jobs that ended long ago:
// only a job's owner removed its records, and that owner may be lost.
TEST_CASE("Records of ended jobs are removed even if their owner is lost") {
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

// Guards against a task that runs twice after a takeover. Start commands get no
// answer and take effect 3 s later; meanwhile their sender is killed and the
// worker has a new owner.
TEST_CASE("Late commands of a former owner start nothing") {
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

// Guards against a paused instance that continues as if it still owned its jobs
// and workers.
TEST_CASE("An instance that resumes after a freeze starts nothing twice") {
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

TEST_CASE("A planned stop hands over jobs and workers without ending a run") {
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

// Guards against a state from a record that was read before the job ended.
TEST_CASE("The end of a job is reported while its owner is stalled") {
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
