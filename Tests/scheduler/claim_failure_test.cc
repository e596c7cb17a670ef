// Requests that may run once, while entry instances, the platform and minions
// fail and their callers try again.
#include <doctest/doctest.h>

#include <string>
#include <variant>
#include <vector>

#include "scheduler/entry_group.h"
#include "scheduler/work_samples.h"

namespace burdockrock {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kAnswerLimit = seconds(5);

enum class Fault { kPause, kKill, kCutFromPlatform };

void Strike(EntryGroup& group, const std::string& entry, Fault fault) {
  switch (fault) {
    case Fault::kPause:
      group.Pause(entry);
      return;
    case Fault::kKill:
      group.Kill(entry);
      return;
    case Fault::kCutFromPlatform:
      group.faults(entry).cut_from_platform = true;
      return;
  }
}

void Heal(EntryGroup& group, const std::string& entry, Fault fault) {
  switch (fault) {
    case Fault::kPause:
      group.Resume(entry);
      return;
    case Fault::kKill:
      group.Restart(entry);
      return;
    case Fault::kCutFromPlatform:
      group.faults(entry).cut_from_platform = false;
      return;
  }
}

bool RunUntilAnswered(EntryGroup& group, ReplyId reply) {
  return group.RunUntil([&] { return group.AnswerTo(reply) != nullptr; },
                        kAnswerLimit);
}

// The reason of a "not run"; kNone for any other answer or none.
Reason NotRunReason(const EntryGroup& group, ReplyId reply) {
  const auto verdict = group.VerdictOf(reply);
  const auto* not_run = verdict ? std::get_if<NotRun>(&*verdict) : nullptr;
  return not_run == nullptr ? Reason::kNone : not_run->reason;
}

bool MayHaveRunSaid(const EntryGroup& group, ReplyId reply) {
  const auto verdict = group.VerdictOf(reply);
  return verdict && std::holds_alternative<MayHaveRun>(*verdict);
}

}  // namespace

// Symptom: a permit is written twice.
// Sequence: the first entry is paused, killed or cut from the platform at some
// moment between the arrival of a request and its end. Its caller retries with
// the same key at the two others, and at the first one after it is back.
// Cause: only the first entry knows what it has dispatched, and a paused one
// goes on as if no time had passed.
TEST_CASE("a key runs once, whenever its first entry fails") {
  for (const Fault fault :
       {Fault::kPause, Fault::kKill, Fault::kCutFromPlatform}) {
    for (int moment = 0; moment <= 380; moment += 20) {
      CAPTURE(moment);
      CAPTURE(static_cast<int>(fault));
      EntryGroup group({.entries = {3},
                        .workers = 1,
                        .minions = 3,
                        .seed = 100 + static_cast<std::uint64_t>(moment)});
      REQUIRE(Settle(group));
      group.Submit("d0-e0", PermitRequest("p1"));
      group.Run(milliseconds(moment));
      Strike(group, "d0-e0", fault);
      const ReplyId second = group.Submit("d0-e1", PermitRequest("p1"));
      CHECK(RunUntilAnswered(group, second));
      group.Run(seconds(4));
      const ReplyId third = group.Submit("d0-e2", PermitRequest("p1"));
      CHECK(RunUntilAnswered(group, third));
      Heal(group, "d0-e0", fault);
      group.Run(seconds(4));
      const ReplyId last = group.Submit("d0-e0", PermitRequest("p1"));
      CHECK(RunUntilAnswered(group, last));
      group.Run(seconds(2));
      CHECK(group.recorder().ExecutionsOf("p1") <= 1);
      CHECK(group.Violations() == "");
    }
  }
}

// Symptom: a permit is written twice.
// Sequence: impatient callers send the same key to three entries in the same
// moment, and again while the first ones are under way.
// Cause: none of the entries has heard of the others' requests.
TEST_CASE("entries that race for a key dispatch it once") {
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    CAPTURE(seed);
    EntryGroup group(
        {.entries = {2, 1}, .workers = 1, .minions = 2, .seed = seed});
    REQUIRE(Settle(group));
    std::vector<ReplyId> replies;
    for (int round = 0; round < 2; ++round) {
      for (const std::string& it : group.entries()) {
        replies.push_back(group.Submit(it, PermitRequest("p1")));
      }
      group.Run(milliseconds(static_cast<int>(seed)));
    }
    group.Run(seconds(3));
    int ran = 0;
    for (const ReplyId it : replies) {
      const bool has_run =
          group.VerdictOf(it) == Verdict(Ran{.answer = "permit"});
      ran += has_run ? 1 : 0;
      CHECK((has_run || MayHaveRunSaid(group, it)));
    }
    CHECK(ran >= 1);
    CHECK(group.recorder().ExecutionsOf("p1") == 1);
    CHECK(group.Violations() == "");
  }
}

