// The configuration while entry instances, links and the platform fail.
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

// The revision that a change was stored with; 0 when it was not.
Revision StoredAs(const EntryGroup& group, ReplyId reply) {
  const CallerAnswer* answer = group.AnswerTo(reply);
  const auto* stored =
      answer == nullptr ? nullptr : std::get_if<ConfigStored>(answer);
  return stored == nullptr ? 0 : stored->revision;
}

std::string WinnerTold(const EntryGroup& group, ReplyId reply) {
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

// Symptom: an accepted configuration is in force at some entries only.
// Sequence: an operator's change is accepted by one entry; in the same moment
// any one of the entries dies, be it the one that answered or one that watches
// the platform for its domain.
// Cause: only some of the entries watch the platform.
TEST_CASE("a configuration is in force in time, whichever entry dies") {
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

// Symptom: an accepted configuration never reaches the other domains.
// Sequence: the platform goes down in the moment in which it has answered the
// write, so that no watch hears of it.
// Cause: the entries must tell each other.
TEST_CASE("a configuration is in force though the platform is down") {
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

// Symptom: an entry goes back to an older configuration.
// Sequence: a cut-off domain misses two changes and is healed; afterwards
// copies of both older documents arrive late and twice, also from a member
// that itself still had them.
// Cause: a message says nothing of when it was sent.
TEST_CASE("a healed domain takes the newest configuration and keeps it") {
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
      group.Inject("d1-e0", PeerSaid{.from = "d0-e1",
                                     .incarnation =
                                         group.state("d0-e1").self.incarnation,
                                     .domain = "d0",
                                     .message = ConfigDocument{.view = it}});
      CHECK(RevisionAt(group, "d1-e0") == stored);
      CHECK(group.state("d1-e0").config.policy.gang.hold == milliseconds(1800));
    }
  }
  CHECK(group.Violations() == "");
}

// Symptom: an operator's change is overwritten by another's without a word.
// Sequence: three operators change the same revision through three entries in
// the same moment; the platform loses none, one or two of the answers.
// Cause: each of them has read the same document.
TEST_CASE("of racing operators one wins and the others hear whose it is") {
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
      CHECK((names[it] == winner || WinnerTold(group, replies[it]) == winner));
    }
    CHECK(RunUntilInForce(group, stored));
    CHECK(group.Violations() == "");
  }
}

// Symptom: two sides of a partition run different configurations for good, or
// an operator waits without an answer.
// Sequence: a domain is cut off; operators on both sides change the same
// revision; the partition heals and the cut-off operator tries again.
// Cause: the cut-off side can't know of the other change.
TEST_CASE("operators that race during a partition end with one document") {
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
  CHECK(WinnerTold(group, again) == "ann");
  CHECK(IsInForce(group, group.entries(), stored));
  CHECK(group.Violations() == "");
}

// Symptom: a replaced entry serves by an older configuration than the one that
// was in force before.
// Sequence: the platform is down; an entry is replaced; the first that it hears
// is a late copy of an older document.
// Cause: with empty memory any document looks new.
TEST_CASE("a replaced entry serves by the newest configuration only") {
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
  group.Inject("d0-e1",
               PeerSaid{.from = "d1-e0",
                        .incarnation = group.state("d1-e0").self.incarnation,
                        .domain = "d1",
                        .message = ConfigDocument{.view = older}});
  group.Run(seconds(6));
  CHECK(served_by == std::set<Revision>{stored});
}

// Symptom: an entry without a policy calls the platform and writes the same
// log line several times a second.
// Sequence: entries start where no policy has been stored; later one is.
// Cause: an empty answer counted as success and reset the wait between tries.
TEST_CASE("entries without a policy wait for one with few calls") {
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

// Symptom: the operators lower the rate of journal writes and nothing changes.
// Sequence: a policy with another rate is accepted.
// Cause: the budget was made once, from the rate that is built in.
TEST_CASE("the rate of journal writes follows the policy") {
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
