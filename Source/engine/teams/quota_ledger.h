// The accounting of one team's cap: which member may start how much of it. Pure
// functions of what the members have reported.
//
// Load pattern: a team sends more than its cap holds, to all members at once.
// Each of them then starts no more than what it holds of the cap, and the sum
// of all holdings is at most the cap.
#ifndef BURDOCKROCK_ENGINE_TEAMS_QUOTA_LEDGER_H_
#define BURDOCKROCK_ENGINE_TEAMS_QUOTA_LEDGER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "model/resources.h"
#include "model/time.h"

namespace burdockrock::engine {

// What one member holds of the cap.
struct QuotaHolder {
  Resources held{};
  Resources wanted{};        // for its runs and its waiting tasks
  Resources least{};         // the least that would help it
  std::uint64_t grant = 0;   // number of the last grant to it
  Time asked_at = kForever;  // since when it has wanted more than it holds

  auto operator<=>(const QuotaHolder&) const = default;
};

struct QuotaLedger {
  std::uint64_t claim = 0;
  // All holdings are known. Nothing is granted before.
  bool settled = false;
  std::map<std::string, QuotaHolder> holders{};  // by incarnation

  auto operator<=>(const QuotaLedger&) const = default;
};

// An increase of what a member holds.
struct HolderGrant {
  std::string holder{};
  Resources held{};

  auto operator<=>(const HolderGrant&) const = default;
};

Resources HeldInAll(const QuotaLedger& ledger);

// The increases that the cap allows: to the member that has waited longest
// first, and to each at least what helps it. A single task that is larger than
// the cap gets it when nothing else is held.
std::vector<HolderGrant> DecideGrants(const QuotaLedger& ledger,
                                      const Resources& cap);

// What remains valid of `held` when the team's cap changes from `before` to
// `now`: the same share of a lower cap, so that the sum over all members
// follows it without a message; nothing in a dimension that had no limit.
Resources FollowCap(const Resources& held,
                    const Resources& before,
                    const Resources& now);

// The larger or smaller amount in each dimension.
Resources LargerOf(const Resources& left, const Resources& right);
Resources SmallerOf(const Resources& left, const Resources& right);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_TEAMS_QUOTA_LEDGER_H_
