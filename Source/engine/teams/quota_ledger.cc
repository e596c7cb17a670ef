#include "engine/teams/quota_ledger.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "engine/teams/team_policy.h"

namespace burdockrock::engine {

namespace {

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

Resources IncreaseFor(const QuotaHolder& holder,
                      const Resources& free,
                      const Resources& cap,
                      bool others_hold) {
  const Resources need = PositivePart(holder.wanted - holder.held);
  if (Fits(LimitedPart(need, cap), free)) {
    return need;
  }
  const Resources part = PartThatFits(need, free, cap);
  if (Fits(LimitedPart(holder.least, cap), LimitedPart(part, cap))) {
    return part;
  }
  const bool alone = !others_hold && IsNothing(LimitedPart(holder.held, cap));
  return alone || Fits(LimitedPart(holder.least, cap), free) ? holder.least
                                                             : Resources();
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

Resources HeldInAll(const QuotaLedger& ledger) {
  Resources held;
  for (const auto& [name, it] : ledger.holders) {
    held += it.held;
  }
  return held;
}

std::vector<HolderGrant> DecideGrants(const QuotaLedger& ledger,
                                      const Resources& cap) {
  if (!ledger.settled) {
    return {};
  }
  std::vector<std::pair<Time, std::string>> waiting;
  for (const auto& [name, it] : ledger.holders) {
    if (it.asked_at != kForever) {
      waiting.emplace_back(it.asked_at, name);
    }
  }
  std::sort(waiting.begin(), waiting.end());
  Resources held = LimitedPart(HeldInAll(ledger), cap);
  std::vector<HolderGrant> grants;
  for (const auto& [since, name] : waiting) {
    const QuotaHolder& holder = ledger.holders.at(name);
    const Resources increase =
        IncreaseFor(holder, PositivePart(LimitedPart(cap, cap) - held), cap,
                    !IsNothing(held));
    if (!IsNothing(increase)) {
      held += LimitedPart(increase, cap);
      grants.push_back({.holder = name, .held = holder.held + increase});
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
