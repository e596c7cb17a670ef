// State of the accounting of teams' caps at one instance: what it holds for the
// runs of its own jobs, and the ledgers of the teams that it accounts for.
#ifndef BURDOCKROCK_ENGINE_TEAMS_QUOTA_STATE_H_
#define BURDOCKROCK_ENGINE_TEAMS_QUOTA_STATE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "engine/teams/quota_ledger.h"
#include "model/resources.h"
#include "model/time.h"

namespace burdockrock::engine {

// What this instance holds of one team's cap.
struct QuotaShare {
  std::string accountant{};  // the member whose grants are applied
  std::uint64_t claim = 0;   // of the accountant
  std::uint64_t grant = 0;   // number of its last grant
  Resources held{};
  Resources cap{};  // that `held` is part of
  // Of the own jobs; see QuotaDemand.
  Resources charge{};
  Resources wanted{};
  Resources least{};
  Time more_than_wanted_since = kForever;
  // As last reported to the accountant.
  Time sent_at = Time::min();
  Resources sent_held{};
  Resources sent_wanted{};
  bool sent_unmet = false;
};

// The check of a ledger against the jobs of all members: after the accountant
// has changed, and after a member with holdings has left.
struct QuotaAudit {
  bool running = false;
  // Not begun before. All jobs have to be owned by members then or later, and
  // no member may leave from then until all are asked: its jobs would be
  // neither reported by it nor by a new owner.
  Time due{0};
  std::uint64_t departures = 0;  // of members, at `due`
  bool asked = false;            // all members were asked for their holdings
  Time asked_at{0};
  std::set<std::string> awaited{};  // members that have not replied
  std::set<std::string> left{};     // holders that are no members any more
};

struct AccountedTeam {
  QuotaLedger ledger{};
  QuotaAudit audit{};
};

struct QuotaState {
  std::map<std::string, QuotaShare> shares{};       // by team
  std::map<std::string, AccountedTeam> accounts{};  // by team
  // By team: the highest claim that was heard of.
  std::map<std::string, std::uint64_t> highest_claims{};
  // The members and the configuration for which `accounts` were chosen.
  std::uint64_t members_version = 0;
  std::uint64_t configuration_version = 0;
  // At this time each stored job had an owner that is a member.
  Time all_owned_at = Time::min();
  Time scanned_at = Time::min();  // last scan that an audit requested
};

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_TEAMS_QUOTA_STATE_H_
