// What callers of interactive requests are told while minions and peers fail
// and slots are short.
#include <doctest/doctest.h>

#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "scheduler/asked_requests.h"
#include "scheduler/entry_group.h"
#include "scheduler/work_samples.h"

namespace burdockrock {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

}  // namespace

// Symptom: a request is run twice, or its caller gets another one's answer.
// Sequence: a minion's machine is gone; the runs that were sent to it are
// refused and go to another minion. Later the refusals arrive once more, and
// answers come for calls that nobody made.
// Cause: the late refusal looks like one of the newer run.
TEST_CASE("a doubled or unknown answer of a minion changes nothing") {
  EntryGroup group({.entries = {1}, .workers = 1, .minions = 2});
  REQUIRE(Settle(group));
  std::map<CallId, std::string> calls;
  group.on_effect = [&](const std::string&, const Effect& effect) {
    const auto* call = std::get_if<CallWorker>(&effect);
    if (call != nullptr && std::holds_alternative<RunCommand>(call->command)) {
      calls.emplace(call->call, call->worker);
    }
  };
  group.KillWorker("d0-m0");
  Asked asked(group);
  asked.SubmitMany("d0-e0", "a", 6, 500);
  group.Run(milliseconds(100));
  const std::map<CallId, std::string> first = calls;
  REQUIRE(first.size() > 6);
  for (int round = 0; round < 2; ++round) {
    for (const auto& [call, worker] : first) {
      if (worker == "d0-m0") {
        group.Inject("d0-e0",
                     WorkerAnswered{.call = call,
                                    .result = WorkerUnreachable{
                                        .may_have_been_received = false,
                                        .message = "refused"}});
      }
    }
    group.Inject("d0-e0", WorkerAnswered{.call = 1'000'000,
                                         .result = RunEnded{.answer = "b"}});
  }
  group.Run(seconds(1));
  for (const auto& [call, worker] : first) {
    group.Inject("d0-e0", WorkerAnswered{.call = call,
                                         .result = RunEnded{.answer = "b"}});
  }
  group.Run(seconds(2));
  CHECK(asked.Check().empty());
  CHECK(calls.size() == first.size());
}

// Symptom: a request runs twice, or its caller is answered twice.
// Sequence: an entry hands requests to a peer that has just become full; the
// peer's refusals arrive twice, the second one when the request already runs.
// Cause: the second refusal looks like one of the later try.
TEST_CASE("a doubled refusal of a peer changes nothing") {
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
    Asked asked(group);
    asked.SubmitMany("d1-e0", "full", kSlots, 600);
    asked.SubmitMany("d0-e0", "own", kSlots, 100);
    asked.SubmitMany("d0-e0", "more", 4, 300);
    group.Run(seconds(4));
    CHECK(asked.Check().empty());
    CHECK(group.state("d0-e0").counters.forwards_refused > 0);
  }
}

// Symptom: a caller is answered twice, or late by another one's answer.
// Sequence: a request is still running at its deadline; its answer comes later.
// Cause: its caller has been told already.
TEST_CASE("a deadline is kept though the run goes on") {
  EntryGroup group({.entries = {1, 1}, .workers = 1, .minions = 1});
  REQUIRE(Settle(group));
  group.Run(seconds(2));
  std::vector<ReplyId> replies;
  Asked asked(group);
  for (int it = 0; it < 2 * kSlots; ++it) {
    const std::string key = NameOf("a", it);
    Request request = KeyedRequest(key, 1500);
    request.deadline = milliseconds(400);
    replies.push_back(asked.Submit("d0-e0", key, request));
  }
  const Time asked_at = group.now();
  CHECK(group.state("d0-e0").counters.forwards > 0);
  group.Run(milliseconds(400));
  for (const ReplyId it : replies) {
    const auto verdict = group.VerdictOf(it);
    REQUIRE(verdict);
    CHECK(std::holds_alternative<MayHaveRun>(*verdict));
    CHECK(*group.AnsweredAt(it) <= asked_at + milliseconds(400));
  }
  group.Run(seconds(2));
  asked.Submit("d0-e0", "b", 10);
  group.Run(seconds(1));
  CHECK(asked.Check().empty());
  CHECK(group.state("d0-e0").requests.entries.empty());
}

