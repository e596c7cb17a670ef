#include "engine/teams/quota_accounts.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "engine/jobs/adoption.h"
#include "engine/members/member_features.h"
#include "engine/teams/team_members.h"

namespace burdockrock::engine {

namespace {

// A member that has not replied is asked again.
constexpr Duration kClaimRepeat = milliseconds(300);
// Between two scans of the stored jobs.
constexpr Duration kScanInterval = milliseconds(300);
// Between two scans while members do not reply to the questions after the
// first: slow ones get the time to reply.
constexpr Duration kUnheardScanInterval = milliseconds(3000);
// Between two messages that tell a member which is short how the cap is used.
constexpr Duration kUseInterval = milliseconds(500);
// While a member waits for the cap, one that holds some of it and has not
// reported for this long is asked: that it has returned its part may be lost.
constexpr Duration kHolderSilence = milliseconds(1000);
// Before an accountant repeats a claim that another one has overridden. Both
// follow the same list of members by then.
constexpr Duration kContestedDelay = milliseconds(500);

using ClaimsByMember = std::map<std::string, QuotaClaims>;
using GrantsByMember = std::map<std::string, QuotaGrants>;

const std::vector<TeamPolicy>& TeamsOf(const State& state) {
  static const std::vector<TeamPolicy> kNone;
  return state.configuration.teams ? *state.configuration.teams : kNone;
}

// Members whose reports an audit waits for.
std::set<std::string> MembersToAsk(const Context& context) {
  std::set<std::string> members;
  for (const auto& [incarnation, it] : context.state.members.present) {
    if (KnowsTeams(incarnation)) {
      members.insert(incarnation);
    }
  }
  return members;
}

std::set<std::string> HoldersThatLeft(const State& state,
                                      const QuotaLedger& ledger) {
  std::set<std::string> left;
  for (const auto& [holder, it] : ledger.holders) {
    if (!state.members.present.contains(holder)) {
      left.insert(holder);
    }
  }
  return left;
}

const Watch& WatchOfMembers(const State& state) {
  return state.watches[static_cast<std::size_t>(WatchedList::kMembers)];
}

// Whether all members that registered before this instance are known. Of two
// instances that start together at least one then knows the other, so that they
// can't both settle the same account.
bool KnowsEarlierMembers(const State& state) {
  const Watch& watch = WatchOfMembers(state);
  return watch.complete && watch.revision >= state.members.fence;
}

// A claim above all that were heard of. Members take no grants of lower ones.
void RaiseClaim(Context& context,
                const std::string& team,
                AccountedTeam& account) {
  std::uint64_t& highest = context.state.quota.highest_claims[team];
  highest = std::max(highest + 1, WatchOfMembers(context.state).revision);
  account.ledger = QuotaLedger{.claim = highest};
}

// Takes on the teams for which this instance was chosen, and leaves others.
void ChooseAccounts(Context& context) {
  QuotaState& quota = context.state.quota;
  const std::uint64_t members = context.state.members.version;
  const std::uint64_t configuration = context.state.configuration.version;
  if (quota.members_version == members &&
      quota.configuration_version == configuration) {
    return;
  }
  quota.members_version = members;
  quota.configuration_version = configuration;
  std::set<std::string> chosen;
  for (const TeamPolicy& it : TeamsOf(context.state)) {
    if (it.cap != Resources() &&
        AccountantOf(context.state, it.name) == context.self()) {
      chosen.insert(it.name);
    }
  }
  std::erase_if(quota.accounts,
                [&](const auto& it) { return !chosen.contains(it.first); });
  for (const std::string& team : chosen) {
    const auto [it, is_new] = quota.accounts.try_emplace(team);
    if (is_new) {
      it->second.audit.scan_due = context.now;
    }
  }
}

QuotaClaim ClaimOf(const std::string& team, const QuotaLedger& ledger) {
  return {.team = team, .claim = ledger.claim, .grant = ledger.last_grant};
}

void AskMembers(Context& context,
                const std::string& team,
                AccountedTeam& account,
                ClaimsByMember& claims) {
  account.audit.asked_at = context.now;
  for (const std::string& it : account.audit.awaited) {
    claims[it].teams.push_back(ClaimOf(team, account.ledger));
  }
}

void AskSilentHolders(const Context& context,
                      const std::string& team,
                      QuotaLedger& ledger,
                      ClaimsByMember& claims) {
  const bool waits = std::any_of(
      ledger.holders.begin(), ledger.holders.end(),
      [](const auto& it) { return it.second.asked_at != kForever; });
  for (auto& [member, it] : ledger.holders) {
    const bool holds = it.held != Resources() || it.unknown != Resources();
    if (waits && holds && KnowsTeams(member) &&
        HasPassed(context.now, it.heard_at, kHolderSilence)) {
      it.heard_at = context.now;
      claims[member].teams.push_back(ClaimOf(team, ledger));
    }
  }
}

// What `owner` may hold of the cap, by the stored jobs that it owns.
Resources BoundIn(const OwnedScan& scan,
                  const std::string& owner,
                  const std::string& team,
                  const Resources& cap) {
  const auto teams = scan.bounds.find(owner);
  if (teams == scan.bounds.end()) {
    return {};
  }
  const auto bound = teams->second.find(team);
  if (bound == teams->second.end()) {
    return {};
  }
  return bound->second.unlimited ? LargerOf(cap, bound->second.most)
                                 : bound->second.most;
}

// What stored jobs may take whose owners are no members.
Resources UnclaimedIn(const Context& context,
                      const std::string& team,
                      const Resources& cap) {
  const OwnedScan& scan = context.state.quota.scan;
  Resources unclaimed;
  for (const auto& [owner, teams] : scan.bounds) {
    if (!context.state.members.present.contains(owner)) {
      unclaimed += BoundIn(scan, owner, team, cap);
    }
  }
  return unclaimed;
}

// The first holdings of a new accountant. Each member counts with all that its
// stored jobs may take, until it replies. What former owners held is not known:
// all that their jobs may take counts.
void Settle(Context& context, const std::string& team, AccountedTeam& account) {
  const OwnedScan& scan = context.state.quota.scan;
  const Resources cap = CapOf(context.state.configuration, team);
  RaiseClaim(context, team, account);
  QuotaLedger& ledger = account.ledger;
  for (const auto& [owner, teams] : scan.bounds) {
    const Resources bound = BoundIn(scan, owner, team, cap);
    if (bound != Resources() && context.state.members.present.contains(owner)) {
      QuotaHolder& holder = ledger.holders[owner];
      holder.held = bound;
      holder.shared = bound;
    }
  }
  ledger.unclaimed = UnclaimedIn(context, team, cap);
  ledger.left = LargerOf(cap, ledger.unclaimed);
  ledger.settled = true;
  account.audit.awaited = MembersToAsk(context);
  const Resources blocked = HeldInAll(ledger);
  context.Log(EventNumber::kQuotaSettled,
              {{"team", team},
               {"claim", std::to_string(ledger.claim)},
               {"members", std::to_string(account.audit.awaited.size())},
               {"processors_milli", std::to_string(blocked.processors_milli)},
               {"cap_milli", std::to_string(cap.processors_milli)}});
}

// Asks the members that own jobs of the team: they may have adopted jobs since
// their last reports.
void ReviewLeft(const Context& context,
                const std::string& team,
                AccountedTeam& account) {
  const Resources cap = CapOf(context.state.configuration, team);
  account.audit.unclaimed = UnclaimedIn(context, team, cap);
  account.audit.reviews = true;
  for (const auto& [owner, teams] : context.state.quota.scan.bounds) {
    if (teams.contains(team) && context.state.members.present.contains(owner)) {
      account.audit.awaited.insert(owner);
    }
  }
}

void ApplyScan(Context& context,
               const std::string& team,
               AccountedTeam& account,
               ClaimsByMember& claims) {
  account.audit.scan_due = kForever;
  if (account.ledger.settled) {
    ReviewLeft(context, team, account);
  } else {
    Settle(context, team, account);
  }
  AskMembers(context, team, account, claims);
}

void EndReview(AccountedTeam& account) {
  account.audit.reviews = false;
  account.ledger.unclaimed = account.audit.unclaimed;
  if (HeldByLeft(account.ledger) == Resources()) {
    account.ledger.left = Resources();
  }
}

// When the stored jobs have to be scanned next, if some holding is not known.
// Not before the members have replied after the last scan, or some can't be
// heard.
Time NextScan(const Context& context, const AccountedTeam& account) {
  if (!account.audit.awaited.empty()) {
    return context.now + kUnheardScanInterval;
  }
  return account.ledger.left == Resources() ? kForever
                                            : context.now + kScanInterval;
}

void NoteDepartures(const State& state,
                    QuotaAudit& audit,
                    QuotaLedger& ledger) {
  for (const std::string& it : HoldersThatLeft(state, ledger)) {
    MoveToLeft(ledger, it);
    audit.reviews = false;  // the last scan may be older than its loss
  }
  std::erase_if(audit.awaited, [&](const std::string& it) {
    return !state.members.present.contains(it);
  });
  std::erase_if(audit.unlisted, [&](const std::string& it) {
    const bool is_listed = state.members.present.contains(it);
    if (is_listed) {
      audit.awaited.insert(it);
    }
    return is_listed;
  });
}

void DriveAudit(Context& context,
                const std::string& team,
                AccountedTeam& account,
                ClaimsByMember& claims) {
  QuotaAudit& audit = account.audit;
  QuotaState& quota = context.state.quota;
  NoteDepartures(context.state, audit, account.ledger);
  if (audit.awaited.empty() && audit.reviews) {
    EndReview(account);
  }
  if (account.ledger.settled && audit.scan_due == kForever) {
    audit.scan_due = NextScan(context, account);
  }
  const bool may_apply =
      account.ledger.settled || KnowsEarlierMembers(context.state);
  if (context.now >= audit.scan_due && may_apply) {
    if (quota.scan.began >= audit.scan_due) {
      return ApplyScan(context, team, account, claims);
    }
    if (HasPassed(context.now, quota.scanned_at, kScanInterval)) {
      quota.scanned_at = context.now;
      ScanAllOrphans(context);
    }
  }
  if (!audit.awaited.empty() &&
      HasPassed(context.now, audit.asked_at, kClaimRepeat)) {
    AskMembers(context, team, account, claims);
  }
  AskSilentHolders(context, team, account.ledger, claims);
}

// The last grant to the member, and how the cap is used.
QuotaGrant LastGrant(const std::string& team,
                     const std::string& member,
                     const QuotaLedger& ledger,
                     const QuotaHolder& holder,
                     const Resources& cap) {
  QuotaGrant grant{.team = team,
                   .claim = ledger.claim,
                   .number = holder.grant,
                   .held = holder.granted,
                   .cap = cap,
                   .shared = holder.granted_shared};
  if (KnowsRegistrations(member)) {
    grant.taken = HeldInAll(ledger);
    grant.blocked = HeldByLeft(ledger);
    grant.registration = holder.registration;
  }
  return grant;
}

void AddGrants(Context& context,
               const std::string& team,
               AccountedTeam& account,
               GrantsByMember& grants) {
  const Resources cap = CapOf(context.state.configuration, team);
  const Resources reserve =
      ReserveOf(cap, LowestPriority(context.state.configuration));
  for (const HolderGrant& it : DecideGrants(account.ledger, cap, reserve)) {
    QuotaHolder& holder = account.ledger.holders.at(it.holder);
    holder.held = it.held;
    // A member of an earlier release knows no priorities.
    holder.shared = KnowsLoad(it.holder) ? it.shared : it.held;
    holder.granted = holder.held;
    holder.granted_shared = holder.shared;
    holder.grant = ++account.ledger.last_grant;
    if (!IsShort(holder, cap)) {
      holder.asked_at = kForever;
    }
    grants[it.holder].teams.push_back(
        LastGrant(team, it.holder, account.ledger, holder, cap));
  }
}

// Whether the report is of the holder's last known registration, or of a later
// one. What it held before counts as that of a member that left: it may be back
// in the same moment as its departure became known, or before.
bool BeginsOrContinues(const std::string& from,
                       const QuotaHolding& holding,
                       AccountedTeam& account) {
  const auto it = account.ledger.holders.find(from);
  if (it == account.ledger.holders.end() || it->second.registration == 0) {
    return true;
  }
  if (holding.registration < it->second.registration) {
    return false;
  }
  if (holding.registration > it->second.registration) {
    MoveToLeft(account.ledger, from);
    account.audit.reviews = false;  // the last scan may be older than its loss
  }
  return true;
}

// Records what a member holds and wants.
void NoteHolding(Context& context,
                 const std::string& from,
                 const QuotaHolding& holding,
                 AccountedTeam& account,
                 QuotaGrants& repeated) {
  const Resources cap = CapOf(context.state.configuration, holding.team);
  if (!BeginsOrContinues(from, holding, account)) {
    return;
  }
  QuotaLedger& ledger = account.ledger;
  account.audit.awaited.erase(from);
  const auto [place, is_new] = ledger.holders.try_emplace(from);
  QuotaHolder& holder = place->second;
  if (is_new) {
    // Grants of an account that has ended may still be on their way. They are
    // void with the next number, under which nothing is granted yet: runs that
    // the member reports may be others' by now.
    holder.held = holding.held;
    holder.shared = holding.shared;
    ledger.last_grant = std::max(ledger.last_grant, holding.grant);
    holder.grant = ++ledger.last_grant;
  }
  holder.registration = holding.registration;
  holder.heard_at = context.now;
  // A holder that was granted more than its account tells is older than that.
  holder.grant = std::max(holder.grant, holding.grant);
  NoteApplied(context.now, holding.grant, holder);
  if (holding.grant == holder.grant) {
    holder.held = holding.held;
    holder.shared = holding.shared;
  } else {
    // The last grant is on its way or was lost; it counts in either case, and
    // so do runs that the member has adopted meanwhile.
    holder.held = LargerOf(holder.held, holding.charge);
    holder.shared = LargerOf(holder.shared, holding.other_charge);
  }
  holder.wanted = holding.wanted;
  holder.urgent_wanted = holding.urgent_wanted;
  holder.charge = holding.charge;
  holder.other_charge = holding.other_charge;
  holder.unknown = holding.unknown;
  holder.least = holding.least;
  holder.urgent_least = holding.urgent_least;
  holder.excess_waiting = holding.excess_waiting;
  const bool is_short = IsShort(holder, cap);
  holder.asked_at =
      is_short ? std::min(holder.asked_at, context.now) : kForever;
  const bool tells = is_short && KnowsRegistrations(from) &&
                     HasPassed(context.now, holder.told_at, kUseInterval);
  if (holding.grant != holder.grant || tells) {
    holder.told_at = context.now;
    repeated.teams.push_back(
        LastGrant(holding.team, from, ledger, holder, cap));
  }
}

}  // namespace

std::uint32_t LowestPriority(const Configuration& configuration) {
  std::uint32_t lowest = 0;
  for (const QueuePolicy& it : configuration.queues) {
    lowest = std::max(lowest, it.priority);
  }
  return lowest;
}

void DriveAccounts(Context& context) {
  ChooseAccounts(context);
  ClaimsByMember claims;
  GrantsByMember grants;
  for (auto& [team, account] : context.state.quota.accounts) {
    DriveAudit(context, team, account, claims);
    AddGrants(context, team, account, grants);
  }
  for (auto& [member, it] : claims) {
    Send(context, member, std::move(it));
  }
  for (auto& [member, it] : grants) {
    Send(context, member, std::move(it));
  }
}

void OnQuotaHoldings(Context& context,
                     const std::string& from,
                     const QuotaHoldings& holdings) {
  QuotaState& quota = context.state.quota;
  QuotaClaims claims;
  QuotaGrants repeated;
  for (const QuotaHolding& it : holdings.teams) {
    const auto account = quota.accounts.find(it.team);
    if (account == quota.accounts.end()) {
      continue;
    }
    QuotaLedger& ledger = account->second.ledger;
    std::uint64_t& highest = quota.highest_claims[it.team];
    highest = std::max(highest, it.claim);
    if (it.claim > ledger.claim) {
      // Another member has claimed the team since. Grants of this one are no
      // longer taken.
      ContestAccount(context, it.team);
    } else if (it.claim < ledger.claim) {
      claims.teams.push_back(ClaimOf(it.team, ledger));
    } else if (ledger.claim != 0 &&
               context.state.members.present.contains(from)) {
      NoteHolding(context, from, it, account->second, repeated);
    } else if (ledger.claim != 0) {
      // What a member that left goes on to tell of its runs is in `left`.
      account->second.audit.unlisted.insert(from);
    }
  }
  if (!claims.teams.empty()) {
    Send(context, from, std::move(claims));
  }
  if (!repeated.teams.empty()) {
    Send(context, from, std::move(repeated));
  }
}

void ContestAccount(Context& context, const std::string& team) {
  const auto account = context.state.quota.accounts.find(team);
  // An account that is not settled yet claims the team anyway. Waiting anew
  // with each report of the former claim would never end.
  if (account != context.state.quota.accounts.end() &&
      account->second.ledger.settled) {
    account->second.ledger.settled = false;
    account->second.audit = {.scan_due = context.now + kContestedDelay};
  }
}

void OnOwnedScanned(Context& context, OwnedScan scan) {
  context.state.quota.scan = std::move(scan);
}

}  // namespace burdockrock::engine
