#include "scheduler/gangs.h"

#include <algorithm>
#include <map>
#include <vector>

#include "scheduler/attempt_updates.h"
#include "scheduler/context.h"
#include "scheduler/forwarding.h"
#include "scheduler/task_crashes.h"

namespace burdockrock {

namespace {

constexpr std::uint32_t kMaxBackoffShift = 2;
// A gang that knows no place for a task that was refused waits for so many
// digests of its peers before it releases the others' room.
constexpr std::int64_t kDigestsToWait = 2;

// How many tasks of a gang a peer has room for.
struct PeerShare {
  std::string peer;
  std::int64_t places = 0;
};

bool IsWhollyQueued(const Job& job) {
  return job.queued == job.tasks.size();
}

// Returns the peers of the domain with room by their digests, largest first.
std::vector<PeerShare> PeerShares(Context& context, const Resources& need) {
  std::vector<PeerShare> shares;
  for (const auto& [id, peer] : context.state().membership.peers) {
    if (!IsDomainPeer(context, peer) || !IsUsable(context, peer)) {
      continue;
    }
    const std::int64_t places = PlacesAt(peer, need);
    if (places > 0) {
      shares.push_back({.peer = id, .places = places});
    }
  }
  std::sort(shares.begin(), shares.end(),
            [](const PeerShare& left, const PeerShare& right) {
              return left.places > right.places;
            });
  return shares;
}

void HoldLocally(Context& context,
                 Job& job,
                 std::uint32_t index,
                 TargetIndex target) {
  State& state = context.state();
  Task& task = job.tasks[index];
  task.attempt = state.jobs.journals.at(job.log).next_attempt++;
  ChargeTeam(context, job, index);
  WorkerRecord& worker =
      state.ownership.workers.at(state.placement.info(target).id);
  task.owner = context.self();
  task.worker = worker.info.id;
  StartOnWorker(
      context, worker,
      {.attempt = {.job = job.id, .task = index, .number = task.attempt},
       .resources = job.spec.resources,
       .payload = job.spec.payload,
       .hold = true});
}

void HoldAtPeer(Context& context,
                Job& job,
                std::uint32_t index,
                const std::string& peer) {
  job.tasks[index].attempt =
      context.state().jobs.journals.at(job.log).next_attempt++;
  ChargeTeam(context, job, index);
  OfferTask(context, job, index, peer, true);
}

bool RecordDispatches(Context& context, Job& job) {
  bool recorded = false;
  for (std::uint32_t it = 0; it < job.tasks.size(); ++it) {
    if (MustRecordStart(job.tasks[it]) && !job.tasks[it].start_recorded) {
      RecordStart(context, job, it);
      recorded = true;
    } else if (!job.spec.idempotent && !job.tasks[it].dispatched) {
      RecordDispatch(context, job, it);
      recorded = true;
    }
  }
  return recorded;
}

bool IsAssembling(const Job& job) {
  return !job.gang_running && !job.recovering && job.hold_until != Time(0);
}

// The order is arbitrary, but the same for all members.
bool Outranks(const std::string& left, const std::string& right) {
  const std::uint64_t left_rank = StableHash("gang", left);
  const std::uint64_t right_rank = StableHash("gang", right);
  return left_rank != right_rank ? left_rank < right_rank : left < right;
}

// Offers the tasks that were refused to other owners, while the others keep
// their room. Returns false if there is no place for one of them now.
bool CompleteGang(Context& context, Job& job) {
  State& state = context.state();
  for (std::uint32_t it = 0; it < job.tasks.size(); ++it) {
    if (job.tasks[it].state != TaskState::kQueued) {
      continue;
    }
    const auto local =
        state.placement.PickWorker(job.spec.resources, WorkerPolicy::kPack);
    if (local) {
      HoldLocally(context, job, it, *local);
      continue;
    }
    const std::string peer = ChoosePeerForTask(context, job.spec.resources);
    if (peer.empty()) {
      return false;
    }
    HoldAtPeer(context, job, it, peer);
  }
  return true;
}

bool HasEnded(const Task& task) {
  return task.state == TaskState::kEnding || task.state == TaskState::kDone ||
         task.state == TaskState::kFailed ||
         task.state == TaskState::kMayHaveRun;
}

// Fails a gang that lost a task after another had ended: its tasks can't run
// together again.
void FailGang(Context& context, Job& job) {
  job.judged_failed = true;
  for (std::uint32_t it = 0; it < job.tasks.size(); ++it) {
    if (job.tasks[it].state == TaskState::kQueued) {
      EndTask(context, job, it, TaskState::kFailed);
    } else if (IsOutstanding(job.tasks[it])) {
      StopAttempt(context, job, it);
    }
  }
}

}  // namespace

bool AssembleGang(Context& context, Job& job) {
  if (IsAssembling(job)) {
    if (CompleteGang(context, job)) {
      return true;
    }
    if (IsOutranked(context, job.id)) {
      BackOffGang(context, job, kOutranked);
      return false;
    }
    OutrankOthers(context, job.id);
    const Time end =
        context.now() + context.policy().membership.digest * kDigestsToWait;
    if (end < job.hold_until) {
      job.hold_until = end;
      context.ScheduleAt(end, TimerKind::kGang, job.id);
    }
    return false;
  }
  if (!IsWhollyQueued(job)) {
    return false;
  }
  State& state = context.state();
  const auto count = static_cast<std::int64_t>(job.tasks.size());
  const Resources& need = job.spec.resources;
  const std::int64_t local =
      std::min(state.placement.CountFitting(need), count);
  const std::vector<PeerShare> shares =
      local == count ? std::vector<PeerShare>{} : PeerShares(context, need);
  std::int64_t places = local;
  for (const PeerShare& it : shares) {
    places += it.places;
  }
  if (places < count) {
    return false;
  }
  if (RecordDispatches(context, job)) {
    return true;
  }
  std::vector<TargetIndex> targets;
  if (local > 0) {
    targets = state.placement.PickGang(need, static_cast<std::uint32_t>(local));
  }
  job.hold_until = context.now() + context.policy().gang.hold;
  context.ScheduleAt(job.hold_until, TimerKind::kGang, job.id);
  std::uint32_t index = 0;
  for (const TargetIndex it : targets) {
    HoldLocally(context, job, index++, it);
  }
  for (const PeerShare& share : shares) {
    for (std::int64_t it = 0; it < share.places && index < count; ++it) {
      HoldAtPeer(context, job, index++, share.peer);
    }
  }
  return true;
}

void OnGangTaskHeld(Context& context, Job& job) {
  if (job.gang_running || job.recovering) {
    return;
  }
  const bool all_held =
      std::all_of(job.tasks.begin(), job.tasks.end(),
                  [](const Task& it) { return it.state == TaskState::kHeld; });
  if (!all_held) {
    return;
  }
  job.gang_running = true;
  job.go_sent = true;
  job.hold_until = Time(0);
  job.backoffs = 0;
  context.Log(EventNumber::kGangStarted,
              {{"job", job.id}, {"tasks", std::to_string(job.tasks.size())}});
  for (std::uint32_t it = 0; it < job.tasks.size(); ++it) {
    GoAttempt(context, job, it);
  }
}

bool IsOutranked(const Context& context, const std::string& job) {
  const auto precedes = [&](const auto& it) {
    return it.second.state == AttemptState::kHeld &&
           Outranks(it.first.job, job);
  };
  const auto& workers = context.state().ownership.workers;
  return std::any_of(workers.begin(), workers.end(), [&](const auto& it) {
    const auto& bookings = it.second.bookings;
    return std::any_of(bookings.begin(), bookings.end(), precedes);
  });
}

void OutrankOthers(Context& context, const std::string& job) {
  std::map<std::string, Booking> others;  // one for each gang
  for (const auto& [id, worker] : context.state().ownership.workers) {
    for (const auto& [attempt, booking] : worker.bookings) {
      if (booking.state == AttemptState::kHeld && Outranks(job, attempt.job)) {
        others.emplace(attempt.job, booking);
      }
    }
  }
  for (const auto& [id, booking] : others) {
    Job* own = FindJob(context, id);
    if (own != nullptr) {
      OnGangOutranked(context, *own);
    } else if (!booking.offered_by.empty()) {
      // No offer has this number: the attempt is held until it is stopped.
      context.Send(booking.offered_by, TaskRefused{.sequence = 0,
                                                   .attempt = booking.attempt,
                                                   .reason = kOutranked});
    }
  }
}

void OnGangOutranked(Context& context, Job& job) {
  if (IsAssembling(job)) {
    BackOffGang(context, job, kOutranked);
  }
}

void OnGangTaskRefused(Context& context, Job& job, const std::string& why) {
  if (!IsAssembling(job) || why == kOutranked) {
    BackOffGang(context, job, why);
  }
}

void BackOffGang(Context& context, Job& job, const std::string& why) {
  if (job.judged_failed) {
    return;
  }
  if (std::any_of(job.tasks.begin(), job.tasks.end(), HasEnded)) {
    job.gang_running = false;
    FailGang(context, job);
    return;
  }
  // A gang that has backed off may still be told how its tasks were stopped.
  const bool is_idle = !job.gang_running && job.hold_until == Time(0);
  if (is_idle) {
    return;
  }
  job.gang_running = false;
  job.hold_until = Time(0);
  const std::uint32_t shift = std::min(job.backoffs, kMaxBackoffShift);
  ++job.backoffs;
  job.retry_at = context.now() +
                 context.Jitter(context.policy().gang.backoff * (1U << shift));
  context.Log(EventNumber::kGangBackedOff, {{"job", job.id}, {"why", why}});
  for (std::uint32_t it = 0; it < job.tasks.size(); ++it) {
    const TaskState state = job.tasks[it].state;
    const bool runs = state == TaskState::kStarting ||
                      state == TaskState::kHeld || state == TaskState::kRunning;
    if (runs) {
      StopAttempt(context, job, it);
    }
  }
  context.ScheduleAt(job.retry_at, TimerKind::kGang, job.id);
}

void OnGangTimer(Context& context, const std::string& id) {
  Job* job = FindJob(context, id);
  if (job == nullptr || job->finished || job->cancelled || job->gang_running) {
    return;
  }
  if (job->hold_until != Time(0) && context.now() >= job->hold_until) {
    BackOffGang(context, *job, "not all tasks were held in time");
    return;
  }
  if (job->hold_until == Time(0) && context.now() >= job->retry_at) {
    QueueJob(context, *job);
  }
}

void RecoverGang(Context& context, Job& job) {
  const bool all_run =
      std::all_of(job.tasks.begin(), job.tasks.end(), [](const Task& it) {
        return it.state == TaskState::kRunning || HasEnded(it);
      });
  if (all_run) {
    job.gang_running = true;
    return;
  }
  job.gang_running = true;  // makes BackOffGang stop the attempts found
  BackOffGang(context, job, "not all tasks were found after adoption");
}

}  // namespace burdockrock
