// Accepted jobs while entries die, the platform fails and others compete.
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

// Symptom: tasks that had ended run again after their entry dies.
// Sequence: the tasks end while the platform is down, so that their ends are
// not recorded; then the writer of their journal is killed.
// Cause: the workers forgot ends that were nowhere else.
TEST_CASE("ends that could not be recorded outlive their entry") {
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

// Symptom: a caller that was refused finds its job running, or one that was
// told "accepted" finds nothing.
// Sequence: the platform is slow, and loses answers after the writes while
// jobs are accepted and end.
// Cause: a lost answer is neither a success nor a failure.
TEST_CASE("a slow platform that loses answers loses and doubles nothing") {
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

// Symptom: a job is lost or doubled when two of its writers die in a row.
// Sequence: an entry dies; the one that takes its journal over starts what
// still waits, and dies too.
// Cause: the second adopter doesn't know what the first one started, and
// counts its attempts from the same number.
TEST_CASE("a job outlives its entry and the adopter after it") {
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

// Symptom: two entries go on with the same job.
// Sequence: two members can't hear each other when the third one dies; each
// is the only candidate in its own view and takes the journal over.
// Cause: who adopts is decided by views that differ.
TEST_CASE("two adopters of one journal don't both run its job") {
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

// Symptom: a task runs in two places.
// Sequence: an entry with waiting tasks is cut off from its peers, but neither
// from the workers nor from the platform. They claim its workers and adopt its
// journal; it claims workers back and goes on with what waits in its memory.
// Cause: it has nothing to write, and so does not hear that it was replaced.
TEST_CASE("a writer whose peers can't hear it does not go on beside them") {
  // When workers change hands depends on the seed.
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

// Symptom: a gang that starts as its domain is cut off runs in part, or never.
// Sequence: the domain loses the platform and all other domains between the
// gang's acceptance and its start.
// Cause: a start may depend on nothing outside the domain.
TEST_CASE("a gang starts whole while its domain is cut off") {
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

// Symptom: a gang runs in part, or keeps room that it never uses.
// Sequence: its writer loses the members that hold some of its tasks, between
// the offers and the answers; they meet again half a minute later.
// Cause: held tasks wait for a word that can't come.
TEST_CASE("a gang whose members are cut off during its start is not halved") {
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

// Symptom: cancelled tasks run, or run on, after a wave of cancels.
// Sequence: 4,000 tasks are cancelled, some before they start, some as their
// starts are on their way, some while they run, and an entry drains meanwhile.
// Peer messages overtake each other.
// Cause: a stop that comes before its start stops nothing.
TEST_CASE("a wave of cancels during a drain leaves nothing running") {
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
  // A caller that was not told "cancelled" asks again.
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

// Symptom: two gangs wait for each other for ever, each with half its room.
// Sequence: two gangs that fit alone, and not together, are assembled by two
// entries at the same moment.
// Cause: each holds what the other needs.
TEST_CASE("two gangs that compete both run, each whole") {
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

// Symptom: a task that may run once runs twice.
// Sequence: the writer of a non-idempotent batch is killed in the middle of it
// together with a worker that runs some of its tasks.
// Cause: nobody can tell whether the tasks on the dead worker had run.
TEST_CASE("a batch that may not be repeated runs each task at most once") {
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

// Symptom: urgent work waits behind a flood of batch work.
// Sequence: thousands of batch tasks wait on full workers; an urgent job comes.
// Cause: in order of arrival it is the last.
TEST_CASE("an urgent job passes a flood of batch work") {
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

// Symptom: batch work never runs while urgent work keeps coming.
// Sequence: a flood of urgent tasks waits; a batch job comes after it.
// Cause: strict priority.
TEST_CASE("a batch job is not starved by a flood of urgent work") {
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

// Symptom: a team uses more than its quota.
// Sequence: all entries start its tasks at the same moment.
// Cause: each compares its own use alone with the whole quota.
TEST_CASE("a team stays within its quota over all entries") {
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

// Symptom: tasks run twice after a restart, or the new process accepts what it
// can't keep.
// Sequence: the only entry of a domain dies while the platform is down, and a
// new process starts with empty memory before the platform is back.
// Cause: the new process knows nothing of what runs, nor where to ask.
TEST_CASE("a process that starts while the platform is down doubles nothing") {
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

// Symptom: a caller hears "cancelled" and the job goes on after a crash, or
// one of two callers that cancel hears nothing.
// Sequence: two callers cancel a job; the second asks before the first cancel
// is recorded.
// Cause: the second was answered at once, in place of the first.
TEST_CASE("each of two cancels is answered when the cancel is recorded") {
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
