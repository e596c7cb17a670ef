#include "engine/members/digests.h"

#include <algorithm>
#include <utility>

#include "engine/advice/advice_callers.h"
#include "engine/advice/advice_queue.h"
#include "engine/jobs/caller_requests.h"
#include "engine/jobs/job_runs.h"
#include "engine/jobs/preemption.h"
#include "engine/members/digest_relay.h"
#include "engine/members/member_features.h"
#include "engine/members/member_load.h"
#include "engine/members/membership.h"
#include "engine/workers/acceptance.h"
#include "engine/workers/service_workers.h"
#include "engine/workers/worker_owner.h"

namespace burdockrock::engine {

namespace {

// Below the time after which receivers halve what a load reports.
constexpr Duration kLoadRepeat = milliseconds(2000);

// Room may be overbooked for a short time, as after a takeover. It is then
// reported as zero.
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

std::set<std::string> OwnWorkers(const State& state) {
  std::set<std::string> all;
  for (const auto& [id, worker] : state.owned) {
    all.insert(id);
  }
  for (const auto& [id, lost] : state.lost_workers) {
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
    const auto reported = state.sent_waiting.find(queue);
    const std::uint32_t before =
        reported == state.sent_waiting.end() ? 0 : reported->second;
    if (jobs != before) {
      digest.waiting.push_back({.queue = queue, .jobs = jobs});
    }
  }
  state.sent_waiting = std::move(waiting);
}

DigestState::SentWorker ReportedOf(const WorkerRoom& room) {
  return {.fence = room.fence, .accepting = room.accepting, .lost = room.lost};
}

// Whether a worker's owner changed, or whether it accepts tasks. Until other
// members know, their offers fail or they leave the worker idle. Checked at
// most as often as digests may be sent.
bool HasUrgentChange(Context& context) {
  DigestState& state = context.state.digest;
  if (!HasPassed(context.now, state.urgent_checked_at, kDigestInterval)) {
    return false;
  }
  state.urgent_checked_at = context.now;
  return std::any_of(
      state.changed.begin(), state.changed.end(), [&](const std::string& it) {
        const auto room = RoomOfWorker(context, it);
        return room && state.sent_workers[it] != ReportedOf(*room);
      });
}

Duration IntervalOf(const State& state) {
  const auto members = static_cast<std::int64_t>(state.members.present.size());
  return kDigestInterval +
         kDigestIntervalPerMember *
             std::max<std::int64_t>(members - kFewMembers, 0) +
         DelayWhenLate(state);
}

bool HasChanges(const DigestState& state) {
  return !state.changed.empty() || state.waiting_changed;
}

// Digests are repeated without a change because members have no other way to
// notice that they missed the last one. After a quiet time, too, a change is
// known to the others within the shorter interval: tasks may wait for room that
// became free here.
bool RepeatIsDue(const Context& context) {
  const DigestState& state = context.state.digest;
  const bool quiet = state.settled && !HasChanges(state);
  return HasPassed(context.now, state.sent_at,
                   quiet ? kDigestKeepalive : kDigestRepeatDelay);
}

bool ChangeIsDue(Context& context) {
  const DigestState& state = context.state.digest;
  if (!HasChanges(state) ||
      !HasPassed(context.now, state.sent_at, kDigestInterval)) {
    return false;
  }
  return HasPassed(context.now, state.sent_at, IntervalOf(context.state)) ||
         HasUrgentChange(context);
}

// Adds the load where it has changed, and again after some time: digests get
// lost, and receivers halve what has become old.
void AddLoad(Context& context, RoomDigest& digest) {
  if (!UsesLoad(context.state)) {
    return;
  }
  MemberLoad load = OwnLoad(context);
  DigestState& state = context.state.digest;
  const bool repeats = load != MemberLoad() &&
                       HasPassed(context.now, state.load_sent_at, kLoadRepeat);
  if (load != state.sent_load || repeats) {
    state.sent_load = load;
    state.load_sent_at = context.now;
    digest.load = std::move(load);
  }
}

void SendDigest(Context& context, const std::string& to, RoomDigest digest) {
  if (!KnowsLoad(to)) {
    digest.load.reset();
  }
  Send(context, to, std::move(digest));
}

void SendRequestedDigests(Context& context) {
  DigestState& state = context.state.digest;
  if (state.full_digest_requests.empty()) {
    return;
  }
  RoomDigest digest{
      .sequence = state.sequence,
      .whole = true,
      .advice_wait = AdviceWait(context.state, context.now),
      .advice_urgent_wait = UrgentAdviceWait(context.state, context.now)};
  AddRooms(context, OwnWorkers(context.state), digest);
  for (const auto& [queue, jobs] : CountAllWaiting(context.state)) {
    if (jobs != 0) {
      digest.waiting.push_back({.queue = queue, .jobs = jobs});
    }
  }
  if (UsesLoad(context.state)) {
    digest.load = OwnLoad(context);
  }
  for (const std::string& it : std::exchange(state.full_digest_requests, {})) {
    SendDigest(context, it, digest);
  }
}

void SendOwnDigest(Context& context) {
  DigestState& state = context.state.digest;
  RoomDigest digest{
      .advice_wait = AdviceWait(context.state, context.now),
      .advice_urgent_wait = UrgentAdviceWait(context.state, context.now)};
  AddRooms(context, std::exchange(state.changed, {}), digest);
  if (std::exchange(state.waiting_changed, false)) {
    AddWaiting(state, CountAllWaiting(context.state), digest);
  }
  for (const WorkerRoom& it : digest.workers) {
    state.sent_workers[it.worker] = ReportedOf(it);
  }
  const bool has_changes = !digest.workers.empty() || !digest.waiting.empty();
  state.sequence += has_changes ? 1 : 0;
  digest.sequence = state.sequence;
  AddLoad(context, digest);
  state.settled =
      !has_changes && !digest.load && digest.advice_wait == Duration(0);
  state.sent_at = context.now;
  const DigestReceivers receivers = ReceiversOf(context);
  ++context.state.digest_relay.sent;
  for (const std::string& it : receivers.direct) {
    SendDigest(context, it, digest);
  }
  digest.pass_on = true;
  for (const std::string& it : receivers.relays) {
    SendDigest(context, it, digest);
  }
}

// Takes the numbers of waiting jobs over, except those that a later digest has
// told.
void TakeWaitingJobs(State& state,
                     const std::string& from,
                     const RoomDigest& digest) {
  if (digest.sequence < state.digest.received_up_to[from]) {
    return;
  }
  auto& waiting = state.digest.waiting[from];
  if (digest.whole) {
    std::erase_if(waiting, [&](const auto& it) {
      return IsLatestOfQueue(state, from, digest, it.first);
    });
  }
  for (const QueueWaiting& it : digest.waiting) {
    if (IsLatestOfQueue(state, from, digest, it.queue)) {
      waiting[it.queue] = it.jobs;
    }
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
                    .yielding = PreemptibleRoom(*worker),
                    .accepting = Accepts(context, *worker),
                    .slowness = worker->speed.slowness()};
    ClampToZero(room.free);
    return room;
  }
  const auto lost = context.state.lost_workers.find(id);
  if (lost == context.state.lost_workers.end()) {
    return std::nullopt;
  }
  return WorkerRoom{.worker = id, .fence = lost->second.fence, .lost = true};
}

void OnRoom(Context& context, const std::string& from, const WorkerRoom& it) {
  RoomView& view = context.state.view[it.worker];
  const bool newer =
      it.fence > view.fence ||
      (it.fence == view.fence && (it.lost || it.version >= view.version));
  if (!newer || (view.lost && it.fence <= view.fence)) {
    return;
  }
  if (!it.lost) {
    // Another member has claimed the worker after it was declared lost.
    context.state.lost_workers.erase(it.worker);
  }
  SetRoom(context.state, it.worker, view,
          {.owner = from,
           .fence = it.fence,
           .version = it.version,
           .free = it.free,
           .yielding = it.yielding,
           .accepting = it.accepting,
           .lost = it.lost,
           .slowness = it.slowness,
           .updated_at = context.now});
  const auto owned = context.state.owned.find(it.worker);
  if (owned != context.state.owned.end() && owned->second.claimed &&
      owned->second.fence < it.fence) {
    ReleaseWorker(context, it.worker);
  }
  if (it.lost) {
    EraseWorker(context.state, it.worker);
    OnWorkerLost(context, it.worker);
  }
  context.state.placement_due = true;
}

void DriveDigests(Context& context) {
  SendRequestedDigests(context);
  RequestMissedDigests(context);
  const bool due = ChangeIsDue(context) || RepeatIsDue(context);
  if (due) {
    SendOwnDigest(context);
  }
  PassOnDigests(context, due);
}

void OnRoomDigest(Context& context,
                  const std::string& from,
                  const RoomDigest& digest,
                  DigestRoute route) {
  // One that was passed on may come after a later one. Rooms have versions.
  const bool outdated = digest.sequence < LatestSequence(context.state, from);
  TakeWaitingJobs(context.state, from, digest);
  NoteSequence(context, from, digest, route);
  if (route != DigestRoute::kRelayed) {
    KeepForOthers(context, from, digest);
  }
  for (const WorkerRoom& it : digest.workers) {
    OnRoom(context, from, it);
  }
  if (outdated) {
    return;
  }
  UpdateAdviceCaller(context, from, digest.advice_wait,
                     digest.advice_urgent_wait);
  if (digest.load) {
    OnMemberLoad(context, from, *digest.load);
  }
}

void OnDigestRequest(Context& context, const std::string& from) {
  context.state.digest.full_digest_requests.insert(from);
}

void RequestRoomUpdate(Context& context, const std::string& worker) {
  const auto view = context.state.view.find(worker);
  if (view != context.state.view.end() &&
      view->second.owner != context.self()) {
    context.state.digest.full_requested_at.try_emplace(view->second.owner,
                                                       Time::min());
  }
}

}  // namespace burdockrock::engine