// Symptom: a key that was never dispatched can't be used any more, or runs
// twice.
// Sequence: the platform writes a claim and loses the answer.
// Cause: the entry can't know whether its claim stands before it reads back.
TEST_CASE("a claim whose answer is lost neither doubles nor blocks its key") {
  EntryGroup group({.entries = {2}, .workers = 1, .minions = 2});
  REQUIRE(Settle(group));
  group.Submit("d0-e0", PermitRequest("before"));
  group.Run(seconds(2));
  group.platform().faults().lose_answers = 1;
  const ReplyId first = group.Submit("d0-e0", PermitRequest("p1"));
  REQUIRE(RunUntilAnswered(group, first));
  group.Run(seconds(4));
  const ReplyId retry = group.Submit("d0-e1", PermitRequest("p1"));
  REQUIRE(RunUntilAnswered(group, retry));
  const bool was_refused =
      std::holds_alternative<NotRun>(*group.VerdictOf(first));
  if (was_refused) {
    CHECK(group.VerdictOf(retry) == Verdict(Ran{.answer = "permit"}));
  }
  CHECK(group.recorder().ExecutionsOf("p1") == 1);
  CHECK(group.Violations() == "");
}

// Symptom: a caller whose request was refused can't have it run ever.
// Sequence: the platform writes a claim, loses the answer and goes down; the
// entry refuses the request; the platform is back and the caller retries.
// Cause: the claim stands for work that was never dispatched.
TEST_CASE("a claim that may stand is released when its request is refused") {
  for (const Duration deadline : {seconds(2), seconds(30)}) {
    EntryGroup group({.entries = {2}, .workers = 1, .minions = 2});
    REQUIRE(Settle(group));
    group.Submit("d0-e0", PermitRequest("before"));
    group.Run(seconds(2));
    group.platform().faults().lose_answers = 1;
    Request request = PermitRequest("p1");
    request.deadline = deadline;
    const ReplyId first = group.Submit("d0-e0", request);
    REQUIRE(group.RunUntil(
        [&] { return group.platform().faults().lose_answers == 0; },
        seconds(1)));
    group.platform().faults().down = true;
    REQUIRE(group.RunUntil([&] { return group.AnswerTo(first) != nullptr; },
                           seconds(40)));
    CHECK(NotRunReason(group, first) != Reason::kNone);
    CHECK(group.recorder().ExecutionsOf("p1") == 0);
    group.Run(seconds(10));
    group.platform().faults().down = false;
    group.Run(seconds(15));
    const ReplyId retry = group.Submit("d0-e1", PermitRequest("p1"));
    REQUIRE(RunUntilAnswered(group, retry));
    CHECK(group.VerdictOf(retry) == Verdict(Ran{.answer = "permit"}));
    CHECK(group.recorder().ExecutionsOf("p1") == 1);
    CHECK(group.Violations() == "");
  }
}

// Symptom: a permit is written twice, or its caller hears "not run" though it
// was written.
// Sequence: the minion takes the request and its answer is lost.
// Cause: a lost answer looks the same as a lost command.
TEST_CASE("a minion's lost answer is told as such and nothing is repeated") {
  EntryGroup group({.entries = {2}, .workers = 1, .minions = 2});
  REQUIRE(Settle(group));
  for (const char* it : {"d0-m0", "d0-m1"}) {
    group.worker(it).faults().lose_answers = 1;
  }
  CallId run = 0;
  group.on_effect = [&](const std::string&, const Effect& effect) {
    const auto* call = std::get_if<CallWorker>(&effect);
    if (call != nullptr && std::holds_alternative<RunCommand>(call->command)) {
      run = call->call;
    }
  };
  const ReplyId first = group.Submit("d0-e0", PermitRequest("p1"));
  REQUIRE(
      group.RunUntil([&] { return group.recorder().live() == 1; }, seconds(1)));
  group.Run(milliseconds(400));
  group.Inject("d0-e0", WorkerAnswered{
                            .call = run,
                            .result = WorkerUnreachable{.message = "closed"}});
  REQUIRE(RunUntilAnswered(group, first));
  CHECK(MayHaveRunSaid(group, first));
  const ReplyId retry = group.Submit("d0-e1", PermitRequest("p1"));
  REQUIRE(RunUntilAnswered(group, retry));
  CHECK(MayHaveRunSaid(group, retry));
  group.Run(seconds(3));
  CHECK(group.recorder().ExecutionsOf("p1") == 1);
  CHECK(group.Violations() == "");
}

