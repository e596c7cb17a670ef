// The configuration under failures of entry instances, links and the platform.
#include <doctest/doctest.h>

#include <set>
#include <string>
#include <variant>
#include <vector>

#include "config/policy_document.h"
#include "scheduler/entry_group.h"
#include "scheduler/work_samples.h"

namespace burdockrock {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kInForceWithin = seconds(2);
constexpr Duration kWriteLimit = seconds(8);

std::string Document(const std::string& author, int hold_ms) {
  return EntryGroup::PolicyDocumentText(
      R"({"gang": {"hold_ms": )" + std::to_string(hold_ms) + "}}", author);
}

Revision RevisionAt(EntryGroup& group, const std::string& entry) {
  return group.state(entry).config.view.revision;
}

bool RunUntilAnswered(EntryGroup& group, ReplyId reply) {
  return group.RunUntil([&] { return group.AnswerTo(reply) != nullptr; },
                        kWriteLimit);
}

// Returns the revision under which a change was stored; 0 if it was not.
Revision StoredAs(const EntryGroup& group, ReplyId reply) {
  const CallerAnswer* answer = group.AnswerTo(reply);
  const auto* stored =
      answer == nullptr ? nullptr : std::get_if<ConfigStored>(answer);
  return stored == nullptr ? 0 : stored->revision;
}

std::string ReportedWinner(const EntryGroup& group, ReplyId reply) {
  const CallerAnswer* answer = group.AnswerTo(reply);
  const auto* conflict =
      answer == nullptr ? nullptr : std::get_if<ConfigConflict>(answer);
  return conflict == nullptr ? "" : conflict->author;
}

bool IsInForce(EntryGroup& group,
               const std::vector<std::string>& entries,
               Revision revision) {
  for (const std::string& it : entries) {
    if (group.IsUp(it) && RevisionAt(group, it) != revision) {
      return false;
    }
  }
  return true;
}

bool RunUntilInForce(EntryGroup& group, Revision revision) {
  return group.RunUntil(
      [&] { return IsInForce(group, group.entries(), revision); },
      kInForceWithin);
}

}  // namespace

// Guards against an accepted configuration that takes effect at some entries
// only. One entry accepts an operator's change; at the same moment any one of
// the entries is killed, including the one that answered and those that watch
// the platform for their domain. Only some of the entries watch the platform.
TEST_CASE("A configuration takes effect in time, whichever entry is killed") {
  for (int victim = 0; victim < 5; ++victim) {
    CAPTURE(victim);
    EntryGroup group({.entries = {3, 2}, .workers = 1});
    REQUIRE(Settle(group));
    const ReplyId reply = group.PutConfig("d0-e0", RevisionAt(group, "d0-e0"),
                                          Document("ann", 1700));
    REQUIRE(RunUntilAnswered(group, reply));
    const Revision stored = StoredAs(group, reply);
    REQUIRE(stored > 0);
    group.Kill(group.entries().at(static_cast<std::size_t>(victim)));
    CHECK(RunUntilInForce(group, stored));
    CHECK(group.Violations() == "");
  }
}

// Guards against an accepted configuration that never reaches the other
// domains. The platform goes down as soon as it has answered the write, so that
// no watch returns it. The entries must send it to each other.
TEST_CASE("A configuration takes effect while the platform is down") {
  EntryGroup group({.entries = {2, 2}, .workers = 1});
  REQUIRE(Settle(group));
  const Revision before = RevisionAt(group, "d0-e0");
  for (const std::string& it : group.entries()) {
    group.faults(it).cut_from_platform = it != "d0-e0";
  }
  const ReplyId reply = group.PutConfig("d0-e0", before, Document("ann", 1700));
  REQUIRE(RunUntilAnswered(group, reply));
  group.platform().faults().down = true;
  CHECK(RunUntilInForce(group, StoredAs(group, reply)));
  CHECK(RevisionAt(group, "d1-e1") > before);
  CHECK(group.Violations() == "");
}

