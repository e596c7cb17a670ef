#include "engine/digests.h"

#include "engine/advice.h"
#include "engine/job_runs.h"
#include "engine/membership.h"
#include "engine/preemption.h"
#include "engine/questions.h"
#include "engine/worker_owner.h"

namespace burdockrock::engine {

namespace {

std::optional<WorkerRoom> RoomOfWorker(Context& context,
                                       const std::string& id) {
  if (const OwnedWorker* worker = FindClaimed(context.state, id)) {
    return WorkerRoom{.worker = id,
                      .fence = worker->fence,
                      .version = worker->version,
                      .free = FreeRoom(*worker),
                      .yielding = YieldingRoom(*worker),
                      .accepting = Accepts(context, *worker),
                      .slowness = worker->speed.slowness()};
  }
  const auto gone = context.state.gone.find(id);
  if (gone == context.state.gone.end()) {
    return std::nullopt;
  }
  return WorkerRoom{.worker = id, .fence = gone->second.fence, .gone = true};
}

// Room that is overbooked for a moment, as after a takeover, shows as none.
void ClampToZero(Resources& free) {
  free.processors_milli = std::max<std::int64_t>(free.processors_milli, 0);
  free.memory_mb = std::max<std::int64_t>(free.memory_mb, 0);
  free.accelerators = std::max<std::int64_t>(free.accelerators, 0);
  free.slots = 0;
}

void AddRooms(Context& context,
              const std::set<std::string>& workers,
              RoomDigest& digest) {
  for (const std::string& it : workers) {
    if (auto room = RoomOfWorker(context, it)) {
      ClampToZero(room->free);
      digest.workers.push_back(std::move(*room));
    }
  }
}

std::set<std::string> AllOwn(const State& state) {
  std::set<std::string> all;
  for (const auto& [id, worker] : state.owned) {
    all.insert(id);
  }
  for (const auto& [id, gone] : state.gone) {
    all.insert(id);
  }
  return all;
}

void AddWaiting(const State& state, RoomDigest& digest) {
  for (const QueuePolicy& it : state.configuration.queues) {
    const std::uint32_t jobs = CountWaiting(state, it.name);
    digest.waiting.push_back({.queue = it.name, .jobs = jobs});
  }
}

}  // namespace

void DriveDigests(Context& context) {
  DigestState& state = context.state.digest;
  const bool refresh =
      HasPassed(context.now, state.refreshed_at, kDigestRefresh);
  const bool changed = !state.changed.empty() || state.waiting_changed;
  if (!refresh &&
      (!changed || !HasPassed(context.now, state.sent_at, kDigestInterval))) {
    return;
  }
  RoomDigest digest{.advice_wait = AdviceWait(context.state)};
  AddRooms(context, refresh ? AllOwn(context.state) : state.changed, digest);
  if (refresh || state.waiting_changed) {
    AddWaiting(context.state, digest);
  }
  state.changed.clear();
  state.waiting_changed = false;
  state.sent_at = context.now;
  if (refresh) {
    state.refreshed_at = context.now;
  }
  for (const std::string& it : OtherMembers(context)) {
    Send(context, it, digest);
  }
}

void OnRoomDigest(Context& context,
                  const std::string& from,
                  const RoomDigest& digest) {
  for (const WorkerRoom& it : digest.workers) {
    RoomView& view = context.state.view[it.worker];
    const bool newer =
        it.fence > view.fence ||
        (it.fence == view.fence && (it.gone || it.version >= view.version));
    if (!newer || view.gone) {
      continue;
    }
    view = RoomView{.owner = from,
                    .fence = it.fence,
                    .version = it.version,
                    .free = it.free,
                    .yielding = it.yielding,
                    .accepting = it.accepting,
                    .gone = it.gone,
                    .slowness = it.slowness,
                    .heard = context.now};
    const auto owned = context.state.owned.find(it.worker);
    if (owned != context.state.owned.end() && owned->second.claimed &&
        owned->second.fence < it.fence) {
      LoseWorker(context, it.worker);
    }
    if (it.gone) {
      context.state.workers.erase(it.worker);
      OnWorkerLost(context, it.worker);
    }
    context.state.placement_due = true;
  }
  context.state.advice.waits[from] = digest.advice_wait;
  for (const QueueWaiting& it : digest.waiting) {
    context.state.digest.waiting[from][it.queue] = it.jobs;
  }
}

}  // namespace burdockrock::engine
