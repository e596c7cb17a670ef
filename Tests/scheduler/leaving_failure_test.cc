// Minions and workers that leave, entry instances that stop as planned, and
// entry instances that start with empty memory.
#include <doctest/doctest.h>

#include <map>
#include <string>
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

// Symptom: a minion that is being taken away still gets requests.
// Sequence: the list shows a minion as leaving, to one member of the domain
// only, since the other is cut from the platform; an older list comes late, and
// so does one from a part of the platform that has not heard of the leaving.
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
    InstanceList lagging = older;
    lagging.revision = group.state("d0-e0").membership.instances.revision + 1;
    for (const std::string& it : group.entries()) {
      const std::string other = it == "d0-e0" ? "d0-e1" : "d0-e0";
      for (const InstanceList& list : {older, lagging}) {
        group.Inject(
            it, PeerSaid{.from = other,
                         .incarnation = group.state(other).self.incarnation,
                         .domain = "d0",
                         .message = InstancesDocument{.list = list}});
      }
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
  CHECK(group.LogLinesOf(EventNumber::kDrainStarted).size() == 1);
}

// Guards against stops that wait, without work, for an owner of their workers.
TEST_CASE("all entries of a domain stop at once when nothing runs there") {
  EntryGroup group({.entries = {2, 1}, .workers = 4});
  REQUIRE(Settle(group));
  group.Submit("d0-e1", SmallJob(JobKind::kBatch, 400));
  group.Run(milliseconds(500));
  group.Drain("d0-e0");
  group.Run(milliseconds(500));
  group.Drain("d0-e1");
  CHECK(group.RunUntil(
      [&] { return !group.IsUp("d0-e0") && !group.IsUp("d0-e1"); },
      seconds(5)));
}

// Guards against accepted jobs that are said not to exist while their journal
// goes from one writer to the next.
TEST_CASE("a job is never unknown while its writer stops") {
  for (const bool cancel : {false, true}) {
    CAPTURE(cancel);
    EntryGroup group({.entries = {3}, .workers = 4});
    REQUIRE(Settle(group));
    const ReplyId job = group.Submit("d0-e0", SmallJob(JobKind::kBatch, 300));
    group.Run(seconds(3));
    const std::string id = group.JobIdOf(job);
    group.Drain("d0-e0");
    std::vector<ReplyId> asked;
    for (int it = 0; it < 200; ++it) {
      for (const std::string& entry : group.entries()) {
        if (group.IsUp(entry)) {
          asked.push_back(group.QueryWork(entry, id, cancel));
        }
      }
      group.Run(milliseconds(5));
    }
    group.Run(seconds(5));
    int unknown = 0;
    for (const ReplyId it : asked) {
      const auto verdict = group.VerdictOf(it);
      const auto* not_run = verdict ? std::get_if<NotRun>(&*verdict) : nullptr;
      unknown += not_run != nullptr && not_run->reason == Reason::kNotFound;
    }
    CHECK(unknown == 0);
  }
}

// Guards against stops that wait, with jobs, for an adopter of their journal.
TEST_CASE("the last entry of a domain with waiting jobs stops in its grace") {
  EntryGroup group({.entries = {2, 1}, .workers = 4});
  REQUIRE(Settle(group));
  for (int it = 0; it < 10; ++it) {
    group.Submit("d0-e1", SmallJob(JobKind::kBatch, 500));
  }
  group.Run(milliseconds(300));
  group.Drain("d0-e0");
  group.Run(milliseconds(500));
  group.Drain("d0-e1");
  CHECK(group.RunUntil(
      [&] { return !group.IsUp("d0-e0") && !group.IsUp("d0-e1"); },
      seconds(6)));
}

// Guards against stops that end tasks which could have run to their end.
TEST_CASE("the last entry of a domain lets running tasks end") {
  EntryGroup group({.entries = {1, 1}, .workers = 4});
  REQUIRE(Settle(group));
  const ReplyId job = group.Submit("d0-e0", LongJob(JobKind::kBatch, 4));
  group.Run(seconds(2));
  REQUIRE(group.recorder().live() > 0);
  const auto started = group.recorder().executions();
  group.Drain("d0-e0");
  group.Run(seconds(5));
  CHECK(group.IsUp("d0-e0"));
  CHECK(group.RunUntil([&] { return !group.IsUp("d0-e0"); }, seconds(30)));
  CHECK(group.recorder().executions() >= started);
  CHECK(group.VerdictOf(job) == Verdict(Accepted{}));
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
  for (const auto& it : group.state("d0-e0").requests.entries) {
    CAPTURE(it.first);
    CHECK(it.second.state == RequestState::kRunning);
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
  replies.reserve(30);
  for (int it = 0; it < 30; ++it) {
    replies.push_back(group.Submit("d0-e0", LongJob(JobKind::kBatch, 4)));
  }
  group.Run(seconds(3));
  std::vector<ReplyId> cancels;
  for (std::size_t it = 0; it < replies.size(); it += 2) {
    REQUIRE(group.VerdictOf(replies[it]) == Verdict(Accepted{}));
    cancels.push_back(
        group.QueryWork("d0-e0", group.JobIdOf(replies[it]), true));
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