// Guards against an entry that returns to an older configuration. A cut-off
// domain misses two changes and is reconnected; afterwards copies of both older
// documents arrive late and twice from a member of the other domain. A message
// doesn't say when it was sent.
TEST_CASE("A reconnected domain applies and keeps the newest configuration") {
  EntryGroup group({.entries = {2, 2}, .workers = 1});
  REQUIRE(Settle(group));
  std::vector<ConfigView> older = {group.state("d1-e0").config.view};
  group.CutDomain(1, true);
  group.Run(seconds(5));
  Revision stored = 0;
  for (const int hold : {1700, 1800}) {
    const ReplyId reply = group.PutConfig("d0-e0", RevisionAt(group, "d0-e0"),
                                          Document("ann", hold));
    REQUIRE(RunUntilAnswered(group, reply));
    stored = StoredAs(group, reply);
    older.push_back(group.state("d0-e0").config.view);
  }
  CHECK(RevisionAt(group, "d1-e0") == older.front().revision);
  group.CutDomain(1, false);
  CHECK(RunUntilInForce(group, stored));
  older.pop_back();
  for (int round = 0; round < 2; ++round) {
    for (const ConfigView& it : older) {
      group.Inject("d1-e0",
                   PeerMessageReceived{
                       .from = "d0-e1",
                       .incarnation = group.state("d0-e1").self.incarnation,
                       .domain = "d0",
                       .message = ConfigDocument{.view = it}});
      CHECK(RevisionAt(group, "d1-e0") == stored);
      CHECK(group.state("d1-e0").config.policy.gang.hold == milliseconds(1800));
    }
  }
  CHECK(group.Violations() == "");
}

// Guards against silently overwriting another operator's change. Three
// operators change the same revision through three entries at the same moment,
// each having read the same document; the platform loses none, one or two of
// the answers.
TEST_CASE("Of concurrent changes one wins and the others get its author") {
  const std::vector<std::string> names = {"ann", "ben", "cleo"};
  const std::vector<std::string> at = {"d0-e0", "d0-e1", "d1-e0"};
  for (std::uint32_t lost = 0; lost <= 2; ++lost) {
    CAPTURE(lost);
    EntryGroup group({.entries = {2, 1}, .workers = 1});
    REQUIRE(Settle(group));
    const Revision before = RevisionAt(group, "d0-e0");
    group.platform().faults().lose_answers = lost;
    std::vector<ReplyId> replies;
    for (std::size_t it = 0; it < names.size(); ++it) {
      replies.push_back(group.PutConfig(
          at[it], before, Document(names[it], 1600 + static_cast<int>(it))));
    }
    for (const ReplyId it : replies) {
      REQUIRE(RunUntilAnswered(group, it));
    }
    std::string winner;
    Revision stored = 0;
    for (std::size_t it = 0; it < names.size(); ++it) {
      if (StoredAs(group, replies[it]) > 0) {
        CHECK(winner == "");
        winner = names[it];
        stored = StoredAs(group, replies[it]);
      }
    }
    REQUIRE(winner != "");
    for (std::size_t it = 0; it < names.size(); ++it) {
      CHECK((names[it] == winner ||
             ReportedWinner(group, replies[it]) == winner));
    }
    CHECK(RunUntilInForce(group, stored));
    CHECK(group.Violations() == "");
  }
}

// Guards against two sides of a partition that keep different configurations,
// and against an operator who gets no answer. Operators on both sides of a
// cut-off domain change the same revision; the partition heals and the operator
// on the cut-off side, which can't know of the other change, tries again.
TEST_CASE("Concurrent changes during a partition converge to one document") {
  EntryGroup group({.entries = {2, 2}, .workers = 1});
  REQUIRE(Settle(group));
  const Revision before = RevisionAt(group, "d0-e0");
  group.CutDomain(1, true);
  const ReplyId inside =
      group.PutConfig("d1-e0", before, Document("ben", 1900));
  const ReplyId outside =
      group.PutConfig("d0-e0", before, Document("ann", 1700));
  REQUIRE(RunUntilAnswered(group, outside));
  REQUIRE(RunUntilAnswered(group, inside));
  const Revision stored = StoredAs(group, outside);
  REQUIRE(stored > 0);
  const auto verdict = group.VerdictOf(inside);
  REQUIRE(verdict);
  CHECK(!std::holds_alternative<Accepted>(*verdict));
  CHECK(RevisionAt(group, "d1-e0") == before);
  group.CutDomain(1, false);
  CHECK(RunUntilInForce(group, stored));
  group.Run(seconds(6));
  const ReplyId again = group.PutConfig("d1-e0", before, Document("ben", 1900));
  REQUIRE(RunUntilAnswered(group, again));
  CHECK(ReportedWinner(group, again) == "ann");
  CHECK(IsInForce(group, group.entries(), stored));
  CHECK(group.Violations() == "");
}

