#include "engine/workers/lost_workers.h"

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "engine/workers/worker_list.h"
#include "engine/workers/worker_owner.h"

namespace burdockrock::engine {

namespace {

// A worker that is paused or slow answers within this time, and a list that
// lags has a worker by then that was new when it fell silent.
constexpr Duration kMinUnresponsiveTime = milliseconds(1200);
// Between two listings of one instance: its share of the service's rate, 60
// pages a second at the users', grows smaller with each member. At 30 members
// that all have silent workers they make 8 listings a second, of 1 to 3 pages.
constexpr Duration kListingInterval = milliseconds(1000);
constexpr Duration kListingIntervalPerMember = milliseconds(90);

// From then on a listing may tell that the worker has ended. One that has left
// the store's list was there before, and the service has long known it.
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
  return HasPassed(context.now, state.upkeep.list_asked, interval) &&
         std::any_of(state.owned.begin(), state.owned.end(),
                     [&](const auto& it) {
                       return ListingMayDecide(context, it.second);
                     });
}

void DeclareLostWorkers(Context& context,
                        const MachineList& machines,
                        Time asked) {
  std::set<std::string> alive;
  for (const auto& [name, machine] : machines) {
    if (machine.state == MachineState::kUp) {
      alive.insert(machine.worker);
    }
  }
  // An empty list says that the service has lost its own state.
  if (alive.empty()) {
    return;
  }
  std::vector<std::string> ended;
  for (const auto& [id, worker] : context.state.owned) {
    if (IsUnresponsive(worker) && ListingCountsFrom(context, worker) <= asked &&
        !alive.contains(id)) {
      ended.push_back(id);
    }
  }
  for (const std::string& it : ended) {
    DeclareWorkerLost(context, it, "its machine runs another worker or none");
  }
}

}  // namespace burdockrock::engine
