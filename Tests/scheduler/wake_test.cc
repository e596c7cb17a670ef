// Work that waits beside room, as nothing tells it that the room is free again.
#include <doctest/doctest.h>

#include <string>
#include <variant>

#include "scheduler/context.h"
#include "scheduler/dump.h"
#include "scheduler/entry_group.h"
#include "scheduler/failure_checks.h"
#include "scheduler/work_samples.h"

namespace burdockrock {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kEntry[] = "d0-e0";

WorkerRecord& RecordOf(EntryGroup& group, const std::string& worker) {
  return group.state(kEntry).ownership.workers.at(worker);
}

// Quarantines the worker or makes its next attempt a probe.
void SetHealth(EntryGroup& group,
               const std::string& worker,
               bool quarantined,
               bool probing) {
  WorkerRecord& record = RecordOf(group, worker);
  record.health.quarantined = quarantined;
  record.health.probing = probing;
  Effects effects;
  Context context(group.state(kEntry), group.now(), effects);
  UpdateOpen(context, record);
}

bool RunsToEnd(EntryGroup& group, const JobSpec& spec) {
  const std::string job = AcceptJob(group, kEntry, spec);
  return RunUntilDone(group, job, seconds(60));
}

std::uint32_t RunningOf(EntryGroup& group, const std::string& job) {
  const auto status = group.StatusOf(job);
  return status ? status->running : 0;
}

}  // namespace

