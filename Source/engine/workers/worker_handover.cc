#include "engine/workers/worker_handover.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "engine/members/membership.h"
#include "engine/workers/worker_list.h"
#include "model/worker_incarnation.h"

namespace burdockrock::engine {

std::uint64_t FenceToExceed(const State& state, const std::string& name) {
  const std::string_view id = WorkerIdOf(name);
  std::uint64_t fence = 0;
  for (auto it = state.view.lower_bound(std::string(id));
       it != state.view.end() && it->first.starts_with(id); ++it) {
    const bool other = it->first != name && WorkerIdOf(it->first) == id;
    if (other || (it->first == name && it->second.lost)) {
      fence = std::max(fence, it->second.fence);
    }
  }
  return fence;
}

void TellRightfulOwner(Context& context, const std::string& worker) {
  auto remembered = RememberedFor(context.state, worker);
  if (!remembered) {
    return;
  }
  const std::string owner =
      ChooseMember(context.state, worker, remembered->domain);
  Send(context, owner, RunQueries{.remembered = {std::move(*remembered)}});
}

void TellOfUnreachable(Context& context,
                       const std::string& id,
                       OwnedWorker& worker) {
  if (ChooseMember(context.state, id, worker.info.domain) != context.self() &&
      HasPassed(context.now, worker.owner_told_at, kRunQueryDelay)) {
    worker.owner_told_at = context.now;
    TellRightfulOwner(context, id);
  }
}

}  // namespace burdockrock::engine
