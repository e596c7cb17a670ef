#include "engine/teams/quota_ledger.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <tuple>
#include <utility>

#include "engine/teams/team_policy.h"

namespace burdockrock::engine {

namespace {

// Of each cap, for each priority below the most urgent one. As at the workers:
// short urgent tasks need not wait for long ones to end.
constexpr double kReservePerPriority = 0.06;
// Most of a cap is for work of any priority, however many priorities there are.
constexpr double kMostReserve = 0.3;
// Members that are short report several times within it, and others once or not
// at all.
constexpr Duration kUnappliedSpan = std::chrono::milliseconds(3000);

Resources PositivePart(const Resources& amount) {
  return LargerOf(amount, Resources());
}

bool IsNothing(const Resources& amount) {
  return amount == Resources();
}

// The largest part of `need` that fits in `free`, with the same part of each
// dimension.
Resources PartThatFits(const Resources& need,
                       const Resources& free,
                       const Resources& cap) {
  const DimensionArray needs = ToArray(LimitedPart(need, cap));
  const DimensionArray rooms = ToArray(free);
  double part = 1;
  for (std::size_t it = 0; it < kDimensionCount; ++it) {
    if (needs[it] > 0) {
      part = std::min(part, static_cast<double>(rooms[it]) /
                                static_cast<double>(needs[it]));
    }
  }
  const auto scale = [part](std::int64_t amount) {
    return static_cast<std::int64_t>(part * static_cast<double>(amount));
  };
  return {.processors_milli = scale(need.processors_milli),
          .memory_mb = scale(need.memory_mb),
          .accelerators = scale(need.accelerators)};
}

// A member's place among those that wait for the cap.
using Place = std::pair<Time, std::string>;

// One member's need for an increase.
struct Need {
  Resources missing{};
  Resources least{};  // the least that helps
};

Resources IncreaseFor(const Need& need,
                      const Resources& free,
                      const Resources& cap,
                      bool alone) {
  if (Fits(LimitedPart(need.missing, cap), free)) {
    return need.missing;
  }
  const Resources part = PartThatFits(need.missing, free, cap);
  if (Fits(LimitedPart(need.least, cap), LimitedPart(part, cap))) {
    return part;
  }
  return alone || Fits(LimitedPart(need.least, cap), free) ? need.least
                                                           : Resources();
}

// The state of one decision: the grants so far, and what they leave.
struct GrantRound {
  const QuotaLedger& ledger;
  const Resources& cap;
  Resources held{};    // in all, of what the cap limits
  Resources shared{};  // of this, usable by work of any priority
  std::map<std::string, HolderGrant> grants{};