// Symptom: a permit is written twice.
// Sequence: a request is handed to a peer in another domain since all slots
// here are taken; each peer message arrives twice, the second one late.
// Cause: the late copy comes when the first run has ended and is forgotten.
TEST_CASE("a doubled forward of a key runs it once") {
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    CAPTURE(seed);
    EntryGroup group({.entries = {1, 1},
                      .workers = 1,
                      .minions = 1,
                      .seed = seed,
                      .duplication_probability = 1,
                      .delay_probability = 1});
    REQUIRE(Settle(group));
    group.Run(seconds(2));
    for (int it = 0; it < 8; ++it) {
      group.Submit("d0-e0", DeskRequest("sleep_ms=1500;answer=long"));
    }
    std::vector<ReplyId> replies;
    for (const char* it : {"p1", "p2", "p3"}) {
      Request request = PermitRequest(it);
      request.payload = std::string("sleep_ms=10;answer=permit;key=") + it;
      replies.push_back(group.Submit("d0-e0", request));
    }
    group.Run(seconds(4));
    for (const ReplyId it : replies) {
      CHECK(group.VerdictOf(it) == Verdict(Ran{.answer = "permit"}));
    }
    CHECK(group.state("d0-e0").counters.forwards >= 3);
    CHECK(group.recorder().executions() == 11);
    CHECK(group.Violations() == "");
  }
}

// Symptom: a caller that lost the answer has its request run again.
// Sequence: a request ran; its entry dies with the answer; the caller retries
// at another entry.
// Cause: the answer must be known without the process that gave it.
TEST_CASE("a retry after the end hears the first answer also from a peer") {
  EntryGroup group({.entries = {2}, .workers = 1, .minions = 2});
  REQUIRE(Settle(group));
  const ReplyId first = group.Submit("d0-e0", PermitRequest("p1"));
  REQUIRE(RunUntilAnswered(group, first));
  group.Run(seconds(1));
  group.Kill("d0-e0");
  const ReplyId retry = group.Submit("d0-e1", PermitRequest("p1"));
  REQUIRE(RunUntilAnswered(group, retry));
  CHECK(group.VerdictOf(retry) == Verdict(Ran{.answer = "permit"}));
  CHECK(group.recorder().ExecutionsOf("p1") == 1);
}

// Symptom: with the platform down a request that may run once is run
// unrecorded, waits to its deadline, or is refused also when the platform has
// been back for long.
// Sequence: the platform goes down; requests come; it comes back.
// Cause: a claim can't be recorded, and whether the platform is back shows
// only by asking it.
TEST_CASE("without the platform a key is refused, with it the retry runs") {
  EntryGroup group({.entries = {2}, .workers = 1, .minions = 2});
  REQUIRE(Settle(group));
  group.Submit("d0-e0", PermitRequest("before"));
  group.Run(seconds(2));
  group.platform().faults().down = true;
  group.Run(seconds(1));
  const ReplyId first = group.Submit("d0-e0", PermitRequest("p1"));
  const ReplyId plain = group.Submit("d0-e0", DeskRequest("answer=plain"));
  group.Run(seconds(4));
  CHECK(group.VerdictOf(plain) == Verdict(Ran{.answer = "plain"}));
  const auto verdict = group.VerdictOf(first);
  REQUIRE(verdict);
  const auto* refused = std::get_if<NotRun>(&*verdict);
  REQUIRE(refused != nullptr);
  CHECK(refused->retry_after > Duration(0));
  const ReplyId again = group.Submit("d0-e0", PermitRequest("p1"));
  CHECK(NotRunReason(group, again) == Reason::kPlatformDown);
  CHECK(group.recorder().ExecutionsOf("p1") == 0);
  group.platform().faults().down = false;
  group.Run(seconds(8));
  const ReplyId retry = group.Submit("d0-e0", PermitRequest("p1"));
  REQUIRE(RunUntilAnswered(group, retry));
  CHECK(group.VerdictOf(retry) == Verdict(Ran{.answer = "permit"}));
  CHECK(group.recorder().ExecutionsOf("p1") == 1);
  CHECK(group.Violations() == "");
}

}  // namespace burdockrock
