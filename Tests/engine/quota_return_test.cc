// Caps of teams while a member and its accountant don't learn in the same order
// that the member has lost its registration and is back.
#include <algorithm>
#include <chrono>
#include <cstdint>
#include <iterator>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <doctest/doctest.h>
#include <fmt/format.h>

#include "engine/fleet.h"
#include "engine/members/member_features.h"
#include "engine/records/record.h"
#include "engine/reducer.h"
#include "engine/teams/quota_accounts.h"

namespace burdockrock::engine {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kKey = "key";
constexpr const char* kTeam = "team";
constexpr std::int64_t kTask = 1000;  // thousandths of a processor
constexpr std::int64_t kCap = 60;     // tasks
constexpr std::uint32_t kJobTasks = 10;
constexpr double kAmpleWeight = 1000;
// A step that its cap and the workers have room for starts within this time
// after the member is back.
constexpr Duration kStartBound = seconds(3);
// A start may bring a team above its cap by a tenth, and by one task.
constexpr std::int64_t kMostAllowed = kCap * 11 / 10 + 1;

struct CappedFleet {
  explicit CappedFleet(std::size_t members = 9)
      : fleet({.instances = members, .workers = 60, .teams = true}) {
    fleet.SetTeams({{.name = kTeam,
                     .keys = {DigestOf(kKey)},
                     .weight = kAmpleWeight,
                     .cap = {.processors_milli = kCap * kTask}}});
    fleet.Settle();
    for (const std::string& it : fleet.nodes()) {
      (fleet.state(it).quota.accounts.contains(kTeam) ? accountant : member) =
          it;
    }
  }

  void Submit(const std::string& node,
              const std::string& job,
              std::uint32_t tasks = kJobTasks) {
    fleet.SubmitWithKey(node, job, OneStep(tasks), kKey);
  }

  // Jobs at the member, one after the other, each with grants of its own.
  void GrantSeveralTimes() {
    constexpr int kJobs = 8;
    for (int it = 0; it < kJobs; ++it) {
      Submit(member, fmt::format("before{}", it));
      fleet.Run(seconds(2));
    }
    REQUIRE(fleet.state(member).quota.shares.at(kTeam).grant >= kJobs);
  }

  std::string IncarnationOf(const std::string& node) const {
    return fleet.state(node).options.self.incarnation;
  }

  bool IsRegistered(const std::string& node) const {
    return fleet.state(node).members.fence != 0;
  }

  // Ends the member's registration at the store, as if its lease had expired.
  void RevokeMember() { fleet.store.Revoke(MemberKey(IncarnationOf(member))); }

  // The claim that the accountant sends to the member now, which does not
  // arrive.
  QuotaClaims ClaimOnItsWay() {
    std::optional<QuotaClaims> claim;
    fleet.on_peer = [&](const std::string& from, const SendPeer& send) {
      const auto* claims = std::get_if<QuotaClaims>(&send.message);
      if (from == accountant && claims != nullptr) {
        claim = *claims;
      }
    };
    fleet.is_cut = [&](const std::string& from, const std::string& to) {
      return from == accountant && to == member;
    };
    fleet.DeliverPeerMessage(
        accountant, IncarnationOf(member),
        QuotaHoldings{.teams = {{.team = kTeam, .claim = 0}}});
    fleet.Run(milliseconds(20));
    fleet.is_cut = [](const std::string&, const std::string&) { return false; };
    fleet.on_peer = [](const std::string&, const SendPeer&) {};
    REQUIRE(claim.has_value());
    return *claim;
  }

  void CheckStarts(const std::string& job, std::uint32_t tasks = kJobTasks) {
    CHECK(fleet.RunUntil([&] { return CountRuns(fleet, job) == tasks; },
                         kStartBound));
  }

  Fleet fleet;
  std::string accountant{};
  std::string member{};  // another one
};

// Keeps the answers to one instance's watches back until they are released.
class HeldWatches {
 public:
  HeldWatches(Fleet& fleet, std::string node) {
    fleet.step = [this, node = std::move(node)](
                     const std::string& to, State& state, const Event& event) {
      return to == node ? StepHeld(state, event) : Step(state, event);
    };
  }

  void Hold() { holds_ = true; }
  void Release() { holds_ = false; }

 private:
  static bool IsWatch(const State& state, const Event& event) {
    const auto* answer = std::get_if<StoreAnswered>(&event.body);
    if (answer == nullptr) {
      return false;
    }
    const auto call = state.store.calls.find(answer->call);
    return call != state.store.calls.end() &&
           std::holds_alternative<ForWatch>(call->second);
  }

