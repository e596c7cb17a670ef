// The answers to interactive requests while minions and peers fail and slots
// are scarce.
#include <doctest/doctest.h>

#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "scheduler/entry_group.h"
#include "scheduler/submitted_requests.h"
#include "scheduler/work_samples.h"

namespace burdockrock {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

}  // namespace

// Guards against a request that runs twice or gets the answer of another one.
// A minion's machine is lost; the runs sent to it are refused and go to another
// minion. Later the refusals arrive again, as if they were of the newer runs,
// and so do answers to unknown calls.
TEST_CASE("Ignores duplicate and unknown answers of minions") {
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
  SubmittedRequests requests(group);
  requests.SubmitMany("d0-e0", "a", 6, 500);
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
  CHECK(requests.Check().empty());
  CHECK(calls.size() == first.size());
}

// Guards against a request that runs twice or is answered twice. An entry
// forwards requests to a peer without free slots, and each refusal arrives
// twice: the second one, which arrives when the request is already running,
// looks like a refusal of the later attempt.
TEST_CASE("Ignores a peer's duplicate refusal") {
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
    SubmittedRequests requests(group);
    requests.SubmitMany("d1-e0", "full", kSlots, 600);
    requests.SubmitMany("d0-e0", "own", kSlots, 100);
    requests.SubmitMany("d0-e0", "more", 4, 300);
    group.Run(seconds(4));
    CHECK(requests.Check().empty());
    CHECK(group.state("d0-e0").counters.forwards_refused > 0);
  }
}

// Guards against a caller that is answered late, twice, or with the answer of
// another request. A request is still running at its deadline, when its caller
// is answered; the answer of the run arrives later.
TEST_CASE("Answers at the deadline although the run continues") {
  EntryGroup group({.entries = {1, 1}, .workers = 1, .minions = 1});
  REQUIRE(Settle(group));
  group.Run(seconds(2));
  std::vector<ReplyId> replies;
  SubmittedRequests requests(group);
  for (int it = 0; it < 2 * kSlots; ++it) {
    const std::string key = NameOf("a", it);
    Request request = KeyedRequest(key, 1500);
    request.deadline = milliseconds(400);
    replies.push_back(requests.Submit("d0-e0", key, request));
  }
  const Time submitted_at = group.now();
  CHECK(group.state("d0-e0").counters.forwards > 0);
  group.Run(milliseconds(400));
  for (const ReplyId it : replies) {
    const auto verdict = group.VerdictOf(it);
    REQUIRE(verdict);
    CHECK(std::holds_alternative<MayHaveRun>(*verdict));
    CHECK(*group.AnsweredAt(it) <= submitted_at + milliseconds(400));
  }
  group.Run(seconds(2));
  requests.Submit("d0-e0", "b", 10);
  group.Run(seconds(1));
  CHECK(requests.Check().empty());
  CHECK(group.state("d0-e0").requests.entries.empty());
}

// Guards against "not run" for a request that ran. Machines of minions are lost
// but still listed, another minion has accepted the higher epoch of a newer
// owner, and a peer is lost: in each case the run may or may not have started.
TEST_CASE("Never answers not run for a request that ran if servers are lost") {
  EntryGroup group({.entries = {1, 1}, .workers = 1, .minions = 3});
  REQUIRE(Settle(group));
  group.Run(seconds(2));
  SubmittedRequests requests(group);
  requests.SubmitMany("d0-e0", "own", 2 * kSlots, 300);
  group.KillWorker("d0-m0");
  group.worker("d0-m1").Claim(
      {.epoch = group.worker("d0-m1").epoch() + 5, .owner = "other"},
      group.now());
  group.Kill("d1-e0");
  requests.SubmitMany("d0-e0", "more", 3 * kSlots, 300);
  group.KillWorker("d0-m1");
  group.KillWorker("d0-m2");
  requests.SubmitMany("d0-e0", "late", kSlots, 300);
  group.Run(seconds(4));
  int count = 0;
  for (const auto& [reason, times] : requests.Check()) {
    count += times;
  }
  CHECK(count > 0);
}