// Guards against a replaced entry that serves with an older configuration than
// was in force before. The platform is down, and the first message that the new
// process receives is a late copy of an older document. With empty memory, any
// document looks new.
TEST_CASE("A replaced entry serves with the newest configuration only") {
  EntryGroup group({.entries = {2, 1}, .workers = 1});
  REQUIRE(Settle(group));
  const ConfigView older = group.state("d0-e0").config.view;
  const ReplyId reply =
      group.PutConfig("d0-e0", older.revision, Document("ann", 1700));
  REQUIRE(RunUntilAnswered(group, reply));
  const Revision stored = StoredAs(group, reply);
  REQUIRE(RunUntilInForce(group, stored));
  group.platform().faults().down = true;
  group.Kill("d0-e1");
  group.Run(seconds(3));
  std::set<Revision> served_by;
  group.on_effect = [&](const std::string& entry, const Effect& effect) {
    const auto* send = std::get_if<SendPeer>(&effect);
    const auto* digest =
        send == nullptr ? nullptr : std::get_if<Digest>(&send->message);
    if (entry == "d0-e1" && digest != nullptr && digest->serving) {
      served_by.insert(digest->config_revision);
    }
  };
  group.Restart("d0-e1");
  group.Inject(
      "d0-e1",
      PeerMessageReceived{.from = "d1-e0",
                          .incarnation = group.state("d1-e0").self.incarnation,
                          .domain = "d1",
                          .message = ConfigDocument{.view = older}});
  group.Run(seconds(6));
  CHECK(served_by == std::set<Revision>{stored});
}

// Guards against entries without a policy that call the platform and write the
// same log line several times a second. The entries start before any policy is
// stored; one is stored later. An empty answer counted as a success and reset
// the backoff.
TEST_CASE("Entries without a policy wait for one with few platform calls") {
  EntryGroup group({.entries = {2}, .workers = 1});
  REQUIRE(Settle(group));
  const std::string document = group.state("d0-e0").config.view.document;
  group.Kill("d0-e0");
  group.Kill("d0-e1");
  group.platform().Apply(KvDelete{.key = kPolicyKey}, group.now());
  group.Restart("d0-e0");
  group.Restart("d0-e1");
  group.Run(seconds(10));
  CHECK(group.LogLinesOf(EventNumber::kConfigurationAwaited).size() == 2);
  CHECK(group.state("d0-e0").counters.platform_calls < 20);
  const ReplyId early = group.Submit("d0-e0", DeskRequest("answer=x"));
  const auto refused = group.VerdictOf(early);
  REQUIRE(refused);
  REQUIRE(std::holds_alternative<NotRun>(*refused));
  CHECK(std::get<NotRun>(*refused).reason == Reason::kNotReady);
  CHECK(std::get<NotRun>(*refused).retry_after > Duration(0));
  const ReplyId reply = group.PutConfig("d0-e1", 0, document);
  REQUIRE(RunUntilAnswered(group, reply));
  CHECK(RunUntilInForce(group, StoredAs(group, reply)));
}

// Guards against a changed rate of journal writes that has no effect. A policy
// with another rate is accepted; the budget was created once, with the default
// rate.
TEST_CASE("The rate of journal writes follows the policy") {
  EntryGroup group({.entries = {1},
                    .workers = 1,
                    .policy = R"({"journal": {"writes_per_second": 2}})"});
  REQUIRE(Settle(group));
  WriteBudget& budget = *group.state("d0-e0").write_budget;
  int taken = 0;
  while (budget.TryTake(true, group.now())) {
    ++taken;
  }
  CHECK(taken == 2);
}

}  // namespace burdockrock
