// What callers of interactive requests are told while minions, peers and
// entry instances fail, leave and stop.
#include <doctest/doctest.h>

#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "scheduler/entry_group.h"
#include "scheduler/work_samples.h"

namespace burdockrock {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// One minion with 8 slots in each domain, as most of these tests use.
constexpr int kSlots = 8;

Request KeyedRequest(const std::string& key, int sleep_ms) {
  return DeskRequest("sleep_ms=" + std::to_string(sleep_ms) + ";answer=" + key +
                     ";key=" + key);
}

// Requests by the key that the recorder counts them by.
class Asked {
 public:
  explicit Asked(EntryGroup& group) : group_(group) {}

  ReplyId Submit(const std::string& entry,
                 const std::string& key,
                 int sleep_ms) {
    return Submit(entry, key, KeyedRequest(key, sleep_ms));
  }

  ReplyId Submit(const std::string& entry,
                 const std::string& key,
                 const Request& request) {
    const ReplyId reply = group_.Submit(entry, request);
    asked_.emplace_back(reply, key);
    return reply;
  }

  void SubmitMany(const std::string& entry,
                  const std::string& prefix,
                  int count,
                  int sleep_ms) {
    for (int it = 0; it < count; ++it) {
      Submit(entry, prefix + std::to_string(it), sleep_ms);
    }
  }

  // Every request was answered; who hears "not run" was not run, and who hears
  // "ran" was run once and has its own answer. Counts the "not run" by reason.
  std::map<Reason, int> Check() const {
    std::map<Reason, int> refused;
    for (const auto& [reply, key] : asked_) {
      CAPTURE(key);
      const auto verdict = group_.VerdictOf(reply);
      REQUIRE(verdict);
      const std::uint64_t times = group_.recorder().ExecutionsOf(key);
      if (const auto* not_run = std::get_if<NotRun>(&*verdict)) {
        CHECK(times == 0);
        ++refused[not_run->reason];
      } else if (const auto* ran = std::get_if<Ran>(&*verdict)) {
        CHECK(times == 1);
        CHECK(ran->answer == key);
      }
    }
    CHECK(group_.Violations() == "");
    return refused;
  }

 private:
  EntryGroup& group_;
  std::vector<std::pair<ReplyId, std::string>> asked_;
};

std::string NameOf(const char* prefix, int number) {
  return prefix + std::to_string(number);
}

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
                      .repeat = 1,
                      .hold_back = 1});
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
    group.Ask("d0-e0", NameOf("cancelled", it), true);
  }
  group.Run(milliseconds(400));
  asked.SubmitMany("d0-e0", "stopped", 4, 10);
  group.Drain("d0-e0");
  group.Run(seconds(3));
  const std::map<Reason, int> refused = asked.Check();
  CHECK(refused == std::map<Reason, int>{{Reason::kDeadline, 4},
                                         {Reason::kCancelled, 4},
                                         {Reason::kDraining, 4}});
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

// Symptom: a minion that is being taken away still gets requests.
// Sequence: the list shows a minion as leaving, to one member of the domain
// only, since the other is cut from the platform; an older list comes late.
// Cause: each member reads the list for itself, and lists overtake each other.
TEST_CASE("a leaving minion gets no request two seconds after it shows") {
  for (const bool is_cut : {false, true}) {
    CAPTURE(is_cut);
    EntryGroup group({.entries = {2}, .workers = 1, .minions = 4});
    REQUIRE(Settle(group));
    group.Run(seconds(2));
    const InstanceList older = group.state("d0-e0").membership.instances;
    std::map<std::string, int> given;
    group.on_effect = [&](const std::string&, const Effect& effect) {
      const auto* call = std::get_if<CallWorker>(&effect);
      if (call != nullptr &&
          std::holds_alternative<RunCommand>(call->command)) {
        ++given[call->worker];
      }
    };
    for (const char* leaving : {"d0-m0", "d0-m1", "d0-m2"}) {
      group.MarkLeaving(leaving);
    }
    group.faults("d0-e1").cut_from_platform = is_cut;
    group.Run(group.options().list_lag + seconds(2));
    for (const std::string& it : group.entries()) {
      const std::string other = it == "d0-e0" ? "d0-e1" : "d0-e0";
      group.Inject(it,
                   PeerSaid{.from = other,
                            .incarnation = group.state(other).self.incarnation,
                            .domain = "d0",
                            .message = InstancesDocument{.list = older}});
    }
    given.clear();
    for (int round = 0; round < 20; ++round) {
      group.Submit("d0-e0", DeskRequest("answer=x"));
      group.Submit("d0-e1", DeskRequest("answer=x"));
      group.Run(milliseconds(100));
    }
    CHECK(given.size() == 1);
    CHECK(given["d0-m3"] >= 40);
  }
}

