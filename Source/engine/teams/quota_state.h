// State of the accounting of teams' caps at one instance: what it holds for the
// runs of its own jobs, and the ledgers of the teams that it accounts for.
#ifndef BURDOCKROCK_ENGINE_TEAMS_QUOTA_STATE_H_
#define BURDOCKROCK_ENGINE_TEAMS_QUOTA_STATE_H_

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "engine/teams/quota_ledger.h"
#include "model/resources.h"
#include "model/time.h"

namespace burdockrock::engine {

// How a team's cap is used, as its accountant last told.
struct CapUse {
  Time told_at = Time::min();
  Resources taken{};    // by all members and former ones
  Resources blocked{};  // of this, what runs of former members may take

  auto operator<=>(const CapUse&) const = default;
};

// Grants that were not applied since the last one that was.
struct RefusedGrants {
  std::uint64_t count = 0;
  std::uint64_t last = 0;  // its number
  std::string from{};      // its sender
  Time since = kForever;

  auto operator<=>(const RefusedGrants&) const = default;
};

// What this instance holds of one team's cap.
struct QuotaShare {
  std::string accountant{};  // the member whose grants are applied
  std::uint64_t claim = 0;   // of the accountant
  std::uint64_t grant = 0;   // number of its last grant
  Resources held{};
  Resources shared{};  // the part that work of any priority may use
  Resources cap{};     // that `held` is part of
  // Of the own jobs; see QuotaDemand.
  Resources charge{};
  Resources other_charge{};  // of work that is not of the most urgent priority
  Resources wanted{};
  Resources urgent_wanted{};  // of the most urgent priority
  Resources least{};
  Resources urgent_least{};
  Resources excess_waiting{};  // waiting tasks beyond the team's entitlement
  // Of adopted jobs, and of those whose adoption is being written: what runs of
  // former owners may take.
  Resources unknown{};
  Time more_than_wanted_since = kForever;
  // What has been held beyond the runs all the time since then: in all, and of
  // the part that work of any priority may use.
  Time unused_since = kForever;
  Resources unused{};
  Resources shared_unused{};
  // Until then nothing is requested for tasks that wait.
  Time yields_until = Time::min();
  // As last reported to the accountant.
  Time sent_at = Time::min();
  Resources sent_held{};
  Resources sent_shared{};
  Resources sent_wanted{};
  Resources sent_urgent_wanted{};
  Resources sent_excess_waiting{};
  Resources sent_unknown{};
  bool sent_unmet = false;
  // For logs.
  CapUse use{};
  RefusedGrants refused{};
};

// How an account learns what members hold that it has not heard from: after the
// accountant has changed, and after a member with holdings has left.
struct QuotaAudit {
  // A scan of the stored jobs that begins then or later is to be applied;
  // kForever: none.
  Time scan_due = kForever;
  Time asked_at{0};
  std::set<std::string> awaited{};  // members that have not replied
  // Senders of reports that are no members: a registration may become known
  // after the first report of the member.
  std::set<std::string> unlisted{};
  // By the last scan, what stored jobs of owners that are no members may take.
  // It counts once all members that own jobs of the team have replied: those
  // may have adopted others.
  Resources unclaimed{};
  bool reviews = false;  // `unclaimed` is to count then
};

struct AccountedTeam {
  QuotaLedger ledger{};
  QuotaAudit audit{};
};

// What the stored jobs of one owner may take of one team's cap.
struct QuotaBound {
  Resources most{};
  // A job that an earlier release stored may take any part of the cap.
  bool unlimited = false;

  auto operator<=>(const QuotaBound&) const = default;
};

// One scan of all stored jobs that have not ended.
struct OwnedScan {
  Time began = Time::min();
  // By owner and team.
  std::map<std::string, std::map<std::string, QuotaBound>> bounds{};
};

struct QuotaState {
  std::map<std::string, QuotaShare> shares{};       // by team
  std::map<std::string, AccountedTeam> accounts{};  // by team
  // By team: the highest claim that was heard of.
  std::map<std::string, std::uint64_t> highest_claims{};
  // The members and the configuration for which `accounts` were chosen.
  std::uint64_t members_version = 0;
  std::uint64_t configuration_version = 0;
  Time counted_at = Time::min();  // last count of the own jobs' demand
  OwnedScan scan{};               // the last complete one
  Time scanned_at = Time::min();  // last scan that an audit requested
};

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_TEAMS_QUOTA_STATE_H_
