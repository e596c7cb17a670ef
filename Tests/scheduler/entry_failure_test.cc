// Entry instances that are killed, paused or cut off while they have work.
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

// Guards against an accepted batch that is never finished or partly runs twice.
// An entry accepts a batch, starts tasks on its own workers and its peers', and
// is killed. Its peers claim its workers and adopt its journal; only the killed
// process knew which attempts were outstanding and where.
TEST_CASE("A peer finishes a killed entry's batch and runs each task once") {
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

// Guards against running a task in two places. An entry pauses for longer than
// its peers' timeout; they claim its workers, adopt its journal and continue
// its jobs. It resumes with its old state and acts on it, as a paused process
// can't know that it was replaced.
TEST_CASE("A paused entry that resumes runs nothing twice") {
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

// Guards against two entries that claim the same worker from each other
// endlessly or both start work on it. Two members of a domain are cut off from
// each other, while both reach the workers, the third member and the platform;
// the link is restored later. Each considers the other lost and itself the
// owner of all workers.
TEST_CASE("Members that are cut off from each other share the workers safely") {
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

// Guards against a cut-off domain that stops serving or runs tasks twice. A
// domain loses all other domains and the platform for a minute while a batch
// runs and requests arrive. Nothing in the domain may depend on the outside to
// continue.
TEST_CASE("A cut-off domain keeps serving what it can") {
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

// Guards against tasks that are lost or run twice after a restart with empty
// memory. The only entry of a domain is killed and a new process replaces it.
// Without a peer, the new process has to adopt the journal.
TEST_CASE("A replaced entry recovers its own accepted work") {
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

// Guards against losing accepted work, or stopping a lost entry's tasks that
// could continue. The platform goes down, then an entry with a running batch is
// killed; no member can adopt its journal until the platform is available again
// a minute later. Adoption needs the platform, the running tasks don't.
TEST_CASE("An entry that is killed while the platform is down loses nothing") {
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

// Guards against a job that runs in part or twice, or whose caller gets no
// answer. The write that records a job takes effect, its answer is lost, and
// the writer pauses before it can read back; a peer adopts its journal. The
// state of the writer from before the pause is out of date.
TEST_CASE("Runs all tasks or none if a writer pauses after a lost answer") {
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
  // Either no task of the job ran, or each ran once.
  const std::uint64_t ran = group.recorder().executions() - 2;
  CHECK((ran == 0 || ran == 20));
}

// Guards against a planned stop that interrupts a request or loses a job. An
// entry with running requests and a batch is drained. What it runs has to end,
// and what it owns has to be handed over, before it exits.
TEST_CASE("A planned stop interrupts no request and loses no job") {
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

// Guards against status queries that are never answered. The writer of the
// job's journal stops responding; before its peers notice, one of them forwards
// a query to it. The forwarded query was kept without a deadline.
TEST_CASE("A query for a lost writer is answered soon") {
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