// Symptom: the same for a worker and the tasks of a batch.
// Sequence: a batch is under way when three of four workers begin to leave.
// Cause: tasks are placed by the free room, which grows as a leaving worker
// empties.
TEST_CASE("a leaving worker gets no task two seconds after it shows") {
  EntryGroup group({.entries = {2}, .workers = 4});
  REQUIRE(Settle(group));
  group.Submit("d0-e0", SmallJob(JobKind::kBatch, 1500));
  group.Run(milliseconds(500));
  std::map<std::string, int> given;
  group.on_effect = [&](const std::string&, const Effect& effect) {
    const auto* call = std::get_if<CallWorker>(&effect);
    if (call != nullptr &&
        std::holds_alternative<StartCommand>(call->command)) {
      ++given[call->worker];
    }
  };
  for (const char* leaving : {"d0-w0", "d0-w1", "d0-w2"}) {
    group.MarkLeaving(leaving);
  }
  group.Run(group.options().list_lag + seconds(2));
  given.clear();
  group.Run(seconds(5));
  CHECK(given.size() == 1);
  CHECK(given["d0-w3"] > 0);
  CHECK(group.Violations() == "");
}

// Symptom: a planned stop leaves requests waiting to their deadline, or never
// ends.
// Sequence: the last entry is stopped while requests run and wait, with the
// platform down; it is asked twice.
// Cause: there is nobody to hand over to and nothing to record with.
TEST_CASE("the last entry stops with the platform down and asked twice") {
  EntryGroup group({.entries = {1}, .workers = 1, .minions = 1});
  REQUIRE(Settle(group));
  Asked asked(group);
  asked.SubmitMany("d0-e0", "own", kSlots, 1200);
  asked.SubmitMany("d0-e0", "waiting", 4, 10);
  group.platform().faults().down = true;
  group.Run(milliseconds(200));
  group.Drain("d0-e0");
  group.Drain("d0-e0");
  const ReplyId after = asked.Submit("d0-e0", "after", 10);
  CHECK(group.AnswerTo(after) != nullptr);
  group.Run(milliseconds(10));
  CHECK(group.recorder().live() == kSlots);
  CHECK(group.RunUntil([&] { return !group.IsUp("d0-e0"); }, seconds(60)));
  CHECK(asked.Check() == std::map<Reason, int>{{Reason::kDraining, 5}});
  CHECK(group.recorder().executions() == kSlots);
  CHECK(group.LinesOf(EventNumber::kDrainStarted).size() == 1);
}

// Symptom: a request of an entry that is stopping waits to its deadline.
// Sequence: requests wait while the entry is stopped; they are handed to a peer
// that is full too and refuses them; others are having their key recorded.
// Cause: they come back to a queue that is no longer served.
TEST_CASE("a request that comes back to a stopping entry is refused at once") {
  EntryGroup group({.entries = {1, 1}, .workers = 1, .minions = 1});
  REQUIRE(Settle(group));
  group.Run(seconds(2));
  Asked asked(group);
  asked.SubmitMany("d0-e0", "own", kSlots, 1500);
  asked.SubmitMany("d1-e0", "full", kSlots, 1500);
  group.Run(seconds(1));
  group.Submit("d0-e0", PermitRequest("permit"));
  const Time asked_at = group.now();
  for (int it = 0; it < 4; ++it) {
    asked.Submit("d0-e0", NameOf("waiting", it), 10);
  }
  group.Drain("d0-e0");
  group.Run(milliseconds(300));
  for (const auto& [id, entry] : group.state("d0-e0").requests.entries) {
    CAPTURE(entry.request.payload);
    CHECK(entry.state == RequestState::kRunning);
  }
  CHECK(group.now() - asked_at < seconds(1));
  CHECK(group.RunUntil([&] { return !group.IsUp("d0-e0"); }, seconds(60)));
  asked.Check();
}

