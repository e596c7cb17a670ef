// Logs and counts of conditions that last: adoptions, claims, stops and
// cancels.
#include "engine/condition_log.h"

#include <algorithm>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "engine/fleet.h"
#include "engine/jobs/open_work.h"
#include "engine/log_repeat_limiter.h"

namespace burdockrock::engine {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::vector<LogLine> LinesOf(const Fleet& fleet, EventNumber number) {
  std::vector<LogLine> lines;
  for (const LogLine& it : fleet.log) {
    if (it.number == number) {
      lines.push_back(it);
    }
  }
  return lines;
}

std::string FieldOf(const LogLine& line, const std::string& key) {
  const auto it = std::find_if(line.fields.begin(), line.fields.end(),
                               [&](const LogField& f) { return f.key == key; });
  return it == line.fields.end() ? "(none)" : it->value;
}

int NumberOf(const LogLine& line, const std::string& key) {
  return std::stoi(FieldOf(line, key));
}

// The instance that owns the worker.
std::string OwnerOf(const Fleet& fleet, const std::string& worker) {
  for (const std::string& it : fleet.nodes()) {
    if (fleet.state(it).owned.contains(worker)) {
      return it;
    }
  }
  return "";
}

// Kills the instance that owns the job and returns its name.
std::string KillOwner(Fleet& fleet, const std::string& job) {
  for (const std::string& it : fleet.nodes()) {
    if (fleet.state(it).jobs.contains(job)) {
      fleet.Kill(it);
      return it;
    }
  }
  return "";
}

// Guards against an adoption that waits without a line in the log. A lasting
// task was missing for 30 s after the loss of its worker: the log had three
// `job_adopted` of its job, but not that the third adoption was still
// incomplete, nor which worker it waited for.
TEST_CASE(
    "Logs which workers an adopted job waits for and when it has recovered") {
  Fleet fleet;
  fleet.Settle();
  PlanAll(fleet, {.endless = true});
  JobSpec spec = OneStep(12);
  spec.steps[0].lasting = true;
  fleet.Submit("n0", "j1", spec);
  fleet.Run(seconds(1));
  // The worker is lost together with its owner, which also owns the job.
  fleet.command_fault = [](const std::string&, const std::string& worker,
                           const WorkerRequest&) {
    return worker == "w0" ? CommandFault::kUnreached : CommandFault::kNone;
  };
  REQUIRE(KillOwner(fleet, "j1") == "n0");
  fleet.Run(seconds(12));
  const auto waiting = LinesOf(fleet, EventNumber::kJobRecovering);
  REQUIRE(waiting.size() >= 3);
  // Pauses of 1, 1, 2 and 4 s, so at most one line per second.
  CHECK(waiting.size() <= 5);
  CHECK(FieldOf(waiting[0], "job") == "j1");
  CHECK(FieldOf(waiting[0], "lists") == "read");
  CHECK(NumberOf(waiting[0], "registered_ms") > 1000);
  CHECK(FieldOf(waiting[0], "unheard") == "1");
  CHECK(NumberOf(waiting[0], "for_ms") >= 1000);
  CHECK(NumberOf(waiting[0], "for_ms") < 2000);
  const std::string workers = FieldOf(waiting[0], "workers");
  CHECK(workers.starts_with("w0-1@n"));
  CHECK(workers.find(':') != std::string::npos);
  const auto claims = LinesOf(fleet, EventNumber::kClaimWaits);
  REQUIRE(!claims.empty());
  CHECK(FieldOf(claims[0], "worker") == "w0-1");
  CHECK(FieldOf(claims[0], "owner") == "n0-1");
  CHECK(NumberOf(claims[0], "for_ms") >= 1000);
  CHECK(NumberOf(claims[0], "left_ms") > 0);

  std::size_t recovering = 0;
  std::size_t unanswered = 0;
  for (const std::string& it : fleet.nodes()) {
    if (fleet.IsUp(it)) {
      const OpenWork open = CountOpenWork(fleet.state(it), fleet.now());
      recovering += open.recoveries.count;
      unanswered += open.claims.count;
      CHECK(
          (open.recoveries.count == 0 || open.recoveries.oldest > seconds(8)));
    }
  }
  CHECK(recovering == 1);
  CHECK(unanswered == 1);

  fleet.command_fault = [](const std::string&, const std::string&,
                           const WorkerRequest&) {
    return CommandFault::kNone;
  };
  fleet.Run(seconds(3));
  const auto recovered = LinesOf(fleet, EventNumber::kJobRecovered);
  REQUIRE(recovered.size() == 1);
  CHECK(FieldOf(recovered[0], "job") == "j1");
  CHECK(NumberOf(recovered[0], "after_ms") > 8000);
  CHECK(NumberOf(recovered[0], "found") + NumberOf(recovered[0], "to_start") ==
        12);
  CheckInvariants(fleet);
}

// Guards against tasks that wait without a logged cause. Tasks of a wide step
// waited for 40 s with most of the workers' room free, and the log did not say
// whether they waited for room, for advice or for reports of other members.
TEST_CASE("Logs the cause of a wait of more than a second") {
  Fleet fleet;
  fleet.Settle();
  PlanAll(fleet, {.endless = true});
  fleet.Submit("n0", "j1", OneStep(6, 8000));
  fleet.Run(seconds(1));
  fleet.Submit("n1", "j2", OneStep(2, 8000));
  fleet.Run(milliseconds(900));
  CHECK(LinesOf(fleet, EventNumber::kTasksWait).empty());
  fleet.Run(seconds(4));
  const auto lines = LinesOf(fleet, EventNumber::kTasksWait);
  REQUIRE(lines.size() == 3);  // after 1 s, 1 s later and 2 s later
  CHECK(FieldOf(lines[0], "step").starts_with("j2.0.0"));
  CHECK(FieldOf(lines[0], "cause") == "room");
  CHECK(NumberOf(lines[0], "tasks") == 2);
  CHECK(NumberOf(lines[0], "room") == 0);
  CHECK(NumberOf(lines[0], "for_ms") >= 1000);
}

// Guards against a wait for a closed worker that is logged as one for room, and
// against a worker that closes and opens without a line.
TEST_CASE("Logs that workers which may run a task are closed, and why") {
  Fleet fleet({.workers = 1});
  fleet.Settle();
  fleet.command_fault = [](const std::string&, const std::string&,
                           const WorkerRequest& request) {
    return std::holds_alternative<StartRun>(request) ? CommandFault::kUnhealthy
                                                     : CommandFault::kNone;
  };
  fleet.Submit("n0", "j1", OneStep(1));
  fleet.Run(seconds(4));
  const auto closed = LinesOf(fleet, EventNumber::kWorkerClosed);
  REQUIRE_FALSE(closed.empty());
  CHECK(FieldOf(closed[0], "worker") == "w0-1");
  CHECK(FieldOf(closed[0], "cause") == "unhealthy");
  const auto waits = LinesOf(fleet, EventNumber::kTasksWait);
  REQUIRE_FALSE(waits.empty());
  CHECK(FieldOf(waits[0], "cause") == "closed");
  CHECK(NumberOf(waits[0], "closed") == 1);
}

// Guards against a wrong cause of a gang's wait. Gangs with room for only some
// of their tasks were logged as waiting for the next round of placement, which
// takes a few ms, for up to 30.6 s (188 of 334 such lines in a day).
TEST_CASE("Logs that a gang that fits only in part waits for room") {
  Fleet fleet;
  fleet.Settle();
  PlanAll(fleet, {.endless = true});
  fleet.Submit("n0", "j1", OneStep(3, 8000));
  fleet.Run(seconds(1));
  JobSpec gang = OneStep(4, 8000);
  gang.steps[0].gang = true;
  fleet.Submit("n1", "j2", gang);
  fleet.Run(seconds(2));
  const auto lines = LinesOf(fleet, EventNumber::kTasksWait);
  REQUIRE_FALSE(lines.empty());
  CHECK(FieldOf(lines[0], "step").starts_with("j2.0.0"));
  CHECK(FieldOf(lines[0], "cause") == "room");
  CHECK(NumberOf(lines[0], "room") == 3);
  CheckInvariants(fleet);
}

// Guards against a gang that is logged as waiting for room while the run of a
// member is believed to be at a worker that does not answer.
TEST_CASE("Logs that a gang waits for the run of another member to end") {
  Fleet fleet;
  fleet.Settle();
  PlanAll(fleet, {.endless = true});
  JobSpec gang = OneStep(2, 8000);
  gang.steps[0].gang = true;
  fleet.Submit("n0", "j1", gang);
  fleet.Run(seconds(2));
  REQUIRE(fleet.seen.size() == 2);
  const auto name_of = [](const std::string& worker) {
    return worker.substr(0, worker.find('-'));
  };
  const std::string lost = name_of(fleet.seen[0].worker);
  fleet.command_fault = [lost](const std::string&, const std::string& worker,
                               const WorkerRequest&) {
    return worker == lost ? CommandFault::kUnreached : CommandFault::kNone;
  };
  const SeenRun other = fleet.seen[1];
  fleet.worker(name_of(other.worker))
      .EndRun(fleet.now(), other.task, RunEnd::kBroken);
  fleet.Run(seconds(4));
  const auto waits = LinesOf(fleet, EventNumber::kTasksWait);
  REQUIRE_FALSE(waits.empty());
  CHECK(FieldOf(waits[0], "cause") == "members");
  fleet.Run(seconds(10));
  CHECK(CountRuns(fleet, "j1") == 4);
  CheckInvariants(fleet);
}

// Guards against a wait of a gang that cannot be traced: no event said that a
// booking had failed or why, and the time waited started over with each one.
TEST_CASE(
    "Logs why a gang gives up its bookings and how long it waits in all") {
  Fleet fleet;
  fleet.Settle();
  PlanAll(fleet, {.endless = true});
  fleet.is_cut = [](const std::string&, const std::string& to) {
    return to == "n1";
  };
  JobSpec gang = OneStep(6, 8000);
  gang.steps[0].gang = true;
  fleet.Submit("n0", "j1", gang);
  fleet.Run(seconds(4));
  const auto given_up = LinesOf(fleet, EventNumber::kGangBackedOff);
  REQUIRE_FALSE(given_up.empty());
  CHECK(FieldOf(given_up[0], "job") == "j1");
  CHECK(FieldOf(given_up[0], "cause") == "unanswered");
  CHECK(FieldOf(given_up[0], "started") == "no");
  CHECK(NumberOf(given_up[0], "booked") < 6);
  CHECK(NumberOf(given_up[0], "ready_ms") >= 500);
  const auto waits = LinesOf(fleet, EventNumber::kTasksWait);
  REQUIRE(waits.size() >= 2);
  CHECK(NumberOf(waits.back(), "for_ms") >= 2000);
  CHECK(fleet.state("n0").condition_log.waiting_steps == 1);
  CHECK(fleet.state("n0").condition_log.longest_wait >= seconds(3));
}

// Guards against a wrong cause of a wait during recovery. A lasting task of an
// adopted job was logged for 2.4 s as waiting for advice and then for
// placement. In fact the report of one worker was missing: a task that is not
// known to have ended is not started, even if there is room.
TEST_CASE("Logs that tasks that may still run wait for the recovery") {
  Fleet fleet;
  fleet.Settle();
  PlanAll(fleet, {.endless = true});
  JobSpec spec = OneStep(12);
  spec.steps[0].lasting = true;
  fleet.Submit("n0", "j1", spec);
  fleet.Run(seconds(1));
  fleet.command_fault = [](const std::string&, const std::string& worker,
                           const WorkerRequest&) {
    return worker == "w0" ? CommandFault::kUnreached : CommandFault::kNone;
  };
  REQUIRE(KillOwner(fleet, "j1") == "n0");
  fleet.Run(seconds(8));
  const auto lines = LinesOf(fleet, EventNumber::kTasksWait);
  REQUIRE_FALSE(lines.empty());
  for (const LogLine& it : lines) {
    CHECK(FieldOf(it, "cause") == "recovery");
  }
  CheckInvariants(fleet);
}

TEST_CASE("Logs an adoption without delay in one line") {
  Fleet fleet;
  fleet.Settle();
  PlanAll(fleet, {.takes = seconds(8)});
  fleet.Submit("n0", "j1", OneStep(12));
  fleet.Run(seconds(1));
  REQUIRE(KillOwner(fleet, "j1") == "n0");
  fleet.Run(seconds(5));
  const auto recovered = LinesOf(fleet, EventNumber::kJobRecovered);
  REQUIRE(recovered.size() == 1);
  CHECK(NumberOf(recovered[0], "after_ms") < 1000);
  CHECK(FieldOf(recovered[0], "found") == "12");
  CHECK(FieldOf(recovered[0], "to_start") == "0");
  CHECK(LinesOf(fleet, EventNumber::kJobRecovering).empty());
}

// Guards against a slow cancel that can't be explained from the log. A task ran
// for 9.4 s after the cancel of its job was acknowledged. The log had
// `job_ended` and, 9.4 s later, `run_ended`, but neither the acknowledgement
// nor the commands in between.
TEST_CASE(
    "Logs the acknowledgement of a cancel and the end of the job's last task") {
  Fleet fleet;
  fleet.Settle();
  PlanAll(fleet, {.endless = true});
  fleet.Submit("n0", "j1", OneStep(12));
  fleet.Run(seconds(1));
  fleet.Cancel("n1", "j1");
  fleet.Run(seconds(2));
  const auto taken = LinesOf(fleet, EventNumber::kCancelAcknowledged);
  REQUIRE(taken.size() == 1);
  CHECK(FieldOf(taken[0], "job") == "j1");
  CHECK(NumberOf(taken[0], "after_ms") < 100);
  CHECK(NumberOf(taken[0], "out") == 12);
  const auto over = LinesOf(fleet, EventNumber::kCancelOver);
  REQUIRE(over.size() == 1);
  CHECK(FieldOf(over[0], "job") == "j1");
  CHECK(NumberOf(over[0], "after_ms") > 0);
  CHECK(NumberOf(over[0], "after_ms") < 1000);
  CHECK(LinesOf(fleet, EventNumber::kCancelLate).empty());
  CHECK(LinesOf(fleet, EventNumber::kStopUnanswered).empty());

  const auto spans = [&](MeasuredSpan span) {
    std::vector<Duration> found;
    for (const RecordSpan& it : fleet.spans) {
      if (it.span == span) {
        found.push_back(it.took);
      }
    }
    return found;
  };
  const auto cancels = spans(MeasuredSpan::kCancel);
  REQUIRE(cancels.size() == 1);
  CHECK(ToMilliseconds(cancels[0]) == NumberOf(over[0], "after_ms"));
  const auto starts = spans(MeasuredSpan::kStart);
  REQUIRE(starts.size() == 12);
  for (const Duration it : starts) {
    CHECK(it > Duration(0));
    CHECK(it < milliseconds(100));
  }
}

TEST_CASE(
    "Logs the run of a cancelled job that does not end, with its worker") {
  Fleet fleet;
  fleet.Settle();
  PlanAll(fleet, {.endless = true});
  fleet.Submit("n0", "j1", OneStep(12));
  fleet.Run(seconds(1));
  const std::string unreachable = fleet.seen.front().worker;  // "w0-1"
  const std::string owner = OwnerOf(fleet, unreachable);
  fleet.command_fault = [&unreachable](const std::string&,
                                       const std::string& worker,
                                       const WorkerRequest& request) {
    return unreachable.starts_with(worker) &&
                   std::holds_alternative<StopRun>(request)
               ? CommandFault::kUnreached
               : CommandFault::kNone;
  };
  fleet.Cancel("n1", "j1");
  fleet.Run(seconds(6));
  const auto unanswered = LinesOf(fleet, EventNumber::kStopUnanswered);
  REQUIRE(unanswered.size() >= 2);
  CHECK(unanswered.size() <= 4);
  CHECK(FieldOf(unanswered[0], "worker") == unreachable);
  CHECK(NumberOf(unanswered[0], "runs") >= 1);
  CHECK(FieldOf(unanswered[0], "task").starts_with("j1.0.0."));
  CHECK(FieldOf(unanswered[0], "run") == "1");
  CHECK(FieldOf(unanswered[0], "silent") == "no");
  CHECK(NumberOf(unanswered[0], "for_ms") >= 1000);
  CHECK(NumberOf(unanswered[1], "for_ms") >= 2000);

  auto late = LinesOf(fleet, EventNumber::kCancelLate);
  REQUIRE(late.size() == 2);  // after 3.4 and 4.4 s
  CHECK(FieldOf(late[0], "job") == "j1");
  CHECK(NumberOf(late[0], "after_ms") >= 3400);
  CHECK(NumberOf(late[0], "out") == NumberOf(unanswered[0], "runs"));
  const std::string runs = FieldOf(late[0], "runs");
  CHECK(runs.starts_with("j1.0.0."));
  CHECK(runs.find("/1@" + unreachable + "@" + owner + "-1") !=
        std::string::npos);
  CHECK(LinesOf(fleet, EventNumber::kCancelOver).empty());

  const OpenWork of_job = CountOpenWork(fleet.state("n0"), fleet.now());
  CHECK(of_job.stops_of_jobs.count == NumberOf(unanswered[0], "runs"));
  CHECK(of_job.stops_of_jobs.oldest > seconds(5));
  const OpenWork at_worker = CountOpenWork(fleet.state(owner), fleet.now());
  CHECK(at_worker.stops_at_workers.count == of_job.stops_of_jobs.count);
  CHECK(at_worker.stops_at_workers.oldest > seconds(5));

  fleet.command_fault = [](const std::string&, const std::string&,
                           const WorkerRequest&) {
    return CommandFault::kNone;
  };
  fleet.Run(seconds(2));
  late = LinesOf(fleet, EventNumber::kCancelLate);
  REQUIRE(late.size() == 3);
  CHECK(FieldOf(late[2], "out") == "0");
  CHECK(FieldOf(late[2], "runs").empty());
  CHECK(NumberOf(late[2], "after_ms") > NumberOf(late[1], "after_ms"));
  CHECK(CountOpenWork(fleet.state("n0"), fleet.now()) == OpenWork());
  CHECK(CountOpenWork(fleet.state(owner), fleet.now()) == OpenWork());
}

// Guards against refusals that are taken for missing replies. An instance that
// the store refused claimed workers of others, was refused there, and logged
// `claim_waits` and `worker_silent` for workers that replied to all others. An
// instance without the store must claim nothing.
TEST_CASE("Does not log a refused claim as an unresponsive worker") {
  Fleet fleet;
  fleet.Settle();
  fleet.store_fault = [](const std::string& node, const StoreRequest&) {
    return node == "n0" ? StoreFault::kRefuse : StoreFault::kNone;
  };
  fleet.Run(seconds(8));
  CHECK(LinesOf(fleet, EventNumber::kClaimWaits).empty());
  CHECK(LinesOf(fleet, EventNumber::kWorkerSilent).empty());
  fleet.store_fault = [](const std::string&, const StoreRequest&) {
    return StoreFault::kNone;
  };
  fleet.Run(seconds(3));
  CHECK(LinesOf(fleet, EventNumber::kClaimWaits).empty());
  CHECK(LinesOf(fleet, EventNumber::kWorkerSilent).empty());
}

// Guards against a line for each attempt. `worker_silent` was logged at each,
// 0.7 s apart: 128 times in a day in which ten workers were lost. These 30 KB
// hid when the workers had become unresponsive.
TEST_CASE(
    "Logs once when a worker becomes unresponsive and once when it replies") {
  Fleet fleet;
  fleet.Settle();
  fleet.command_fault = [](const std::string&, const std::string& worker,
                           const WorkerRequest&) {
    return worker == "w0" ? CommandFault::kUnreached : CommandFault::kNone;
  };
  fleet.Run(seconds(6));
  CHECK(LinesOf(fleet, EventNumber::kWorkerSilent).size() == 1);
  CHECK(LinesOf(fleet, EventNumber::kWorkerBack).empty());
  fleet.command_fault = [](const std::string&, const std::string&,
                           const WorkerRequest&) {
    return CommandFault::kNone;
  };
  fleet.Run(seconds(4));
  const auto back = LinesOf(fleet, EventNumber::kWorkerBack);
  REQUIRE(back.size() == 1);
  CHECK(FieldOf(back[0], "worker") == "w0-1");
  CHECK(NumberOf(back[0], "after_ms") > 4000);
  CHECK(NumberOf(back[0], "after_ms") < 8000);
  CHECK(LinesOf(fleet, EventNumber::kWorkerSilent).size() == 1);
}

TEST_CASE("Logs each end of a run, many in a line") {
  Fleet fleet;
  fleet.Settle();
  fleet.Submit("n0", "j1", OneStep(30));
  fleet.Run(seconds(3));
  const auto lines = LinesOf(fleet, EventNumber::kRunsDone);
  CHECK(lines.size() <= 9);  // three owners of workers, runs in two batches
  for (const LogLine& it : lines) {
    CHECK(FieldOf(it, "runs").starts_with("j1.0.0/500@w"));
  }
  CHECK(!lines.empty());
  CHECK(LinesOf(fleet, EventNumber::kRunEnded).empty());
  const auto ended = LinesOf(fleet, EventNumber::kJobEnded);
  REQUIRE(ended.size() == 1);
  CHECK(FieldOf(ended[0], "state") == "completed");
  CHECK(FieldOf(ended[0], "cause") == "(none)");
}

TEST_CASE("Repeats a line at doubling pauses and limits the lines of a round") {
  LogRepeatLimiter limiter;
  std::vector<int> logged;
  for (int it = 0; it <= 40; ++it) {
    if (limiter.IsDue("a", seconds(100 + it), seconds(100))) {
      logged.push_back(it);
    }
    limiter.EndRound();
  }
  CHECK(logged == std::vector<int>{1, 2, 4, 8, 16, 24, 32, 40});

  std::size_t n = 0;
  for (int it = 0; it < 100; ++it) {
    n += limiter.IsDue(std::to_string(it), seconds(200), seconds(100)) ? 1 : 0;
  }
  CHECK(n == LogRepeatLimiter::kMaxPerRound);
  limiter.EndRound();
  // The conditions that were not logged come next.
  CHECK(limiter.IsDue("99", seconds(200), seconds(100)));
  CHECK_FALSE(limiter.IsDue("0", seconds(200), seconds(100)));
  // A condition that was not checked in a round is over; it starts again.
  limiter.EndRound();
  limiter.EndRound();
  CHECK_FALSE(limiter.IsDue("99", seconds(200), seconds(200)));
}

// Guards against calls for advice whose reason is unknown. The advice service
// was busy all day, for three times as long as one call for each step takes,
// and the log did not say whether the calls were for new steps or for steps
// whose tickets had expired.
TEST_CASE("Counts calls for advice by their reason") {
  Fleet fleet({.workers = 2, .advice = true});
  fleet.Settle();
  PlanAll(fleet, {.takes = seconds(4)});
  fleet.Submit("n0", "j1", OneStep(2, 8000));
  fleet.Run(milliseconds(500));
  REQUIRE(CountRuns(fleet, "j1") == 2);
  // Its tickets expire while the other job occupies all room.
  fleet.Submit("n0", "j2", OneStep(2, 8000));
  fleet.Run(seconds(12));
  REQUIRE(CountEnds(fleet, RunEnd::kDone) == 4);
  const AdviceCounts& counts = fleet.state("n0").totals.advice;
  CHECK(counts[AdviceReason::kFirst].calls == 2);
  CHECK(counts[AdviceReason::kFirst].names == 4);
  CHECK(counts[AdviceReason::kFirst].starts == 2);
  CHECK(counts[AdviceReason::kLapsed].starts == 2);
  CHECK(counts[AdviceReason::kAdopted].calls == 0);
  const auto lines = LinesOf(fleet, EventNumber::kAdviceUsed);
  REQUIRE(!lines.empty());
  CHECK(FieldOf(lines.back(), "first").starts_with("2:4:4:2:"));
}

}  // namespace

}  // namespace burdockrock::engine
