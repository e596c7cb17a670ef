// Work under which workers and minions crash.
#include <algorithm>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <doctest/doctest.h>

#include "scheduler/entry_group.h"
#include "scheduler/failure_checks.h"
#include "scheduler/work_samples.h"

namespace burdockrock {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Two starts are allowed after the third crash.
constexpr std::uint32_t kMaxStarts = 5;

JobSpec CrashingJob(JobKind kind, std::uint32_t count, int milliseconds) {
  JobSpec spec = SmallJob(kind, count);
  spec.payload = "crash_ms=" + std::to_string(milliseconds);
  return spec;
}

bool RunUntilFailed(EntryGroup& group, const std::string& job, Duration limit) {
  return group.RunUntil(
      [&] {
        const auto status = group.StatusOf(job);
        return status && status->state == WorkState::kFailed;
      },
      limit);
}

// The entry that writes the job's journal; empty when there is none.
std::string WriterOf(EntryGroup& group, const std::string& job) {
  for (const std::string& it : group.entries()) {
    if (group.IsUp(it) && group.state(it).jobs.jobs.contains(job)) {
      return it;
    }
  }
  return "";
}

}  // namespace

// Guards against a task that is started without end because the loss of its
// worker's memory counts nothing against it.
TEST_CASE("Gives up a task under which three workers have crashed") {
  for (const JobKind kind :
       {JobKind::kBatch, JobKind::kService, JobKind::kGang}) {
    for (const int delay : {100, 400, 1500}) {
      INFO("kind " << static_cast<int>(kind) << " after " << delay << " ms");
      EntryGroup group({.entries = {3}, .workers = 12});
      REQUIRE(Settle(group));
      const std::string job =
          AcceptJob(group, "d0-e0",
                    CrashingJob(kind, kind == JobKind::kGang ? 3 : 1, delay));
      CHECK(RunUntilFailed(group, job, seconds(120)));
      CHECK(MostRuns(group, job) <= kMaxStarts);
      CHECK(group.Violations() == "");
      const auto status = group.StatusOf(job);
      REQUIRE(status);
      CHECK(std::count(status->answers.begin(), status->answers.end(),
                       "3 workers crashed under this task") >= 1);
    }
  }
}

// Guards against a count that is lost with the writer of the job's journal,
// which dies at each crash.
TEST_CASE("Crashes under a task outlive the writers of its journal") {
  EntryGroup group({.entries = {3}, .workers = 12});
  REQUIRE(Settle(group));
  const std::string job =
      AcceptJob(group, "d0-e0", CrashingJob(JobKind::kBatch, 1, 400));
  std::string dead;
  bool crashed = false;
  group.on_crash = [&](const std::string&) { crashed = true; };
  group.RunUntil(
      [&] {
        if (std::exchange(crashed, false) && dead.empty()) {
          dead = WriterOf(group, job);
          if (!dead.empty()) {
            group.Kill(dead);
          }
        }
        const auto status = group.StatusOf(job);
        const bool adopted = !dead.empty() && !WriterOf(group, job).empty();
        if (adopted) {
          group.Restart(std::exchange(dead, ""));
        }
        return status && status->state == WorkState::kFailed;
      },
      seconds(600));
  const auto status = group.StatusOf(job);
  REQUIRE(status);
  CHECK(status->state == WorkState::kFailed);
  CHECK(MostRuns(group, job) <= kMaxStarts);
  CHECK(group.Violations() == "");
}

