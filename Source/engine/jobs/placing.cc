#include "engine/jobs/placing.h"

#include <algorithm>
#include <functional>
#include <map>
#include <tuple>
#include <utility>

#include "engine/jobs/candidates.h"
#include "engine/jobs/gang_placing.h"
#include "engine/jobs/job_table.h"
#include "engine/jobs/placement_round.h"
#include "engine/jobs/task_copies.h"
#include "engine/jobs/task_crashes.h"
#include "engine/jobs/task_reservations.h"
#include "engine/members/membership.h"
#include "engine/members/unresponsive_members.h"
#include "engine/teams/quota.h"
#include "engine/teams/quota_accounts.h"
#include "engine/teams/quota_demand.h"
#include "engine/workers/worker_list.h"
#include "model/worker_incarnation.h"

namespace burdockrock::engine {

namespace {

// Interval of placement rounds while nothing has changed.
constexpr Duration kIdlePlacementInterval = milliseconds(100);

// Share of each worker's processors that a queue leaves free, for each priority
// above its own, so that short urgent tasks need not wait for long ones to end.
constexpr double kReservePerPriority = 0.06;

// Urgent work that has waited this long is about to miss its objective. Earlier
// preemption costs more than it gains.
constexpr Duration kPreemptionDelay = milliseconds(800);

bool IsDue(const Context& context, const Task& task) {
  return task.phase == TaskPhase::kWaiting && task.retry_at <= context.now &&
         !IsHeldForCrashes(context, task);
}

// Whether the task's start at the worker has to be stored before it is sent.
bool MustBeStored(const Task& task, const std::string& worker) {
  return MustStoreStart(task) &&
         !(task.planned && task.planned->worker == worker);
}

// Returns the run's number if the start may be sent now. Otherwise it must be
// stored first; another round sends it then.
std::optional<std::uint64_t> RunToStart(Context& context,
                                        Job& job,
                                        Task& task,
                                        const std::string& worker) {
  if (!MustStoreStart(task)) {
    return NextRun(job, HighestRun(task));
  }
  if (!MustBeStored(task, worker)) {
    return task.planned->run;
  }
  MarkChanged(context, job, true);
  task.planned = PlannedStart{.run = NextRun(job, HighestRun(task)),
                              .worker = worker,
                              .version = job.version};
  return std::nullopt;
}

// Chooses a worker for the task, the planned one if there is one and it still
// has room.
Candidate* ChooseFor(PlacementRound& round,
                     const Task& task,
                     const PlacementNeed& need,
                     PlacementChoice& choice) {
  const auto choose = [&] {
    return IsolationOf(round.context, task) > Duration(0)
               ? ChooseAlone(choice, RoundCandidates(round, choice.ready))
               : ChooseWorker(choice, need);
  };
  if (!task.planned) {
    return choose();
  }
  choice.only_worker = task.planned->worker;
  Candidate* planned = choose();
  choice.only_worker.clear();
  return planned == nullptr ? choose() : planned;
}

void PlaceIndependentTasks(PlacementRound& round, const ReadyStep& ready) {
  std::vector<Task>& tasks = ready.run().tasks;
  const bool any_due =
      std::any_of(tasks.begin(), tasks.end(),
                  [&](const Task& it) { return IsDue(round.context, it); });
  const Resources charge = ChargeOfRun(ready.spec());
  // Most ready steps have no task that waits. A team at its cap has many that
  // do, and a scan of all workers for each of them would be for nothing.
  if (!any_due || !MayPlaceAnywhere(round.context, ready) ||
      !HasQuota(round.context, *ready.job, charge)) {
    return;
  }
  PlacementNeed need = NeedOf(ready);
  PlacementChoice choice{.ready = ready,
                         .eligible = EligibleWorkers(round, ready, need),
                         .placed = CountPlaced(ready)};
  for (std::uint32_t it = 0; it < tasks.size(); ++it) {
    Task& task = tasks[it];
    if (!IsDue(round.context, task) || IsUnstored(*ready.job, task)) {
      continue;
    }
    if (!HasQuota(round.context, *ready.job, charge)) {
      return;
    }
    const bool alone = IsolationOf(round.context, task) > Duration(0);
    need.avoid_worker = task.avoid_worker;
    choice.preempts = false;
    Candidate* best = ChooseFor(round, task, need, choice);
    if (best == nullptr && !alone && MayPreempt(round.context, ready)) {
      choice.preempts = true;
      best = ChooseFor(round, task, need, choice);
    }
    if (best == nullptr && alone) {
      continue;
    }
    if (best == nullptr) {
      return;  // the other tasks need the same room
    }
    ++choice.placed[std::string(WorkerIdOf(best->worker->id))];
    if (MustBeStored(task, best->worker->id) && !alone && !choice.preempts) {
      ReserveForStore(round, ready, it, *best);
      continue;
    }
    const auto run =
        RunToStart(round.context, *ready.job, task, best->worker->id);
    if (!run) {
      best->free -= need.room;  // for the rest of this round
      continue;
    }
    AssignWorker(round, need.room, *best, task, *run);
    TakeQuota(round.context, *ready.job, charge);
    if (choice.preempts) {
      best->preemptible -= need.room;
      round.context.state.view[task.worker].yielding -= need.room;
    }
    AddOffer(round, ready, it, OfferOf(round.context, task),
             choice.preempts ? OfferKind::kPreemption : OfferKind::kStart);
  }
}

// Places copies only in room that waiting tasks leave free, because a copy may
// turn out unnecessary.
void PlaceCopies(PlacementRound& round, const ReadyStep& ready) {
  std::vector<Task>& tasks = ready.run().tasks;
  for (std::uint32_t it = 0; it < tasks.size(); ++it) {
    Task& task = tasks[it];
    if (!WaitsForCopy(task) || task.retry_at > round.context.now) {
      continue;
    }
    const Resources charge = ChargeOfRun(ready.spec());
    if (!HasQuota(round.context, *ready.job, charge)) {
      return;
    }
    const PlacementNeed need = NeedOf(ready);
    const PlacementChoice choice{
        .ready = ready,
        .eligible = EligibleWorkers(round, ready, need),
        .placed = CountPlaced(ready),
        .excluded_worker = task.worker};
    Candidate* best = ChooseWorker(choice, need);
    if (best == nullptr) {
      continue;
    }
    TakeRoom(round, need.room, *best);
    TakeQuota(round.context, *ready.job, charge);
    task.copy_wanted = false;
    task.copy = TaskCopy{.run = NextRun(*ready.job, HighestRun(task)),
                         .worker = best->worker->id,
                         .last_update = round.context.now};
    AddOffer(round, ready, it,
             {.worker = task.copy->worker,
              .run = task.copy->run,
              .checkpoint = task.checkpoint},
             OfferKind::kStart);
  }
}

// All tasks of the step are running or done, and by their estimate the last
// ones end within `lead`.
bool EndsSoon(const Context& context,
              Job& job,
              std::uint32_t occurrence,
              std::uint32_t number,
              Duration lead) {
  const StepRun& step = StepAt(job, occurrence, number);
  for (const Task& it : step.tasks) {
    if (it.phase != TaskPhase::kRunning && it.phase != TaskPhase::kDone) {
      return false;
    }
  }
  return step.last_start != kForever &&
         context.now + lead >=
             step.last_start + job.spec.steps[number].estimate;
}

bool IsReadySoon(const Context& context,
                 Job& job,
                 std::uint32_t occurrence,
                 std::uint32_t step,
                 Duration lead) {
  const auto& after = job.spec.steps[step].after;
  return job.occurrences[occurrence].begun &&
         std::all_of(after.begin(), after.end(), [&](std::uint32_t it) {
           return IsStepDone(job, occurrence, it) ||
                  EndsSoon(context, job, occurrence, it, lead);
         });
}

// Deferred work leaves as much room free as that of the lowest priority. Urgent
// tasks need no reserve as long as half of the service is free, and lasting
// ones would wait for it until other work has ended, however long that runs.
std::uint32_t ReservesFor(const Context& context, const ReadyStep& ready) {
  const std::uint32_t priorities =
      IsDeferred(ready.standing()) ? LowestPriority(context.state.configuration)
                                   : ready.queue->priority;
  if (priorities == 0 || ready.spec().lasting) {
    return 0;
  }
  const auto& tasks = ready.run().tasks;
  const auto waiting = std::count_if(
      tasks.begin(), tasks.end(),
      [](const Task& it) { return it.phase == TaskPhase::kWaiting; });
  const bool half_free =
      IsHalfFreeBeside(context, ready.queue->service,
                       waiting * RoomOf(ready.spec()).processors_milli);
  return half_free ? 0 : priorities;
}

auto OrderOf(const ReadyStep& ready) {
  const Standing rank = RankOf(ready.standing());
  return std::tuple(IsDeferred(rank), ready.queue->priority, rank,
                    ready.run().ready_at);
}

void AddReadySteps(Context& context,
                   Job& job,
                   const QueuePolicy& queue,
                   const ReadyStepOptions& options,
                   std::vector<ReadyStep>& out) {
  for (std::uint32_t k = 0; k < job.occurrences.size(); ++k) {
    for (std::uint32_t s = 0; s < job.spec.steps.size(); ++s) {
      if (IsStepDone(job, k, s)) {
        continue;
      }
      const bool ready = IsStepReady(job, k, s);
      const auto soon = ready || !options.lead
                            ? std::optional<Duration>()
                            : options.lead(queue, job.spec.steps[s]);
      if (!ready && !(soon && IsReadySoon(context, job, k, s, *soon))) {
        continue;
      }
      StepRun& step = StepAt(job, k, s);
      if (ready) {
        step.ready_at = std::min(step.ready_at, context.now);
      }
      ReadyStep it{.job = &job,
                   .occurrence = k,
                   .step = s,
                   .queue = &queue,
                   .ready = ready};
      if (options.wants && !options.wants(it)) {
        continue;
      }
      it.reserves_for = ReservesFor(context, it);
      out.push_back(it);
    }
  }
}

// Whether a placement round may start tasks of the step.
bool IsPlaceable(const Context& context, const ReadyStep& ready) {
  if (!ready.job->stored || !ready.job->verified) {
    return false;
  }
  // Copies of lasting tasks need not wait for the reports.
  if (WaitsForRecovery(ready) && !ready.spec().lasting) {
    return false;
  }
  const auto& tasks = ready.run().tasks;
  return ready.spec().gang ||
         std::any_of(tasks.begin(), tasks.end(), [&](const Task& it) {
           return IsDue(context, it) || WaitsForCopy(it) || IsReserved(it);
         });
}

}  // namespace

bool WaitsForRecovery(const ReadyStep& ready) {
  const auto& tasks = ready.run().tasks;
  return ready.job->recovering &&
         (!ready.spec().lasting ||
          std::none_of(tasks.begin(), tasks.end(), [](const Task& it) {
            return it.phase == TaskPhase::kWaiting;
          }));
}

std::map<std::string, std::uint32_t> CountPlaced(const ReadyStep& ready) {
  std::map<std::string, std::uint32_t> placed;
  if (ready.spec().spread == 0) {
    return placed;
  }
  for (const Task& it : ready.run().tasks) {
    if (!it.worker.empty() && it.phase != TaskPhase::kDone) {
      ++placed[std::string(WorkerIdOf(it.worker))];
    }
    if (it.copy) {
      ++placed[std::string(WorkerIdOf(it.copy->worker))];
    }
  }
  return placed;
}

std::uint32_t CountAt(const std::map<std::string, std::uint32_t>& placed,
                      const std::string& worker) {
  const auto it = placed.find(std::string(WorkerIdOf(worker)));
  return it == placed.end() ? 0 : it->second;
}

std::int64_t CountStarts(const ReadyStep& ready,
                         const std::map<std::string, std::uint32_t>& placed,
                         const PlacementNeed& need,
                         const WorkerInfo& worker,
                         const Resources& free) {
  const std::int64_t room = CountRoomFor(need, worker, free);
  const std::uint32_t spread = ready.spec().spread;
  if (spread == 0) {
    return room;
  }
  const std::uint32_t there = CountAt(placed, worker.id);
  return std::min<std::int64_t>(room, there < spread ? spread - there : 0);
}

bool MayPreempt(const Context& context, const ReadyStep& ready) {
  return ready.queue->priority == kMostUrgent &&
         !IsDeferred(ready.standing()) && ready.run().ready_at != kForever &&
         HasPassed(context.now, ready.run().ready_at, kPreemptionDelay);
}

PlacementNeed NeedOf(const ReadyStep& ready) {
  return {.step = &ready.spec(),
          .room = RoomOf(ready.spec()),
          .speed_weight = SpeedWeight(ready.queue->stretch),
          .reserved_share =
              kReservePerPriority * static_cast<double>(ready.reserves_for)};
}

ReadyStep ReadyStepOf(const Context& context,
                      Job& job,
                      std::uint32_t occurrence,
                      std::uint32_t step,
                      const QueuePolicy& queue) {
  ReadyStep ready{.job = &job,
                  .occurrence = occurrence,
                  .step = step,
                  .queue = &queue,
                  .ready = IsStepReady(job, occurrence, step)};
  ready.reserves_for = ReservesFor(context, ready);
  return ready;
}

std::vector<ReadyStep> ReadySteps(Context& context,
                                  const ReadyStepOptions& options) {
  std::vector<ReadyStep> steps;
  for (const std::string& id : context.state.active) {
    Job& job = context.state.jobs.at(id);
    const QueuePolicy* queue =
        FindQueueByName(context.state.configuration, job.queue);
    if (queue != nullptr && !IsFinal(job.state)) {
      AddReadySteps(context, job, *queue, options, steps);
    }
  }
  std::stable_sort(steps.begin(), steps.end(),
                   [](const ReadyStep& left, const ReadyStep& right) {
                     return OrderOf(left) < OrderOf(right);
                   });
  return steps;
}

void RenewTickets(Context& context,
                  const ReadyStep& ready,
                  const std::set<std::string>& workers) {
  PlacementRound round{.context = context};
  const std::vector<Task>& tasks = ready.run().tasks;
  for (std::uint32_t it = 0; it < tasks.size(); ++it) {
    if (MayAwaitEmptyWorker(context, ready.spec(), tasks[it]) &&
        workers.contains(tasks[it].worker)) {
      AddOffer(round, ready, it, OfferOf(context, tasks[it]),
               OfferKind::kRenewal);
    }
  }
  for (auto& [owner, offers] : round.offers) {
    for (TaskOffer& it : offers) {
      Send(context, owner, std::move(it));
    }
  }
}

void DrivePlacement(Context& context) {
  const Duration pause =
      context.state.placement_due ? kPlacementInterval : kIdlePlacementInterval;
  // A late reply of the store may look like a new registration. What was handed
  // over must stay true.
  if (!HasPassed(context.now, context.state.placed_at, pause) ||
      !IsRegistered(context.state) || context.state.stop.released) {
    return;
  }
  context.state.placement_due = false;
  context.state.placed_at = context.now;
  PlacementRound round{.context = context};
  const auto is_placeable = [&](const ReadyStep& it) {
    return IsPlaceable(context, it);
  };
  for (const ReadyStep& it : ReadySteps(context, {.wants = is_placeable})) {
    if (it.spec().gang) {
      PlaceGang(round, it);
    } else {
      DriveReservations(round, it);
      PlaceIndependentTasks(round, it);
      PlaceCopies(round, it);
    }
  }
  for (auto& [owner, offers] : round.offers) {
    NoteOfferSent(context, owner);
    for (TaskOffer& it : offers) {
      Send(context, owner, std::move(it));
    }
  }
}

}  // namespace burdockrock::engine
