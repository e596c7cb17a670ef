#include "engine/jobs/job_runs.h"

#include <algorithm>
#include <map>

#include "engine/jobs/gang_bookings.h"
#include "engine/jobs/job_progress.h"
#include "engine/jobs/job_table.h"
#include "engine/jobs/recovery.h"
#include "engine/jobs/task_copies.h"
#include "engine/members/digests.h"
#include "engine/members/membership.h"
#include "engine/workers/worker_list.h"

namespace burdockrock::engine {

namespace {

bool IsOut(const Task& task) {
  return task.phase == TaskPhase::kOffered || task.phase == TaskPhase::kRunning;
}

void MarkStarted(Context& context, Job& job) {
  if (!job.started) {
    job.started = true;
    context.state.digest.waiting_changed = true;
  }
}

void MarkRunning(Context& context, Job& job, StepRun& step, Task& task) {
  if (task.phase != TaskPhase::kRunning) {
    step.first_start = std::min(step.first_start, context.now);
    step.last_start = context.now;
    task.phase = TaskPhase::kRunning;
    task.since = context.now;
    task.queried = context.now;
    MarkStarted(context, job);
  }
  task.heard = context.now;
}

// Ends come again within seconds, in which a task does not end so often.
constexpr std::size_t kEndedRunsKept = 16;

struct Place {
  Job& job;
  StepRun& step;
  Task& task;
  TaskName name;
  const StepSpec& spec;
};

std::optional<Place> Find(Context& context, const std::string& task) {
  const auto name = ParseTaskName(task);
  if (!name) {
    return std::nullopt;
  }
  Job* job = FindJob(context.state, name->job);
  Task* found = job == nullptr ? nullptr : FindTask(*job, *name);
  if (found == nullptr) {
    return std::nullopt;
  }
  return Place{.job = *job,
               .step = StepAt(*job, name->occurrence, name->step),
               .task = *found,
               .name = *name,
               .spec = job->spec.steps[name->step]};
}

// A member of a gang will not run: the others' room and runs are given back,
// and all of them begin anew together.
void BreakGang(Context& context, const Place& place) {
  StepRun& step = place.step;
  for (std::uint32_t it = 0; it < step.tasks.size(); ++it) {
    TaskName name = place.name;
    name.index = it;
    StopTask(context, place.job, name, step.tasks[it]);
  }
}

// The worker would be chosen again at once: the view of it does not show why it
// refused.
bool LooksFree(const Context& context,
               const Place& place,
               const std::string& worker) {
  const auto view = context.state.view.find(worker);
  return view != context.state.view.end() && view->second.accepting &&
         Fits(RoomOf(place.spec), view->second.free);
}

Duration PauseAfter(Context& context,
                    const Place& place,
                    const OfferAnswer& answer) {
  if (answer.outcome == OfferOutcome::kOldRun ||
      answer.outcome == OfferOutcome::kOldOwner) {
    return kOfferRetryDelay;  // the end of a run as high may be on its way
  }
  return LooksFree(context, place, answer.worker) ? kRefusedTaskDelay
                                                  : Duration(0);
}

void OnRefused(Context& context,
               const Place& place,
               const OfferAnswer& answer) {
  ++context.state.totals.offers_refused;
  if (answer.outcome == OfferOutcome::kBadTicket) {
    place.step.tickets.erase(answer.worker);
  }
  if (answer.outcome == OfferOutcome::kInvalid) {
    context.Log(EventNumber::kStartRefused,
                {{"task", answer.task},
                 {"worker", answer.worker},
                 {"cause", OfferOutcomeName(answer.outcome)}});
  }
  if (answer.outcome == OfferOutcome::kOldOwner &&
      place.job.version == place.job.stored_version) {
    MarkChanged(context, place.job, true);  // the store knows whose it is
  }
  Requeue(context, place.task, PauseAfter(context, place, answer));
  if (place.spec.gang) {
    BreakGang(context, place);
  }
}

void MarkDone(Context& context, const Place& place, std::uint64_t run) {
  StepRun& step = place.step;
  const auto finish = [&](Task& task, std::uint32_t index) {
    if (task.phase == TaskPhase::kDone) {
      return;
    }
    TaskName name = place.name;
    name.index = index;
    // A stop for the run that has just ended would only have its end reported
    // once more.
    const bool over = index == place.name.index && task.run == run;
    if (task.copy) {
      StopOther(context, place.job, name, task, run);
    } else if (!over) {
      StopTask(context, place.job, name, task);
    }
    task.phase = TaskPhase::kDone;
    task.since = context.now;
    ++step.done;
  };
  if (place.spec.gang) {
    for (std::uint32_t it = 0; it < step.tasks.size(); ++it) {
      finish(step.tasks[it], it);
    }
  } else {
    finish(place.task, place.name.index);
  }
  if (step.done == step.tasks.size()) {
    step.done_at = context.now;
  }
  context.state.placement_due = true;
}

// The run is there and does not go on.
void OnStill(Context& context, const Place& place) {
  place.task.heard = context.now;
  if (place.spec.concurrent) {
    return WantCopy(context, place.spec, place.task);
  }
  if (!place.task.stopping) {
    place.task.avoid = place.task.worker;
    StopTask(context, place.job, place.name, place.task);
  }
}

// Lasting tasks serve somebody: at most as many of a step as its budget says,
// and one where it says nothing, may be away at once.
bool MayTakeAway(const Context& context, const Place& place) {
  if (!place.spec.lasting) {
    return true;
  }
  const Duration settle = context.state.options.bounds.settle_time;
  std::uint32_t away = 0;
  for (const Task& it : place.step.tasks) {
    const bool at_work = it.phase == TaskPhase::kRunning && !it.stopping &&
                         HasPassed(context.now, it.since, settle);
    away += at_work ? 0 : 1;
  }
  return away < std::max(place.spec.may_miss, 1U);
}

// Its worker is to be emptied.
void OnUnwanted(Context& context, const Place& place) {
  place.task.heard = context.now;
  if (!place.task.stopping && MayTakeAway(context, place)) {
    place.task.avoid = place.task.worker;
    StopTask(context, place.job, place.name, place.task);
  }
}

// Counts a failed run: of a gang once, however many members say so.
std::uint32_t CountFailure(const Place& place, std::uint64_t run) {
  if (!place.spec.gang) {
    return ++place.task.failures;
  }
  StepRun& step = place.step;
  Task& first = step.tasks.front();
  if (step.gang_failed_run < run) {
    step.gang_failed_run = run;
    ++first.failures;
  }
  return first.failures;
}

void OnFailed(Context& context, const Place& place, const EndReport& report) {
  const std::uint32_t failures = CountFailure(place, report.run);
  place.task.avoid = report.worker;
  const QueuePolicy* queue =
      FindQueueByName(context.state.configuration, place.job.queue);
  const bool last = queue != nullptr && !place.spec.lasting &&
                    failures >= queue->max_attempts;
  if (last) {
    EndJob(context, place.job, JobState::kFailed, "attempts used up");
  }
}

void CountEnd(Context& context, const Place& place, const EndReport& report) {
  std::set<std::uint64_t>& ended = place.task.ended_runs;
  if (ended.size() > kEndedRunsKept) {
    ended.erase(ended.begin());
  }
  if (report.how == RunEnd::kFailed) {
    OnFailed(context, place, report);
  }
  MarkChanged(context, place.job, false);
}

void ApplyNewEnd(Context& context,
                 const Place& place,
                 const EndReport& report) {
  Task& task = place.task;
  MarkStarted(context, place.job);
  if (!report.checkpoint.empty()) {
    task.checkpoint = report.checkpoint;
  }
  const bool lasts = place.spec.lasting;
  if (report.how == RunEnd::kDone && !lasts) {
    MarkDone(context, place, report.run);
    MarkChanged(context, place.job, false);
    CompleteIfDone(context, place.job);
    return;
  }
  // An end that was counted before an adoption still frees its task: a former
  // owner of the worker may have reported the run.
  if (task.ended_runs.insert(report.run).second) {
    CountEnd(context, place, report);
  }
  if (IsCopy(task, report.run)) {
    return OnCopyReport(context, task, RunState::kAbsent);
  }
  if (report.run == task.run && IsOut(task) && !PromoteCopy(context, task)) {
    Requeue(context, task, kFailedTaskDelay);
    if (place.spec.gang) {
      BreakGang(context, place);
    }
  }
}

// A task had two runs when its job was adopted: the second one that is reported
// is kept as the copy. False if it is none.
bool AdoptCopy(Context& context, const Place& place, const RunReport& report) {
  Task& task = place.task;
  const bool second = place.job.recovering && place.spec.concurrent &&
                      IsOut(task) && !task.copy && report.run != task.run &&
                      report.state != RunState::kAbsent;
  if (second) {
    task.copy = TaskCopy{.run = report.run,
                         .worker = report.worker,
                         .running = report.state == RunState::kRunning,
                         .heard = context.now};
  }
  return second;
}

// A run that the job has no use for: it has ended, the task is done, or a later
// run of it is out. Nobody else would stop it, and the end of the job stops
// only what is known here.
bool IsStray(const Place& place, const RunReport& report) {
  const Task& task = place.task;
  const bool is_known = IsOut(task) && report.run == task.run;
  if (report.state == RunState::kAbsent || is_known) {
    return false;
  }
  if (task.phase == TaskPhase::kDone) {
    return true;
  }
  if (task.phase == TaskPhase::kUnknown) {
    return false;
  }
  return IsFinal(place.job.state) || (IsOut(task) && report.run < task.run);
}

void CheckTask(Context& context,
               const TaskName& name,
               Task& task,
               std::map<std::string, RunQueries>& queries) {
  const Duration patience =
      task.phase == TaskPhase::kOffered ? kOfferRetryDelay : kRunQueryDelay;
  // The worker's owner must be asked for the run even if it reports it unasked:
  // it takes a run that nobody asks for as forgotten.
  const bool due = HasPassed(context.now, task.heard, patience) ||
                   HasPassed(context.now, task.queried, kRunQueryDelay);
  if (!IsOut(task) || task.stopping || !due) {
    return;
  }
  task.heard = context.now - patience + kOfferRetryDelay;
  task.queried = context.now;
  const std::string owner = OwnerOfWorker(context, task.worker);
  if (!owner.empty()) {
    RunQueries& query = queries[owner];
    query.runs.push_back(
        {.task = ToString(name), .run = task.run, .worker = task.worker});
    // The owner may have started after the worker left the list, and would
    // never report what ran there.
    if (auto worker = RememberedFor(context.state, task.worker)) {
      query.remembered.push_back(std::move(*worker));
    }
  }
}

// Runs of an ended job that were heard of only afterwards, as in an adoption,
// have to be stopped too.
void DriveStops(Context& context, Job& job) {
  const bool ended = IsFinal(job.state);
  ForEachTask(job, [&](const TaskName& name, Task& task) {
    if (ended && IsOut(task) && !task.stopping) {
      StopTask(context, job, name, task);
    }
    // Reports that the run is still there do not delay the next order: an
    // adopter gets them with each question.
    if (task.stopping &&
        HasPassed(context.now, task.stop_sent, kOfferRetryDelay)) {
      StopTask(context, job, name, task);
    }
    if (ended && task.copy && !task.copy->stopping) {
      StopCopy(context, job, name, task);
    }
  });
}

// Nothing of the job is out and all of it is stored.
bool IsSettled(Job& job) {
  if (!IsFinal(job.stored_state) || !job.unstored.empty() || job.recovering ||
      job.stored_version != job.version) {
    return false;
  }
  bool out = false;
  ForEachTask(job, [&](const TaskName&, const Task& task) {
    out = out || IsOut(task) || task.copy;
  });
  return !out;
}

}  // namespace

void Requeue(Context& context, Task& task, Duration pause) {
  task.phase = TaskPhase::kWaiting;
  task.since = context.now;
  task.retry_at = context.now + pause;
  task.worker.clear();
  task.booked = false;
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
    const auto place = Find(context, it.task);
    if (place && IsCopy(place->task, it.run)) {
      OnCopyAnswer(context, place->task, it.outcome);
      continue;
    }
    if (!place || place->task.run != it.run ||
        place->task.worker != it.worker || !IsOut(place->task)) {
      continue;
    }
    if (it.outcome == OfferOutcome::kStarted) {
      if (place->task.phase == TaskPhase::kOffered) {
        context.Emit(RecordSpan{.span = MeasuredSpan::kStart,
                                .took = context.now - place->task.since});
      }
      MarkRunning(context, place->job, place->step, place->task);
    } else if (it.outcome == OfferOutcome::kBooked) {
      place->task.booked = true;
      place->task.heard = context.now;
      context.state.placement_due = true;
    } else {
      OnRefused(context, *place, it);
    }
  }
}

