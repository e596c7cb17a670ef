#include "engine/members/digests.h"

#include <algorithm>
#include <utility>

#include "engine/advice/advice_callers.h"
#include "engine/advice/advice_turns.h"
#include "engine/jobs/job_runs.h"
#include "engine/jobs/preemption.h"
#include "engine/jobs/questions.h"
#include "engine/members/membership.h"
#include "engine/workers/worker_owner.h"

namespace burdockrock::engine {

namespace {

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

std::map<std::string, std::uint32_t> CountAllWaiting(const State& state) {
  std::map<std::string, std::uint32_t> waiting;
  for (const QueuePolicy& it : state.configuration.queues) {
    waiting[it.name] = CountWaiting(state, it.name);
  }
  return waiting;
}

// Queues whose count differs from the last one sent.
void AddWaiting(DigestState& state,
                std::map<std::string, std::uint32_t> waiting,
                RoomDigest& digest) {
  for (const auto& [queue, jobs] : waiting) {
    const auto told = state.told_waiting.find(queue);
    const std::uint32_t before =
        told == state.told_waiting.end() ? 0 : told->second;
    if (jobs != before) {
      digest.waiting.push_back({.queue = queue, .jobs = jobs});
    }
  }
  state.told_waiting = std::move(waiting);
}

DigestState::ToldWorker ToldOf(const WorkerRoom& room) {
  return {.fence = room.fence, .accepting = room.accepting, .gone = room.gone};
}

// A changed owner of a worker, or whether it takes tasks: until others know
// they offer in vain or leave it empty. Checked as often as digests may be
// sent.
bool HasUrgent(Context& context) {
  DigestState& state = context.state.digest;
  if (!HasPassed(context.now, state.looked_at, kDigestInterval)) {
    return false;
  }
  state.looked_at = context.now;
  return std::any_of(state.changed.begin(), state.changed.end(),
                     [&](const std::string& it) {
                       const auto room = RoomOfWorker(context, it);
                       return room && state.told[it] != ToldOf(*room);
                     });
}

Duration IntervalOf(const State& state) {
  const auto members = static_cast<std::int64_t>(state.members.present.size());
  return kDigestInterval + kDigestIntervalPerMember *
                               std::max<std::int64_t>(members - kFewMembers, 0);
}

// When the members can't notice otherwise that they have missed one.
bool RemindIsDue(const Context& context) {
  const DigestState& state = context.state.digest;
  return HasPassed(context.now, state.sent_at,
                   state.settled ? kDigestReminder : kDigestRepeat);
}

bool ChangeIsDue(Context& context) {
  const DigestState& state = context.state.digest;
  const bool changed = !state.changed.empty() || state.waiting_changed;
  if (!changed || !HasPassed(context.now, state.sent_at, kDigestInterval)) {
    return false;
  }
  return HasPassed(context.now, state.sent_at, IntervalOf(context.state)) ||
         HasUrgent(context);
}

void TellAskers(Context& context) {
  DigestState& state = context.state.digest;
  if (state.askers.empty()) {
    return;
  }
  RoomDigest digest{
      .sequence = state.sequence,
      .whole = true,
      .advice_wait = AdviceWait(context.state, context.now),
      .advice_urgent_wait = UrgentAdviceWait(context.state, context.now)};
  AddRooms(context, AllOwn(context.state), digest);
  for (const auto& [queue, jobs] : CountAllWaiting(context.state)) {
    if (jobs != 0) {
      digest.waiting.push_back({.queue = queue, .jobs = jobs});
    }
  }
  for (const std::string& it : std::exchange(state.askers, {})) {
    Send(context, it, digest);
  }
}

void AskForMissed(Context& context) {
  for (auto& [member, asked] : context.state.digest.missed) {
    if (HasPassed(context.now, asked, kDigestAsk)) {
      asked = context.now;
      Send(context, member, DigestAsk());
    }
  }
  std::erase_if(context.state.digest.missed, [&](const auto& it) {
    return FindMember(context.state, it.first) == nullptr;
  });
}

// Whether some digest before this one was missed.
void NoteSequence(Context& context,
                  const std::string& from,
                  const RoomDigest& digest) {
  DigestState& state = context.state.digest;
  std::uint64_t& heard = state.heard[from];
  // A digest without changes repeats the number of the last one that had some:
  // taken for that one, it would hide that a single digest was missed.
  const bool tells = !digest.workers.empty() || !digest.waiting.empty();
  if (digest.whole) {
    heard = std::max(heard, digest.sequence);
    state.missed.erase(from);
  } else if (tells && digest.sequence == heard + 1) {
    heard = digest.sequence;
  } else if (digest.sequence > heard) {
    state.missed.try_emplace(from, Time::min());
  }
}

}  // namespace

std::optional<WorkerRoom> RoomOfWorker(Context& context,
                                       const std::string& id) {
  if (const OwnedWorker* worker = FindClaimed(context.state, id)) {
    WorkerRoom room{.worker = id,
                    .fence = worker->fence,
                    .version = worker->version,
                    .free = FreeRoom(*worker),
                    .yielding = YieldingRoom(*worker),
                    .accepting = Accepts(context, *worker),
                    .slowness = worker->speed.slowness()};
    ClampToZero(room.free);
    return room;
  }
  const auto gone = context.state.gone.find(id);
  if (gone == context.state.gone.end()) {
    return std::nullopt;
  }
  return WorkerRoom{.worker = id, .fence = gone->second.fence, .gone = true};
}

void OnRoom(Context& context, const std::string& from, const WorkerRoom& it) {
  RoomView& view = context.state.view[it.worker];
  const bool newer =
      it.fence > view.fence ||
      (it.fence == view.fence && (it.gone || it.version >= view.version));
  if (!newer || (view.gone && it.fence <= view.fence)) {
    return;
  }
  // Somebody has claimed it after it was taken for gone.
  context.state.gone.erase(it.worker);
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
    ReleaseWorker(context, it.worker);
  }
  if (it.gone) {
    context.state.workers.erase(it.worker);
    OnWorkerLost(context, it.worker);
  }
  context.state.placement_due = true;
}