  Effects StepHeld(State& state, const Event& event) {
    if (holds_ && IsWatch(state, event)) {
      held_.push_back(event);
      return {};
    }
    Effects effects;
    if (!holds_) {
      for (Event& it : std::exchange(held_, {})) {
        it.now = event.now;
        it.wall_ms = event.wall_ms;
        effects = Joined(std::move(effects), Step(state, it));
      }
    }
    return Joined(std::move(effects), Step(state, event));
  }

  static Effects Joined(Effects first, Effects second) {
    std::move(second.begin(), second.end(), std::back_inserter(first));
    return first;
  }

  bool holds_ = false;
  std::vector<Event> held_{};
};

std::vector<LogLine> UnappliedLines(const Fleet& fleet) {
  std::vector<LogLine> lines;
  std::copy_if(fleet.log.begin(), fleet.log.end(), std::back_inserter(lines),
               [](const LogLine& it) {
                 return it.number == EventNumber::kGrantUnapplied;
               });
  return lines;
}

// The event; grants in it are of a registration that the receiver never had.
Event WithGrantsOfOtherRegistration(Event event) {
  if (auto* message = std::get_if<PeerMessageReceived>(&event.body)) {
    if (auto* grants = std::get_if<QuotaGrants>(&message->message)) {
      for (QuotaGrant& it : grants->teams) {
        ++it.registration;
      }
    }
  }
  return event;
}

}  // namespace

// Guards against a member that refuses all grants, as a claim from before its
// return has given it the number of an account that has ended since.
TEST_CASE("A member that is back gets grants after a late claim") {
  for (const bool has_work : {false, true}) {
    CAPTURE(has_work);
    CappedFleet cell;
    cell.GrantSeveralTimes();
    const QuotaClaims late = cell.ClaimOnItsWay();
    cell.RevokeMember();
    REQUIRE(cell.fleet.RunUntil([&] { return !cell.IsRegistered(cell.member); },
                                seconds(1)));
    REQUIRE(cell.fleet.RunUntil([&] { return cell.IsRegistered(cell.member); },
                                seconds(3)));
    if (has_work) {
      cell.Submit(cell.member, "next");
    }
    cell.fleet.DeliverPeerMessage(cell.member,
                                  cell.IncarnationOf(cell.accountant), late);
    if (!has_work) {
      cell.fleet.Run(seconds(1));
      cell.Submit(cell.member, "next");
    }
    cell.CheckStarts("next");
    CHECK(MostRunning(cell.fleet) <= kMostAllowed);
  }
}

// Guards against an account that ends when a late list shows a departure whose
// member has reported since, and that begins anew with lower numbers.
TEST_CASE("A departure that is seen after the return leaves no grant refused") {
  for (const std::int64_t late_ms : {100, 400, 1500}) {
    CAPTURE(late_ms);
    CappedFleet cell;
    cell.GrantSeveralTimes();
    HeldWatches watches(cell.fleet, cell.accountant);
    watches.Hold();
    cell.RevokeMember();
    REQUIRE(cell.fleet.RunUntil([&] { return !cell.IsRegistered(cell.member); },
                                seconds(1)));
    REQUIRE(cell.fleet.RunUntil([&] { return cell.IsRegistered(cell.member); },
                                seconds(3)));
    cell.Submit(cell.member, "first", 2);
    cell.fleet.Run(milliseconds(late_ms));
    watches.Release();
    cell.fleet.Run(milliseconds(500));
    cell.Submit(cell.member, "next");
    cell.CheckStarts("next");
    CHECK(MostRunning(cell.fleet) <= kMostAllowed);
  }
}

// Guards against grants of before a return that are applied after it: what they
// gave counts as free.
TEST_CASE("A grant from before the return gives a member nothing") {
  CappedFleet cell;
  cell.GrantSeveralTimes();
  const QuotaClaims claim = cell.ClaimOnItsWay();
  std::optional<QuotaGrants> late;
  cell.fleet.on_peer = [&](const std::string& from, const SendPeer& send) {
    const auto* grants = std::get_if<QuotaGrants>(&send.message);
    if (from == cell.accountant && grants != nullptr) {
      late = *grants;
    }
  };
  cell.fleet.is_cut = [&](const std::string& from, const std::string& to) {
    return from == cell.accountant && to == cell.member;
  };
  cell.Submit(cell.member, "lost", 40);
  cell.fleet.Run(milliseconds(300));
  cell.fleet.is_cut = [](const std::string&, const std::string&) {
    return false;
  };
  REQUIRE(late.has_value());
  cell.fleet.on_peer = [](const std::string&, const SendPeer&) {};
  cell.RevokeMember();
  REQUIRE(cell.fleet.RunUntil([&] { return !cell.IsRegistered(cell.member); },
                              seconds(1)));
  cell.fleet.DeliverPeerMessage(cell.member,
                                cell.IncarnationOf(cell.accountant), claim);
  cell.fleet.DeliverPeerMessage(cell.member,
                                cell.IncarnationOf(cell.accountant), *late);
  cell.fleet.Run(milliseconds(2));
  CHECK(cell.fleet.state(cell.member).quota.shares.at(kTeam).held ==
        Resources());
  cell.CheckStarts("lost", 40);
  CHECK(MostRunning(cell.fleet) <= kMostAllowed);
}