void OnEndReport(Context& context,
                 const std::string& from,
                 const EndReport& report) {
  const auto place = Find(context, report.task);
  if (!place) {
    return;
  }
  if (place->task.phase == TaskPhase::kDone || IsFinal(place->job.state)) {
    // It counts no more; only that its run is over does.
    if (IsCopy(place->task, report.run)) {
      OnCopyReport(context, place->task, RunState::kAbsent);
    } else if (report.run == place->task.run && IsOut(place->task)) {
      Requeue(context, place->task, Duration(0));
    }
  } else {
    ApplyNewEnd(context, *place, report);
  }
  ConfirmWhenStored(context, place->job, from, report);
}

void OnEndReports(Context& context,
                  const std::string& from,
                  const EndReports& reports) {
  for (const EndReport& it : reports.ends) {
    OnEndReport(context, from, it);
  }
}

void OnRunReport(Context& context, const RunReport& report) {
  const auto place = Find(context, report.task);
  if (place && IsCopy(place->task, report.run)) {
    return OnCopyReport(context, place->task, report.state);
  }
  if (place && AdoptCopy(context, *place, report)) {
    return;
  }
  if (place && IsStray(*place, report)) {
    return SendStop(context, place->job, place->name, report.worker,
                    report.run);
  }
  if (!place || place->task.phase == TaskPhase::kDone) {
    return;
  }
  Task& task = place->task;
  if (!report.checkpoint.empty()) {
    task.checkpoint = report.checkpoint;
  }
  const bool adopted = task.phase == TaskPhase::kUnknown ||
                       (place->job.recovering && report.run > task.run);
  if (adopted && report.state != RunState::kAbsent) {
    if (IsOut(task)) {
      SendStop(context, place->job, place->name, task.worker, task.run);
    }
    task.run = report.run;
    task.worker = report.worker;
    task.phase = TaskPhase::kOffered;
    place->step.gang_run = std::max(place->step.gang_run, report.run);
  }
  if (task.run != report.run || !IsOut(task)) {
    return;
  }
  switch (report.state) {
    case RunState::kRunning:
      MarkRunning(context, place->job, place->step, task);
      break;
    case RunState::kPending:
      task.heard = context.now;
      break;
    case RunState::kAbsent:
      context.Log(EventNumber::kAttemptLost,
                  {{"task", report.task},
                   {"run", std::to_string(report.run)},
                   {"worker", report.worker}});
      // Its offer may be what got lost, and with it the room kept for it.
      DoubtRoom(context, report.worker);
      if (PromoteCopy(context, task)) {
        break;
      }
      Requeue(context, task, Duration(0));
      if (place->spec.gang) {
        BreakGang(context, *place);
      }
      break;
    case RunState::kStill:
      OnStill(context, *place);
      break;
    case RunState::kUnwanted:
      OnUnwanted(context, *place);
      break;
    case RunState::kUnreached:
      WantCopy(context, place->spec, task);
      break;
  }
}