// Symptom: "not run" is said of a request that ran.
// Sequence: the minions' machines are gone but still listed; a newer owner's
// epoch stands at another minion; a peer that was to help is gone.
// Cause: each of these looks like a failed run, and may or may not be one.
TEST_CASE("not run is true when minions and peers can't be reached") {
  EntryGroup group({.entries = {1, 1}, .workers = 1, .minions = 3});
  REQUIRE(Settle(group));
  group.Run(seconds(2));
  Asked asked(group);
  asked.SubmitMany("d0-e0", "own", 2 * kSlots, 300);
  group.KillWorker("d0-m0");
  group.worker("d0-m1").Claim(
      {.epoch = group.worker("d0-m1").epoch() + 5, .owner = "other"},
      group.now());
  group.Kill("d1-e0");
  asked.SubmitMany("d0-e0", "more", 3 * kSlots, 300);
  group.KillWorker("d0-m1");
  group.KillWorker("d0-m2");
  asked.SubmitMany("d0-e0", "late", kSlots, 300);
  group.Run(seconds(4));
  int count = 0;
  for (const auto& [reason, times] : asked.Check()) {
    count += times;
  }
  CHECK(count > 0);
}

// Symptom: "not run" is said of a request that ran.
// Sequence: a minion runs a request that may be repeated and its answer is
// lost. When that shows, no slot is left to repeat it in: the minion leaves.
// Cause: the refusal of the second try says nothing of the first.
TEST_CASE("a refused repetition does not hide the first try") {
  for (const bool is_forwarded : {false, true}) {
    CAPTURE(is_forwarded);
    EntryGroup group({.entries = {1, 1}, .workers = 1, .minions = 1});
    REQUIRE(Settle(group));
    group.Run(seconds(2));
    Asked asked(group);
    const std::string at = is_forwarded ? "d1-m0" : "d0-m0";
    if (is_forwarded) {
      asked.SubmitMany("d0-e0", "own", kSlots, 2500);
    }
    std::pair<std::string, CallId> run;
    group.on_effect = [&](const std::string& entry, const Effect& effect) {
      const auto* call = std::get_if<CallWorker>(&effect);
      if (call != nullptr && call->worker == at &&
          std::holds_alternative<RunCommand>(call->command)) {
        run = {entry, call->call};
      }
    };
    group.worker(at).faults().lose_answers = 1;
    Request request = KeyedRequest("lost", 10);
    request.deadline = seconds(20);
    const ReplyId reply = asked.Submit("d0-e0", "lost", request);
    group.Run(milliseconds(200));
    REQUIRE(group.recorder().ExecutionsOf("lost") == 1);
    group.MarkLeaving("d0-m0");
    group.MarkLeaving("d1-m0");
    group.Run(group.options().list_lag + seconds(1));
    group.Inject(
        run.first,
        WorkerAnswered{.call = run.second,
                       .result = WorkerUnreachable{.message = "closed"}});
    group.Run(seconds(30));
    const auto verdict = group.VerdictOf(reply);
    REQUIRE(verdict);
    CHECK(std::holds_alternative<MayHaveRun>(*verdict));
    asked.Check();
  }
}

// Symptom: callers wait to their deadline for a slot that can't come.
// Sequence: requests wait when the only minion's machine is taken away.
// Cause: what waits is looked at only when a slot comes free.
TEST_CASE("requests that wait hear when the last minion is gone") {
  EntryGroup group({.entries = {1}, .workers = 1, .minions = 1});
  REQUIRE(Settle(group));
  Asked asked(group);
  asked.SubmitMany("d0-e0", "own", kSlots, 30000);
  std::vector<ReplyId> waiting;
  for (int it = 0; it < 4; ++it) {
    const std::string key = NameOf("waiting", it);
    Request request = KeyedRequest(key, 10);
    request.deadline = seconds(20);
    waiting.push_back(asked.Submit("d0-e0", key, request));
  }
  group.MarkLeaving("d0-m0");
  group.Run(group.options().list_lag + seconds(1));
  for (const ReplyId it : waiting) {
    const auto verdict = group.VerdictOf(it);
    REQUIRE(verdict);
    const auto* refused = std::get_if<NotRun>(&*verdict);
    REQUIRE(refused != nullptr);
    CHECK(refused->reason == Reason::kNotReady);
    CHECK(refused->retry_after > Duration(0));
  }
  group.Run(seconds(40));
  asked.Check();
}

