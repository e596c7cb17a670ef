// Entry instances that die, pause or are cut off while they have work.
#include <doctest/doctest.h>

#include "scheduler/entry_group.h"
#include "scheduler/work_samples.h"

namespace burdockrock {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::string AcceptedJob(EntryGroup& group,
                        const std::string& entry,
                        const JobSpec& spec) {
  const ReplyId reply = group.Submit(entry, spec);
  group.RunUntil([&] { return group.AnswerTo(reply) != nullptr; }, seconds(3));
  REQUIRE(group.VerdictOf(reply) == Verdict(Accepted{}));
  return group.JobIdOf(reply);
}

}  // namespace

// Symptom: an accepted batch is never finished, or parts of it run twice.
// Sequence: an entry accepts a batch, starts tasks on its own and its peers'
// workers, and is killed. Its peers claim its workers and adopt its journal.
// Cause: the dead process alone knew which tasks were out and where.
TEST_CASE("a killed entry's batch is finished by a peer, each task once") {
  EntryGroup group({.entries = {3}, .workers = 6});
  REQUIRE(Settle(group));
  const std::string job =
      AcceptedJob(group, "d0-e0", LongJob(JobKind::kBatch, 60));
  group.Run(seconds(2));
  group.Kill("d0-e0");
  CHECK(RunUntilDone(group, job, seconds(120)));
  CHECK(group.recorder().executions() == 60);
  CHECK(group.Violations() == "");
}

// Symptom: a task runs in two places.
// Sequence: an entry pauses past its peers' patience; they claim its workers,
// adopt its journal and go on with its jobs. It wakes with all its old state
// and acts on it.
// Cause: a paused process can't know that it was replaced.
TEST_CASE("a paused entry that wakes doubles nothing") {
  EntryGroup group({.entries = {3}, .workers = 6});
  REQUIRE(Settle(group));
  const std::string job =
      AcceptedJob(group, "d0-e1", LongJob(JobKind::kBatch, 90));
  group.Run(seconds(1));
  group.Pause("d0-e1");
  group.Run(seconds(6));
  group.Resume("d0-e1");
  CHECK(RunUntilDone(group, job, seconds(120)));
  CHECK(group.Violations() == "");
}

// Symptom: two entries take the same worker from each other without end, or
// both start work on it.
// Sequence: two members of a domain lose sight of each other, while both reach
// the workers, the third member and the platform; later they meet again.
// Cause: each sees the other as dead and itself as the owner of all.
TEST_CASE("members that can't hear each other share the workers safely") {
  EntryGroup group({.entries = {3}, .workers = 6});
  REQUIRE(Settle(group));
  const std::string first =
      AcceptedJob(group, "d0-e0", LongJob(JobKind::kBatch, 30));
  const std::string second =
      AcceptedJob(group, "d0-e1", LongJob(JobKind::kBatch, 30));
  group.CutPeers("d0-e0", "d0-e1", true);
  group.Run(seconds(60));
  const std::size_t claims =
      group.LogLinesOf(EventNumber::kWorkerClaimed).size();
  CHECK(claims < 60);
  group.CutPeers("d0-e0", "d0-e1", false);
  CHECK(RunUntilDone(group, first, seconds(120)));
  CHECK(RunUntilDone(group, second, seconds(120)));
  CHECK(group.Violations() == "");
}

// Symptom: a domain that is cut off stops serving, or its tasks run twice.
// Sequence: a domain loses all other domains and the platform for a minute
// while a batch runs in it and requests go on arriving.
// Cause: nothing in the domain may depend on the outside to go on.
TEST_CASE("a cut-off domain goes on serving what it can") {
  EntryGroup group({.entries = {2, 2}, .workers = 4, .minions = 2});
  REQUIRE(Settle(group));
  const std::string job =
      AcceptedJob(group, "d0-e0", LongJob(JobKind::kBatch, 20));
  group.CutDomain(0, true);
  group.Run(seconds(10));
  const ReplyId request = group.Submit("d0-e1", DeskRequest("answer=here"));
  const ReplyId durable = group.Submit("d0-e1", SmallJob(JobKind::kBatch, 1));
  group.Run(seconds(10));
  CHECK(group.VerdictOf(request) == Verdict(Ran{.answer = "here"}));
  const auto refused = group.VerdictOf(durable);
  REQUIRE(refused);
  CHECK(!std::holds_alternative<Ran>(*refused));
  CHECK(!std::holds_alternative<Accepted>(*refused));
  group.Run(seconds(40));
  group.CutDomain(0, false);
  CHECK(RunUntilDone(group, job, seconds(60)));
  CHECK(group.recorder().executions() == 21);
  CHECK(group.Violations() == "");
}

