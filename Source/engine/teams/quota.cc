#include "engine/teams/quota.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "engine/jobs/adoption.h"
#include "engine/jobs/placement_round.h"
#include "engine/members/member_features.h"
#include "engine/members/membership.h"
#include "engine/teams/quota_accounts.h"
#include "engine/teams/quota_demand.h"
#include "engine/teams/team_members.h"

namespace burdockrock::engine {

namespace {

// Between two counts of the own jobs' demand, which look at all of their tasks.
// What an end leaves of a cap is used again this much later at most.
constexpr Duration kDemandInterval = milliseconds(10);
// Changes within this time share a report.
constexpr Duration kReportInterval = milliseconds(20);
// A request that is not met is brought up to date at this interval, as the
// demand changes with each task that ends.
constexpr Duration kRequestUpdate = milliseconds(100);
// It is repeated, as messages may get lost.
constexpr Duration kRequestRepeat = milliseconds(500);
// A holding is reported again, so that the accountant's knowledge recovers.
constexpr Duration kReportRepeat = milliseconds(5000);
// What is no longer wanted is kept for this long: the next step of a job often
// follows at once, and others of the team may wait for it.
constexpr Duration kIdleHolding = milliseconds(100);
// What is held for tasks that wait is returned after this time without a start:
// no worker may have room for them, while others of the team wait for the cap.
constexpr Duration kUnusedHolding = milliseconds(1000);
// It is requested again after this time, so that others get their turn.
constexpr Duration kYield = milliseconds(100);

bool IsUnmet(const Resources& wanted,
             const Resources& held,
             const Resources& cap) {
  return !Fits(LimitedPart(wanted, cap), LimitedPart(held, cap));
}

// Whether the job comes after the other work of its team.
bool IsDeferredJob(const Job& job) {
  return job.excess &&
         std::any_of(
             job.occurrences.begin(), job.occurrences.end(),
             [](const Occurrence& it) { return IsDeferred(it.standing); });
}

Resources OtherWanted(const QuotaShare& share) {
  return share.wanted - share.urgent_wanted;
}

void NoteRefused(Time now,
                 const std::string& from,
                 const QuotaGrant& grant,
                 RefusedGrants& refused) {
  ++refused.count;
  refused.last = grant.number;
  refused.from = from;
  refused.since = std::min(refused.since, now);
}

// False for a gang that was accepted under a higher cap: it can't start.
bool FitsCap(const StepSpec& step, const Resources& cap) {
  Resources all;
  for (std::uint32_t it = 0; step.gang && it < step.count; ++it) {
    all += ChargeOfRun(step);
  }
  return Fits(LimitedPart(all, cap), LimitedPart(cap, cap));
}

MayStart MayStartOf(const Context& context, Job& job) {
  const QueuePolicy* queue =
      FindQueueByName(context.state.configuration, job.queue);
  const Resources cap = CapOf(context.state.configuration, job.team);
  return [&context, &job, queue, cap](std::uint32_t occurrence,
                                      std::uint32_t step) {
    const ReadyStep ready{
        .job = &job, .occurrence = occurrence, .step = step, .queue = queue};
    return queue != nullptr && FitsCap(job.spec.steps[step], cap) &&
           (ready.run().awaits_cap || MayPlaceAnywhere(context, ready));
  };
}

// What runs of a job that is being adopted may take.
Resources MostOf(const State& state,
                 const std::string& job,
                 const Orphan& orphan) {
  if (orphan.entry.most) {
    return *orphan.entry.most;
  }
  const auto it = state.catalog.find(job);
  return it == state.catalog.end() || !it->second.spec
             ? Resources()
             : MostChargeOf(*it->second.spec);
}

// Counts the own jobs' demand anew.
void UpdateShares(Context& context) {
  context.state.quota.counted_at = context.now;
  auto& shares = context.state.quota.shares;
  for (auto& [team, share] : shares) {
    share.charge = Resources();
    share.other_charge = Resources();
    share.wanted = Resources();
    share.urgent_wanted = Resources();
    share.least = Resources();
    share.urgent_least = Resources();
    share.excess_waiting = Resources();
    share.unknown = Resources();
  }
  for (const auto& [id, orphan] : context.state.orphans) {
    if (orphan.writing && !orphan.entry.team.empty()) {
      shares[orphan.entry.team].unknown += MostOf(context.state, id, orphan);
    }
  }
  for (const std::string& id : context.state.active) {
    Job& job = context.state.jobs.at(id);
    if (job.team.empty()) {
      continue;
    }
    QuotaShare& share = shares[job.team];
    const Resources cap = CapOf(context.state.configuration, job.team);
    const QuotaDemand demand = DemandOf(job, cap, MayStartOf(context, job));
    // What is held for a job that is not stored yet would not be found by an
    // accountant that scans the stored jobs.
    const bool asks = job.stored && context.now >= share.yields_until;
    const Resources waiting = asks ? demand.waiting : Resources();
    const Resources least = asks ? demand.least : Resources();
    share.charge += demand.charge;
    share.unknown += demand.unknown;
    share.wanted += demand.charge + waiting;
    if (IsUrgent(context.state.configuration, job)) {
      share.urgent_wanted += demand.charge + waiting;
      KeepSmaller(least, cap, share.urgent_least);
    } else {
      share.other_charge += demand.charge;
      share.excess_waiting += IsDeferredJob(job) ? waiting : Resources();
      KeepSmaller(least, cap, share.least);
    }
  }
  for (auto& [team, share] : shares) {
    const Resources cap = CapOf(context.state.configuration, team);
    if (share.cap != cap) {
      share.held = FollowCap(share.held, share.cap, cap);
      share.shared = FollowCap(share.shared, share.cap, cap);
      share.cap = cap;
    }
  }
}

// Of what is held, the part that the own jobs need.
struct NeededHolding {
  Resources held{};
  Resources shared{};
};

// Whether `least`, if it is any, may start within what is usable of a holding
// beside runs that take `charge`.
bool MayStartWithin(const Resources& usable,
                    const Resources& charge,
                    const Resources& least,
                    const Resources& cap) {
  return least != Resources() && !IsUnmet(charge + least, usable, cap);
}

// Of what waits, nothing is needed that starts nothing: members that each keep
// a part for a gang would wait for each other.
NeededHolding NeededOf(const QuotaShare& share) {
  const QuotaHolder holder = HolderOf(share);
  const Resources urgent_charge = share.charge - share.other_charge;
  const Resources urgent = MayStartWithin(UsableByUrgent(holder), urgent_charge,
                                          share.urgent_least, share.cap)
                               ? share.urgent_wanted
                               : urgent_charge;
  const Resources other =
      MayStartWithin(UsableByOther(holder), share.other_charge, share.least,
                     share.cap)
          ? OtherWanted(share)
          : share.other_charge;
  const Resources shared = SmallerOf(share.shared, other);
  return {
      .held = SmallerOf(share.held, LargerOf(share.charge, urgent + shared)),
      .shared = shared};
}

// What the cap limits of a holding, beyond the runs.
Resources Beyond(const Resources& charge,
                 const Resources& held,
                 const Resources& cap) {
  return LimitedPart(LargerOf(held - charge, Resources()), cap);
}

// Whether some of the cap has been held beyond the runs for long.
bool IsUnused(Time now, QuotaShare& share) {
  const Resources unused = Beyond(share.charge, share.held, share.cap);
  const Resources shared_unused =
      Beyond(share.other_charge, share.shared, share.cap);
  const bool first = share.unused_since == kForever;
  share.unused = first ? unused : SmallerOf(share.unused, unused);
  share.shared_unused =
      first ? shared_unused : SmallerOf(share.shared_unused, shared_unused);
  if (share.unused == Resources() && share.shared_unused == Resources()) {
    share.unused_since = kForever;
    return false;
  }
  share.unused_since = std::min(share.unused_since, now);
  return HasPassed(now, share.unused_since, kUnusedHolding);
}

void ReturnIdleHoldings(Context& context) {
  for (auto& [team, share] : context.state.quota.shares) {
    if (IsUnused(context.now, share)) {
      share.unused_since = kForever;
      share.yields_until = context.now + kYield;
      share.held = share.held - share.unused;
      share.shared = SmallerOf(share.shared - share.shared_unused, share.held);
    }
    const NeededHolding needed = NeededOf(share);
    if (Fits(share.held, needed.held) && Fits(share.shared, needed.shared)) {
      share.more_than_wanted_since = kForever;
      continue;
    }
    share.more_than_wanted_since =
        std::min(share.more_than_wanted_since, context.now);
    if (HasPassed(context.now, share.more_than_wanted_since, kIdleHolding)) {
      share.more_than_wanted_since = kForever;
      share.held = needed.held;
      share.shared = needed.shared;
    }
  }
}

QuotaHolding FullReport(const std::string& team, const QuotaShare& share) {
  const QuotaHolder holder = HolderOf(share);
  return {.team = team,
          .claim = share.claim,
          .grant = share.grant,
          .held = holder.held,
          .wanted = holder.wanted,
          .least = holder.least,
          .shared = holder.shared,
          .urgent_wanted = holder.urgent_wanted,
          .urgent_least = holder.urgent_least,
          .charge = holder.charge,
          .other_charge = holder.other_charge,
          .unknown = holder.unknown,
          .excess_waiting = holder.excess_waiting};
}

// The report as a member that knows no priorities understands it.
QuotaHolding WithoutPriorities(QuotaHolding report) {
  if (report.least == Resources()) {
    report.least = report.urgent_least;
  }
  report.held += report.unknown;
  report.shared = report.held;
  report.unknown = Resources();
  report.urgent_wanted = Resources();
  report.urgent_least = Resources();
  report.charge = Resources();
  report.other_charge = Resources();
  report.excess_waiting = Resources();
  return report;
}

// The report as its receiver understands it.
QuotaHolding ReportTo(const Context& context,
                      const std::string& receiver,
                      const std::string& team,
                      const QuotaShare& share) {
  QuotaHolding report = FullReport(team, share);
  if (KnowsRegistrations(receiver)) {
    report.registration = context.state.members.registration;
  }
  return KnowsLoad(receiver) ? report : WithoutPriorities(std::move(report));
}

void NoteReported(Time now, QuotaShare& share) {
  share.sent_at = now;
  share.sent_held = HolderOf(share).held;
  share.sent_shared = share.shared;
  share.sent_wanted = share.wanted;
  share.sent_urgent_wanted = share.urgent_wanted;
  share.sent_excess_waiting = share.excess_waiting;
  share.sent_unknown = share.unknown;
  share.sent_unmet = IsShort(HolderOf(share), share.cap);
}

bool IsReportDue(Time now, const QuotaShare& share) {
  const bool unmet = IsShort(HolderOf(share), share.cap);
  const Resources counted = HolderOf(share).held;
  // What is not known any more blocks the cap for others until it is told.
  const bool changed =
      counted != share.sent_held || share.shared != share.sent_shared ||
      unmet != share.sent_unmet || share.unknown != share.sent_unknown;
  const bool other_demand =
      unmet && (share.wanted != share.sent_wanted ||
                share.urgent_wanted != share.sent_urgent_wanted ||
                share.excess_waiting != share.sent_excess_waiting);
  const bool holds = counted != Resources() || share.unknown != Resources();
  return (changed && HasPassed(now, share.sent_at, kReportInterval)) ||
         (other_demand && HasPassed(now, share.sent_at, kRequestUpdate)) ||
         (unmet && HasPassed(now, share.sent_at, kRequestRepeat)) ||
         (holds && HasPassed(now, share.sent_at, kReportRepeat));
}

void SendHoldings(Context& context) {
  std::map<std::string, QuotaHoldings> reports;  // by accountant
  for (auto& [team, share] : context.state.quota.shares) {
    if (share.cap == Resources() || !IsReportDue(context.now, share)) {
      continue;
    }
    const std::string accountant = AccountantOf(context.state, team);
    if (!accountant.empty()) {
      NoteReported(context.now, share);
      reports[accountant].teams.push_back(
          ReportTo(context, accountant, team, share));
    }
  }
  for (auto& [accountant, it] : reports) {
    Send(context, accountant, std::move(it));
  }
}

}  // namespace

bool IsUrgent(const Configuration& configuration, const Job& job) {
  const QueuePolicy* queue = FindQueueByName(configuration, job.queue);
  return !job.excess && queue != nullptr && queue->priority == kMostUrgent &&
         LowestPriority(configuration) != kMostUrgent;
}

QuotaHolder HolderOf(const QuotaShare& share) {
  return {.held = LargerOf(share.held, share.charge),
          .shared = LargerOf(share.shared, share.other_charge),
          .wanted = share.wanted,
          .urgent_wanted = share.urgent_wanted,
          .charge = share.charge,
          .other_charge = share.other_charge,
          .least = share.least,
          .urgent_least = share.urgent_least,
          .unknown = share.unknown,
          .excess_waiting = share.excess_waiting};
}

void DriveQuota(Context& context) {
  const QuotaState& quota = context.state.quota;
  const bool unused = !context.state.configuration.teams &&
                      quota.shares.empty() && quota.accounts.empty();
  if (unused || !IsRegistered(context.state)) {
    return;
  }
  if (HasPassed(context.now, quota.counted_at, kDemandInterval)) {
    UpdateShares(context);
    ReturnIdleHoldings(context);
    SendHoldings(context);
  }
  DriveAccounts(context);
}

void OnQuotaGrants(Context& context,
                   const std::string& from,
                   const QuotaGrants& grants) {
  for (const QuotaGrant& it : grants.teams) {
    const auto found = context.state.quota.shares.find(it.team);
    if (found == context.state.quota.shares.end()) {
      continue;
    }
    QuotaShare& share = found->second;
    const bool current = !KnowsRegistrations(from) ||
                         it.registration == context.state.members.registration;
    const bool valid =
        current && share.accountant == from && share.claim == it.claim;
    if (valid && it.number >= share.grant) {
      share.use = {
          .told_at = context.now, .taken = it.taken, .blocked = it.blocked};
    }
    if (!valid || it.number < share.grant) {
      NoteRefused(context.now, from, it, share.refused);
      ++context.state.totals.refused_grants;
    }
    // One that is applied already may be repeated.
    if (!valid || it.number <= share.grant) {
      continue;
    }
    share.refused = {};
    share.grant = it.number;
    share.held = it.held;
    share.shared = it.shared;
    share.cap = it.cap;
    share.sent_held = it.held;
    share.sent_shared = it.shared;
    context.state.placement_due = true;
  }
}

void OnQuotaClaims(Context& context,
                   const std::string& from,
                   const QuotaClaims& claims) {
  UpdateShares(context);
  QuotaState& quota = context.state.quota;
  QuotaHoldings reply;
  for (const QuotaClaim& it : claims.teams) {
    QuotaShare& share = quota.shares[it.team];
    std::uint64_t& highest = quota.highest_claims[it.team];
    highest = std::max(highest, it.claim);
    const bool newer =
        std::tie(it.claim, from) > std::tie(share.claim, share.accountant);
    if (newer) {
      share.accountant = from;
      share.claim = it.claim;
      share.grant = it.grant;
      share.held = SmallerOf(share.held, share.charge);
      share.shared = SmallerOf(share.shared, share.other_charge);
      share.cap = CapOf(context.state.configuration, it.team);
    }
    if (newer && from != context.self()) {
      ContestAccount(context, it.team);
    }
    NoteReported(context.now, share);
    reply.teams.push_back(ReportTo(context, from, it.team, share));
  }
  Reply(context, from, std::move(reply));
}

bool HasQuota(const Context& context, const Job& job, const Resources& need) {
  const Resources cap = CapOf(context.state.configuration, job.team);
  if (cap == Resources()) {
    return true;
  }
  const auto it = context.state.quota.shares.find(job.team);
  if (it == context.state.quota.shares.end()) {
    return false;
  }
  const QuotaHolder holder = HolderOf(it->second);
  if (IsUrgent(context.state.configuration, job)) {
    return !IsUnmet(holder.charge - holder.other_charge + need,
                    UsableByUrgent(holder), cap);
  }
  return !IsUnmet(holder.other_charge + need, UsableByOther(holder), cap);
}

bool WaitsForCap(const Context& context,
                 const Job& job,
                 const Resources& least) {
  const auto it = context.state.quota.shares.find(job.team);
  if (it == context.state.quota.shares.end()) {
    return false;
  }
  const QuotaHolder holder = HolderOf(it->second);
  const Resources& cap = it->second.cap;
  const auto waits = [&](const Resources& shortage, const Resources& smallest,
                         const Resources& usable, const Resources& charge) {
    return LimitedPart(shortage, cap) != Resources() &&
           !MayStartWithin(usable, charge, smallest, cap) &&
           Fits(LimitedPart(smallest, cap), LimitedPart(least, cap));
  };
  if (IsUrgent(context.state.configuration, job)) {
    return waits(UrgentShortage(holder), holder.urgent_least,
                 UsableByUrgent(holder), holder.charge - holder.other_charge);
  }
  return waits(
      IsDeferredJob(job) ? OtherShortage(holder) : EntitledShortage(holder),
      holder.least, UsableByOther(holder), holder.other_charge);
}

bool IsCountedSince(const Context& context, Time since) {
  return context.state.quota.counted_at > since;
}

void TakeQuota(Context& context, const Job& job, const Resources& need) {
  const auto it = context.state.quota.shares.find(job.team);
  if (it == context.state.quota.shares.end()) {
    return;
  }
  it->second.charge += need;
  if (!IsUrgent(context.state.configuration, job)) {
    it->second.other_charge += need;
  }
}

void ForgetHoldings(QuotaState& quota) {
  quota.accounts.clear();
  quota.members_version = 0;
  for (auto& [team, share] : quota.shares) {
    share = QuotaShare{.cap = share.cap,
                       .charge = share.charge,
                       .other_charge = share.other_charge,
                       .wanted = share.wanted,
                       .urgent_wanted = share.urgent_wanted,
                       .least = share.least,
                       .urgent_least = share.urgent_least,
                       .excess_waiting = share.excess_waiting};
  }
}

}  // namespace burdockrock::engine