// Symptom: a planned stop loses a job or runs a cancelled one.
// Sequence: a wave of cancellations goes through while the entry that has the
// jobs is stopped.
// Cause: the jobs change hands between their cancellation and its record.
TEST_CASE("a planned stop during a wave of cancellations keeps both") {
  EntryGroup group({.entries = {3}, .workers = 4});
  REQUIRE(Settle(group));
  std::vector<ReplyId> replies;
  for (int it = 0; it < 30; ++it) {
    replies.push_back(group.Submit("d0-e0", LongJob(JobKind::kBatch, 4)));
  }
  group.Run(seconds(3));
  std::vector<ReplyId> cancels;
  for (std::size_t it = 0; it < replies.size(); it += 2) {
    REQUIRE(group.VerdictOf(replies[it]) == Verdict(Accepted{}));
    cancels.push_back(group.Ask("d0-e0", group.JobIdOf(replies[it]), true));
    if (it == 14) {
      group.Drain("d0-e0");
    }
  }
  CHECK(group.RunUntil([&] { return !group.IsUp("d0-e0"); }, seconds(60)));
  for (std::size_t it = 1; it < replies.size(); it += 2) {
    CHECK(RunUntilDone(group, group.JobIdOf(replies[it]), seconds(120)));
  }
  for (std::size_t it = 0; it < cancels.size(); ++it) {
    const CallerAnswer* answer = group.AnswerTo(cancels[it]);
    REQUIRE(answer != nullptr);
    if (!std::holds_alternative<WorkStatus>(*answer)) {
      continue;  // nothing was promised
    }
    const auto status = group.StatusOf(group.JobIdOf(replies[2 * it]));
    CHECK((!status || status->state == WorkState::kCancelled));
  }
  CHECK(group.Violations() == "");
}

// Symptom: an entry with empty memory leaves callers without an answer, or
// starts work by a configuration that it does not know.
// Sequence: all entries are replaced at once, with the platform up or down.
// Cause: nobody remembers the configuration and the workers.
TEST_CASE("entries with empty memory answer at once and serve when they can") {
  for (const bool is_down : {false, true}) {
    CAPTURE(is_down);
    EntryGroup group({.entries = {2}, .workers = 1, .minions = 2});
    REQUIRE(Settle(group));
    group.platform().faults().down = is_down;
    group.Kill("d0-e0");
    group.Kill("d0-e1");
    group.Restart("d0-e0");
    group.Restart("d0-e1");
    Asked asked(group);
    const ReplyId early = asked.Submit("d0-e0", "early", 10);
    CHECK(group.AnswerTo(early) != nullptr);
    group.Run(seconds(10));
    const ReplyId later = asked.Submit("d0-e0", "later", 10);
    group.Run(seconds(1));
    const bool ran = group.VerdictOf(later) == Verdict(Ran{.answer = "later"});
    CHECK(ran == !is_down);
    group.platform().faults().down = false;
    group.Run(seconds(15));
    const ReplyId last = asked.Submit("d0-e0", "last", 10);
    group.Run(seconds(1));
    CHECK(group.VerdictOf(last) == Verdict(Ran{.answer = "last"}));
    CHECK(asked.Check() ==
          std::map<Reason, int>{{Reason::kNotReady, is_down ? 2 : 1}});
  }
}

// Symptom: one entry with empty memory can't serve while the platform is down.
// Sequence: the platform is down; one of two entries is replaced.
// Cause: the configuration and the list of instances must come from its peer.
TEST_CASE("a replaced entry serves by its peer's knowledge") {
  EntryGroup group({.entries = {2}, .workers = 1, .minions = 4});
  REQUIRE(Settle(group));
  group.platform().faults().down = true;
  group.Kill("d0-e0");
  group.Run(seconds(4));
  group.Restart("d0-e0");
  group.Run(seconds(20));
  Asked asked(group);
  asked.SubmitMany("d0-e0", "a", 4, 10);
  group.Run(seconds(1));
  CHECK(asked.Check().empty());
  CHECK(group.state("d0-e0").ownership.owned > 0);
}

}  // namespace burdockrock
