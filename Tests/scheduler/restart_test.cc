// Workers and minions that start again under the id that they had. They hold
// and know nothing of before.
#include <doctest/doctest.h>

#include <string>
#include <utility>
#include <variant>

#include "scheduler/entry_group.h"
#include "scheduler/failure_checks.h"
#include "scheduler/work_samples.h"

namespace burdockrock {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kWorker[] = "d0-w0";

EntryGroupOptions Fleet(std::uint32_t entries, std::uint32_t workers) {
  return {.entries = {entries}, .workers = workers, .workers_tell_born = true};
}

// Runs a job that fills the workers, restarts one while `away` has passed since
// its death, and requires that each task that it had runs once more.
void CheckRestart(Duration away) {
  EntryGroup group(Fleet(3, 3));
  REQUIRE(Settle(group));
  const std::string job =
      AcceptJob(group, "d0-e0", JobOf(JobKind::kBatch, 24, 30'000));
  group.Run(seconds(5));
  REQUIRE(group.recorder().live() == 24);
  if (away > Duration(0)) {
    group.KillWorker(kWorker);
    group.Run(away);
  }
  group.RestartWorker(kWorker);
  CHECK(RunUntilDone(group, job, seconds(120)));
  CHECK(group.recorder().executions() == 32);
  CHECK(Overcommits(group) == 0);
  CHECK(group.Violations() == "");
}

std::uint64_t RunsOf(EntryGroup& group, const std::string& payload_key) {
  return group.recorder().ExecutionsOf(payload_key);
}

}  // namespace

// Guards against tasks of a process that is gone which are taken for running.
TEST_CASE("Runs the tasks of a restarted worker once more") {
  for (const Duration away : {Duration(0), Duration(milliseconds(300)),
                              Duration(seconds(6)), Duration(seconds(20))}) {
    INFO("away for " << ToMilliseconds(away) << " ms");
    CheckRestart(away);
  }
}

// Guards against an idle worker whose new process nobody claims, or asks with a
// version of the one before.
TEST_CASE("Uses a worker that restarted while it was idle") {
  EntryGroup group(Fleet(1, 1));
  REQUIRE(Settle(group));
  const std::string first =
      AcceptJob(group, "d0-e0", SmallJob(JobKind::kBatch, 4));
  REQUIRE(RunUntilDone(group, first, seconds(10)));
  group.RestartWorker(kWorker);
  const std::string second =
      AcceptJob(group, "d0-e0", SmallJob(JobKind::kBatch, 4));
  CHECK(RunUntilDone(group, second, seconds(10)));
  CHECK(group.recorder().executions() == 8);
}

// Guards against tasks that are lost between a new owner and a new process.
TEST_CASE("Runs the tasks of a worker that restarts while its owner is away") {
  EntryGroup group(Fleet(3, 3));
  REQUIRE(Settle(group));
  const std::string owner = OwnerOf(group, kWorker);
  const std::string writer = owner == "d0-e0" ? "d0-e1" : "d0-e0";
  const std::string job =
      AcceptJob(group, writer, JobOf(JobKind::kBatch, 24, 30'000));
  group.Run(seconds(3));
  REQUIRE(group.recorder().live() == 24);
  bool is_killed = false;
  SUBCASE("killed") {
    group.Kill(owner);
    is_killed = true;
  }
  SUBCASE("paused") {
    group.Pause(owner);
  }
  SUBCASE("cut off from the worker") {
    group.faults(owner).cut_workers.insert(kWorker);
  }
  group.Run(milliseconds(100));
  group.RestartWorker(kWorker);
  group.Run(seconds(40));
  if (!is_killed) {
    group.faults(owner).cut_workers.clear();
    group.Resume(owner);
  }
  CHECK(RunUntilDone(group, job, seconds(200)));
  CHECK(group.recorder().executions() == 32);
  CHECK(group.Violations() == "");
}

// Guards against a start of before that the new process carries out.
TEST_CASE("Lets no command of before take effect at a new process") {
  EntryGroup group(Fleet(1, 1));
  REQUIRE(Settle(group));
  standin::WorkerModel& worker = group.worker(kWorker);
  const std::int64_t born = worker.options().born;
  group.RestartWorker(kWorker);
  const ClaimCommand claim{.epoch = 1, .owner = "late", .born = born};
  REQUIRE(worker.Claim(claim, group.now()));
  CHECK(worker.epoch() == 0);
  group.Run(seconds(10));
  const StartCommand start{.epoch = worker.epoch(),
                           .attempt = {.job = "j", .number = 1},
                           .lease = seconds(5),
                           .born = born};
  const auto result = worker.Start(start, group.now());
  REQUIRE(result);
  CHECK(std::holds_alternative<StaleEpoch>(*result));
  CHECK(worker.live() == 0);
}

// Guards against a task that is started without end as each crash of its
// worker is that of another process.
TEST_CASE("Gives up a task whose workers restart three times under it") {
  EntryGroup group(Fleet(3, 3));
  REQUIRE(Settle(group));
  JobSpec deadly = SmallJob(JobKind::kBatch, 1);
  deadly.payload = "crash_ms=400";
  std::string crashed;
  group.on_crash = [&](const std::string& id) { crashed = id; };
  const std::string job = AcceptJob(group, "d0-e0", deadly);
  CHECK(group.RunUntil(
      [&] {
        if (!crashed.empty()) {
          group.RestartWorker(std::exchange(crashed, ""));
        }
        const auto status = group.StatusOf(job);
        return status && status->state == WorkState::kFailed;
      },
      seconds(120)));
  CHECK(MostRuns(group, job) <= 5);
}

// Guards against a request that runs twice, or occupies its slot for long, when
// the minion restarts under it.
TEST_CASE("Runs a unique request at most once beside a restart") {
  EntryGroup group({.entries = {1},
                    .workers = 0,
                    .minions = 1,
                    .minion_capacity = {.slots = 1},
                    .workers_tell_born = true});
  REQUIRE(Settle(group));
  Request unique = DeskRequest("sleep_ms=3000;answer=permit;key=once");
  unique.idempotent = false;
  unique.key = "once";
  unique.deadline = seconds(30);
  const ReplyId first = group.Submit("d0-e0", unique);
  group.Run(seconds(1));
  REQUIRE(group.recorder().live() == 1);
  group.RestartWorker("d0-m0");
  CHECK(group.RunUntil([&] { return group.AnswerTo(first) != nullptr; },
                       seconds(20)));
  const auto verdict = group.VerdictOf(first);
  CHECK((verdict && std::holds_alternative<MayHaveRun>(*verdict)));
  group.Run(seconds(1));
  const Request next = DeskRequest("answer=next");
  const ReplyId second = group.Submit("d0-e0", next);
  CHECK(group.RunUntil([&] { return group.AnswerTo(second) != nullptr; },
                       seconds(5)));
  CHECK(group.VerdictOf(second) == Verdict(Ran{.answer = "next"}));
  CHECK(RunsOf(group, "once") == 1);
  CHECK(group.Violations() == "");
}

// Guards against a worker that is taken for restarted as it is listed anew.
TEST_CASE("Takes no worker for restarted that is listed anew or late") {
  EntryGroup group(Fleet(3, 3));
  REQUIRE(Settle(group));
  const std::string job =
      AcceptJob(group, "d0-e0", JobOf(JobKind::kBatch, 24, 20'000));
  group.Run(seconds(2));
  group.DropFromList(kWorker);
  group.Run(seconds(3));
  group.ListAgain(kWorker);
  group.Run(seconds(2));
  group.worker(kWorker).faults().paused = true;
  group.Run(seconds(6));
  group.worker(kWorker).faults().paused = false;
  CHECK(RunUntilDone(group, job, seconds(60)));
  CHECK(group.recorder().executions() == 24);
  CHECK(group.Violations() == "");
}

// Guards against a new process that gets no work, as the one before was
// leaving.
TEST_CASE("Uses the new process of a worker that was leaving") {
  EntryGroup group(Fleet(1, 1));
  REQUIRE(Settle(group));
  group.MarkLeaving(kWorker);
  group.Run(seconds(3));
  group.RestartWorker(kWorker);
  const std::string job =
      AcceptJob(group, "d0-e0", SmallJob(JobKind::kBatch, 1));
  CHECK(RunUntilDone(group, job, seconds(20)));
}

}  // namespace burdockrock