void DriveDigests(Context& context) {
  TellAskers(context);
  AskForMissed(context);
  DigestState& state = context.state.digest;
  const bool change = ChangeIsDue(context);
  if (!change && !RemindIsDue(context)) {
    return;
  }
  RoomDigest digest{
      .advice_wait = AdviceWait(context.state, context.now),
      .advice_urgent_wait = UrgentAdviceWait(context.state, context.now)};
  AddRooms(context, std::exchange(state.changed, {}), digest);
  if (std::exchange(state.waiting_changed, false)) {
    AddWaiting(state, CountAllWaiting(context.state), digest);
  }
  for (const WorkerRoom& it : digest.workers) {
    state.told[it.worker] = ToldOf(it);
  }
  const bool tells = !digest.workers.empty() || !digest.waiting.empty();
  state.sequence += tells ? 1 : 0;
  digest.sequence = state.sequence;
  state.settled = !tells && digest.advice_wait == Duration(0);
  state.sent_at = context.now;
  for (const std::string& it : OtherMembers(context)) {
    Send(context, it, digest);
  }
}

void OnRoomDigest(Context& context,
                  const std::string& from,
                  const RoomDigest& digest) {
  NoteSequence(context, from, digest);
  for (const WorkerRoom& it : digest.workers) {
    OnRoom(context, from, it);
  }
  HearOfCaller(context, from, digest.advice_wait, digest.advice_urgent_wait);
  auto& waiting = context.state.digest.waiting[from];
  if (digest.whole) {
    waiting.clear();
  }
  for (const QueueWaiting& it : digest.waiting) {
    waiting[it.queue] = it.jobs;
  }
}

void OnDigestAsk(Context& context, const std::string& from) {
  context.state.digest.askers.insert(from);
}

void DoubtRoom(Context& context, const std::string& worker) {
  const auto view = context.state.view.find(worker);
  if (view != context.state.view.end() &&
      view->second.owner != context.self()) {
    context.state.digest.missed.try_emplace(view->second.owner, Time::min());
  }
}

}  // namespace burdockrock::engine
