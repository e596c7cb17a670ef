// Leaving minions and workers, planned stops of entry instances, and entry
// instances that start with empty memory.
#include <doctest/doctest.h>

#include <map>
#include <string>
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

// Guards against sending requests to minions that are being removed. Three of
// four begin to leave, in the second run with one of the two members cut off
// from the platform. An older list arrives late, and so does one with a higher
// revision from a part of the platform that doesn't know of the leaving yet.
// Each member reads the list for itself, and lists are reordered.
TEST_CASE("A minion gets no request 2 s after it is listed as leaving") {
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
        group.Inject(it, PeerMessageReceived{
                             .from = other,
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

// Guards against starting tasks on workers that are being removed. Three of
// four workers begin to leave while a batch runs. Tasks are placed by free
// room, which grows as a leaving worker empties.
TEST_CASE("A worker gets no task 2 s after it is listed as leaving") {
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

// Guards against a planned stop that leaves requests queued until their
// deadline or never ends. The last entry is drained twice, with requests
// running and queued and the platform down. It has no member to hand over to
// and can't record anything.
TEST_CASE("The last entry stops while the platform is down, if drained twice") {
  EntryGroup group({.entries = {1}, .workers = 1, .minions = 1});
  REQUIRE(Settle(group));
  SubmittedRequests asked(group);
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

// Guards against a stop that waits for another owner of the workers. Both
// entries of a domain are drained shortly after a batch of short tasks was
// submitted, so that no member is left to own the workers.
TEST_CASE("All entries of a domain stop within 5 s if its tasks are short") {
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

// Guards against reporting accepted jobs as unknown while their journal passes
// from one writer to the next.
TEST_CASE("A job is never unknown while its writer stops") {
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

// Guards against a stop that waits for an adopter of the journal. Both entries
// of a domain are drained shortly after ten jobs were submitted, so that no
// member is left to adopt it.
TEST_CASE("All entries of a domain stop within 6 s with ten jobs submitted") {
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

// Guards against a planned stop that doesn't wait for running tasks, or never
// ends. The only entry of a domain must still be up 5 s after its drain began.
TEST_CASE("The last entry of a domain waits for running tasks, then stops") {
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

// Guards against requests of a stopping entry that wait until their deadline.
// Queued requests are forwarded to a full peer, which refuses them, while
// others are having their key recorded. They would return to a queue that is no
// longer served.
TEST_CASE("A request returned to a stopping entry is refused at once") {
  EntryGroup group({.entries = {1, 1}, .workers = 1, .minions = 1});
  REQUIRE(Settle(group));
  group.Run(seconds(2));
  SubmittedRequests asked(group);
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

// Guards against a planned stop that loses a job or runs a cancelled one. Many
// jobs are cancelled while the entry that has them is stopped, so that they
// change writers between the cancel and its record.
TEST_CASE("A planned stop during many cancels loses no job and no cancel") {
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
      continue;  // the cancel was not confirmed
    }
    const auto status = group.StatusOf(group.JobIdOf(replies[2 * it]));
    CHECK((!status || status->state == WorkState::kCancelled));
  }
  CHECK(group.Violations() == "");
}

// Guards against entries with empty memory that leave callers without an answer
// or start work under a configuration that they don't have. All entries are
// replaced at once, with the platform up or down, so that none has the
// configuration or knows the workers.
TEST_CASE("Entries with empty memory answer at once and serve when they can") {
  for (const bool is_down : {false, true}) {
    CAPTURE(is_down);
    EntryGroup group({.entries = {2}, .workers = 1, .minions = 2});
    REQUIRE(Settle(group));
    group.platform().faults().down = is_down;
    group.Kill("d0-e0");
    group.Kill("d0-e1");
    group.Restart("d0-e0");
    group.Restart("d0-e1");
    SubmittedRequests asked(group);
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

// Guards against an entry with empty memory that can't serve while the platform
// is down. One of two entries is replaced; it must get the configuration and
// the list of instances from its peer.
TEST_CASE("A replaced entry serves with the configuration of its peer") {
  EntryGroup group({.entries = {2}, .workers = 1, .minions = 4});
  REQUIRE(Settle(group));
  group.platform().faults().down = true;
  group.Kill("d0-e0");
  group.Run(seconds(4));
  group.Restart("d0-e0");
  group.Run(seconds(20));
  SubmittedRequests asked(group);
  asked.SubmitMany("d0-e0", "a", 4, 10);
  group.Run(seconds(1));
  CHECK(asked.Check().empty());
  CHECK(group.state("d0-e0").ownership.owned > 0);
}

}  // namespace burdockrock