// Symptom: after a restart with empty memory the instance's old tasks are
// lost or run twice.
// Sequence: the only entry of a domain dies and a new process takes its place.
// Cause: there is no peer to adopt the journal; the new process has to.
TEST_CASE("a replaced entry recovers its own accepted work") {
  EntryGroup group({.entries = {1}, .workers = 3});
  REQUIRE(Settle(group));
  const std::string job =
      AcceptedJob(group, "d0-e0", LongJob(JobKind::kBatch, 30));
  group.Run(seconds(1));
  group.Kill("d0-e0");
  group.Run(seconds(3));
  group.Restart("d0-e0");
  CHECK(RunUntilDone(group, job, seconds(120)));
  CHECK(group.recorder().executions() == 30);
  CHECK(group.Violations() == "");
}

// Symptom: accepted work is lost, or a dead entry's tasks are stopped though
// they could go on.
// Sequence: the platform goes down, then an entry with a running batch dies;
// nobody can adopt its journal until the platform is back a minute later.
// Cause: adoption needs the platform; the tasks themselves don't.
TEST_CASE("an entry that dies while the platform is down loses nothing") {
  EntryGroup group({.entries = {3}, .workers = 6});
  REQUIRE(Settle(group));
  const std::string job =
      AcceptedJob(group, "d0-e2", LongJob(JobKind::kBatch, 40));
  group.Run(seconds(1));
  group.platform().faults().down = true;
  group.Run(seconds(1));
  group.Kill("d0-e2");
  group.Run(seconds(60));
  group.platform().faults().down = false;
  CHECK(RunUntilDone(group, job, seconds(120)));
  CHECK(group.recorder().executions() == 40);
  CHECK(group.Violations() == "");
}

// Symptom: a caller is told "accepted" and the job is gone.
// Sequence: the write that records a job takes effect, its answer is lost, and
// the writer pauses before it can read back; a peer adopts its journal.
// Cause: the writer must not answer by what it believed before the pause.
TEST_CASE("a lost answer while its writer is paused doubles nothing") {
  EntryGroup group({.entries = {3}, .workers = 6});
  REQUIRE(Settle(group));
  AcceptedJob(group, "d0-e0", SmallJob(JobKind::kBatch, 2));
  group.platform().faults().lose_answers = 1;
  const ReplyId reply = group.Submit("d0-e0", LongJob(JobKind::kBatch, 20));
  group.Run(milliseconds(80));
  group.Pause("d0-e0");
  group.Run(seconds(20));
  group.Resume("d0-e0");
  group.Run(seconds(60));
  CHECK(group.AnswerTo(reply) != nullptr);
  CHECK(group.Violations() == "");
  // Either nobody ran it, or all of it ran once.
  const std::uint64_t ran = group.recorder().executions() - 2;
  CHECK((ran == 0 || ran == 20));
}

// Symptom: a planned stop cuts off a request or loses a job.
// Sequence: an entry with running requests and a batch is drained.
// Cause: what it runs and what it owns has to end or change hands first.
TEST_CASE("a planned stop cuts nothing off") {
  EntryGroup group({.entries = {3}, .workers = 6, .minions = 3});
  REQUIRE(Settle(group));
  const std::string job =
      AcceptedJob(group, "d0-e0", LongJob(JobKind::kBatch, 40));
  std::vector<ReplyId> replies;
  replies.reserve(6);
  for (int it = 0; it < 6; ++it) {
    replies.push_back(
        group.Submit("d0-e0", DeskRequest("sleep_ms=1500;answer=whole")));
  }
  group.Run(milliseconds(100));
  group.Drain("d0-e0");
  CHECK(group.RunUntil([&] { return !group.IsUp("d0-e0"); }, seconds(30)));
  for (const ReplyId it : replies) {
    CHECK(group.VerdictOf(it) == Verdict(Ran{.answer = "whole"}));
  }
  CHECK(RunUntilDone(group, job, seconds(120)));
  CHECK(group.recorder().executions() == 46);
  CHECK(group.Violations() == "");
}

// Symptom: a caller that asks for a job's status gets no answer at all.
// Sequence: the entry that writes the job's journal dies; before its peers
// notice, one of them passes a question on to it.
// Cause: the question was kept without an end.
TEST_CASE("a question for a writer that died is answered soon") {
  EntryGroup group({.entries = {2}, .workers = 2});
  REQUIRE(Settle(group));
  const std::string job =
      AcceptedJob(group, "d0-e0", LongJob(JobKind::kBatch, 2));
  group.Run(seconds(1));
  group.Pause("d0-e0");
  const ReplyId status = group.QueryWork("d0-e1", job, false);
  const ReplyId cancel = group.QueryWork("d0-e1", job, true);
  group.Run(seconds(4));
  const auto verdict = group.VerdictOf(status);
  REQUIRE(verdict);
  REQUIRE(std::holds_alternative<NotRun>(*verdict));
  CHECK(std::get<NotRun>(*verdict).retry_after > Duration(0));
  const auto cancelled = group.VerdictOf(cancel);
  REQUIRE(cancelled);
  CHECK(std::holds_alternative<MayHaveRun>(*cancelled));
}

}  // namespace burdockrock
