// Non-idempotent requests whose callers retry while entry instances, the
// platform or minions fail.
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

void InjectFault(EntryGroup& group, const std::string& entry, Fault fault) {
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

void ClearFault(EntryGroup& group, const std::string& entry, Fault fault) {
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

// The reason of a "not run" verdict; kNone for any other verdict or none.
Reason NotRunReason(const EntryGroup& group, ReplyId reply) {
  const auto verdict = group.VerdictOf(reply);
  const auto* not_run = verdict ? std::get_if<NotRun>(&*verdict) : nullptr;
  return not_run == nullptr ? Reason::kNone : not_run->reason;
}

bool IsMayHaveRun(const EntryGroup& group, ReplyId reply) {
  const auto verdict = group.VerdictOf(reply);
  return verdict && std::holds_alternative<MayHaveRun>(*verdict);
}

}  // namespace

// Guards against a non-idempotent request that runs twice. The first entry is
// paused, killed or disconnected from the platform at any moment of a request;
// its caller retries with the same key at the other two, and at the first one
// after its recovery. Only the first entry knows what it has dispatched, and
// after a pause it continues as if no time had passed.
TEST_CASE("Runs a key at most once whenever its first entry fails") {
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
      InjectFault(group, "d0-e0", fault);
      const ReplyId second = group.Submit("d0-e1", PermitRequest("p1"));
      CHECK(RunUntilAnswered(group, second));
      group.Run(seconds(4));
      const ReplyId third = group.Submit("d0-e2", PermitRequest("p1"));
      CHECK(RunUntilAnswered(group, third));
      ClearFault(group, "d0-e0", fault);
      group.Run(seconds(4));
      const ReplyId last = group.Submit("d0-e0", PermitRequest("p1"));
      CHECK(RunUntilAnswered(group, last));
      group.Run(seconds(2));
      CHECK(group.recorder().ExecutionsOf("p1") <= 1);
      CHECK(group.Violations() == "");
    }
  }
}

// Guards against a non-idempotent request that runs twice when callers send the
// same key to three entries at the same moment, and again while the first
// requests are in flight. No entry knows of the requests at the others.
TEST_CASE("Dispatches a key once when several entries race for it") {
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
      CHECK((has_run || IsMayHaveRun(group, it)));
    }
    CHECK(ran >= 1);
    CHECK(group.recorder().ExecutionsOf("p1") == 1);
    CHECK(group.Violations() == "");
  }
}

// Guards against a key that runs twice, or that can't be used any more although
// it was never dispatched. The platform writes a claim and its answer is lost:
// the entry doesn't know whether the claim was written until it reads back.
TEST_CASE("Neither repeats nor blocks a key whose claim's answer is lost") {
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

// Guards against a refused request that can never be run. The platform writes a
// claim, its answer is lost and the platform becomes unavailable, so that the
// entry refuses the request. When the platform is available again and the
// caller retries, the claim of work that was never dispatched is still stored.
TEST_CASE("Releases a claim that may be written when its request is refused") {
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

// Guards against a non-idempotent request that runs twice, or whose caller is
// answered "not run" although it ran. The minion runs the request and its
// answer is lost, which can't be distinguished from a lost command.
TEST_CASE("Answers may have run, without a retry, if a run's answer is lost") {
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
  CHECK(IsMayHaveRun(group, first));
  const ReplyId retry = group.Submit("d0-e1", PermitRequest("p1"));
  REQUIRE(RunUntilAnswered(group, retry));
  CHECK(IsMayHaveRun(group, retry));
  group.Run(seconds(3));
  CHECK(group.recorder().ExecutionsOf("p1") == 1);
  CHECK(group.Violations() == "");
}

// Guards against a non-idempotent request that runs twice. It is forwarded to a
// peer in another domain, as all slots here are occupied, and each message
// arrives twice: the late duplicate arrives when the first run has ended and
// its entry was removed.
TEST_CASE("Runs a key once if its forward arrives twice") {
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

// Guards against a second run of a request that has ended. Its entry is killed
// and the caller retries at another one, which must know the answer without the
// process that gave it.
TEST_CASE("Answers a retry at another entry with the first answer") {
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

// Guards against a non-idempotent request that, while the platform is
// unavailable, runs without a recorded claim or waits until its deadline, or
// that is still refused long after the platform has recovered. Claims can't be
// recorded meanwhile, and only a call to the platform shows the recovery.
TEST_CASE("Refuses a key without the platform and runs its retry later") {
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
