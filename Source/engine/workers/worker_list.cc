#include "engine/workers/worker_list.h"

#include "engine/jobs/recovery.h"
#include "engine/members/membership.h"
#include "engine/workers/worker_owner.h"

namespace burdockrock::engine {

namespace {

// Longer than the pause and the timeout of the watch of workers, shorter than
// the lifetime of their entries.
constexpr Duration kListLag = milliseconds(2300);

// Of two incarnations at one address at most one is running, and the list does
// not tell which: an entry that was sent before a crash may be stored long
// after the entry of the next incarnation, for example when a network cut
// delayed it. Declaring the other one lost by the order of entries would then
// run its tasks twice. The workers' owners therefore poll the address, where
// only the running incarnation replies.
void CheckWorkersAtAddress(Context& context, const WorkerInfo& info) {
  for (auto& [id, worker] : context.state.owned) {
    if (id != info.id && worker.info.address == info.address) {
      worker.ownership_check_due = worker.claimed;
    }
  }
}

}  // namespace

void OnWorkerItem(Context& context, const StoreItem& item) {
  const StoreDocuments& documents = context.state.options.documents;
  const std::string id = item.key.substr(documents.worker_prefix.size());
  auto decoded = documents.decode_worker(id, item.value);
  if (const auto* fault = std::get_if<DocumentFault>(&decoded)) {
    context.Log(EventNumber::kPlatformMalformed,
                {{"key", item.key}, {"problem", fault->problem}});
    return;
  }
  const auto& info = std::get<WorkerInfo>(decoded);
  const bool is_new = !context.state.workers.contains(id);
  if (is_new) {
    CheckWorkersAtAddress(context, info);
  }
  ListedWorker& worker = context.state.workers[id];
  const bool changed = is_new || worker.info != info || !worker.listed;
  worker.listed = true;
  worker.remembered_only = false;
  if (info.draining && !worker.info.draining) {
    worker.draining_since = context.now;
    context.Log(EventNumber::kWorkerLeaving, {{"worker", id}});
  }
  worker.info = info;
  if (!changed) {
    return;
  }
  const auto owned = context.state.owned.find(id);
  if (owned != context.state.owned.end()) {
    owned->second.info = info;
    RoomChanged(context, id);
  }
  context.state.placement_due = true;
  OnWorkerListed(context, id);
  ScheduleOwnershipCheck(context);
}

void OnWorkerRemoved(Context& context, const std::string& key) {
  const StoreDocuments& documents = context.state.options.documents;
  const std::string id = key.substr(documents.worker_prefix.size());
  const auto it = context.state.workers.find(id);
  if (it == context.state.workers.end() || !it->second.listed) {
    return;
  }
  it->second.listed = false;
  it->second.unlisted_at = context.now;
  context.Log(EventNumber::kWorkerRemoved, {{"worker", id}});
  if (context.state.owned.contains(id)) {
    RoomChanged(context, id);
  }
}

void DriveWorkerList(Context& context) {
  std::erase_if(context.state.workers, [&](const auto& it) {
    return !it.second.listed && !context.state.owned.contains(it.first) &&
           HasPassed(context.now, it.second.unlisted_at,
                     kUnlistedWorkerKeptFor);
  });
}

bool MayRunTasks(const State& state, const std::string& worker) {
  const auto view = state.view.find(worker);
  const bool ended = view != state.view.end() && view->second.lost;
  return !ended && FindWorker(state, worker) != nullptr;
}

std::optional<RememberedWorker> RememberedFor(const State& state,
                                              const std::string& worker) {
  const ListedWorker* it = FindWorker(state, worker);
  if (it == nullptr || it->listed) {
    return std::nullopt;
  }
  return RememberedWorker{.worker = worker,
                          .address = it->info.address,
                          .domain = it->info.domain,
                          .service = it->info.service};
}

std::vector<RememberedWorker> AllRemembered(const State& state) {
  std::vector<RememberedWorker> all;
  for (const auto& [id, it] : state.workers) {
    if (!it.listed && MayRunTasks(state, id)) {
      all.push_back(*RememberedFor(state, id));
    }
  }
  return all;
}

bool RemembersAll(const Context& context) {
  const Watch& watch =
      context.state.watches[static_cast<std::size_t>(WatchedList::kWorkers)];
  return watch.complete && IsRegistrationCurrent(context) &&
         HasPassed(context.now, context.state.members.registered_at,
                   kUnlistedWorkerKeptFor) &&
         !HasPassed(context.now, watch.known_to, kListLag);
}

void OnWorkersRemembered(Context& context,
                         const std::vector<RememberedWorker>& workers) {
  bool changed = false;
  for (const RememberedWorker& it : workers) {
    const auto view = context.state.view.find(it.worker);
    const bool lost = view != context.state.view.end() && view->second.lost;
    if (lost || context.state.workers.contains(it.worker)) {
      continue;
    }
    context.state.workers[it.worker] =
        ListedWorker{.info = {.id = it.worker,
                              .address = it.address,
                              .domain = it.domain,
                              .service = it.service},
                     .listed = false,
                     .remembered_only = true,
                     .unlisted_at = context.now};
    OnWorkerListed(context, it.worker);
    changed = true;
  }
  if (changed) {
    ScheduleOwnershipCheck(context);
  }
}

const ListedWorker* FindWorker(const State& state, const std::string& id) {
  const auto it = state.workers.find(id);
  return it == state.workers.end() ? nullptr : &it->second;
}

}  // namespace burdockrock::engine