// Guards against a part of the cap that counts as held for good, as the report
// that it is returned was lost.
TEST_CASE("A part of the cap whose return was lost is free again") {
  CappedFleet cell;
  Fleet& fleet = cell.fleet;
  PlanAll(fleet, {.takes = seconds(2)});
  cell.Submit(cell.member, "before", 50);
  fleet.Run(seconds(1));
  REQUIRE(CountRuns(fleet, "before") == 50);
  fleet.is_cut = [&](const std::string& from, const std::string& to) {
    return std::pair(from, to) == std::pair(cell.member, cell.accountant);
  };
  fleet.Run(seconds(4));
  REQUIRE(CountEnds(fleet, RunEnd::kDone) == 50);
  fleet.is_cut = [](const std::string&, const std::string&) { return false; };
  const auto nodes = fleet.nodes();
  const auto other = std::find_if(nodes.begin(), nodes.end(), [&](auto& it) {
    return it != cell.member && it != cell.accountant;
  });
  cell.Submit(*other, "next", 40);
  cell.CheckStarts("next", 40);
  CHECK(MostRunning(cell.fleet) <= kMostAllowed);
}

// Guards against a grant that is on its way when the account of its receiver
// ends: the next account doesn't know of it, and what it gives counts as free.
TEST_CASE("A grant of an account that has ended is void") {
  CappedFleet cell;
  Fleet& fleet = cell.fleet;
  cell.GrantSeveralTimes();
  HeldWatches watches(fleet, cell.accountant);
  watches.Hold();
  cell.RevokeMember();
  REQUIRE(fleet.RunUntil([&] { return !cell.IsRegistered(cell.member); },
                         seconds(1)));
  REQUIRE(fleet.RunUntil([&] { return cell.IsRegistered(cell.member); },
                         seconds(3)));
  PlanAll(fleet, {.takes = seconds(20)});
  cell.Submit(cell.member, "first", 5);
  fleet.Run(milliseconds(300));
  REQUIRE(CountRuns(fleet, "first") == 5);
  std::optional<QuotaGrants> late;
  bool cut = true;
  fleet.on_peer = [&](const std::string& from, const SendPeer& send) {
    const auto* grants = std::get_if<QuotaGrants>(&send.message);
    if (cut && from == cell.accountant && grants != nullptr &&
        send.address == cell.member) {
      late = *grants;
    }
  };
  fleet.is_cut = [&](const std::string& from, const std::string& to) {
    return cut && from == cell.accountant && to == cell.member;
  };
  cell.Submit(cell.member, "next", 20);
  fleet.Run(milliseconds(60));
  REQUIRE(late.has_value());
  fleet.SendRequest(cell.member, {.query = CallerQuery::kCancel,
                                  .host = "h",
                                  .path = "/q/next",
                                  .key = DigestOf(kKey)});
  fleet.Run(milliseconds(100));
  watches.Release();
  fleet.Run(milliseconds(100));
  cut = false;
  fleet.Run(seconds(6));
  const Resources before = fleet.state(cell.member).quota.shares.at(kTeam).held;
  fleet.DeliverPeerMessage(cell.member, cell.IncarnationOf(cell.accountant),
                           *late);
  fleet.Run(milliseconds(2));
  CHECK(fleet.state(cell.member).quota.shares.at(kTeam).held == before);
  CHECK(MostRunning(cell.fleet) <= kMostAllowed);
}

// Guards against a member that refuses its grants without a line that names it:
// its accountant goes on to count as held what it refuses.
TEST_CASE("Grants that a member does not apply are logged at the accountant") {
  CappedFleet cell;
  Fleet& fleet = cell.fleet;
  cell.GrantSeveralTimes();
  fleet.Run(seconds(6));
  CHECK(UnappliedLines(fleet).empty());
  bool refuses = true;
  fleet.step = [&](const std::string& to, State& state, const Event& event) {
    return Step(state, refuses && to == cell.member
                           ? WithGrantsOfOtherRegistration(event)
                           : event);
  };
  cell.Submit(cell.member, "next");
  fleet.Run(seconds(6));
  CHECK(CountRuns(fleet, "next") == 0);
  CHECK(fleet.state(cell.member).totals.refused_grants > 0);
  const auto& holder = fleet.state(cell.accountant)
                           .quota.accounts.at(kTeam)
                           .ledger.holders.at(cell.IncarnationOf(cell.member));
  CHECK(LeavesGrantsUnapplied(holder));
  const auto lines = UnappliedLines(fleet);
  REQUIRE(!lines.empty());
  CHECK(lines.size() <= 4);
  const std::vector<LogField> first(lines[0].fields.begin(),
                                    lines[0].fields.end() - 1);
  CHECK(first ==
        std::vector<LogField>{{"team", kTeam},
                              {"member", cell.IncarnationOf(cell.member)},
                              {"sent", std::to_string(holder.grant)},
                              {"applied", std::to_string(holder.applied)},
                              {"held", std::to_string(kJobTasks * kTask)}});
  CHECK(lines[0].fields.back().key == "for_ms");
  const int for_ms = std::stoi(lines[0].fields.back().value);
  CHECK(for_ms >= 3000);
  CHECK(for_ms < 4500);

  refuses = false;
  cell.CheckStarts("next");
  fleet.Run(seconds(1));
  const std::size_t logged = UnappliedLines(fleet).size();
  fleet.Run(seconds(10));
  CHECK(UnappliedLines(fleet).size() == logged);
}

