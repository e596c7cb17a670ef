#include "engine/workers/worker_list.h"

#include <set>
#include <utility>

#include "engine/jobs/job_table.h"
#include "engine/jobs/recovery.h"
#include "engine/jobs/task_ref.h"
#include "engine/members/membership.h"
#include "engine/workers/service_workers.h"
#include "engine/workers/worker_owner.h"
#include "engine/workers/worker_restarts.h"
#include "model/worker_incarnation.h"

namespace burdockrock::engine {

namespace {

// Longer than the pause and the timeout of the watch of workers, shorter than
// the lifetime of their entries.
constexpr Duration kListLag = milliseconds(2300);

const Watch& WatchOfWorkers(const Context& context) {
  return context.state.watches[static_cast<std::size_t>(WatchedList::kWorkers)];
}

// Of two incarnations at one address at most one is running, and the list does
// not tell which: an entry that was sent before a crash may be stored long
// after the entry of the next incarnation, for example when a network cut
// delayed it. Declaring the other one lost by the order of entries would then
// run its tasks twice. The workers' owners therefore poll the address, where
// only the running incarnation replies.
void CheckOtherIncarnations(Context& context, const WorkerInfo& info) {
  for (auto& [id, worker] : context.state.owned) {
    const bool other = id != info.id && (worker.info.address == info.address ||
                                         WorkerIdOf(id) == WorkerIdOf(info.id));
    if (other) {
      worker.ownership_check_due = worker.claimed;
    }
  }
}

void Unlist(Context& context, const std::string& name) {
  const auto it = context.state.workers.find(name);
  if (it == context.state.workers.end() || !it->second.listed) {
    return;
  }
  it->second.listed = false;
  it->second.unlisted_at = context.now;
  OnWorkerEntryChanged(context.state, name);
  ++context.state.unlisted_version;
  context.Log(EventNumber::kWorkerRemoved, {{"worker", name}});
  if (context.state.owned.contains(name)) {
    RoomChanged(context, name);
  }
}

// Whether the worker is known, with its address if the record has one.
bool IsKnownAsWell(const State& state, const RememberedWorker& worker) {
  const auto it = state.workers.find(worker.worker);
  return it != state.workers.end() &&
         (worker.address.empty() || !it->second.info.address.empty());
}

// Forgets a worker that was known from its machine only, by its id, now that
// its process is listed.
void ForgetUnlisted(Context& context, const std::string& id) {
  const auto it = context.state.workers.find(id);
  if (it == context.state.workers.end() || !it->second.info.address.empty()) {
    return;
  }
  OnWorkerCleared(context, id);
  context.state.owned.erase(id);
  EraseWorker(context.state, id);
}

// Whether the entry is one of a former process of the worker, written late. The
// start of processes orders them only as far as the worker's wall clock does,
// so the listed one is checked at the worker all the same.
bool IsOfFormerProcess(const State& state,
                       const std::string& listed,
                       const WorkerInfo& info) {
  return FindWorker(state, listed) != nullptr && info.born != 0 &&
         info.born < BornOf(listed);
}

// Takes out of `workers` those at which tasks of own jobs are believed to run.
// Only with what is known of such a worker can a member that has never seen it
// claim it and find out that it is lost.
void KeepWorkersInUse(Context& context, std::set<std::string>& workers) {
  for (const std::string& id : context.state.active) {
    ForEachTask(context.state.jobs.at(id), [&](const TaskName&, Task& task) {
      if (IsPlaced(task)) {
        workers.erase(task.worker);
      }
      if (task.copy) {
        workers.erase(task.copy->worker);
      }
    });
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
  const std::string& name = info.id;
  if (name != id) {
    ForgetUnlisted(context, id);
  }
  const bool is_new = !context.state.workers.contains(name);
  if (is_new) {
    CheckOtherIncarnations(context, info);
  }
  std::string& listed = context.state.listed_incarnations[id];
  if (IsOfFormerProcess(context.state, listed, info)) {
    return;
  }
  if (listed != name) {
    const std::string former = std::exchange(listed, name);
    Unlist(context, former);
    if (IsLaterIncarnation(name, former)) {
      OnLaterIncarnationListed(context, former, info.born);
    }
  }
  ListedWorker& worker = context.state.workers[name];
  const bool changed = is_new || worker.info != info || !worker.listed;
  worker.listed = true;
  worker.remembered_only = false;
  if (info.draining && !worker.info.draining) {
    worker.draining_since = context.now;
    context.Log(EventNumber::kWorkerLeaving, {{"worker", name}});
  }
  worker.info = info;
  if (!changed) {
    return;
  }
  worker.description_digest.reset();
  OnWorkerEntryChanged(context.state, name);
  const auto owned = context.state.owned.find(name);
  if (owned != context.state.owned.end()) {
    owned->second.info = info;
    RoomChanged(context, name);
  }
  context.state.placement_due = true;
  OnWorkerListed(context, name);
  ScheduleOwnershipCheck(context);
}

void OnWorkerRemoved(Context& context, const std::string& key) {
  const StoreDocuments& documents = context.state.options.documents;
  const std::string id = key.substr(documents.worker_prefix.size());
  const auto listed = context.state.listed_incarnations.find(id);
  if (listed != context.state.listed_incarnations.end()) {
    Unlist(context, listed->second);
    context.state.listed_incarnations.erase(listed);
  }
}

void DriveWorkerList(Context& context) {
  std::set<std::string> expired;
  for (const auto& [id, it] : context.state.workers) {
    if (!it.listed && !context.state.owned.contains(id) &&
        HasPassed(context.now, it.unlisted_at, kUnlistedWorkerKeptFor)) {
      expired.insert(id);
    }
  }
  if (!expired.empty()) {
    KeepWorkersInUse(context, expired);
  }
  for (const std::string& it : expired) {
    EraseWorker(context.state, it);
  }
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
                          .service = it->info.service,
                          .draining = it->info.draining};
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

bool FollowsWorkerList(const Context& context) {
  return WatchOfWorkers(context).complete && IsRegistrationCurrent(context) &&
         !MayHaveMissedWorkers(context);
}

bool MayHaveMissedWorkers(const Context& context) {
  return HasPassed(context.now, WatchOfWorkers(context).known_to, kListLag);
}

void OnWorkersRemembered(Context& context,
                         const std::vector<RememberedWorker>& workers) {
  bool changed = false;
  for (const RememberedWorker& it : workers) {
    const auto view = context.state.view.find(it.worker);
    const bool lost = view != context.state.view.end() && view->second.lost;
    if (lost || IsKnownAsWell(context.state, it)) {
      continue;
    }
    context.state.workers[it.worker] =
        ListedWorker{.info = {.id = it.worker,
                              .address = it.address,
                              .domain = it.domain,
                              .service = it.service,
                              .draining = it.draining},
                     .listed = false,
                     .remembered_only = true,
                     .unlisted_at = context.now};
    OnWorkerEntryChanged(context.state, it.worker);
    ++context.state.unlisted_version;
    const auto owned = context.state.owned.find(it.worker);
    if (owned != context.state.owned.end()) {
      owned->second.info.address = it.address;
    }
    OnWorkerListed(context, it.worker);
    changed = true;
  }
  if (changed) {
    ScheduleOwnershipCheck(context);
  }
}

std::string ListedIncarnation(const State& state, const std::string& id) {
  const auto listed = state.listed_incarnations.find(id);
  return listed == state.listed_incarnations.end() ? id : listed->second;
}

const ListedWorker* FindWorker(const State& state, const std::string& id) {
  const auto it = state.workers.find(id);
  return it == state.workers.end() ? nullptr : &it->second;
}

}  // namespace burdockrock::engine