// Symptom: "not run" is said of a request that is run later, or a request is
// left without an answer.
// Sequence: requests wait for a slot; some reach their deadline, some are
// cancelled, then the entry is stopped.
// Cause: the queue still names them.
TEST_CASE("not run is true of requests that end in the queue") {
  for (const bool is_stopped : {false, true}) {
    CAPTURE(is_stopped);
    EntryGroup group({.entries = {1}, .workers = 1, .minions = 1});
    REQUIRE(Settle(group));
    Asked asked(group);
    asked.SubmitMany("d0-e0", "own", kSlots, 1200);
    for (int it = 0; it < 4; ++it) {
      const std::string key = NameOf("short", it);
      Request request = KeyedRequest(key, 10);
      request.deadline = milliseconds(500);
      asked.Submit("d0-e0", key, request);
      const std::string other = NameOf("cancelled", it);
      Request cancelled = KeyedRequest(other, 10);
      cancelled.id = other;
      asked.Submit("d0-e0", other, cancelled);
    }
    group.Run(milliseconds(200));
    for (int it = 0; it < 4; ++it) {
      group.QueryWork("d0-e0", NameOf("cancelled", it), true);
    }
    group.Run(milliseconds(400));
    asked.SubmitMany("d0-e0", "last", 4, 10);
    if (is_stopped) {
      group.Drain("d0-e0");
    }
    group.Run(seconds(3));
    std::map<Reason, int> expected = {{Reason::kDeadline, 4},
                                      {Reason::kCancelled, 4}};
    if (is_stopped) {
      expected[Reason::kDraining] = 4;
    }
    CHECK(asked.Check() == expected);
  }
}

// Symptom: under overload callers wait to their deadline for a refusal that was
// known when they asked, and the minions idle or run what nobody waits for.
// Sequence: four times as many requests arrive as the minion can run.
// Cause: a queue that is longer than the deadline serves nobody.
TEST_CASE("under overload the refused hear at once and capacity is used") {
  EntryGroup group({.entries = {1}, .workers = 1, .minions = 1});
  REQUIRE(Settle(group));
  // 8 slots of 20 ms are 400 requests a second; 1600 come for 3 seconds.
  constexpr int kRequests = 4800;
  constexpr Duration kGap = std::chrono::microseconds(625);
  std::vector<std::pair<ReplyId, Time>> asked;
  for (int it = 0; it < kRequests; ++it) {
    Request request = DeskRequest("sleep_ms=20;answer=x");
    request.deadline = milliseconds(300);
    asked.emplace_back(group.Submit("d0-e0", request), group.now());
    group.Run(kGap);
  }
  group.Run(seconds(1));
  int ran = 0;
  int late = 0;
  for (const auto& [reply, at] : asked) {
    const auto verdict = group.VerdictOf(reply);
    REQUIRE(verdict);
    if (const auto* refused = std::get_if<NotRun>(&*verdict)) {
      late += *group.AnsweredAt(reply) == at ? 0 : 1;
      CHECK(refused->retry_after > Duration(0));
    } else {
      ran += std::holds_alternative<Ran>(*verdict) ? 1 : 0;
    }
  }
  CHECK(late == 0);
  CHECK(ran >= 1140);  // 95% of 1200
}

// Symptom: urgent requests wait behind the rest, or the rest never runs.
// Sequence: a queue of both, urgent ones last to come and more of them coming.
// Cause: the order of arrival, or of urgency alone.
TEST_CASE("urgent requests go first and don't starve the rest") {
  EntryGroup group({.entries = {1}, .workers = 1, .minions = 1});
  REQUIRE(Settle(group));
  std::vector<ReplyId> batch;
  std::vector<ReplyId> urgent;
  for (int it = 0; it < 200; ++it) {
    Request request = DeskRequest("sleep_ms=20;answer=x");
    request.urgency = it < 100 ? Urgency::kBatch : Urgency::kUrgent;
    (it < 100 ? batch : urgent).push_back(group.Submit("d0-e0", request));
  }
  const auto count = [&](const std::vector<ReplyId>& replies) {
    std::size_t sum = 0;
    for (const ReplyId it : replies) {
      sum += group.AnswerTo(it) != nullptr ? 1 : 0;
    }
    return sum;
  };
  REQUIRE(group.RunUntil([&] { return count(urgent) == 100; }, seconds(5)));
  // The first 8 found free slots; of the further 100 picks one in ten.
  CHECK(count(batch) >= 8 + 9);
  CHECK(count(batch) <= 8 + 20);
  group.Run(seconds(2));
  CHECK(count(batch) == 100);
}

}  // namespace burdockrock
