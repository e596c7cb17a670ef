// Accepted jobs under failures of entries and the platform, and under
// contention.
#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "scheduler/entry_group.h"
#include "scheduler/failure_checks.h"
#include "scheduler/work_samples.h"

namespace burdockrock {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

Resources TakenByAll(EntryGroup& group) {
  Resources taken;
  for (const std::string& it : WorkersOf(group)) {
    taken += group.worker(it).taken();
  }
  return taken;
}

bool IsCancelled(const CallerAnswer& answer) {
  const auto* status = std::get_if<WorkStatus>(&answer);
  return status != nullptr && status->state == WorkState::kCancelled;
}

}  // namespace

// Guards against running ended tasks again. The tasks end while the platform is
// down, so their ends can't be recorded, and then the writer of their journal
// is killed. The workers must keep each end until it is recorded, since it is
// stored nowhere else.
TEST_CASE("Ends that could not be recorded survive the loss of their entry") {
  EntryGroup group({.entries = {3}, .workers = 6});
  REQUIRE(Settle(group));
  const std::string job =
      AcceptJob(group, "d0-e0", JobOf(JobKind::kBatch, 30, 3'000));
  group.Run(seconds(1));
  group.platform().faults().down = true;
  group.Run(seconds(6));
  REQUIRE(group.recorder().live() == 0);
  group.Kill("d0-e0");
  group.Run(seconds(5));
  group.platform().faults().down = false;
  CHECK(RunUntilDone(group, job, seconds(120)));
  CHECK(group.recorder().executions() == 30);
  CHECK(group.Violations() == "");
}

// Guards against running a job whose caller was refused, and against losing one
// whose caller got "accepted". The platform is slow and loses answers after the
// writes while jobs are accepted and end. A lost answer means neither success
// nor failure.
TEST_CASE("No job is lost or run twice if a slow platform loses answers") {
  EntryGroup group(
      {.entries = {3}, .workers = 6, .platform_delay = milliseconds(600)});
  REQUIRE(Settle(group));
  std::vector<ReplyId> replies;
  for (int it = 0; it < 12; ++it) {
    group.platform().faults().lose_answers += 2;
    replies.push_back(group.Submit("d0-e" + std::to_string(it % 3),
                                   SmallJob(JobKind::kBatch, 10)));
    group.Run(milliseconds(700));
  }
  group.Run(seconds(60));
  std::uint64_t accepted = 0;
  for (const ReplyId it : replies) {
    const auto verdict = group.VerdictOf(it);
    REQUIRE(verdict);
    CHECK(!std::holds_alternative<Ran>(*verdict));
    if (*verdict == Verdict(Accepted{})) {
      ++accepted;
      const std::string job = group.JobIdOf(it);
      CHECK(RunUntilDone(group, job, seconds(60)));
      CHECK(MostRuns(group, job) == 1);
    }
  }
  CHECK(accepted > 0);
  CHECK(group.recorder().executions() == 10 * accepted);
  CHECK(group.Violations() == "");
}

// Guards against losing a job, or running its tasks twice, when two of its
// writers are killed in a row. The first adopter of the journal starts queued
// tasks and is killed too. The second adopter doesn't know which attempts the
// first one started, and must not reuse their attempt numbers.
TEST_CASE("A job survives the loss of its entry and then of its adopter") {
  EntryGroup group({.entries = {4}, .workers = 6});
  REQUIRE(Settle(group));
  const std::string job =
      AcceptJob(group, "d0-e0", LongJob(JobKind::kBatch, 120));
  group.Run(seconds(2));
  group.Kill("d0-e0");
  REQUIRE(group.RunUntil([&] { return WriterOfJob(group, job) != ""; },
                         seconds(30)));
  group.Run(seconds(12));
  group.Kill(WriterOfJob(group, job));
  CHECK(RunUntilDone(group, job, seconds(200)));
  CHECK(group.recorder().executions() == 120);
  CHECK(Overcommits(group) == 0);
  CHECK(group.Violations() == "");
}

// Guards against two entries running the same job. Two members are cut off from
// each other when the third one is killed; the views from which the adopter is
// chosen differ, so each sees itself as the only candidate and adopts the
// journal.
TEST_CASE("Two adopters of one journal don't both run its job") {
  EntryGroup group({.entries = {3}, .workers = 6});
  REQUIRE(Settle(group));
  const std::string job =
      AcceptJob(group, "d0-e0", LongJob(JobKind::kBatch, 120));
  group.Run(seconds(2));
  group.CutPeers("d0-e1", "d0-e2", true);
  group.Run(seconds(4));
  group.Kill("d0-e0");
  group.Run(seconds(30));
  CHECK(group.LogLinesOf(EventNumber::kLogAdopted).size() == 1);
  CHECK(group.LogLinesOf(EventNumber::kLogFenced).size() == 1);
  group.CutPeers("d0-e1", "d0-e2", false);
  CHECK(RunUntilDone(group, job, seconds(300)));
  CHECK(Overcommits(group) == 0);
  CHECK(group.Violations() == "");
}

// Guards against running a task in two places. An entry with queued tasks is
// cut off from its peers, but not from the workers or the platform. The peers
// claim its workers and adopt its journal; it claims workers back and would
// start the tasks queued in its memory. As it has nothing to append, no fenced
// append shows it that it was replaced.
TEST_CASE("A writer that is cut off from its peers runs no task twice") {
  // The seed decides when workers change owners.
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    CAPTURE(seed);
    EntryGroup group({.entries = {3}, .workers = 6, .seed = seed});
    REQUIRE(Settle(group));
    const std::string first =
        AcceptJob(group, "d0-e1", JobOf(JobKind::kBatch, 48, 25'000));
    group.Run(seconds(1));
    JobSpec spec = JobOf(JobKind::kBatch, 6, 40'000);
    spec.resources.processors_milli = 8'000;
    const std::string job = AcceptJob(group, "d0-e0", spec);
    group.CutPeers("d0-e0", "d0-e1", true);
    group.CutPeers("d0-e0", "d0-e2", true);
    group.Run(seconds(60));
    group.CutPeers("d0-e0", "d0-e1", false);
    group.CutPeers("d0-e0", "d0-e2", false);
    CHECK(RunUntilDone(group, first, seconds(600)));
    CHECK(RunUntilDone(group, job, seconds(600)));
    CHECK(Overcommits(group) == 0);
    CHECK(group.Violations() == "");
  }
}

// Guards against gangs that run in part or never. Between the acceptance and
// the start of a gang, the domain loses the platform and all other domains. A
// start must not depend on anything outside the domain.
TEST_CASE("A gang starts as a whole while its domain is cut off") {
  EntryGroup group({.entries = {2, 2}, .workers = 4});
  REQUIRE(Settle(group));
  const std::string job =
      AcceptJob(group, "d0-e0", LongJob(JobKind::kGang, 30));
  REQUIRE(group.recorder().executions() == 0);
  group.CutDomain(0, true);
  group.Run(seconds(30));
  CHECK(group.LogLinesOf(EventNumber::kGangStarted).size() == 1);
  CHECK(group.recorder().executions() == 30);
  group.CutDomain(0, false);
  CHECK(RunUntilDone(group, job, seconds(60)));
  CHECK(group.recorder().executions() == 30);
  CHECK(group.Violations() == "");
}

// Guards against a gang that runs in part or keeps room that it never uses.
// Between the offers and the replies, the writer is cut off from the members
// that hold some of the tasks; the links are restored 20 s later. Held tasks
// would wait for a message that can't arrive.
TEST_CASE("A gang whose members are cut off as it starts does not run partly") {
  EntryGroup group({.entries = {3}, .workers = 6});
  REQUIRE(Settle(group));
  const std::string job =
      AcceptJob(group, "d0-e0", LongJob(JobKind::kGang, 40));
  group.CutPeers("d0-e0", "d0-e1", true);
  group.CutPeers("d0-e0", "d0-e2", true);
  group.Run(seconds(20));
  CHECK(group.recorder().executions() == 0);
  group.CutPeers("d0-e0", "d0-e1", false);
  group.CutPeers("d0-e0", "d0-e2", false);
  CHECK(RunUntilDone(group, job, seconds(120)));
  CHECK(group.recorder().executions() == 40);
  CHECK(group.Violations() == "");
}

// Guards against cancelled tasks that start or keep running. 4,000 tasks are
// cancelled, some before they start, some while their start is in transit and
// some while they run; an entry drains meanwhile and peer messages are
// reordered. A stop that arrives before its start stops nothing.
TEST_CASE("Many cancels during a drain leave nothing running") {
  EntryGroup group({.entries = {3}, .workers = 6, .delay_probability = 0.3});
  REQUIRE(Settle(group));
  std::vector<std::string> jobs;
  jobs.push_back(AcceptJob(group, "d0-e0", LongJob(JobKind::kBatch, 30)));
  group.Run(seconds(2));
  constexpr std::size_t kWave = 40;
  std::vector<ReplyId> replies;
  replies.reserve(kWave);
  for (std::size_t it = 0; it < kWave; ++it) {
    replies.push_back(group.Submit("d0-e" + std::to_string(it % 3),
                                   LongJob(JobKind::kBatch, 100)));
  }
  group.RunUntil(
      [&] {
        return std::all_of(replies.begin(), replies.end(), [&](ReplyId it) {
          return group.AnswerTo(it) != nullptr;
        });
      },
      seconds(5));
  for (const ReplyId it : replies) {
    REQUIRE(group.VerdictOf(it) == Verdict(Accepted{}));
    jobs.push_back(group.JobIdOf(it));
  }
  std::map<std::string, ReplyId> cancels;
  for (const std::string& it : jobs) {
    cancels[it] = group.QueryWork("d0-e0", it, true);
    if (cancels.size() == jobs.size() / 2) {
      group.Drain("d0-e2");
    }
    group.Run(milliseconds(5));
  }
  // A caller whose cancel was not confirmed repeats it.
  for (int round = 0; round < 15 && !cancels.empty(); ++round) {
    group.Run(seconds(2));
    std::erase_if(cancels, [&](const auto& it) {
      const CallerAnswer* answer = group.AnswerTo(it.second);
      return answer != nullptr && IsCancelled(*answer);
    });
    for (auto& [job, reply] : cancels) {
      reply = group.QueryWork("d0-e0", job, true);
    }
  }
  CHECK(cancels.empty());
  group.Run(seconds(2));
  CHECK(group.recorder().live() == 0);
  const std::uint64_t ran = group.recorder().executions();
  group.Run(seconds(60));
  CHECK(group.recorder().executions() == ran);
  for (const std::string& it : jobs) {
    const auto status = group.StatusOf(it);
    REQUIRE(status);
    CHECK(status->state == WorkState::kCancelled);
    CHECK(status->queued + status->starting + status->running == 0);
  }
  CHECK(Overcommits(group) == 0);
  CHECK(group.Violations() == "");
}

// Guards against a deadlock of two gangs that each hold half of the room they
// need. Two entries assemble at the same moment two gangs that fit one at a
// time but not together.
TEST_CASE("Two competing gangs both run, each as a whole") {
  EntryGroup group({.entries = {2}, .workers = 6});
  REQUIRE(Settle(group));
  const ReplyId one = group.Submit("d0-e0", JobOf(JobKind::kGang, 40, 2'000));
  const ReplyId two = group.Submit("d0-e1", JobOf(JobKind::kGang, 40, 2'000));
  group.Run(seconds(1));
  REQUIRE(group.VerdictOf(one) == Verdict(Accepted{}));
  REQUIRE(group.VerdictOf(two) == Verdict(Accepted{}));
  CHECK(RunUntilDone(group, group.JobIdOf(one), seconds(60)));
  CHECK(RunUntilDone(group, group.JobIdOf(two), seconds(60)));
  CHECK(group.LogLinesOf(EventNumber::kGangStarted).size() == 2);
  CHECK(group.recorder().executions() == 80);
  CHECK(Overcommits(group) == 0);
  CHECK(group.Violations() == "");
}

// Guards against running a non-idempotent task twice. The writer of the batch
// is killed while the batch runs, together with a worker that has some of its
// tasks. Nothing can tell whether the tasks on the lost worker ran.
TEST_CASE("A non-idempotent batch runs each task at most once") {
  EntryGroup group({.entries = {3}, .workers = 6});
  REQUIRE(Settle(group));
  JobSpec spec = LongJob(JobKind::kBatch, 80);
  spec.idempotent = false;
  spec.key = "once";
  const std::string job = AcceptJob(group, "d0-e0", spec);
  group.Run(seconds(3));
  REQUIRE(group.recorder().live() > 40);
  group.Kill("d0-e0");
  group.KillWorker("d0-w1");
  CHECK(RunUntilEnded(group, job, seconds(200)));
  const auto status = group.StatusOf(job);
  REQUIRE(status);
  CHECK(status->may_have_run >= 1);
  CHECK(status->done + status->may_have_run == 80);
  CHECK(MostRuns(group, job) == 1);
  CHECK(group.Violations() == "");
}

// Guards against urgent work that waits behind batch work. Thousands of batch
// tasks are queued for full workers when an urgent job arrives, which is last
// in order of arrival.
TEST_CASE("An urgent job starts before a large backlog of batch tasks") {
  EntryGroup group({.entries = {3}, .workers = 6});
  REQUIRE(Settle(group));
  for (int it = 0; it < 3; ++it) {
    JobSpec flood = SmallJob(JobKind::kBatch, 2'000);
    flood.urgency = Urgency::kBatch;
    AcceptJob(group, "d0-e" + std::to_string(it), flood);
  }
  group.Run(seconds(2));
  JobSpec urgent = SmallJob(JobKind::kBatch, 10);
  urgent.urgency = Urgency::kUrgent;
  const std::string job = AcceptJob(group, "d0-e1", urgent);
  CHECK(RunUntilDone(group, job, seconds(3)));
  CHECK(Overcommits(group) == 0);
  CHECK(group.Violations() == "");
}

// Guards against batch work that never runs while urgent work keeps arriving,
// as under strict priority. A batch job arrives after a large number of urgent
// tasks.
TEST_CASE("A batch job is not starved by a large backlog of urgent tasks") {
  EntryGroup group({.entries = {1}, .workers = 2});
  REQUIRE(Settle(group));
  JobSpec flood = SmallJob(JobKind::kBatch, 4'000);
  flood.urgency = Urgency::kUrgent;
  const std::string urgent = AcceptJob(group, "d0-e0", flood);
  JobSpec spec = SmallJob(JobKind::kBatch, 20);
  spec.urgency = Urgency::kBatch;
  const std::string job = AcceptJob(group, "d0-e0", spec);
  CHECK(RunUntilDone(group, job, seconds(10)));
  CHECK(group.StatusOf(urgent)->queued > 2'000);
  CHECK(group.Violations() == "");
}

// Guards against a team that exceeds its quota. All entries start the team's
// tasks at the same moment; each one would compare only its own usage with the
// whole quota.
TEST_CASE("A team stays within its quota over all entries") {
  EntryGroup group(
      {.entries = {3}, .workers = 6, .policy = R"({"teams": {"other": {"quota":
                        {"processors_milli": 12000}}}})"});
  REQUIRE(Settle(group));
  std::vector<std::string> jobs;
  for (int it = 0; it < 3; ++it) {
    JobSpec spec = SmallJob(JobKind::kBatch, 40);
    spec.team = "other";
    jobs.push_back(AcceptJob(group, "d0-e" + std::to_string(it), spec));
  }
  std::int64_t most = 0;
  for (const std::string& it : jobs) {
    CHECK(group.RunUntil(
        [&] {
          most = std::max(most, TakenByAll(group).processors_milli);
          const auto status = group.StatusOf(it);
          return status && status->state == WorkState::kFinished;
        },
        seconds(120)));
  }
  CHECK(most <= 12'000);
  CHECK(most >= 9'000);
  CHECK(group.Violations() == "");
}

// Guards against tasks that run twice after a restart, and against a new
// process that accepts jobs which it can't store. The only entry of a domain is
// killed while the platform is down, and a new process starts with empty memory
// before the platform is available again. It knows neither what runs nor any
// member to query.
TEST_CASE("A process started while the platform is down runs nothing twice") {
  EntryGroup group({.entries = {1}, .workers = 3});
  REQUIRE(Settle(group));
  const std::string job =
      AcceptJob(group, "d0-e0", JobOf(JobKind::kBatch, 30, 20'000));
  group.Run(seconds(1));
  group.platform().faults().down = true;
  group.Run(seconds(1));
  group.Kill("d0-e0");
  group.Run(seconds(1));
  group.Restart("d0-e0");
  const ReplyId refused = group.Submit("d0-e0", SmallJob(JobKind::kBatch, 1));
  group.Run(seconds(8));
  REQUIRE(group.VerdictOf(refused));
  CHECK(std::holds_alternative<NotRun>(*group.VerdictOf(refused)));
  group.platform().faults().down = false;
  CHECK(RunUntilDone(group, job, seconds(200)));
  CHECK(group.StatusOf(job)->done == 30);
  CHECK(Overcommits(group) == 0);
  CHECK(group.Violations() == "");
}

// Guards against confirming a cancel that is lost in a crash, and against
// leaving one of two callers without an answer. The second of two callers
// cancels a job before the cancel of the first is recorded. The second was
// answered at once, in place of the first.
TEST_CASE("Each of two cancels is answered when the cancel is recorded") {
  EntryGroup group({.entries = {1},
                    .workers = 2,
                    .platform_delay = std::chrono::milliseconds(200)});
  REQUIRE(Settle(group));
  const std::string job =
      AcceptJob(group, "d0-e0", LongJob(JobKind::kBatch, 2));
  const ReplyId first = group.QueryWork("d0-e0", job, true);
  group.Run(std::chrono::milliseconds(20));
  const ReplyId second = group.QueryWork("d0-e0", job, true);
  CHECK(group.AnswerTo(first) == nullptr);
  CHECK(group.AnswerTo(second) == nullptr);
  group.Run(seconds(2));
  for (const ReplyId it : {first, second}) {
    const CallerAnswer* answer = group.AnswerTo(it);
    REQUIRE(answer != nullptr);
    REQUIRE(std::holds_alternative<WorkStatus>(*answer));
    CHECK(std::get<WorkStatus>(*answer).state == WorkState::kCancelled);
  }
}

}  // namespace burdockrock
