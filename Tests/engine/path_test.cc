// Tests of jobs of steps from submission to completion, most without faults.
#include <doctest/doctest.h>

#include "engine/fleet.h"

namespace burdockrock::engine {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("A job is stored before it is acknowledged, runs and completes") {
  Fleet fleet;
  fleet.Settle();
  const std::uint64_t call = fleet.Submit("n0", "j1", OneStep(6));
  REQUIRE(
      fleet.RunUntil([&] { return fleet.answers.contains(call); }, seconds(1)));
  CHECK(std::holds_alternative<JobAccepted>(fleet.answers[call]));
  CHECK(fleet.store.Keys("job/j1").size() == 1);
  CHECK(fleet.store.Keys("spec/j1").size() == 1);
  fleet.Run(seconds(2));
  for (const std::string& it : fleet.nodes()) {
    CHECK(fleet.StateOf(it, "j1") == JobState::kCompleted);
  }
  CHECK(CountRuns(fleet, "j1") == 6);
  CHECK(fleet.seen.front().payload == "p");
  CheckInvariants(fleet);
}

TEST_CASE("A step starts only after all tasks it waits for are done") {
  Fleet fleet({.advice = true});
  fleet.Settle();
  fleet.Submit("n1", "j1", Chain(3, 4));
  fleet.Run(seconds(6));
  CHECK(fleet.StateOf("n0", "j1") == JobState::kCompleted);
  std::map<char, Time> last_end;
  std::map<char, Time> first_start;
  for (const SeenRun& it : fleet.seen) {
    const char step = it.task.at(5);  // "j1.0.STEP.INDEX"
    last_end[step] = std::max(last_end[step], it.ended);
    first_start.try_emplace(step, it.began);
  }
  CHECK(first_start['1'] >= last_end['0']);
  CHECK(first_start['2'] >= last_end['1']);
  CheckInvariants(fleet);
}

TEST_CASE("Tasks that don't fit wait, and no worker is overcommitted") {
  Fleet fleet({.workers = 3, .processors_milli = 2000});
  fleet.Settle();
  fleet.Submit("n0", "j1", OneStep(20));
  fleet.Submit("n1", "j2", OneStep(20));
  fleet.Run(seconds(12));
  CHECK(fleet.StateOf("n2", "j1") == JobState::kCompleted);
  CHECK(fleet.StateOf("n2", "j2") == JobState::kCompleted);
  CheckInvariants(fleet);
}

TEST_CASE("A submission repeated at any instance is accepted as the same job") {
  Fleet fleet;
  fleet.Settle();
  const std::uint64_t first = fleet.Submit("n0", "j1", OneStep(2));
  const std::uint64_t same_time = fleet.Submit("n1", "j1", OneStep(2));
  fleet.Run(seconds(3));
  const std::uint64_t later = fleet.Submit("n2", "j1", OneStep(2));
  fleet.Run(seconds(3));
  for (const std::uint64_t it : {first, same_time, later}) {
    CHECK(std::holds_alternative<JobAccepted>(fleet.answers[it]));
  }
  CHECK(CountRuns(fleet, "j1") == 2);
}

TEST_CASE("A failed task is retried until its attempts are used up") {
  Fleet fleet;
  fleet.Settle();
  for (const std::string& it : fleet.worker_names()) {
    fleet.worker(it).plan = [](const std::string&, std::uint64_t) {
      return RunPlan{.takes = milliseconds(100), .how = RunEnd::kFailed};
    };
  }
  fleet.Submit("n0", "j1", OneStep(1));
  fleet.Run(seconds(4));
  CHECK(fleet.StateOf("n1", "j1") == JobState::kFailed);
  CHECK(CountRuns(fleet, "j1") == 3);
}

TEST_CASE("A cancelled job's runs are stopped and none of its tasks starts") {
  Fleet fleet;
  fleet.Settle();
  for (const std::string& it : fleet.worker_names()) {
    fleet.worker(it).plan = [](const std::string&, std::uint64_t) {
      return RunPlan{.endless = true};
    };
  }
  fleet.Submit("n0", "j1", OneStep(4));
  fleet.Run(seconds(1));
  const std::uint64_t call = fleet.Cancel("n2", "j1");
  fleet.Run(seconds(1));
  CHECK(std::holds_alternative<CancelAccepted>(fleet.answers[call]));
  CHECK(fleet.StateOf("n1", "j1") == JobState::kCancelled);
  for (const SeenRun& it : fleet.seen) {
    CHECK(it.how == RunEnd::kStopped);
  }
}

TEST_CASE("All members of a gang start at once, or none") {
  Fleet fleet({.workers = 3, .processors_milli = 2000});
  fleet.Settle();
  fleet.Submit("n1", "busy", OneStep(4));
  fleet.Run(milliseconds(100));
  JobSpec gang = OneStep(5);
  gang.steps.front().gang = true;
  fleet.Submit("n0", "gang", gang);
  fleet.Run(seconds(4));
  CHECK(fleet.StateOf("n0", "gang") == JobState::kCompleted);
  Time first = kForever;
  Time last{0};
  for (const SeenRun& it : fleet.seen) {
    if (it.task.starts_with("gang.")) {
      first = std::min(first, it.began);
      last = std::max(last, it.began);
    }
  }
  CHECK(last - first < milliseconds(20));
  CheckInvariants(fleet);
}

// Guards against a gang that waits for the leases of a worker that was cut off
// together with its owner while members of the gang were being booked there.
// The other bookings expired after 2 s, but the gang of six waited 7.6 s for
// the members at that worker although there was room for ten, and although no
// run begins before its start is commanded.
TEST_CASE("A gang does not wait for a booking that gets no answer") {
  Fleet fleet;
  fleet.Settle();
  PlanAll(fleet, {.endless = true});
  const auto is_off = [](const std::string& name) {
    return std::stoi(name.substr(1)) % 3 == 1;
  };
  fleet.is_cut = [&](const std::string& from, const std::string& to) {
    return is_off(from) != is_off(to);
  };
  fleet.store_fault = [&](const std::string& node, const StoreRequest&) {
    return is_off(node) ? StoreFault::kNoReply : StoreFault::kNone;
  };
  fleet.command_fault = [&](const std::string& node, const std::string& worker,
                            const WorkerRequest&) {
    return is_off(node) != is_off(worker) ? CommandFault::kUnreached
                                          : CommandFault::kNone;
  };
  JobSpec gang = OneStep(4, 8000);
  gang.steps.front().gang = true;
  fleet.Submit("n0", "gang", gang);
  fleet.Run(milliseconds(100));
  const auto& tasks =
      fleet.state("n0").jobs.at("gang").occurrences[0].steps[0].tasks;
  REQUIRE(std::any_of(tasks.begin(), tasks.end(), [&](const Task& it) {
    return it.phase == TaskPhase::kOffered && is_off(it.worker);
  }));
  fleet.Run(milliseconds(2500));
  CHECK(CountRuns(fleet, "gang") == 4);
  fleet.is_cut = [](const std::string&, const std::string&) { return false; };
  fleet.store_fault = [](const std::string&, const StoreRequest&) {
    return StoreFault::kNone;
  };
  fleet.command_fault = [](const std::string&, const std::string&,
                           const WorkerRequest&) {
    return CommandFault::kNone;
  };
  fleet.Run(seconds(8));
  CHECK(CountRuns(fleet, "gang") == 4);
  CheckInvariants(fleet);
}

TEST_CASE("A lasting task is restarted however it ends") {
  Fleet fleet;
  fleet.Settle();
  for (const std::string& it : fleet.worker_names()) {
    fleet.worker(it).plan = [](const std::string&, std::uint64_t run) {
      return RunPlan{.takes = milliseconds(200),
                     .how = RunEnd::kFailed,
                     .endless = run > 6};
    };
  }
  JobSpec spec = OneStep(1);
  spec.steps.front().lasting = true;
  fleet.Submit("n0", "j1", spec);
  fleet.Run(seconds(8));
  CHECK(fleet.StateOf("n0", "j1") == JobState::kRunning);
  CHECK(CountRuns(fleet, "j1") == 7);
  CheckInvariants(fleet);
}

TEST_CASE("Occurrences begin at their times and not before") {
  Fleet fleet;
  fleet.Settle();
  JobSpec spec = OneStep(1);
  spec.repetitions = 3;
  spec.first_due_ms = ToMilliseconds(fleet.now()) + 1000;
  spec.interval_ms = 700;
  fleet.Submit("n0", "j1", spec);
  fleet.Run(seconds(5));
  CHECK(fleet.StateOf("n0", "j1") == JobState::kCompleted);
  REQUIRE(fleet.seen.size() == 3);
  for (std::size_t it = 0; it < 3; ++it) {
    const auto due =
        spec.first_due_ms + static_cast<std::int64_t>(it) * spec.interval_ms;
    CHECK(ToMilliseconds(fleet.seen[it].began) >= due);
    CHECK(ToMilliseconds(fleet.seen[it].began) < due + 200);
  }
}

TEST_CASE("No worker gets more tasks of a step than its spread") {
  Fleet fleet;
  fleet.Settle();
  JobSpec spec = OneStep(12);
  spec.steps.front().spread = 2;
  fleet.Submit("n0", "j1", spec);
  fleet.Run(seconds(3));
  std::map<std::string, int> by_worker;
  for (const SeenRun& it : fleet.seen) {
    ++by_worker[it.worker];
  }
  for (const auto& [worker, n] : by_worker) {
    CHECK(n <= 2);
  }
}

// Guards against urgent work that waits until long work on all workers ends.
TEST_CASE("Urgent work preempts work that checkpoints") {
  Fleet fleet({.workers = 3, .processors_milli = 4000});
  fleet.Settle();
  fleet.AddQueue("batch", 2);
  fleet.Run(seconds(2));
  for (const std::string& it : fleet.worker_names()) {
    fleet.worker(it).plan = [](const std::string& task, std::uint64_t) {
      return RunPlan{.takes = task.starts_with("b") ? seconds(20) : seconds(3)};
    };
  }
  JobSpec batch = OneStep(11);
  batch.steps[0].checkpointing = true;
  fleet.SendRequest("n0", {.query = CallerQuery::kSubmit,
                           .queue = "batch",
                           .job = "b1",
                           .spec = batch});
  fleet.Run(seconds(1));
  REQUIRE(CountRuns(fleet, "b1") >= 9);
  fleet.Submit("n1", "j1", OneStep(9));
  fleet.Run(milliseconds(5500));
  CHECK(fleet.StateOf("n2", "j1") == JobState::kCompleted);
  fleet.Run(seconds(60));
  CHECK(fleet.StateOf("n2", "b1") == JobState::kCompleted);
  CheckInvariants(fleet);
}

// Guards against a service whose users wait for seconds while batch work runs
// on the same worker: the response times of a lasting task rise above its
// target and fall again while filling tasks keep their full pace.
TEST_CASE(
    "Filling tasks slow down for a lasting task above target, then recover") {
  Fleet fleet({.instances = 1, .workers = 1});
  fleet.Settle();
  FakeWorker& worker = fleet.worker("w0");
  worker.plan = [](const std::string& task, std::uint64_t) {
    return RunPlan{.takes = seconds(60), .endless = task.starts_with("s")};
  };
  std::int64_t tail_ms = 50;
  worker.figure = [&tail_ms](const std::string& task) {
    return task.starts_with("s") ? tail_ms : std::int64_t{0};
  };
  JobSpec serves = OneStep(1, 2000);
  serves.steps[0].lasting = true;
  serves.steps[0].tail_target = milliseconds(100);
  JobSpec fills = OneStep(1, 4000);
  fills.steps[0].filling = true;
  fleet.Submit("n0", "s1", serves);
  fleet.Submit("n0", "f1", fills);
  fleet.Run(seconds(5));
  REQUIRE(fleet.seen.size() == 2);
  CHECK_FALSE(worker.paces.contains("f1.0.0.0"));
  tail_ms = 300;
  fleet.Run(seconds(4));
  CHECK(worker.paces["f1.0.0.0"] == 0);
  CHECK_FALSE(worker.paces.contains("s1.0.0.0"));
  tail_ms = 40;
  fleet.Run(seconds(14));
  CHECK(worker.paces["f1.0.0.0"] == 100);
}

TEST_CASE("Work that does not checkpoint is not preempted by urgent work") {
  Fleet fleet({.workers = 3, .processors_milli = 4000});
  fleet.Settle();
  fleet.AddQueue("batch", 2);
  fleet.Run(seconds(2));
  for (const std::string& it : fleet.worker_names()) {
    fleet.worker(it).plan = [](const std::string&, std::uint64_t) {
      return RunPlan{.takes = seconds(3)};
    };
  }
  fleet.SendRequest("n0", {.query = CallerQuery::kSubmit,
                           .queue = "batch",
                           .job = "b1",
                           .spec = OneStep(11)});
  fleet.Run(seconds(1));
  fleet.Submit("n1", "j1", OneStep(6));
  fleet.Run(seconds(20));
  CHECK(fleet.StateOf("n2", "j1") == JobState::kCompleted);
  CHECK(CountRuns(fleet, "b1") == 11);
  CheckInvariants(fleet);
}

TEST_CASE("Every instance knows the number of waiting jobs") {
  Fleet fleet({.workers = 1, .processors_milli = 1000});
  fleet.Settle();
  for (int it = 0; it < 4; ++it) {
    fleet.Submit("n" + std::to_string(it % 3), "j" + std::to_string(it),
                 OneStep(5));
  }
  fleet.Run(milliseconds(1800));
  const std::uint64_t call = fleet.SendRequest(
      "n0", {.query = CallerQuery::kWaiting, .host = "h", .path = "/q/"});
  fleet.Run(milliseconds(100));
  const auto* shown = std::get_if<WaitingCount>(&fleet.answers[call]);
  REQUIRE(shown != nullptr);
  CHECK(shown->jobs >= 1);
  CHECK(shown->jobs <= 3);
}

// Guards against waiting jobs of a member that has left which count for good:
// its last digest arrives after its removal.
TEST_CASE("Waiting jobs of a member that has left don't count") {
  Fleet fleet({.workers = 1, .processors_milli = 1000, .timers = true});
  fleet.Settle();
  const std::string from = fleet.state("n1").options.self.incarnation;
  const std::string queue = fleet.state("n0").configuration.queues.front().name;
  const std::uint64_t last = fleet.state("n0").digest.received_up_to.at(from);
  fleet.Kill("n1");
  fleet.Run(seconds(6));
  REQUIRE_FALSE(fleet.state("n0").members.present.contains(from));
  RoomDigest digest{.sequence = last + 1};
  digest.waiting.push_back({.queue = queue, .jobs = 7});
  fleet.DeliverPeerMessage("n0", "n1", digest);
  const std::uint64_t call = fleet.SendRequest(
      "n0", {.query = CallerQuery::kWaiting, .host = "h", .path = "/q/"});
  fleet.Run(milliseconds(100));
  const auto* shown = std::get_if<WaitingCount>(&fleet.answers[call]);
  REQUIRE(shown != nullptr);
  CHECK(shown->jobs == 0);
}

// Guards against unbounded memory use: instances kept the owner of every job of
// which a task had run on one of their workers and never removed the entry.
// Small instances have 160 MB of memory and run indefinitely.
TEST_CASE("The owner of a job is forgotten long after its last run") {
  Fleet fleet({.workers = 3, .timers = true});
  fleet.Settle();
  JobSpec lasting = OneStep(1);
  lasting.steps[0].lasting = true;
  for (const std::string& it : fleet.worker_names()) {
    fleet.worker(it).plan = [](const std::string& task, std::uint64_t) {
      return RunPlan{.endless = task.starts_with("lasts")};
    };
  }
  fleet.Submit("n0", "lasts", lasting);
  fleet.Submit("n0", "j1", OneStep(12));
  fleet.Run(seconds(5));
  const auto count = [&](const std::string& job) {
    std::size_t n = 0;
    for (const std::string& it : fleet.nodes()) {
      n += fleet.state(it).known.contains(job) ? 1 : 0;
    }
    return n;
  };
  CHECK(count("j1") > 0);
  CHECK(count("lasts") > 0);
  fleet.Run(seconds(620));
  CHECK(count("j1") == 0);
  CHECK(count("lasts") > 0);
}

TEST_CASE("An invalid submission is refused with the path of the wrong field") {
  Fleet fleet;
  fleet.Settle();
  JobSpec spec = Chain(2, 1);
  spec.steps[0].after = {1};
  const std::uint64_t call = fleet.Submit("n0", "j1", spec);
  const auto* bad = std::get_if<BadRequest>(&fleet.answers[call]);
  REQUIRE(bad != nullptr);
  CHECK(bad->fault.path == "steps[0].after[0]");
  const std::uint64_t large = fleet.Submit("n0", "j2", OneStep(1, 99'000));
  CHECK(std::holds_alternative<BadRequest>(fleet.answers[large]));
  const std::uint64_t nowhere = fleet.SendRequest(
      "n0", {.query = CallerQuery::kState, .host = "x", .path = "/q/j"});
  CHECK(std::holds_alternative<NoSuchQueue>(fleet.answers[nowhere]));
}

}  // namespace

}  // namespace burdockrock::engine
