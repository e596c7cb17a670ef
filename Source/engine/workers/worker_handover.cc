#include "engine/workers/worker_handover.h"

#include <utility>

#include "engine/members/membership.h"
#include "engine/workers/worker_list.h"

namespace burdockrock::engine {

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
