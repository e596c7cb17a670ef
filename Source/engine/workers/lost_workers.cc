#include "engine/workers/lost_workers.h"

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "engine/workers/worker_list.h"
#include "engine/workers/worker_owner.h"
#include "model/worker_incarnation.h"

namespace burdockrock::engine {

namespace {

// Long enough for a paused or slow worker to reply, and for a new worker to
// appear in a delayed listing.
constexpr Duration kMinUnresponsiveTime = milliseconds(1200);
// Between two listings of one instance. The machine service allows 60 pages a
// second for all members together, so the interval grows with their number: 30
// members that all have unresponsive workers make 8 listings a second, of 1 to
// 3 pages each.
constexpr Duration kListingInterval = milliseconds(1000);
constexpr Duration kListingIntervalPerMember = milliseconds(90);

// The time from which a listing without the worker proves that it is lost. A
// worker that has left the store's list is not new, so the service must know
// it and no delay is needed.
Time ListingCountsFrom(const Context& context, const OwnedWorker& worker) {
  const ListedWorker* listed = FindWorker(context.state, worker.info.id);
  const bool left = listed != nullptr && !listed->listed;
  return worker.unresponsive_since +
         (left ? Duration(0) : kMinUnresponsiveTime);
}

bool ListingMayDecide(const Context& context, const OwnedWorker& worker) {
  return IsUnresponsive(worker) &&
         context.now >= ListingCountsFrom(context, worker);
}

}  // namespace

bool NeedsMachineListing(const Context& context) {
  const State& state = context.state;
  const Duration interval =
      kListingInterval +
      kListingIntervalPerMember *
          static_cast<std::int64_t>(state.members.present.size());
  return HasPassed(context.now, state.upkeep.list_requested_at, interval) &&
         std::any_of(state.owned.begin(), state.owned.end(),
                     [&](const auto& it) {
                       return ListingMayDecide(context, it.second);
                     });
}

void DeclareLostWorkers(Context& context,
                        const MachineList& machines,
                        Time requested_at) {
  std::set<std::string> alive;
  std::set<std::string> taken_down;
  for (const auto& [name, machine] : machines) {
    if (machine.state == MachineState::kUp) {
      alive.insert(std::string(WorkerIdOf(machine.worker)));
    } else if (machine.state != MachineState::kDown) {
      taken_down.insert(std::string(WorkerIdOf(machine.worker)));
    }
  }
  // A list without a machine that is up means that the service has lost its
  // state.
  if (alive.empty()) {
    return;
  }
  std::vector<std::string> ended;
  for (const auto& [id, worker] : context.state.owned) {
    if (IsUnresponsive(worker) &&
        ListingCountsFrom(context, worker) <= requested_at &&
        !alive.contains(std::string(WorkerIdOf(id)))) {
      ended.push_back(id);
    }
  }
  for (const std::string& it : ended) {
    DeclareWorkerLost(context, it,
                      taken_down.contains(std::string(WorkerIdOf(it)))
                          ? LossKind::kTakenDown
                          : LossKind::kEnded,
                      "its machine runs another worker or none");
  }
}

}  // namespace burdockrock::engine
