#include "engine/jobs/job_runs.h"

#include <algorithm>
#include <map>

#include "engine/jobs/gang_bookings.h"
#include "engine/jobs/job_progress.h"
#include "engine/jobs/job_table.h"
#include "engine/jobs/recovery.h"
#include "engine/jobs/task_copies.h"
#include "engine/jobs/task_crashes.h"
#include "engine/jobs/task_ref.h"
#include "engine/jobs/task_reservations.h"
#include "engine/members/digests.h"
#include "engine/members/membership.h"
#include "engine/members/query_pacing.h"
#include "engine/workers/worker_list.h"

namespace burdockrock::engine {

namespace {

void MarkRunning(Context& context, Job& job, StepRun& step, Task& task) {
  if (task.phase != TaskPhase::kRunning) {
    step.first_start = std::min(step.first_start, context.now);
    step.last_start = context.now;
    task.phase = TaskPhase::kRunning;
    task.since = context.now;
    task.last_query = context.now;
    MarkStarted(context, job);
  }
  task.last_update = context.now;
}

// Lets a task wait again whose run is not there. Another run of a gang's member
// may be reported as long as the job recovers. A member that was only booked is
// booked elsewhere; otherwise the gang starts again as a whole.
void ReleaseMember(Context& context, const TaskRef& ref, const char* cause) {
  const bool only_booked =
      ref.spec.gang && IsOnlyBooked(ref.job, ref.step, ref.task);
  Requeue(context, ref.task, Duration(0));
  if (ref.spec.gang && ref.job.recovering) {
    ref.task.phase = TaskPhase::kUnknown;
  }
  if (ref.spec.gang && !only_booked) {
    StopGang(context, ref, cause);
  }
}

// Whether the known state of the worker does not explain its refusal, so that
// it would be chosen again at once.
bool LooksFree(const Context& context,
               const TaskRef& ref,
               const std::string& worker) {
  const auto view = context.state.view.find(worker);
  return view != context.state.view.end() && view->second.accepting &&
         Fits(RoomOf(ref.spec), view->second.free);
}

Duration PauseAfter(Context& context,
                    const TaskRef& ref,
                    const OfferAnswer& answer) {
  if (answer.outcome == OfferOutcome::kOldRun ||
      answer.outcome == OfferOutcome::kOldOwner) {
    return kOfferRetryDelay;  // the end of a run as high or higher may be in
                              // flight
  }
  return LooksFree(context, ref, answer.worker) ? kRefusedTaskDelay
                                                : Duration(0);
}

void OnRefused(Context& context,
               const TaskRef& ref,
               const OfferAnswer& answer) {
  ++context.state.totals.offers_refused;
  if (answer.outcome == OfferOutcome::kBadTicket) {
    // The worker stays known as allowed: only its ticket is of no use.
    const auto ticket = ref.step.tickets.find(answer.worker);
    if (ticket != ref.step.tickets.end()) {
      ticket->second.expires = Time(0);
    }
  }
  if (answer.outcome == OfferOutcome::kInvalid) {
    context.Log(EventNumber::kStartRefused,
                {{"task", answer.task},
                 {"worker", answer.worker},
                 {"cause", OfferOutcomeName(answer.outcome)}});
  }
  if (answer.outcome == OfferOutcome::kOldOwner &&
      ref.job.version == ref.job.stored_version) {
    MarkChanged(context, ref.job, true);  // the write shows who owns the job
  }
  if (MustStoreStart(ref.task) && !IsReserved(ref.task)) {
    MarkChanged(context, ref.job, true);  // the start is no longer open
  }
  // A member whose booking is refused is booked elsewhere, unless its run
  // number is used up.
  const bool only_booked = ref.spec.gang &&
                           IsOnlyBooked(ref.job, ref.step, ref.task) &&
                           answer.outcome != OfferOutcome::kOldRun &&
                           answer.outcome != OfferOutcome::kOldOwner;
  Requeue(context, ref.task, PauseAfter(context, ref, answer));
  if (only_booked) {
    LogBackedOff(context, ref.job, ref.name, BackOff::kOne,
                 OfferOutcomeName(answer.outcome));
  } else if (ref.spec.gang) {
    StopGang(context, ref, OfferOutcomeName(answer.outcome));
  }
}

// The run exists but makes no progress.
void OnStalled(Context& context, const TaskRef& ref) {
  ref.task.last_update = context.now;
  if (ref.spec.concurrent) {
    return RequestCopy(context, ref.spec, ref.task);
  }
  if (!ref.task.stopping) {
    ref.task.avoid_worker = ref.task.worker;
    StopTask(context, ref.job, ref.name, ref.task);
  }
}

// Limits disruption of lasting tasks, which serve requests: at most `may_miss`
// of a step, or one if that is 0, may be down at once.
bool MayDisrupt(const Context& context, const TaskRef& ref) {
  if (!ref.spec.lasting) {
    return true;
  }
  const Duration settle = context.state.options.bounds.settle_time;
  std::uint32_t down = 0;
  for (const Task& it : ref.step.tasks) {
    const bool serving = it.phase == TaskPhase::kRunning && !it.stopping &&
                         HasPassed(context.now, it.since, settle);
    down += serving ? 0 : 1;
  }
  return down < std::max(ref.spec.may_miss, 1U);
}

// The run's worker is being emptied for upkeep or a move.
void OnUnwanted(Context& context, const TaskRef& ref) {
  ref.task.last_update = context.now;
  if (!ref.task.stopping && MayDisrupt(context, ref)) {
    ref.task.avoid_worker = ref.task.worker;
    StopTask(context, ref.job, ref.name, ref.task);
  }
}

// If a task had two runs when its job was adopted, keeps the one reported
// second as the copy. False if the report is of no such run.
bool AdoptCopy(Context& context, const TaskRef& ref, const RunReport& report) {
  Task& task = ref.task;
  const bool second = ref.job.recovering && ref.spec.concurrent &&
                      IsPlaced(task) && !task.copy && report.run != task.run &&
                      report.state != RunState::kAbsent;
  if (second) {
    task.copy = TaskCopy{.run = report.run,
                         .worker = report.worker,
                         .running = report.state == RunState::kRunning,
                         .last_update = context.now};
  }
  return second;
}

// A run that is no longer needed: the job has ended, the task is done, or a
// later run of it was placed. It has to be stopped here, because no one else
// would stop it and the end of the job stops only the runs that it knows.
bool IsStray(const TaskRef& ref, const RunReport& report) {
  const Task& task = ref.task;
  const bool is_known = IsPlaced(task) && report.run == task.run;
  if (report.state == RunState::kAbsent || is_known) {
    return false;
  }
  if (task.phase == TaskPhase::kDone) {
    return true;
  }
  if (task.phase == TaskPhase::kUnknown) {
    return false;
  }
  return IsFinal(ref.job.state) || (IsPlaced(task) && report.run < task.run);
}

void CheckTask(Context& context,
               const TaskName& name,
               Task& task,
               std::map<std::string, RunQueries>& queries) {
  // Stops are repeated on their own, but tell nothing of a worker that its
  // present owner has never seen.
  const Duration timeout = task.phase == TaskPhase::kOffered && !task.stopping
                               ? kOfferRetryDelay
                               : kRunQueryDelay;
  // The worker's owner has to be queried even if it reports the run on its own:
  // it treats a run that is never queried as abandoned.
  const bool due = HasPassed(context.now, task.last_update, timeout) ||
                   HasPassed(context.now, task.last_query, kRunQueryDelay);
  const bool queried_lately =
      task.stopping && !HasPassed(context.now, task.last_query, kRunQueryDelay);
  if (!IsPlaced(task) || queried_lately || !due) {
    return;
  }
  const std::string owner = OwnerOfWorker(context, task.worker);
  if (!MayQuery(context, owner, RepeatedQuery::kRuns)) {
    return;
  }
  task.last_update = context.now - timeout + kOfferRetryDelay;
  task.last_query = context.now;
  if (!owner.empty()) {
    RunQueries& query = queries[owner];
    query.runs.push_back(
        {.task = ToString(name), .run = task.run, .worker = task.worker});
    // The owner may have started after the worker left the list. Without this
    // it would never report what ran there.
    if (auto worker = RememberedFor(context.state, task.worker)) {
      query.remembered.push_back(std::move(*worker));
    }
  }
}

// Sends and repeats stops. Also stops runs of an ended job that were reported
// only after its end, as in an adoption.
void DriveStops(Context& context, Job& job) {
  const bool ended = IsFinal(job.state);
  ForEachTask(job, [&](const TaskName& name, Task& task) {
    if (ended && IsPlaced(task) && !task.stopping) {
      StopTask(context, job, name, task);
    }
    // The repetition does not depend on the last update: an adopter receives
    // one with each query, which would delay the next stop without end.
    if (task.stopping &&
        HasPassed(context.now, task.stop_sent, kOfferRetryDelay)) {
      StopTask(context, job, name, task);
    }
    if (ended && task.copy && !task.copy->stopping) {
      StopCopy(context, job, name, task);
    }
  });
}

// No run of the job is left and all of its progress is stored.
bool IsSettled(Job& job) {
  if (!IsFinal(job.stored_state) || !job.unstored_ends.empty() ||
      job.recovering || job.stored_version != job.version) {
    return false;
  }
  bool placed = false;
  ForEachTask(job, [&](const TaskName&, const Task& task) {
    placed = placed || IsPlaced(task) || task.copy;
  });
  return !placed;
}

}  // namespace

void Requeue(Context& context, Task& task, Duration pause) {
  if (task.phase == TaskPhase::kRunning) {
    task.idle_since = context.now;
  }
  task.phase = TaskPhase::kWaiting;
  task.since = context.now;
  task.retry_at = context.now + pause;
  task.worker.clear();
  task.booked = false;
  task.reserved = false;
  task.stopping = false;
  task.copy_wanted = false;
  context.state.placement_due = true;
}

std::string OwnerOfWorker(const Context& context, const std::string& worker) {
  const auto view = context.state.view.find(worker);
  if (view != context.state.view.end() &&
      FindMember(context.state, view->second.owner) != nullptr) {
    return view->second.owner;
  }
  const ListedWorker* listed = FindWorker(context.state, worker);
  return ChooseMember(context.state, worker,
                      listed == nullptr ? "" : listed->info.domain);
}

void OnOfferAnswers(Context& context,
                    const std::string& from,
                    const OfferAnswers& answers) {
  for (const WorkerRoom& it : answers.rooms) {
    OnRoom(context, from, it);
  }
  for (const OfferAnswer& it : answers.answers) {
    const auto ref = FindTaskRef(context, it.task);
    if (ref && IsCopy(ref->task, it.run)) {
      OnCopyAnswer(context, ref->task, it.outcome);
      continue;
    }
    if (!ref || ref->task.run != it.run || ref->task.worker != it.worker ||
        !IsPlaced(ref->task)) {
      continue;
    }
    if (it.outcome == OfferOutcome::kStarted) {
      if (ref->task.phase == TaskPhase::kOffered) {
        context.Emit(RecordSpan{.span = MeasuredSpan::kStart,
                                .took = context.now - ref->task.since});
      }
      MarkRunning(context, ref->job, ref->step, ref->task);
    } else if (it.outcome == OfferOutcome::kBooked) {
      NoteBooked(context, ref->task);
    } else {
      OnRefused(context, *ref, it);
    }
  }
}

void OnRunReport(Context& context, const RunReport& report) {
  const auto ref = FindTaskRef(context, report.task);
  if (ref && IsCopy(ref->task, report.run)) {
    return OnCopyReport(context, ref->task, report.state);
  }
  if (ref && AdoptCopy(context, *ref, report)) {
    return;
  }
  if (ref && IsStray(*ref, report)) {
    return SendStop(context, ref->job, ref->name, report.worker, report.run);
  }
  if (!ref || ref->task.phase == TaskPhase::kDone) {
    return;
  }
  Task& task = ref->task;
  if (!report.checkpoint.empty()) {
    task.checkpoint = report.checkpoint;
  }
  const bool adopted = task.phase == TaskPhase::kUnknown ||
                       (ref->job.recovering && report.run > task.run);
  if (adopted && report.state != RunState::kAbsent) {
    if (IsPlaced(task)) {
      SendStop(context, ref->job, ref->name, task.worker, task.run);
    }
    task.run = report.run;
    task.worker = report.worker;
    task.phase = TaskPhase::kOffered;
    task.booked = false;
    task.reserved = false;
    task.planned.reset();
    ref->step.gang_run = std::max(ref->step.gang_run, report.run);
  }
  if (task.run != report.run || !IsPlaced(task) ||
      IsOfGivenUpBooking(ref->job, ref->spec, task, report.run,
                         report.worker)) {
    return;
  }
  switch (report.state) {
    case RunState::kRunning:
      task.worker = report.worker;  // its next incarnation may have the run
      MarkRunning(context, ref->job, ref->step, task);
      break;
    case RunState::kPending:
      task.last_update = context.now;
      if (IsReserved(task) ||
          (ref->spec.gang && IsOnlyBooked(ref->job, ref->step, task))) {
        NoteBooked(context, task);
      }
      break;
    case RunState::kAbsent:
      if (report.worker != task.worker) {
        break;  // of a booking that was given up, or of a former incarnation
      }
      if (!IsReserved(task)) {
        context.Log(EventNumber::kAttemptLost,
                    {{"task", report.task},
                     {"run", std::to_string(report.run)},
                     {"worker", report.worker}});
      }
      CountIfCrashed(context, ref->job, ref->name, task);
      // The offer may have been lost; then the room deducted for it is free.
      RequestRoomUpdate(context, report.worker);
      if (PromoteCopy(context, task)) {
        break;
      }
      ReleaseMember(context, *ref, RunStateName(report.state));
      break;
    case RunState::kStalled:
      OnStalled(context, *ref);
      break;
    case RunState::kUnwanted:
      OnUnwanted(context, *ref);
      break;
    case RunState::kUnreachable:
      RequestCopy(context, ref->spec, task);
      break;
  }
}

void OnRunReports(Context& context, const RunReports& reports) {
  for (const RunReport& it : reports.runs) {
    OnRunReport(context, it);
  }
}

void OnWorkerLost(Context& context, const std::string& worker) {
  OnWorkerCleared(context, worker);
  for (const std::string& id : context.state.active) {
    Job& job = context.state.jobs.at(id);
    ForEachTask(job, [&](const TaskName& name, Task& task) {
      if (task.copy && task.copy->worker == worker) {
        if (task.copy->running && HasCrashed(context.state, worker)) {
          CountCrash(context, job, name, task,
                     {.run = task.copy->run, .worker = worker});
        }
        OnCopyReport(context, task, RunState::kAbsent);
      }
      if (!IsPlaced(task) || task.worker != worker) {
        return;
      }
      if (!IsReserved(task)) {
        context.Log(EventNumber::kAttemptLost,
                    {{"task", ToString(name)},
                     {"run", std::to_string(task.run)},
                     {"worker", worker}});
      }
      CountIfCrashed(context, job, name, task);
      if (PromoteCopy(context, task)) {
        return;
      }
      ReleaseMember(context,
                    TaskRef{.job = job,
                            .step = StepAt(job, name.occurrence, name.step),
                            .task = task,
                            .name = name,
                            .spec = job.spec.steps[name.step]},
                    "worker_lost");
    });
  }
}

void DriveOccurrences(Context& context) {
  for (const std::string& id : context.state.active) {
    Job& job = context.state.jobs.at(id);
    if (!IsFinal(job.state)) {
      BeginOccurrences(context, job);
    }
  }
}

void DriveJobs(Context& context) {
  std::map<std::string, RunQueries> queries;
  std::vector<std::string> settled;
  for (const std::string& id : context.state.active) {
    Job& job = context.state.jobs.at(id);
    ForEachTask(job, [&](const TaskName& name, Task& task) {
      CheckTask(context, name, task, queries);
      ExpireBooking(context, job, name, task);
      ExpireReservation(context, job, name, task);
      ClearOutlastedCrashes(context, job, task);
      DriveCopy(context, job, name, task, queries);
    });
    ReviewCrashes(context, job);
    DriveStops(context, job);
    if (IsSettled(job)) {
      settled.push_back(id);
    }
  }
  for (const std::string& it : settled) {
    context.state.active.erase(it);
  }
  FlushStops(context);
  for (auto& [owner, runs] : queries) {
    NoteQueried(context, owner, RepeatedQuery::kRuns);
    Send(context, owner, std::move(runs));
  }
}

}  // namespace burdockrock::engine
