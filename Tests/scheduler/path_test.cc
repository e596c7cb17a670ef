// End-to-end runs of each kind of work through several entry instances.
#include <doctest/doctest.h>

#include "scheduler/entry_group.h"
#include "scheduler/work_samples.h"

namespace burdockrock {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

}  // namespace

TEST_CASE("Divides the workers and minions of a domain among its members") {
  EntryGroup group({.entries = {3, 2}, .workers = 7, .minions = 5});
  REQUIRE(group.RunUntil([&] { return group.IsSettled(); }, seconds(10)));
  for (const std::string& it : group.entries()) {
    CHECK(group.state(it).ownership.owned >= 3);
    CHECK(group.state(it).ownership.owned <= 7);
  }
  CHECK(group.Violations() == "");
}

TEST_CASE("Answers a request with its minion's complete answer") {
  EntryGroup group({.entries = {2, 2}, .workers = 1, .minions = 4});
  REQUIRE(group.RunUntil([&] { return group.IsSettled(); }, seconds(10)));
  const ReplyId one = group.Submit("d0-e0", DeskRequest("answer=first"));
  const ReplyId two = group.Submit("d1-e1", DeskRequest("answer=second"));
  group.Run(seconds(1));
  CHECK(group.VerdictOf(one) == Verdict(Ran{.answer = "first"}));
  CHECK(group.VerdictOf(two) == Verdict(Ran{.answer = "second"}));
}

TEST_CASE("Runs a batch larger than one owner's workers on all workers") {
  EntryGroup group({.entries = {3}, .workers = 6});
  REQUIRE(group.RunUntil([&] { return group.IsSettled(); }, seconds(10)));
  const ReplyId reply = group.Submit("d0-e0", SmallJob(JobKind::kBatch, 60));
  group.Run(milliseconds(500));
  REQUIRE(group.VerdictOf(reply) == Verdict(Accepted{}));
  const std::string job = group.JobIdOf(reply);
  const bool ended = group.RunUntil(
      [&] {
        const auto status = group.StatusOf(job);
        return status && status->state == WorkState::kFinished;
      },
      seconds(20));
  CHECK(ended);
  CHECK(group.StatusOf(job)->done == 60);
  CHECK(group.recorder().executions() == 60);
  CHECK(group.Violations() == "");
}

TEST_CASE("Starts a gang across several owners as a whole") {
  EntryGroup group({.entries = {3}, .workers = 6});
  REQUIRE(group.RunUntil([&] { return group.IsSettled(); }, seconds(10)));
  const ReplyId reply = group.Submit("d0-e1", SmallJob(JobKind::kGang, 40));
  const bool ended = group.RunUntil(
      [&] {
        const auto status = group.StatusOf(group.JobIdOf(reply));
        return status && status->state == WorkState::kFinished;
      },
      seconds(20));
  CHECK(ended);
  CHECK(group.LogLinesOf(EventNumber::kGangStarted).size() == 1);
  CHECK(group.recorder().executions() == 40);
  CHECK(group.Violations() == "");
}

TEST_CASE("Keeps a service running until it is cancelled") {
  EntryGroup group({.entries = {2}, .workers = 4});
  REQUIRE(group.RunUntil([&] { return group.IsSettled(); }, seconds(10)));
  JobSpec spec = SmallJob(JobKind::kService, 3);
  spec.payload = "";
  const ReplyId reply = group.Submit("d0-e0", spec);
  group.Run(seconds(40));
  const std::string job = group.JobIdOf(reply);
  REQUIRE(group.StatusOf(job));
  CHECK(group.StatusOf(job)->running == 3);
  const ReplyId cancel = group.QueryWork("d0-e1", job, true);
  group.Run(seconds(2));
  const CallerAnswer* answer = group.AnswerTo(cancel);
  REQUIRE(answer != nullptr);
  REQUIRE(std::holds_alternative<WorkStatus>(*answer));
  CHECK(std::get<WorkStatus>(*answer).state == WorkState::kCancelled);
  group.Run(seconds(6));
  CHECK(group.recorder().live() == 0);
  CHECK(group.Violations() == "");
}

TEST_CASE("Refuses work that fits no worker and names the resource") {
  EntryGroup group({.entries = {1}, .workers = 2});
  REQUIRE(group.RunUntil([&] { return group.IsSettled(); }, seconds(10)));
  JobSpec spec = SmallJob(JobKind::kBatch, 1);
  spec.resources.memory_mb = 1'000'000;
  const ReplyId reply = group.Submit("d0-e0", spec);
  const auto verdict = group.VerdictOf(reply);
  REQUIRE(verdict);
  const auto* refused = std::get_if<NotRun>(&*verdict);
  REQUIRE(refused != nullptr);
  CHECK(refused->reason == Reason::kNeverFits);
  CHECK(refused->detail.find("memory_mb") != std::string::npos);
}

TEST_CASE("Dispatches a key once, whichever entries its caller tries") {
  EntryGroup group({.entries = {2}, .workers = 1, .minions = 2});
  REQUIRE(group.RunUntil([&] { return group.IsSettled(); }, seconds(10)));
  Request request = DeskRequest("answer=permit;key=p1");
  request.idempotent = false;
  request.key = "p1";
  const ReplyId one = group.Submit("d0-e0", request);
  group.Run(seconds(1));
  const ReplyId two = group.Submit("d0-e1", request);
  group.Run(seconds(1));
  CHECK(group.VerdictOf(one) == Verdict(Ran{.answer = "permit"}));
  CHECK(group.VerdictOf(two) == Verdict(Ran{.answer = "permit"}));
  CHECK(group.recorder().ExecutionsOf("p1") == 1);
}

}  // namespace burdockrock
