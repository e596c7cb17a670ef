#include "engine/workers/loss_handover.h"

#include <string>

#include "engine/members/membership.h"

namespace burdockrock::engine {

namespace {

// Whether a former member has announced the loss, and no present one is known
// to.
bool IsOrphaned(const Context& context,
                const std::string& worker,
                const RoomView& view) {
  const State& state = context.state;
  return view.lost && FindMember(state, view.owner) == nullptr &&
         !HasPassed(context.now, view.updated_at, kLostWorkerAnnouncedFor) &&
         !state.lost_workers.contains(worker) && !state.owned.contains(worker);
}

}  // namespace

void TakeOverLosses(Context& context) {
  State& state = context.state;
  for (const auto& [id, view] : state.view) {
    if (!IsOrphaned(context, id, view)) {
      continue;
    }
    // All that know of the loss report it when they are queried. One of them
    // also tells all the others.
    state.lost_workers[id] =
        LostWorker{.fence = view.fence, .since = view.updated_at};
    if (ChooseMember(state, id, {}) == context.self()) {
      state.digest.changed.insert(id);
    }
  }
}

}  // namespace burdockrock::engine
