#include "engine/jobs/unseen_workers.h"

#include <algorithm>
#include <string_view>
#include <vector>

#include "engine/members/member_features.h"
#include "engine/members/membership.h"
#include "engine/records/watches.h"
#include "engine/workers/worker_list.h"
#include "model/worker_incarnation.h"

namespace burdockrock::engine {

namespace {

constexpr const char* kComparison = "machines";

// Time from the registration until the list of workers counts as settled. A
// worker whose entry lapsed in an outage of the store is listed again within
// about 2 s; until then an instance that has just started knows neither the
// worker nor what runs there.
constexpr Duration kListSettleTime = milliseconds(2300);
// Time from the registration until the machines are listed, which takes a few
// calls. Most workers that return are listed again by then.
constexpr Duration kCompareAfter = milliseconds(1800);
// Time from the registration in which refused calls are tried again. Many
// members list machines after a restart of all.
constexpr Duration kRefusedFor = milliseconds(5000);

// The reports since the last registration; earlier ones don't count, as this
// instance may have missed workers that were listed and removed in between.
UnseenWorkers& UnseenNow(Context& context) {
  UnseenWorkers& unseen = context.state.unseen_workers;
  const Time registered_at = context.state.members.registered_at;
  if (unseen.registered_at != registered_at) {
    unseen = UnseenWorkers{.registered_at = registered_at};
  }
  return unseen;
}

bool HasPassedSinceRegistration(const Context& context, Duration span) {
  return HasPassed(context.now, context.state.members.registered_at, span);
}

// Whether a process of the worker is known, under any time of its start.
bool KnowsProcess(const State& state, const std::string& worker) {
  const std::string_view id = WorkerIdOf(worker);
  const auto it = state.workers.lower_bound(std::string(id));
  return it != state.workers.end() && WorkerIdOf(it->first) == id;
}

bool IsStandby(const Configuration& configuration, const std::string& pool) {
  return std::any_of(
      configuration.services.begin(), configuration.services.end(),
      [&](const ServicePolicy& it) { return it.name == pool && it.standby; });
}

bool IsMissing(const State& state, const Machine& machine) {
  const auto view = state.view.find(machine.worker);
  const bool lost = view != state.view.end() && view->second.lost;
  return machine.state == MachineState::kUp && !machine.worker.empty() &&
         !lost && !IsStandby(state.configuration, machine.pool) &&
         !KnowsProcess(state, machine.worker);
}

std::string ChosenToCompare(const State& state) {
  return ChooseMember(state, kComparison, {});
}

bool AwaitsComparison(Context& context) {
  return IsRegistered(context.state) && MayMissWorkers(context) &&
         !UnseenNow(context).machines_compared &&
         ChosenToCompare(context.state) == context.self();
}

// Whether a member announces a worker that is in no list here: the list is read
// at intervals, and the worker was listed or reported since.
bool HasUnlistedOwned(const State& state) {
  return std::any_of(state.view.begin(), state.view.end(), [&](const auto& it) {
    return !it.second.lost && FindWorker(state, it.first) == nullptr &&
           FindMember(state, it.second.owner) != nullptr;
  });
}

// Whether the chosen member has compared, as it must have said itself: one that
// does not know yet that it is chosen may still do so. An earlier release never
// says so.
bool IsCompared(Context& context) {
  const std::string chosen = ChosenToCompare(context.state);
  if (chosen == context.self()) {
    return UnseenNow(context).machines_compared;
  }
  return !KnowsRelays(chosen) ||
         UnseenNow(context).compared_by.contains(chosen);
}

}  // namespace

bool MayMissWorkers(Context& context) {
  return !UnseenNow(context).all_reported &&
         !HasPassedSinceRegistration(context, kUnlistedWorkerKeptFor);
}

bool KnowsAllWorkers(Context& context) {
  if (!ListsAreRead(context.state)) {
    return false;
  }
  if (!MayMissWorkers(context)) {
    return true;
  }
  const auto others = OtherMembers(context);
  return HasPassedSinceRegistration(context, kListSettleTime) &&
         IsCompared(context) && !HasUnlistedOwned(context.state) &&
         std::all_of(others.begin(), others.end(), [&](const std::string& it) {
           return UnseenNow(context).reported_by.contains(it);
         });
}

void NoteReportOfUnseen(Context& context,
                        const std::string& from,
                        const AdoptReport& report) {
  UnseenWorkers& unseen = UnseenNow(context);
  unseen.reported_by.insert(from);
  if (report.machines_compared) {
    unseen.compared_by.insert(from);
  }
  unseen.all_reported = unseen.all_reported || report.all_remembered;
}

bool AwaitsReportOfUnseen(const Context& context, const std::string& member) {
  const UnseenWorkers& unseen = context.state.unseen_workers;
  const bool compares = KnowsRelays(member) &&
                        ChosenToCompare(context.state) == member &&
                        !unseen.compared_by.contains(member);
  return !unseen.reported_by.contains(member) || compares;
}

bool HasCompared(const Context& context) {
  const UnseenWorkers& unseen = context.state.unseen_workers;
  return unseen.machines_compared &&
         unseen.registered_at == context.state.members.registered_at;
}

void AddUnclaimed(const State& state, std::vector<RememberedWorker>& workers) {
  for (const auto& [id, it] : state.workers) {
    const auto view = state.view.find(id);
    const bool claimed = view != state.view.end() &&
                         FindMember(state, view->second.owner) != nullptr;
    if (it.listed && !claimed) {
      workers.push_back({.worker = id,
                         .address = it.info.address,
                         .domain = it.info.domain,
                         .service = it.info.service,
                         .draining = it.info.draining});
    }
  }
}

bool NeedsMachinesForUnseen(Context& context) {
  return HasPassedSinceRegistration(context, kCompareAfter) &&
         ListsAreRead(context.state) && AwaitsComparison(context);
}

void CompareMachines(Context& context,
                     const MachineList& machines,
                     Time requested_at) {
  if (!AwaitsComparison(context) ||
      requested_at < context.state.members.registered_at + kCompareAfter) {
    return;
  }
  UnseenNow(context).machines_compared = true;
  std::vector<RememberedWorker> missing;
  for (const auto& [name, it] : machines) {
    if (IsMissing(context.state, it)) {
      missing.push_back(
          {.worker = it.worker, .domain = it.domain, .service = it.pool});
      context.Log(EventNumber::kWorkerRemoved,
                  {{"worker", it.worker}, {"machine", name}});
    }
  }
  OnWorkersRemembered(context, missing);
}

void OnMachinesUnread(Context& context, bool refused) {
  const Duration limit = refused ? kRefusedFor : kListSettleTime;
  if (HasPassedSinceRegistration(context, limit) && AwaitsComparison(context)) {
    UnseenNow(context).machines_compared = true;
  }
}

}  // namespace burdockrock::engine
