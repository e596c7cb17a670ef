// The accounting of one team's cap: which member may start how much of it. Pure
// functions of what the members have reported.
//
// Load pattern: a team sends more than its cap holds, to all members at once.
// Each of them then starts no more than what it holds of the cap, and the sum
// of all holdings is at most the cap. Long tasks of low priority would fill the
// cap, and short urgent ones wait for their ends: a part of the cap is reserved
// for the most urgent work.
#ifndef BURDOCKROCK_ENGINE_TEAMS_QUOTA_LEDGER_H_
#define BURDOCKROCK_ENGINE_TEAMS_QUOTA_LEDGER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "model/resources.h"
#include "model/time.h"

namespace burdockrock::engine {

// What one member holds of the cap. The member decides by the same values
// whether it may start a run and whether it is short as its accountant does.
struct QuotaHolder {
  // At least what its runs take: those of adopted jobs count, although nothing
  // was granted for them.
  Resources held{};
  Resources shared{};         // the part that work of any priority may use
  Resources wanted{};         // for its runs and its waiting tasks
  Resources urgent_wanted{};  // of these, for the most urgent work
  Resources charge{};         // its runs
  Resources other_charge{};   // of these, runs of other work
  Resources least{};          // the least that would help other work
  Resources urgent_least{};
  Resources unknown{};  // what runs of former owners of its jobs may take
  Resources excess_waiting{};  // of what is wanted, beyond the entitlement
  std::uint64_t grant = 0;     // number of the last grant to it
  // What the last grant gives it. Runs that it took over count as held beside
  // it, but give no right to start others in their place.
  Resources granted{};
  Resources granted_shared{};
  std::uint64_t applied = 0;  // number of the last grant that it reported
  // Since the first report in a row that told the same earlier grant, and how
  // long after it the last one came. Of a single report it is not known whether
  // the grant was on its way.
  Time unapplied_since = kForever;
  Duration unapplied_for{0};
  // The registration that it last reported; 0: it has told none.
  std::uint64_t registration = 0;
  Time heard_at = Time::min();  // last report, or question for one
  Time asked_at = kForever;     // since when it has wanted more than it holds
  Time told_at = Time::min();   // when it was told how the cap is used

  auto operator<=>(const QuotaHolder&) const = default;
};

struct QuotaLedger {
  std::uint64_t claim = 0;
  // The holdings are known, or bounds of them. Nothing is granted before.
  bool settled = false;
  // Number of the last grant. It is the ledger's, as the account of a holder
  // may end while the holder goes on with its numbers.
  std::uint64_t last_grant = 0;
  std::map<std::string, QuotaHolder> holders{};  // members, by incarnation
  // What members held that left. Their jobs' runs take no more than that, nor
  // more than what their new owners do not know yet and what is unclaimed.
  Resources left{};
  Resources unclaimed{};  // may be taken by jobs that no member has adopted

  auto operator<=>(const QuotaLedger&) const = default;
};

// An increase of what a member holds.
struct HolderGrant {
  std::string holder{};
  Resources held{};
  Resources shared{};

  auto operator<=>(const HolderGrant&) const = default;
};

// Records the number of the last grant that the holder has applied, as it
// reports it.
void NoteApplied(Time now, std::uint64_t applied, QuotaHolder& holder);

// Whether the holder has reported an earlier grant than the last one for so
// long that it refuses grants or does not receive them.
bool LeavesGrantsUnapplied(const QuotaHolder& holder);

// Of a cap, what runs of members that left may still take.
Resources HeldByLeft(const QuotaLedger& ledger);

Resources HeldInAll(const QuotaLedger& ledger);

// The holder is no member any more.
void MoveToLeft(QuotaLedger& ledger, const std::string& holder);

// The part of a cap that only the most urgent work may use, where queues have
// priorities down to `lowest`.
Resources ReserveOf(const Resources& cap, std::uint32_t lowest);

// What the member's most urgent work may take, its runs among it, and what all
// other work may: urgent work may use all that other work leaves.
Resources UsableByUrgent(const QuotaHolder& holder);
Resources UsableByOther(const QuotaHolder& holder);

// What the member lacks for its most urgent work, for all other work, and for
// what of the latter is within the team's entitlement.
Resources UrgentShortage(const QuotaHolder& holder);
Resources OtherShortage(const QuotaHolder& holder);
Resources EntitledShortage(const QuotaHolder& holder);
// Whether the member lacks something that the cap limits.
bool IsShort(const QuotaHolder& holder, const Resources& cap);

// The increases that the cap allows: first for the most urgent work, then for
// other work within the cap less `reserve`, and at last for what is beyond the
// team's entitlement; to the member that has waited longest first, and to each
// at least what helps it.
// A single task that is larger than the cap gets it when nothing else is held.
std::vector<HolderGrant> DecideGrants(const QuotaLedger& ledger,
                                      const Resources& cap,
                                      const Resources& reserve = {});

// What remains valid of `held` when the team's cap changes from `before` to
// `now`: the same share of a lower cap, so that the sum over all members
// follows it without a message; nothing in a dimension that had no limit.
Resources FollowCap(const Resources& held,
                    const Resources& before,
                    const Resources& now);

// Keeps in `smallest` the one of the two needs that takes the smaller part of
// the cap, in the dimension in which it takes most. What the cap does not limit
// is no need.
void KeepSmaller(const Resources& need,
                 const Resources& cap,
                 Resources& smallest);

// The larger or smaller amount in each dimension.
Resources LargerOf(const Resources& left, const Resources& right);
Resources SmallerOf(const Resources& left, const Resources& right);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_TEAMS_QUOTA_LEDGER_H_
