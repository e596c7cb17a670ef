#include "scheduler/tasks.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <set>
#include <utility>

#include "scheduler/context.h"
#include "scheduler/forwarding.h"
#include "scheduler/gangs.h"
#include "scheduler/task_crashes.h"

namespace burdockrock {

namespace {

// Limits of one pass, which keep the step short. A gang and the last queued
// task of a job, such as the task of a job of one, don't count as starts. A
// pass that reaches the limit of starts is followed by another at once, one
// that reaches the limit of blocked jobs by a sweep over the jobs behind them.
constexpr std::size_t kMaxStartsPerPass = 256;
constexpr std::size_t kMaxBlockedPerPass = 64;
constexpr Duration kSweepPause = std::chrono::milliseconds(10);

struct PassTeam {
  double usage = 0;
  std::string team;
  auto operator<=>(const PassTeam&) const = default;
};

// The state of one placement pass.
struct Pass {
  std::size_t starts = 0;
  std::size_t blocked = 0;
  // Sizes that fit nowhere; anything larger doesn't fit either.
  std::vector<Resources> misfits;
  std::array<std::set<PassTeam>, kUrgencyCount> teams;
  // The next job to try, by class and team.
  std::array<std::map<std::string, std::size_t>, kUrgencyCount> cursors;
};

// The team's dominant share of the capacity, divided by its weight.
double UsageOf(const Context& context, const std::string& team) {
  const State& state = context.state();
  const auto usage = state.jobs.team_usage.find(team);
  if (usage == state.jobs.team_usage.end()) {
    return 0;
  }
  const auto policy = context.policy().teams.find(team);
  const double weight =
      policy == context.policy().teams.end() ? 1 : policy->second.weight;
  const DimensionArray used = ToArray(usage->second);
  const DimensionArray total = ToArray(state.placement.total_capacity());
  double share = 0;
  for (std::size_t it = 0; it < kDimensionCount; ++it) {
    if (total[it] > 0) {
      share = std::max(share, static_cast<double>(used[it]) /
                                  static_cast<double>(total[it]));
    }
  }
  return share / std::max(weight, 0.001);
}

// A team's quota is split evenly over the live entry instances, so that a start
// needs no message to another member. A share is at least one task; otherwise a
// small quota would keep the team from running anything.
bool WithinQuota(Context& context, const Job& job) {
  const auto policy = context.policy().teams.find(job.spec.team);
  if (policy == context.policy().teams.end()) {
    return true;
  }
  const auto live = static_cast<std::int64_t>(CountLivePeers(context));
  const DimensionArray quota = ToArray(policy->second.quota);
  const DimensionArray need = ToArray(job.spec.resources);
  const DimensionArray used =
      ToArray(context.state().jobs.team_usage[job.spec.team]);
  for (std::size_t it = 0; it < kDimensionCount; ++it) {
    const std::int64_t share = (quota[it] + live - 1) / live;
    if (quota[it] > 0 && used[it] + need[it] > std::max(share, need[it])) {
      return false;
    }
  }
  return true;
}

bool IsKnownMisfit(const Pass& pass, const Resources& need) {
  return std::any_of(pass.misfits.begin(), pass.misfits.end(),
                     [&](const Resources& it) { return Fits(it, need); });
}

std::optional<std::uint32_t> NextTask(Job& job) {
  while (job.next_queued < job.tasks.size()) {
    if (job.tasks[job.next_queued].state == TaskState::kQueued) {
      return job.next_queued;
    }
    ++job.next_queued;
  }
  return std::nullopt;
}

// The next queued task after `index` that may run beside others.
std::optional<std::uint32_t> NextBeside(const Context& context,
                                        const Job& job,
                                        std::uint32_t index) {
  for (std::uint32_t it = index + 1; it < job.tasks.size(); ++it) {
    if (job.tasks[it].state == TaskState::kQueued &&
        !IsIsolated(context, job.tasks[it])) {
      return it;
    }
  }
  return std::nullopt;
}

WorkerPolicy PolicyOf(const Job& job) {
  return job.spec.kind == JobKind::kService ? WorkerPolicy::kSpread
                                            : WorkerPolicy::kPack;
}

// An owned worker on which nothing runs; nothing if there is none.
std::optional<TargetIndex> PickEmptyWorker(const State& state,
                                           const Resources& need) {
  const auto emptiest = state.placement.PickWorker(need, WorkerPolicy::kSpread);
  const bool is_empty =
      emptiest && state.placement.free(*emptiest) ==
                      state.placement.info(*emptiest).capacity;
  return is_empty ? emptiest : std::nullopt;
}

bool PlaceTask(Context& context, Job& job, std::uint32_t index) {
  State& state = context.state();
  Task& task = job.tasks[index];
  const bool isolated = IsIsolated(context, task);
  const auto local =
      isolated ? PickEmptyWorker(state, job.spec.resources)
               : state.placement.PickWorker(job.spec.resources, PolicyOf(job));
  const std::string peer =
      local || isolated ? "" : ChoosePeerForTask(context, job.spec.resources);
  if (!local && peer.empty()) {
    return false;
  }
  if (MustRecordStart(task) && !task.start_recorded) {
    RecordStart(context, job, index);
    return true;
  }
  if (!job.spec.idempotent && !task.dispatched) {
    RecordDispatch(context, job, index);
    return true;
  }
  task.attempt = state.jobs.journals.at(job.log).next_attempt++;
  ChargeTeam(context, job, index);
  if (!local) {
    OfferTask(context, job, index, peer, false);
    return true;
  }
  WorkerRecord& worker =
      state.ownership.workers.at(state.placement.info(*local).id);
  task.owner = context.self();
  task.worker = worker.info.id;
  // A service would keep the rest of the worker from others for good.
  const bool takes_all = isolated && job.spec.kind != JobKind::kService;
  StartOnWorker(
      context, worker,
      {.attempt = {.job = job.id, .task = index, .number = task.attempt},
       .resources = takes_all ? state.placement.info(*local).capacity
                              : job.spec.resources,
       .payload = job.spec.payload});
  return true;
}

enum class TryResult { kStarted, kBlocked, kNothingLeft };

TryResult Blocked(Job& job, const char* lacks) {
  job.waits_for = lacks;
  return TryResult::kBlocked;
}

TryResult TryJob(Context& context, Pass& pass, Job& job) {
  job.waits_for = "";
  if (job.cancelled || job.finished || job.queued == 0) {
    return TryResult::kNothingLeft;
  }
  if (context.now() < job.retry_at) {
    return Blocked(job, "backoff");
  }
  // A gang in assembly was let in as a whole.
  const bool is_held = job.hold_until != Time(0);
  if (!is_held && !WithinQuota(context, job)) {
    return Blocked(job, "quota");
  }
  if (job.spec.kind == JobKind::kGang) {
    return AssembleGang(context, job) ? TryResult::kNothingLeft
                                      : Blocked(job, "room_for_all");
  }
  const auto index = NextTask(job);
  if (!index) {
    return TryResult::kNothingLeft;
  }
  if (IsKnownMisfit(pass, job.spec.resources)) {
    return Blocked(job, "room");
  }
  if (PlaceTask(context, job, *index)) {
    return job.queued == 0 ? TryResult::kNothingLeft : TryResult::kStarted;
  }
  if (IsIsolated(context, job.tasks[*index])) {
    // A task that waits for an empty worker says nothing of the room of others.
    const auto other = NextBeside(context, job, *index);
    if (!other) {
      return Blocked(job, "empty_worker");
    }
    if (PlaceTask(context, job, *other)) {
      return TryResult::kStarted;
    }
  }
  pass.misfits.push_back(job.spec.resources);
  return Blocked(job, "room");
}

// Tries the jobs of a class until a task of a job with more queued tasks is
// started; returns false if there is none. A gang or the last task of a job is
// placed without being counted: TryJob returns kNothingLeft for it.
bool PlaceOne(Context& context, Pass& pass, std::size_t which) {
  State& state = context.state();
  auto& teams = pass.teams[which];
  while (!teams.empty() && pass.blocked < kMaxBlockedPerPass) {
    const PassTeam first = *teams.begin();
    teams.erase(teams.begin());
    std::deque<std::string>& jobs = state.tasks.classes[which][first.team];
    std::size_t& cursor = pass.cursors[which][first.team];
    if (cursor >= jobs.size()) {
      continue;
    }
    Job* job = FindJob(context, jobs[cursor]);
    const TryResult result =
        job == nullptr ? TryResult::kNothingLeft : TryJob(context, pass, *job);
    if (result == TryResult::kNothingLeft) {
      if (job != nullptr) {
        job->in_queue = false;
      }
      jobs.erase(jobs.begin() + static_cast<std::ptrdiff_t>(cursor));
      const auto next = state.tasks.sweep[which].find(first.team);
      if (next != state.tasks.sweep[which].end() && cursor < next->second) {
        --next->second;
      }
    } else if (result == TryResult::kBlocked) {
      ++cursor;
      ++pass.blocked;
    }
    teams.insert({.usage = UsageOf(context, first.team), .team = first.team});
    if (result == TryResult::kStarted) {
      return true;
    }
  }
  return false;
}

void BeginPass(Context& context, Pass& pass) {
  TaskQueue& queue = context.state().tasks;
  for (std::size_t it = 0; it < kUrgencyCount; ++it) {
    std::erase_if(queue.classes[it],
                  [](const auto& team) { return team.second.empty(); });
    for (const auto& [team, jobs] : queue.classes[it]) {
      pass.teams[it].insert({.usage = UsageOf(context, team), .team = team});
    }
  }
}

// Places urgent work first, except that a share of the starts (urgency's
// batch_share) goes to the lower classes first, which prevents their
// starvation.
bool PlaceNext(Context& context, Pass& pass) {
  TaskQueue& queue = context.state().tasks;
  const double share = context.policy().urgency.batch_share;
  const auto period =
      share <= 0
          ? std::uint64_t{0}
          : static_cast<std::uint64_t>(std::max(std::llround(1 / share), 2LL));
  for (std::size_t it = 0; it < kUrgencyCount; ++it) {
    if (pass.teams[it].empty()) {
      continue;
    }
    ++queue.picks[it];
    const bool lower_first = period > 0 && queue.picks[it] % period == 0;
    for (std::size_t low = it + 1; lower_first && low < kUrgencyCount; ++low) {
      if (PlaceOne(context, pass, low)) {
        return true;
      }
    }
    if (PlaceOne(context, pass, it)) {
      return true;
    }
  }
  return false;
}

bool MayPlace(Context& context) {
  const State& state = context.state();
  return state.jobs.queued_tasks > 0 && !state.drain.draining &&
         IsServing(context);
}

void PlaceAll(Context& context, Pass& pass) {
  BeginPass(context, pass);
  while (pass.starts < kMaxStartsPerPass && PlaceNext(context, pass)) {
    ++pass.starts;
  }
}

bool HasReachedLimit(const Pass& pass) {
  return pass.starts >= kMaxStartsPerPass || pass.blocked >= kMaxBlockedPerPass;
}

void ScheduleSweep(Context& context) {
  Time& next = context.state().tasks.next_sweep;
  next = context.now() + kSweepPause;
  context.ScheduleAt(next, TimerKind::kSweep);
}

}  // namespace

void RecordDispatch(Context& context, Job& job, std::uint32_t index) {
  --job.queued;
  --context.state().jobs.queued_tasks;
  job.tasks[index].state = TaskState::kDispatching;
  AppendTo(context, job.log, RecordOfDispatch(job, index), {.urgent = true},
           DispatchAppend{.job = job.id, .task = index});
}

void QueueJob(Context& context, Job& job) {
  State& state = context.state();
  state.tasks.pass_needed = true;
  if (job.in_queue) {
    return;
  }
  job.in_queue = true;
  const auto which = static_cast<std::size_t>(job.spec.urgency);
  state.tasks.classes[which][job.spec.team].push_back(job.id);
}

void PlaceTasks(Context& context) {
  TaskQueue& queue = context.state().tasks;
  queue.pass_needed = false;
  if (!MayPlace(context)) {
    return;
  }
  Pass pass;
  PlaceAll(context, pass);
  if (pass.starts >= kMaxStartsPerPass) {
    context.ScheduleAt(context.now(), TimerKind::kSchedule);
  }
  if (!HasReachedLimit(pass)) {
    queue.sweeping = false;
  } else if (queue.sweeping) {
    queue.sweep_again = true;
  } else {
    queue.sweeping = true;
    queue.sweep = std::move(pass.cursors);
    ScheduleSweep(context);
  }
}

void SweepTasks(Context& context) {
  TaskQueue& queue = context.state().tasks;
  if (!queue.sweeping || context.now() < queue.next_sweep) {
    return;
  }
  if (!MayPlace(context)) {
    queue.sweeping = false;
    return;
  }
  Pass pass{.cursors = queue.sweep};
  PlaceAll(context, pass);
  if (HasReachedLimit(pass)) {
    queue.sweep = std::move(pass.cursors);
  } else if (std::exchange(queue.sweep_again, false)) {
    queue.sweep = {};
  } else {
    queue.sweeping = false;
    return;
  }
  ScheduleSweep(context);
}

std::string ChoosePeerForTask(Context& context, const Resources& need) {
  std::vector<const Peer*> candidates;
  for (const auto& [id, peer] : context.state().membership.peers) {
    if (IsDomainPeer(context, peer) && IsUsable(context, peer) &&
        PlacesAt(peer, need) > 0) {
      candidates.push_back(&peer);
    }
  }
  if (candidates.empty()) {
    return "";
  }
  const auto at = static_cast<std::size_t>(
      context.Random() * static_cast<double>(candidates.size()));
  return candidates[std::min(at, candidates.size() - 1)]->id;
}

bool StartOnWorker(Context& context,
                   WorkerRecord& worker,
                   const StartTask& start) {
  const bool booked = BookAttempt(
      context, worker,
      {.attempt = start.attempt,
       .resources = start.resources,
       .state = start.hold ? AttemptState::kHeld : AttemptState::kRunning,
       .offered_by = start.offered_by,
       .offer_sequence = start.offer_sequence,
       .sent = context.now()});
  if (!booked) {
    return false;
  }
  ++context.state().counters.starts;
  CommandWorker(context, worker,
                StartCommand{.epoch = worker.epoch,
                             .attempt = start.attempt,
                             .resources = start.resources,
                             .payload = start.payload,
                             .lease = context.policy().lease.task_lease,
                             .hold = start.hold},
                StartPurpose{.attempt = start.attempt});
  return true;
}

}  // namespace burdockrock
