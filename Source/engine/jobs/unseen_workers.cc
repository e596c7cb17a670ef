#include "engine/jobs/unseen_workers.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "engine/members/membership.h"
#include "engine/records/watches.h"
#include "engine/workers/worker_list.h"

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

bool IsMissing(const State& state, const Machine& machine) {
  const auto view = state.view.find(machine.worker);
  const bool lost = view != state.view.end() && view->second.lost;
  return machine.state == MachineState::kUp && !machine.worker.empty() &&
         !lost && FindWorker(state, machine.worker) == nullptr;
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
         !AwaitsMachines(context) &&
         std::all_of(others.begin(), others.end(), [&](const std::string& it) {
           return UnseenNow(context).reported_by.contains(it);
         });
}

void NoteReportOfUnseen(Context& context,
                        const std::string& from,
                        const AdoptReport& report) {
  UnseenWorkers& unseen = UnseenNow(context);
  if (!report.compares_machines) {
    unseen.reported_by.insert(from);
  }
  unseen.all_reported = unseen.all_reported || report.all_remembered;
}

bool AwaitsMachines(Context& context) {
  return IsRegistered(context.state) && MayMissWorkers(context) &&
         !UnseenNow(context).machines_compared &&
         ChooseMember(context.state, kComparison, {}) == context.self();
}

bool NeedsMachinesForUnseen(Context& context) {
  return HasPassedSinceRegistration(context, kCompareAfter) &&
         ListsAreRead(context.state) && AwaitsMachines(context);
}

void CompareMachines(Context& context,
                     const MachineList& machines,
                     Time requested_at) {
  if (!AwaitsMachines(context) ||
      requested_at < context.state.members.registered_at + kCompareAfter) {
    return;
  }
  UnseenNow(context).machines_compared = true;
  std::vector<RememberedWorker> missing;
  for (const auto& [name, it] : machines) {
    if (IsMissing(context.state, it)) {
      missing.push_back({.worker = it.worker, .service = it.pool});
      context.Log(EventNumber::kWorkerRemoved,
                  {{"worker", it.worker}, {"machine", name}});
    }
  }
  OnWorkersRemembered(context, missing);
}

void OnMachinesUnread(Context& context) {
  if (HasPassedSinceRegistration(context, kListSettleTime) &&
      AwaitsMachines(context)) {
    UnseenNow(context).machines_compared = true;
  }
}

}  // namespace burdockrock::engine