// Guards against a worker that stays closed after the task that probed it was
// cancelled.
TEST_CASE("Opens a worker whose probe was stopped") {
  EntryGroup group({.entries = {1}, .workers = 1});
  REQUIRE(Settle(group));
  SetHealth(group, "d0-w0", false, true);
  const std::string probe =
      AcceptJob(group, kEntry, JobOf(JobKind::kBatch, 1, 60'000));
  group.Run(seconds(1));
  REQUIRE(RunningOf(group, probe) == 1);
  group.QueryWork(kEntry, probe, true);
  CHECK(RunsToEnd(group, SmallJob(JobKind::kBatch, 1)));
}

// Guards against a worker that stays closed after a probe that says nothing of
// it, as the probe's job fails everywhere.
TEST_CASE("Opens a worker whose probe was of a bad job") {
  EntryGroup group({.entries = {1}, .workers = 1});
  REQUIRE(Settle(group));
  SetHealth(group, "d0-w0", false, true);
  JobSpec bad = SmallJob(JobKind::kBatch, 1);
  bad.payload = "sleep_ms=2000;fail=1";
  const std::string probe = AcceptJob(group, kEntry, bad);
  group.state(kEntry).jobs.jobs.at(probe).bad = true;
  CHECK(RunUntilEnded(group, probe, seconds(30)));
  CHECK(RunsToEnd(group, SmallJob(JobKind::kBatch, 1)));
}

// Guards against a worker that stays closed after a failed probe, as too many
// others are in quarantine to put it back there.
TEST_CASE("Opens a worker that failed its probe beyond the cap") {
  EntryGroup group({.entries = {1}, .workers = 2});
  REQUIRE(Settle(group));
  SetHealth(group, "d0-w0", true, false);
  SetHealth(group, "d0-w1", false, true);
  JobSpec failing = SmallJob(JobKind::kBatch, 1);
  failing.payload = "sleep_ms=50;fail=1";
  const std::string probe = AcceptJob(group, kEntry, failing);
  CHECK(RunUntilEnded(group, probe, seconds(120)));
  CHECK(!group.LogLinesOf(EventNumber::kQuarantineCapReached).empty());
  CHECK(RunsToEnd(group, SmallJob(JobKind::kBatch, 1)));
}

// Guards against a worker that was missing from a list for a moment, and is
// neither opened nor kept alive after that.
TEST_CASE("Uses a worker again that is listed again") {
  EntryGroup group({.entries = {1}, .workers = 1});
  REQUIRE(Settle(group));
  const std::string before =
      AcceptJob(group, kEntry, JobOf(JobKind::kBatch, 4, 30'000));
  group.Run(seconds(1));
  group.DropFromList("d0-w0");
  group.Run(seconds(4));
  REQUIRE(RecordOf(group, "d0-w0").removed);
  group.ListAgain("d0-w0");
  group.Run(seconds(2));
  CHECK(RunsToEnd(group, SmallJob(JobKind::kBatch, 1)));
  CHECK(RunUntilDone(group, before, seconds(120)));
  CHECK(group.recorder().executions() == 5);
  CHECK(group.Violations() == "");
}

// Guards against a task that is taken for started for ever: neither its start
// nor the claim after it arrived, and nothing asks again.
TEST_CASE("Repeats the claim that settles a start") {
  EntryGroup group({.entries = {1}, .workers = 1});
  REQUIRE(Settle(group));
  group.worker("d0-w0").faults().paused = true;
  const std::string job =
      AcceptJob(group, kEntry, SmallJob(JobKind::kBatch, 1));
  group.Run(milliseconds(4200));
  group.worker("d0-w0").faults().paused = false;
  CHECK(RunUntilDone(group, job, seconds(60)));
  CHECK(group.recorder().executions() == 1);
}

// Guards against a worker that is owned and never asked again: it forgot its
// owner, and the claim after that was lost.
TEST_CASE("Repeats the claim of a worker that has forgotten its owner") {
  EntryGroup group({.entries = {1}, .workers = 1});
  REQUIRE(Settle(group));
  const std::string job =
      AcceptJob(group, kEntry, JobOf(JobKind::kBatch, 1, 5'000));
  group.Run(seconds(1));
  bool claimed = false;
  group.on_effect = [&](const std::string&, const Effect& effect) {
    const auto* call = std::get_if<CallWorker>(&effect);
    claimed = claimed || (call != nullptr &&
                          std::holds_alternative<ClaimCommand>(call->command));
  };
  group.worker("d0-w0").Crash(true, group.now());
  REQUIRE(group.RunUntil([&] { return claimed; }, seconds(20)));
  group.worker("d0-w0").faults().paused = true;
  group.Run(seconds(3));
  group.worker("d0-w0").faults().paused = false;
  CHECK(RunUntilDone(group, job, seconds(60)));
}

// Guards against a task that waits for an empty worker for longer than that is
// worth, and against others that wait with it beside room.
TEST_CASE("Ends the wait of a task that crashed two workers") {
  EntryGroup group({.entries = {1}, .workers = 3});
  REQUIRE(Settle(group));
  JobSpec deadly = SmallJob(JobKind::kBatch, 1);
  deadly.payload = "crash_ms=400";
  const std::string job = AcceptJob(group, kEntry, deadly);
  REQUIRE(group.RunUntil(
      [&] {
        return group.state(kEntry).jobs.jobs.at(job).tasks[0].crashes == 2;
      },
      seconds(60)));
  JobSpec service = SmallJob(JobKind::kService, 12);
  service.payload = "";
  service.urgency = Urgency::kUrgent;
  AcceptJob(group, kEntry, service);
  group.Run(seconds(5));
  REQUIRE(group.recorder().live() == 12);
  const std::string beside =
      AcceptJob(group, kEntry, SmallJob(JobKind::kBatch, 1));
  CHECK(RunUntilDone(group, beside, seconds(3)));
  CHECK(group.RunUntil(
      [&] {
        const auto status = group.StatusOf(job);
        return status && status->state == WorkState::kFailed;
      },
      seconds(40)));
}

// Guards against a request that waits beside a free minion until its deadline.
TEST_CASE("Runs a waiting request when its minion answers again") {
  EntryGroup group({.entries = {1},
                    .workers = 0,
                    .minions = 1,
                    .minion_capacity = {.slots = 1}});
  REQUIRE(Settle(group));
  Request request = DeskRequest("sleep_ms=3000;answer=first");
  request.deadline = seconds(60);
  const ReplyId first = group.Submit(kEntry, request);
  request.payload = "answer=second";
  const ReplyId second = group.Submit(kEntry, request);
  group.Run(seconds(1));
  group.worker("d0-m0").faults().paused = true;
  REQUIRE(group.RunUntil([&] { return RecordOf(group, "d0-m0").suspect; },
                         seconds(10)));
  group.worker("d0-m0").faults().paused = false;
  REQUIRE(group.RunUntil([&] { return group.AnswerTo(first) != nullptr; },
                         seconds(20)));
  CHECK(group.RunUntil([&] { return group.AnswerTo(second) != nullptr; },
                       seconds(5)));
  CHECK(group.VerdictOf(second) == Verdict(Ran{.answer = "second"}));
}

// Guards against a wait whose cause on-call can't see.
TEST_CASE("Dumps why a task waits and why a worker is closed") {
  EntryGroup group({.entries = {1}, .workers = 1});
  REQUIRE(Settle(group));
  const auto dump = [&] { return DumpState(group.state(kEntry), group.now()); };
  AcceptJob(group, kEntry, JobOf(JobKind::kBatch, 8, 600'000));
  const std::string job =
      AcceptJob(group, kEntry, SmallJob(JobKind::kBatch, 1));
  group.Run(seconds(1));
  CHECK(dump()["jobs"][job]["waits_for"] == "room");
  CHECK(dump()["workers"]["d0-w0"]["closed"] == "");
  SetHealth(group, "d0-w0", true, false);
  CHECK(dump()["workers"]["d0-w0"]["closed"] == "quarantined");
}

// Guards against tasks that wait for their team's quota, which was raised.
TEST_CASE("Starts waiting tasks when the quota is raised") {
  EntryGroup group(
      {.entries = {1},
       .workers = 1,
       .policy =
           R"({"teams": {"default": {"quota": {"processors_milli": 1000}}}})"});
  REQUIRE(Settle(group));
  const std::string job =
      AcceptJob(group, kEntry, JobOf(JobKind::kBatch, 2, 600'000));
  group.Run(seconds(2));
  REQUIRE(RunningOf(group, job) == 1);
  group.PutConfig(kEntry, group.state(kEntry).config.view.revision,
                  EntryGroup::PolicyDocumentText("{}", "second"));
  CHECK(
      group.RunUntil([&] { return RunningOf(group, job) == 2; }, seconds(20)));
}

// Guards against tasks that wait for a share of their team's quota that was of
// an entry of another domain, which is gone.
TEST_CASE("Starts waiting tasks when another entry's share is free") {
  EntryGroup group(
      {.entries = {1, 1},
       .workers = 1,
       .policy =
           R"({"teams": {"default": {"quota": {"processors_milli": 2000}}}})"});
  REQUIRE(Settle(group));
  const std::string job =
      AcceptJob(group, kEntry, JobOf(JobKind::kBatch, 2, 600'000));
  group.Run(seconds(2));
  REQUIRE(RunningOf(group, job) == 1);
  group.Kill("d1-e0");
  CHECK(
      group.RunUntil([&] { return RunningOf(group, job) == 2; }, seconds(30)));
}

}  // namespace burdockrock