// Guards against "not run" for a request that ran. A minion runs an idempotent
// request and its answer is lost; no slot is left for a retry, as the minion is
// leaving. The refusal of the retry doesn't apply to the first attempt.
TEST_CASE("Answers may have run if a retry is refused after a lost answer") {
  for (const bool is_forwarded : {false, true}) {
    CAPTURE(is_forwarded);
    EntryGroup group({.entries = {1, 1}, .workers = 1, .minions = 1});
    REQUIRE(Settle(group));
    group.Run(seconds(2));
    SubmittedRequests requests(group);
    const std::string at = is_forwarded ? "d1-m0" : "d0-m0";
    if (is_forwarded) {
      requests.SubmitMany("d0-e0", "own", kSlots, 2500);
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
    const ReplyId reply = requests.Submit("d0-e0", "lost", request);
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
    requests.Check();
  }
}

// Guards against callers that wait until their deadline for a slot that can't
// be released. The only minion is leaving while requests are queued, so that no
// released slot causes the queue to be checked.
TEST_CASE("Refuses queued requests when the last minion is leaving") {
  EntryGroup group({.entries = {1}, .workers = 1, .minions = 1});
  REQUIRE(Settle(group));
  SubmittedRequests requests(group);
  requests.SubmitMany("d0-e0", "own", kSlots, 30000);
  std::vector<ReplyId> waiting;
  for (int it = 0; it < 4; ++it) {
    const std::string key = NameOf("waiting", it);
    Request request = KeyedRequest(key, 10);
    request.deadline = seconds(20);
    waiting.push_back(requests.Submit("d0-e0", key, request));
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
  requests.Check();
}

// Guards against "not run" for a request that is run later, and against a
// request that is never answered. Queued requests reach their deadline or are
// cancelled, then the entry is drained, while the queue may still contain them.
TEST_CASE("Never answers not run for a queued request that runs later") {
  for (const bool is_stopped : {false, true}) {
    CAPTURE(is_stopped);
    EntryGroup group({.entries = {1}, .workers = 1, .minions = 1});
    REQUIRE(Settle(group));
    SubmittedRequests requests(group);
    requests.SubmitMany("d0-e0", "own", kSlots, 1200);
    for (int it = 0; it < 4; ++it) {
      const std::string key = NameOf("short", it);
      Request request = KeyedRequest(key, 10);
      request.deadline = milliseconds(500);
      requests.Submit("d0-e0", key, request);
      const std::string other = NameOf("cancelled", it);
      Request cancelled = KeyedRequest(other, 10);
      cancelled.id = other;
      requests.Submit("d0-e0", other, cancelled);
    }
    group.Run(milliseconds(200));
    for (int it = 0; it < 4; ++it) {
      group.QueryWork("d0-e0", NameOf("cancelled", it), true);
    }
    group.Run(milliseconds(400));
    requests.SubmitMany("d0-e0", "last", 4, 10);
    if (is_stopped) {
      group.Drain("d0-e0");
    }
    group.Run(seconds(3));
    std::map<Reason, int> expected = {{Reason::kDeadline, 4},
                                      {Reason::kCancelled, 4}};
    if (is_stopped) {
      expected[Reason::kDraining] = 4;
    }
    CHECK(requests.Check() == expected);
  }
}

// Guards against callers that wait until their deadline for a refusal that was
// predictable on arrival, and against minions that idle or run requests whose
// deadline has passed. Four times as many requests arrive as the minion can
// run: a queue longer than the deadline serves no request in time.
TEST_CASE("Refuses at once under overload and uses the full capacity") {
  EntryGroup group({.entries = {1}, .workers = 1, .minions = 1});
  REQUIRE(Settle(group));
  // 8 slots and runs of 20 ms give 400 requests per second; 1600 per second
  // arrive for 3 s.
  constexpr int kRequests = 4800;
  constexpr Duration kGap = std::chrono::microseconds(625);
  std::vector<std::pair<ReplyId, Time>> submitted;
  for (int it = 0; it < kRequests; ++it) {
    Request request = DeskRequest("sleep_ms=20;answer=x");
    request.deadline = milliseconds(300);
    submitted.emplace_back(group.Submit("d0-e0", request), group.now());
    group.Run(kGap);
  }
  group.Run(seconds(1));
  int ran = 0;
  int late = 0;
  for (const auto& [reply, at] : submitted) {
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

// Guards against urgent requests that wait behind others and against others
// that starve. The queue holds both, the urgent ones arrived last: the order of
// arrival alone delays them, the order of urgency alone starves the others.
TEST_CASE("Serves urgent requests first without starving the others") {
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
  // The first 8 got free slots, and one in ten of the following 100 picks.
  CHECK(count(batch) >= 8 + 9);
  CHECK(count(batch) <= 8 + 20);
  group.Run(seconds(2));
  CHECK(count(batch) == 100);
}

}  // namespace burdockrock