  HolderGrant& GrantTo(const std::string& name) {
    const QuotaHolder& holder = ledger.holders.at(name);
    return grants
        .try_emplace(name, HolderGrant{.holder = name,
                                       .held = holder.held,
                                       .shared = holder.shared})
        .first->second;
  }
  // The member with its grants so far.
  QuotaHolder HolderOf(const std::string& name) const {
    QuotaHolder holder = ledger.holders.at(name);
    const auto it = grants.find(name);
    if (it != grants.end()) {
      holder.held = it->second.held;
      holder.shared = it->second.shared;
    }
    return holder;
  }
  Resources Free() const { return PositivePart(LimitedPart(cap, cap) - held); }
  bool IsEmpty() const { return IsNothing(held); }
};

void GrantUrgent(GrantRound& round, const std::string& name) {
  const QuotaHolder& holder = round.ledger.holders.at(name);
  const Need need{.missing = UrgentShortage(holder),
                  .least = holder.urgent_least};
  if (IsNothing(LimitedPart(need.missing, round.cap))) {
    return;
  }
  const Resources increase =
      IncreaseFor(need, round.Free(), round.cap, round.IsEmpty());
  if (!IsNothing(increase)) {
    round.held += LimitedPart(increase, round.cap);
    round.GrantTo(name).held += increase;
  }
}

using Shortage = std::function<Resources(const QuotaHolder& holder)>;

// For all work that is not of the most urgent priority, or for what of it is
// within the team's entitlement.
void GrantOther(GrantRound& round,
                const Resources& reserve,
                const std::string& name,
                const Shortage& shortage) {
  const QuotaHolder holder = round.HolderOf(name);
  const Need need{.missing = shortage(holder), .least = holder.least};
  if (IsNothing(LimitedPart(need.missing, round.cap))) {
    return;
  }
  // Of the shared part, what urgent runs have taken is granted again.
  const Resources taken = PositivePart(holder.shared - UsableByOther(holder));
  // What is larger than the unreserved part would never run beside a reserve.
  const Resources limit = LimitedPart(round.cap, round.cap) - reserve;
  const bool fits_limit = Fits(LimitedPart(need.least, round.cap), limit);
  const Resources free =
      fits_limit
          ? SmallerOf(round.Free(), PositivePart(limit - round.shared) + taken)
          : round.Free();
  const Resources increase =
      IncreaseFor(need, free, round.cap, round.IsEmpty());
  if (!IsNothing(increase)) {
    const Resources more = PositivePart(increase - taken);
    round.held += LimitedPart(increase, round.cap);
    round.shared += LimitedPart(more, round.cap);
    round.GrantTo(name).held += increase;
    round.GrantTo(name).shared += more;
  }
}

// The largest part of the cap that the need takes in a dimension.
double PartOf(const Resources& need, const Resources& cap) {
  const DimensionArray needs = ToArray(need);
  const DimensionArray limits = ToArray(cap);
  double part = 0;
  for (std::size_t it = 0; it < kDimensionCount; ++it) {
    if (limits[it] > 0) {
      part = std::max(part, static_cast<double>(needs[it]) /
                                static_cast<double>(limits[it]));
    }
  }
  return part;
}

std::int64_t FollowLimit(std::int64_t held,
                         std::int64_t before,
                         std::int64_t now) {
  if (now == 0 || now == before) {
    return held;
  }
  if (before == 0) {
    return 0;
  }
  const double share = static_cast<double>(now) / static_cast<double>(before);
  return now > before
             ? held
             : static_cast<std::int64_t>(share * static_cast<double>(held));
}

}  // namespace

Resources LargerOf(const Resources& left, const Resources& right) {
  return {.processors_milli =
              std::max(left.processors_milli, right.processors_milli),
          .memory_mb = std::max(left.memory_mb, right.memory_mb),
          .accelerators = std::max(left.accelerators, right.accelerators),
          .slots = std::max(left.slots, right.slots)};
}

Resources SmallerOf(const Resources& left, const Resources& right) {
  return {.processors_milli =
              std::min(left.processors_milli, right.processors_milli),
          .memory_mb = std::min(left.memory_mb, right.memory_mb),
          .accelerators = std::min(left.accelerators, right.accelerators),
          .slots = std::min(left.slots, right.slots)};
}

void NoteApplied(Time now, std::uint64_t applied, QuotaHolder& holder) {
  const bool advances = applied > holder.applied;
  holder.applied = applied;
  holder.unapplied_for = Duration(0);
  if (applied == holder.grant) {
    holder.unapplied_since = kForever;
  } else if (advances || holder.unapplied_since == kForever) {
    holder.unapplied_since = now;
  } else {
    holder.unapplied_for = now - holder.unapplied_since;
  }
}

bool LeavesGrantsUnapplied(const QuotaHolder& holder) {
  return holder.unapplied_for >= kUnappliedSpan;
}

Resources HeldByLeft(const QuotaLedger& ledger) {
  Resources unknown = ledger.unclaimed;
  for (const auto& [name, it] : ledger.holders) {
    unknown += it.unknown;
  }
  return SmallerOf(ledger.left, unknown);
}

void MoveToLeft(QuotaLedger& ledger, const std::string& holder) {
  const auto it = ledger.holders.find(holder);
  if (it != ledger.holders.end()) {
    const Resources held = it->second.held + it->second.unknown;
    ledger.left += held;
    ledger.unclaimed += held;
    ledger.holders.erase(it);
  }
}

Resources HeldInAll(const QuotaLedger& ledger) {
  Resources held = HeldByLeft(ledger);
  for (const auto& [name, it] : ledger.holders) {
    held += it.held;
  }
  return held;
}

Resources ReserveOf(const Resources& cap, std::uint32_t lowest) {
  const double share =
      std::min(kReservePerPriority * static_cast<double>(lowest), kMostReserve);
  const auto part = [share](std::int64_t amount) {
    return static_cast<std::int64_t>(share * static_cast<double>(amount));
  };
  return {.processors_milli = part(cap.processors_milli),
          .memory_mb = part(cap.memory_mb),
          .accelerators = part(cap.accelerators)};
}

Resources UsableByUrgent(const QuotaHolder& holder) {
  return PositivePart(holder.held - holder.other_charge);
}

Resources UsableByOther(const QuotaHolder& holder) {
  const Resources urgent_charge = holder.charge - holder.other_charge;
  return SmallerOf(holder.shared, PositivePart(holder.held - urgent_charge));
}

Resources UrgentShortage(const QuotaHolder& holder) {
  return PositivePart(holder.urgent_wanted - UsableByUrgent(holder));
}

Resources OtherShortage(const QuotaHolder& holder) {
  return PositivePart(holder.wanted - holder.urgent_wanted -
                      UsableByOther(holder));
}

Resources EntitledShortage(const QuotaHolder& holder) {
  return PositivePart(holder.wanted - holder.urgent_wanted -
                      holder.excess_waiting - UsableByOther(holder));
}

bool IsShort(const QuotaHolder& holder, const Resources& cap) {
  return !IsNothing(LimitedPart(UrgentShortage(holder), cap)) ||
         !IsNothing(LimitedPart(OtherShortage(holder), cap));
}

void KeepSmaller(const Resources& need,
                 const Resources& cap,
                 Resources& smallest) {
  const bool limited = !IsNothing(LimitedPart(need, cap));
  if (limited &&
      (IsNothing(smallest) || PartOf(need, cap) < PartOf(smallest, cap))) {
    smallest = need;
  }
}

std::vector<HolderGrant> DecideGrants(const QuotaLedger& ledger,
                                      const Resources& cap,
                                      const Resources& reserve) {
  if (!ledger.settled) {
    return {};
  }
  GrantRound round{.ledger = ledger, .cap = cap};
  round.held = LimitedPart(HeldByLeft(ledger), cap);
  round.shared = round.held;
  std::vector<Place> waiting;
  for (const auto& [name, it] : ledger.holders) {
    round.held += LimitedPart(it.held, cap);
    round.shared += LimitedPart(it.shared, cap);
    if (it.asked_at != kForever) {
      waiting.emplace_back(it.asked_at, name);
    }
  }
  std::sort(waiting.begin(), waiting.end());
  for (const auto& [since, name] : waiting) {
    GrantUrgent(round, name);
  }
  for (const auto& [since, name] : waiting) {
    GrantOther(round, reserve, name, EntitledShortage);
  }
  for (const auto& [since, name] : waiting) {
    GrantOther(round, reserve, name, OtherShortage);
  }
  std::vector<HolderGrant> grants;
  for (const auto& [since, name] : waiting) {
    const auto it = round.grants.find(name);
    if (it != round.grants.end()) {
      grants.push_back(it->second);
    }
  }
  return grants;
}

Resources FollowCap(const Resources& held,
                    const Resources& before,
                    const Resources& now) {
  return {
      .processors_milli = FollowLimit(
          held.processors_milli, before.processors_milli, now.processors_milli),
      .memory_mb = FollowLimit(held.memory_mb, before.memory_mb, now.memory_mb),
      .accelerators = FollowLimit(held.accelerators, before.accelerators,
                                  now.accelerators)};
}

}  // namespace burdockrock::engine