// Guards against work that is given up because it ran on the workers that other
// tasks crashed.
TEST_CASE("Completes work beside crashing tasks") {
  for (const int delay : {100, 400, 1500}) {
    INFO("after " << delay << " ms");
    EntryGroup group({.entries = {3}, .workers = 6});
    REQUIRE(Settle(group));
    std::vector<std::string> good;
    good.reserve(10);
    for (int it = 0; it < 10; ++it) {
      good.push_back(AcceptJob(group, "d0-e" + std::to_string(it % 3),
                               JobOf(JobKind::kBatch, 4, 4000)));
    }
    const std::string bad1 =
        AcceptJob(group, "d0-e0", CrashingJob(JobKind::kBatch, 1, delay));
    const std::string bad2 =
        AcceptJob(group, "d0-e1", CrashingJob(JobKind::kBatch, 1, delay));
    for (const std::string& it : good) {
      CHECK(RunUntilDone(group, it, seconds(120)));
    }
    CHECK(RunUntilFailed(group, bad1, seconds(60)));
    CHECK(RunUntilFailed(group, bad2, seconds(60)));
    CHECK(std::max(MostRuns(group, bad1), MostRuns(group, bad2)) <= kMaxStarts);
    CHECK(group.Violations() == "");
  }
}

// Guards against workers that are only cut off and taken for crashed: their
// leases lapse, but they report that.
TEST_CASE("Does not count a worker that was cut off as crashed") {
  EntryGroup group({.entries = {3}, .workers = 12});
  REQUIRE(Settle(group));
  const std::string job =
      AcceptJob(group, "d0-e0", JobOf(JobKind::kBatch, 1, 25'000));
  for (int round = 0; round < 5; ++round) {
    group.Run(seconds(3));
    for (const std::string& it : WorkersOf(group)) {
      group.worker(it).faults().paused = group.worker(it).live() > 0;
    }
    group.Run(seconds(40));
    for (const std::string& it : WorkersOf(group)) {
      group.worker(it).faults().paused = false;
    }
  }
  CHECK(RunUntilDone(group, job, seconds(120)));
  CHECK(MostRuns(group, job) > kMaxStarts);
  CHECK(group.Violations() == "");
}

// Guards against a worker that nobody claims: it has lost its memory and
// refuses the epoch of its owner, which waits for it.
TEST_CASE("Claims a worker again that has forgotten its owner") {
  EntryGroup group({.entries = {3}, .workers = 2});
  REQUIRE(Settle(group));
  const std::string job =
      AcceptJob(group, "d0-e0", JobOf(JobKind::kBatch, 16, 5000));
  group.Run(seconds(2));
  for (const std::string& it : WorkersOf(group)) {
    group.worker(it).Crash(true, group.now());
  }
  CHECK(RunUntilDone(group, job, seconds(60)));
  CHECK(group.Violations() == "");
}

// Guards against workers that leave, end and start again under the same name,
// and are taken for crashed.
TEST_CASE("Does not count a worker that was leaving as crashed") {
  EntryGroup group({.entries = {3}, .workers = 8});
  REQUIRE(Settle(group));
  const std::string job =
      AcceptJob(group, "d0-e0", JobOf(JobKind::kBatch, 1, 12'000));
  for (int round = 0; round < 5; ++round) {
    group.Run(seconds(4));
    for (const std::string& it : WorkersOf(group)) {
      if (group.worker(it).live() > 0) {
        group.MarkLeaving(it);
        group.Run(seconds(3));
        group.worker(it).Crash(true, group.now());
      }
    }
  }
  CHECK(RunUntilDone(group, job, seconds(120)));
  CHECK(group.Violations() == "");
}

// Guards against a request that crashes its minions and is started again and
// again, here and at the peer that it is forwarded to.
TEST_CASE("Does not start a request more often than its crashes allow") {
  EntryGroup group({.entries = {3},
                    .workers = 0,
                    .minions = 12,
                    .policy = R"({"retries": {"max_attempts": 50}})"});
  REQUIRE(Settle(group));
  Request request = DeskRequest("crash_ms=50");
  request.deadline = seconds(60);
  const ReplyId reply = group.Submit("d0-e0", request);
  CHECK(group.RunUntil([&] { return group.AnswerTo(reply) != nullptr; },
                       seconds(90)));
  CHECK(group.recorder().executions() <= kMaxStarts);
  const auto verdict = group.VerdictOf(reply);
  REQUIRE(verdict);
  CHECK(std::holds_alternative<MayHaveRun>(*verdict));
}

}  // namespace burdockrock
