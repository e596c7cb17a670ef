#include "engine/jobs/task_reservations.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "engine/jobs/gang_bookings.h"
#include "engine/jobs/job_runs.h"
#include "engine/jobs/job_table.h"
#include "engine/jobs/task_crashes.h"
#include "engine/limits.h"
#include "engine/members/unresponsive_members.h"
#include "engine/teams/quota.h"
#include "engine/teams/quota_demand.h"
#include "model/worker_incarnation.h"

namespace burdockrock::engine {

namespace {

// A request for advice waits this long for reservations to be confirmed.
constexpr Duration kConfirmationWait = milliseconds(200);

void Release(Context& context, Job& job, const TaskName& name, Task& task) {
  SendStop(context, job, name, task.worker, task.run);
  Requeue(context, task, Duration(0));
}

// Has the start stored first if it must be: the run after the reservation's.
void PlanStart(Context& context, Job& job, Task& task) {
  if (MustStoreStart(task)) {
    MarkChanged(context, job, true);
    task.planned = PlannedStart{
        .run = task.run + 1, .worker = task.worker, .version = job.version};
  }
}

// Whether the task may start beside others. A crash of its former run may have
// become known since the reservation.
bool MayStartBesideOthers(const Context& context, const Task& task) {
  return !IsHeldForCrashes(context, task) &&
         IsolationOf(context, task) == Duration(0);
}

// Whether a reservation may be made for the task now. One that is to run alone
// waits at its worker until that is empty.
bool MayReserve(const Context& context, const Job& job, const Task& task) {
  return task.phase == TaskPhase::kWaiting && task.retry_at <= context.now &&
         MayStartBesideOthers(context, task) && !IsUnstored(job, task);
}

void Reserve(PlacementRound& round,
             const ReadyStep& ready,
             std::uint32_t index,
             Candidate& worker) {
  Context& context = round.context;
  Job& job = *ready.job;
  Task& task = ready.run().tasks[index];
  AssignWorker(round, RoomOf(ready.spec()), worker, task,
               NextRun(job, HighestRun(task)));
  task.reserved = true;
  PlanStart(context, job, task);
  TakeQuota(context, job, ChargeOfRun(ready.spec()));
  AddOffer(round, ready, index, OfferOf(context, task), OfferKind::kBooking);
}

void SendOffers(PlacementRound& round) {
  for (auto& [owner, offers] : round.offers) {
    NoteOfferSent(round.context, owner);
    for (TaskOffer& it : offers) {
      Send(round.context, owner, std::move(it));
    }
  }
}

}  // namespace

bool IsReserved(const Task& task) {
  return task.phase == TaskPhase::kOffered && task.reserved;
}

bool IsUnstored(const Job& job, const Task& task) {
  return task.planned && job.stored_version < task.planned->version;
}

bool AwaitsConfirmation(const Context& context, const StepRun& step) {
  return std::any_of(step.tasks.begin(), step.tasks.end(), [&](const Task& it) {
    return IsReserved(it) && !it.booked &&
           !HasPassed(context.now, it.since, kConfirmationWait);
  });
}

bool ReserveKnownRoom(Context& context, const ReadyStep& ready) {
  StepRun& step = ready.run();
  step.awaits_cap = false;
  if (!ready.ready || ready.spec().gang) {
    return false;
  }
  PlacementRound round{.context = context};
  PlacementNeed need = NeedOf(ready);
  PlacementChoice choice{.ready = ready,
                         .eligible = KnownWorkers(round, ready, need),
                         .placed = CountPlaced(ready)};
  const Resources charge = ChargeOfRun(ready.spec());
  bool any = false;
  for (std::uint32_t it = 0; it < step.tasks.size(); ++it) {
    Task& task = step.tasks[it];
    if (!MayReserve(context, *ready.job, task)) {
      continue;
    }
    need.avoid_worker = task.avoid_worker;
    Candidate* best = ChooseWorker(choice, need);
    if (best == nullptr) {
      break;  // the other tasks need the same room
    }
    if (!HasQuota(context, *ready.job, charge)) {
      step.awaits_cap = true;
      break;
    }
    ++choice.placed[std::string(WorkerIdOf(best->worker->id))];
    Reserve(round, ready, it, *best);
    any = true;
  }
  SendOffers(round);
  return any;
}

void ReserveForStore(PlacementRound& round,
                     const ReadyStep& ready,
                     std::uint32_t index,
                     Candidate& worker) {
  Reserve(round, ready, index, worker);
}

void DriveReservations(PlacementRound& round, const ReadyStep& ready) {
  Context& context = round.context;
  Job& job = *ready.job;
  std::vector<Task>& tasks = ready.run().tasks;
  for (std::uint32_t it = 0; it < tasks.size(); ++it) {
    Task& task = tasks[it];
    if (!IsReserved(task) || task.stopping) {
      continue;
    }
    const bool ruled_out =
        ready.queue->advice && !ready.run().tickets.contains(task.worker);
    if (ruled_out || !MayStartBesideOthers(context, task)) {
      Release(context, job,
              {.job = job.id,
               .occurrence = ready.occurrence,
               .step = ready.step,
               .index = it},
              task);
    } else if (MustStoreStart(task) && !task.planned) {
      PlanStart(context, job, task);
    } else if (HasTicket(context, ready, task.worker) &&
               !IsUnstored(job, task)) {
      task.run = NextRun(job, task.run);
      task.planned.reset();
      task.reserved = false;
      task.since = context.now;
      task.last_update = context.now;
      task.offered_at = context.now;
      AddOffer(round, ready, it, OfferOf(context, task), OfferKind::kStart);
    } else if (HasPassed(context.now, task.offered_at, kOfferRetryDelay)) {
      task.offered_at = context.now;
      AddOffer(round, ready, it, OfferOf(context, task), OfferKind::kBooking);
    }
  }
}

void ExpireReservation(Context& context,
                       Job& job,
                       const TaskName& name,
                       Task& task) {
  if (!IsReserved(task) || task.stopping) {
    return;
  }
  const bool unconfirmed =
      !task.booked &&
      HasPassed(context.now, task.since,
                IsOwnerUnresponsive(context, task.worker) ? kOfferRetryDelay
                                                          : kBookingTimeout);
  if (unconfirmed) {
    CloseWorkersOfOwner(context, task.worker);
  }
  if (unconfirmed || HasPassed(context.now, task.since, kMaxBooking)) {
    Release(context, job, name, task);
  }
}

void ReleaseReservations(Context& context, Job& job, const TaskName& step) {
  std::vector<Task>& tasks = StepAt(job, step.occurrence, step.step).tasks;
  for (std::uint32_t it = 0; it < tasks.size(); ++it) {
    if (IsReserved(tasks[it])) {
      TaskName name = step;
      name.index = it;
      Release(context, job, name, tasks[it]);
    }
  }
}

}  // namespace burdockrock::engine