void OnRunReports(Context& context, const RunReports& reports) {
  for (const RunReport& it : reports.runs) {
    OnRunReport(context, it);
  }
}

void OnWorkerLost(Context& context, const std::string& worker) {
  OnWorkerEnded(context, worker);
  for (const std::string& id : context.state.active) {
    Job& job = context.state.jobs.at(id);
    ForEachTask(job, [&](const TaskName& name, Task& task) {
      if (task.copy && task.copy->worker == worker) {
        OnCopyReport(context, task, RunState::kAbsent);
      }
      if (!IsOut(task) || task.worker != worker) {
        return;
      }
      context.Log(EventNumber::kAttemptLost, {{"task", ToString(name)},
                                              {"run", std::to_string(task.run)},
                                              {"worker", worker}});
      if (PromoteCopy(context, task)) {
        return;
      }
      Requeue(context, task, Duration(0));
      const StepSpec& spec = job.spec.steps[name.step];
      if (spec.gang) {
        BreakGang(context,
                  Place{.job = job,
                        .step = StepAt(job, name.occurrence, name.step),
                        .task = task,
                        .name = name,
                        .spec = spec});
      }
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
      GiveUpBooking(context, job, name, task);
      DriveCopy(context, job, name, task, queries);
    });
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
    Send(context, owner, std::move(runs));
  }
}

}  // namespace burdockrock::engine
