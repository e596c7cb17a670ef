#include "engine/teams/cap_limit.h"

#include <cstddef>

#include "engine/teams/quota.h"
#include "engine/teams/quota_accounts.h"
#include "engine/teams/quota_ledger.h"

namespace burdockrock::engine {

namespace {

// The accountant tells how the cap is used with each report of a shortage that
// it gets, which are repeated more often than this.
constexpr Duration kUseKnownFor = milliseconds(2000);

// Of the cap. For work that is not of the most urgent priority, what is
// reserved for such work counts as taken.
Resources LeftOf(const Context& context, const QuotaShare& share, bool urgent) {
  const std::uint32_t lowest = LowestPriority(context.state.configuration);
  const Resources reserve = urgent ? Resources() : ReserveOf(share.cap, lowest);
  return LargerOf(LimitedPart(share.cap - share.use.taken - reserve, share.cap),
                  Resources());
}

CapState StateOf(const Context& context,
                 const QuotaShare& share,
                 const Resources& need,
                 const Resources& left) {
  const Resources needed = LimitedPart(need, share.cap);
  const bool known = !HasPassed(context.now, share.use.told_at, kUseKnownFor);
  if (!known || Fits(needed, left)) {
    return CapState::kUngranted;
  }
  const Resources blocked = LimitedPart(share.use.blocked, share.cap);
  return Fits(needed, left + blocked) ? CapState::kBlocked : CapState::kFull;
}

}  // namespace

const char* CapStateName(CapState state) {
  switch (state) {
    case CapState::kFull:
      return "full";
    case CapState::kBlocked:
      return "blocked";
    case CapState::kUngranted:
      return "ungranted";
  }
  return "";
}

CapLimit CapLimitOf(const Context& context,
                    const Job& job,
                    const Resources& need) {
  const auto it = context.state.quota.shares.find(job.team);
  if (it == context.state.quota.shares.end()) {
    return {};
  }
  const QuotaShare& share = it->second;
  const QuotaHolder holder = HolderOf(share);
  const bool urgent = IsUrgent(context.state.configuration, job);
  const Resources left = LeftOf(context, share, urgent);
  const DimensionArray usable =
      ToArray(urgent ? UsableByUrgent(holder) : UsableByOther(holder));
  const DimensionArray used =
      ToArray(urgent ? share.charge - share.other_charge : share.other_charge);
  const DimensionArray needed = ToArray(need);
  const DimensionArray cap = ToArray(share.cap);
  const DimensionArray room = ToArray(left);
  const auto lacks_part = [&](std::size_t d) {
    return cap[d] > 0 && used[d] + needed[d] > usable[d];
  };
  // Where several lack their part, one that the cap has no room in is named.
  std::size_t binding = kDimensionCount;
  for (std::size_t d = 0; d < kDimensionCount; ++d) {
    const bool replaces =
        binding == kDimensionCount ||
        (needed[binding] <= room[binding] && needed[d] > room[d]);
    binding = lacks_part(d) && replaces ? d : binding;
  }
  if (binding == kDimensionCount) {
    return {};
  }
  return {.dimension = DimensionName(binding),
          .state = StateOf(context, share, need, left),
          .taken = ToArray(share.use.taken)[binding],
          .blocked = ToArray(share.use.blocked)[binding],
          .refused = share.refused,
          .since_refused = share.refused.since == kForever
                               ? Duration(0)
                               : context.now - share.refused.since,
          .since_told = share.use.told_at == Time::min()
                            ? Duration(0)
                            : context.now - share.use.told_at,
          .held = ToArray(share.held)[binding],
          .usable = usable[binding],
          .used = used[binding],
          .wanted = ToArray(share.wanted)[binding],
          .cap = cap[binding],
          .grant = share.grant};
}

}  // namespace burdockrock::engine
