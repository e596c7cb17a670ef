#include "engine/workers/lease_bounds.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <utility>

#include "engine/members/membership.h"
#include "engine/members/query_pacing.h"
#include "engine/workers/worker_list.h"
#include "engine/workers/worker_owner.h"
#include "model/worker_incarnation.h"

namespace burdockrock::engine {

namespace {

// Between two queries without a reply. Short enough for several queries before
// a lease expires.
constexpr Duration kQueryRepeat = milliseconds(400);

// Longest age of the list of members of an instance that follows it.
// The age counts from the start of the last call that was answered, and the
// next one may take as long.
constexpr Duration kViewLag = 2 * (kWatchWait + kWatchSlack) + kStoreRetryDelay;

// From a process's last contact with the store to the end of its last leases.
Duration LongestSpan(const Context& context) {
  return kMaxRenewalWithoutStore + LeaseSpan(context);
}

// How late the last calls of a process that has ended may take effect at the
// worker. A worker that never returns under its id refuses them by their lease.
Duration LateCallsAt(const OwnedWorker& worker) {
  return BornOf(worker.info.id) != 0 ? kMaxCallDelay : Duration(0);
}

// For a member that has left the store's list of members.
Time DepartedLeasesEnd(const Context& context, const DepartedMember& member) {
  const Time without_store = member.unlisted_at + LongestSpan(context);
  if (member.stopped_renewing_at == kForever) {
    return without_store;
  }
  return std::min(without_store,
                  member.stopped_renewing_at + LeaseSpan(context));
}

// For members that left before this instance first read the list.
Time UnknownLeasesEnd(const Context& context, Duration late_calls) {
  const MembersState& members = context.state.members;
  if (members.known_since == kForever) {
    return kForever;
  }
  const Time longest = members.known_since + LongestSpan(context);
  if (!members.nodes.read) {
    return longest;
  }
  Time end = Time::min();
  for (const auto& [node, replaced_at] : members.nodes.replaced_at) {
    end = std::max(end, replaced_at == kForever
                            ? longest
                            : std::min(longest, replaced_at + late_calls +
                                                    LeaseSpan(context)));
  }
  return end;
}

// For members that registered and left while this instance could not follow
// the list.
Time UnseenLeasesEnd(const Context& context, Duration late_calls) {
  const UnseenMembers& unseen = context.state.members.unseen;
  if (unseen.left_at == Time::min()) {
    return Time::min();
  }
  const Time longest = unseen.left_at + LongestSpan(context);
  return unseen.replaced_at == kForever
             ? longest
             : std::min(longest,
                        unseen.replaced_at + late_calls + LeaseSpan(context));
}

// Whether this instance follows the list of members so closely that each member
// of the last while is known to it.
bool FollowsMembers(const Context& context) {
  const Watch& watch =
      context.state.watches[static_cast<std::size_t>(WatchedList::kMembers)];
  return watch.followed_to != Time::min() &&
         context.now - watch.followed_to < kViewLag;
}

Time OthersLeasesEnd(const Context& context) {
  if (!FollowsMembers(context)) {
    return context.now + LongestSpan(context);
  }
  Time end = std::max(UnknownLeasesEnd(context, kMaxCallDelay),
                      UnseenLeasesEnd(context, kMaxCallDelay));
  for (const auto& [incarnation, it] : context.state.members.departed) {
    end = std::max(end, DepartedLeasesEnd(context, it));
  }
  return end;
}

Duration TimeLeft(const Context& context, Time end) {
  if (end == kForever) {
    return LongestSpan(context);
  }
  return end > context.now ? end - context.now : Duration(0);
}

bool NeedsLeaseReports(const Context& context, const OwnedWorker& worker) {
  return IsUnresponsive(worker) && context.now < worker.foreign_bound;
}

// This instance reaches the worker, or is its rightful owner by the current
// list of members.
bool KeepsWorker(const Context& context, const OwnedWorker& worker) {
  if (worker.claimed && !IsUnresponsive(worker)) {
    return true;
  }
  return IsRegistrationCurrent(context) &&
         ChooseMember(context.state, worker.info.id, worker.info.domain) ==
             context.self();
}

// Incarnations that may have renewed leases and have not reported their expiry.
std::vector<std::string> MissingReports(const Context& context,
                                        const OwnedWorker& worker) {
  std::vector<std::string> missing;
  for (const auto& [incarnation, it] : context.state.members.present) {
    if (incarnation != context.self() &&
        !worker.reported_leases.contains(incarnation)) {
      missing.push_back(incarnation);
    }
  }
  for (const auto& [incarnation, it] : context.state.members.departed) {
    const bool may_renew = it.stopped_renewing_at == kForever &&
                           context.now < DepartedLeasesEnd(context, it);
    if (may_renew && !worker.reported_leases.contains(incarnation)) {
      missing.push_back(incarnation);
    }
  }
  return missing;
}

}  // namespace

Duration LeaseSpan(const Context& context) {
  return std::chrono::duration_cast<Duration>(
             context.state.options.bounds.max_lease * kClockDrift) +
         kLeaseMargin;
}

void AssumeForeignLeases(Context& context, OwnedWorker& worker) {
  worker.foreign_bound = context.now + LongestSpan(context);
  worker.lease_query_number = ++context.state.last_lease_query;
  worker.reported_leases.clear();
}

Time ForeignLeasesEnd(const Context& context, const OwnedWorker& worker) {
  Time end = Time::min();
  for (const auto& [incarnation, it] : context.state.members.present) {
    if (incarnation == context.self()) {
      continue;
    }
    const auto report = worker.reported_leases.find(incarnation);
    if (report == worker.reported_leases.end()) {
      return worker.foreign_bound;
    }
    end = std::max(end, report->second.own_end);
  }
  for (const auto& [incarnation, it] : context.state.members.departed) {
    const auto report = worker.reported_leases.find(incarnation);
    const Time bound = DepartedLeasesEnd(context, it);
    end = std::max(end, report == worker.reported_leases.end()
                            ? bound
                            : std::min(bound, report->second.own_end));
  }
  const Duration late_calls = LateCallsAt(worker);
  Time unknown = std::max(UnknownLeasesEnd(context, late_calls),
                          UnseenLeasesEnd(context, late_calls));
  for (const auto& [incarnation, it] : worker.reported_leases) {
    unknown = std::min(unknown, it.others_end);
  }
  return std::min(std::max(end, unknown), worker.foreign_bound);
}

void RememberReleasedLease(Context& context,
                           const std::string& worker,
                           Time end) {
  if (end > context.now) {
    context.state.released[worker] = end;
  }
}

Time ReleasedLeaseEnd(const Context& context, const std::string& worker) {
  const auto it = context.state.released.find(worker);
  return it == context.state.released.end() ? Time(0) : it->second;
}

void DriveLeaseQueries(Context& context) {
  if (!HasPassed(context.now, context.state.leases_queried_at, kQueryRepeat) ||
      !IsRegistrationCurrent(context)) {
    return;
  }
  context.state.leases_queried_at = context.now;
  std::erase_if(context.state.released,
                [&](const auto& it) { return it.second <= context.now; });
  std::map<std::string, LeaseQuery> queries;
  for (const auto& [id, worker] : context.state.owned) {
    if (!NeedsLeaseReports(context, worker)) {
      continue;
    }
    for (const std::string& it : MissingReports(context, worker)) {
      if (!MayRepeat(context, it, RepeatedQuery::kLeases)) {
        continue;
      }
      queries[it].workers.push_back(
          {.worker = id, .number = worker.lease_query_number});
    }
  }
  for (auto& [incarnation, query] : queries) {
    NoteQueried(context, incarnation, RepeatedQuery::kLeases);
    // Sent directly, since members that the store has removed may still renew.
    context.Emit(SendPeer{.to = incarnation,
                          .address = AddressOf(context.state, incarnation),
                          .message = std::move(query)});
  }
}

void OnLeaseQuery(Context& context,
                  const std::string& from,
                  const LeaseQuery& query) {
  LeaseReport report{.others_left =
                         TimeLeft(context, OthersLeasesEnd(context))};
  for (const LeaseQueryItem& it : query.workers) {
    const auto owned = context.state.owned.find(it.worker);
    if (owned != context.state.owned.end()) {
      if (KeepsWorker(context, owned->second)) {
        continue;
      }
      // No lease may be renewed after this reply: the querying member treats
      // the runs there as ended once the reported leases have expired.
      ReleaseWorker(context, it.worker);
    }
    report.ends.push_back(
        {.worker = it.worker,
         .number = it.number,
         .left = TimeLeft(context, ReleasedLeaseEnd(context, it.worker))});
  }
  if (!report.ends.empty()) {
    Send(context, from, std::move(report));
  }
}

void OnLeaseReport(Context& context,
                   const std::string& from,
                   const LeaseReport& report) {
  NoteAnswered(context, from, RepeatedQuery::kLeases);
  // The sender may not have seen the last of the members that this instance has
  // missed. It is queried again.
  const UnseenMembers& unseen = context.state.members.unseen;
  if (unseen.left_at != Time::min() &&
      context.now - unseen.left_at < kViewLag) {
    return;
  }
  for (const LeaseEnd& it : report.ends) {
    const auto owned = context.state.owned.find(it.worker);
    if (owned != context.state.owned.end() &&
        owned->second.lease_query_number == it.number) {
      owned->second.reported_leases[from] =
          ReportedLeases{.own_end = context.now + it.left,
                         .others_end = context.now + report.others_left};
    }
  }
}

}  // namespace burdockrock::engine