// Guards against a cap that members which have left, and are heard all the
// same, block with each of their reports.
TEST_CASE("Members without the store block no more of a cap than they hold") {
  CappedFleet cell(24);
  Fleet& fleet = cell.fleet;
  fleet.AddQueue("long", 2);
  fleet.Run(milliseconds(100));
  PlanAll(fleet, {.takes = milliseconds(700)});
  const auto nodes = fleet.nodes();
  std::set<std::string> away;
  std::string other;
  for (const std::string& it : nodes) {
    if (it == cell.accountant) {
      continue;
    }
    if (away.size() == nodes.size() / 3) {
      other = it;
      break;
    }
    away.insert(it);
    fleet.SendRequest(it, {.query = CallerQuery::kSubmit,
                           .host = "h",
                           .path = "/long/runs-" + it,
                           .key = DigestOf(kKey),
                           .spec = OneStep(200)});
  }
  fleet.Run(seconds(2));
  fleet.store_fault = [&](const std::string& node, const StoreRequest&) {
    return away.contains(node) ? StoreFault::kRefuse : StoreFault::kNone;
  };
  fleet.Run(kMemberTtl + kStartBound);
  const auto& account = fleet.state(cell.accountant).quota.accounts.at(kTeam);
  for (int it = 0; it < 20; ++it) {
    CHECK(HeldByLeft(account.ledger) == Resources());
    fleet.Run(milliseconds(110));
  }
  cell.Submit(other, "next", 5);
  cell.CheckStarts("next", 5);
  CHECK(MostRunning(cell.fleet) <= kMostAllowed);
}

// Guards against a team above its cap: a member that is back still reports runs
// of jobs that others have adopted, and starts others in their place.
TEST_CASE(
    "A new account grants a member nothing for the runs that it reports") {
  const std::string member = WithFeatures("n1-1");
  State state = MakeState({});
  Effects effects;
  Context context{
      .state = state, .effects = effects, .now = seconds(1000), .wall_ms = 0};
  AccountedTeam& account = state.quota.accounts[kTeam];
  account.ledger.claim = 5;
  account.ledger.settled = true;
  state.members.present[member] = {};
  const Resources runs{.processors_milli = 6 * kTask};
  OnQuotaHoldings(context, member,
                  QuotaHoldings{.teams = {{.team = kTeam,
                                           .claim = 5,
                                           .held = runs,
                                           .shared = runs,
                                           .charge = runs,
                                           .other_charge = runs}}});
  CHECK(HeldInAll(account.ledger) == runs);
  REQUIRE(effects.size() == 1);
  const auto* sent = std::get_if<SendPeer>(&effects.front());
  REQUIRE(sent != nullptr);
  const auto& grants = std::get<QuotaGrants>(sent->message).teams;
  REQUIRE(grants.size() == 1);
  CHECK(grants.front().number == 1);
  CHECK(grants.front().held == Resources());
}

// Guards against an accountant that goes on without what a member holds, as its
// report came before its registration was known.
TEST_CASE("A member that reports before it is listed is asked again") {
  const std::string member = WithFeatures("n1-1");
  State state = MakeState({});
  Effects effects;
  Context context{
      .state = state, .effects = effects, .now = seconds(1000), .wall_ms = 0};
  state.quota.members_version = state.members.version;
  state.quota.configuration_version = state.configuration.version;
  AccountedTeam& account = state.quota.accounts[kTeam];
  account.ledger.claim = 5;
  account.ledger.settled = true;
  OnQuotaHoldings(context, member,
                  QuotaHoldings{.teams = {{.team = kTeam, .claim = 5}}});
  REQUIRE(account.ledger.holders.empty());
  DriveAccounts(context);
  CHECK_FALSE(account.audit.awaited.contains(member));
  state.members.present[member] = {};
  DriveAccounts(context);
  CHECK(account.audit.awaited.contains(member));
}

}  // namespace burdockrock::engine
