#include "engine/members/stop_handover.h"

#include <string>
#include <vector>

#include "engine/jobs/unseen_workers.h"
#include "engine/members/membership.h"
#include "engine/workers/worker_list.h"

namespace burdockrock::engine {

namespace {

// Adds the own workers: nobody else claims them before this instance has left,
// and one whose entry lapses meanwhile is in no list of those that start then.
void AddOwn(const State& state, std::vector<RememberedWorker>& workers) {
  for (const auto& [id, it] : state.owned) {
    const ListedWorker* listed = FindWorker(state, id);
    if (listed != nullptr && listed->listed) {
      workers.push_back({.worker = id,
                         .address = it.info.address,
                         .domain = it.info.domain,
                         .service = it.info.service,
                         .draining = it.info.draining});
    }
  }
}

}  // namespace

void HandOverKnownWorkers(Context& context) {
  AdoptReport report{.remembered = AllRemembered(context.state)};
  if (FollowsWorkerList(context) && KnowsAllWorkers(context)) {
    AddUnclaimed(context.state, report.remembered);
    AddOwn(context.state, report.remembered);
    report.all_remembered = true;
  }
  if (report == AdoptReport()) {
    return;
  }
  for (const std::string& it : OtherMembers(context)) {
    Send(context, it, report);
  }
}

}  // namespace burdockrock::engine
