#include "engine/jobs/job_ends.h"

#include <cstddef>
#include <set>

#include "engine/jobs/gang_bookings.h"
#include "engine/jobs/job_progress.h"
#include "engine/jobs/job_runs.h"
#include "engine/jobs/job_table.h"
#include "engine/jobs/task_copies.h"
#include "engine/jobs/task_crashes.h"
#include "engine/jobs/task_ref.h"
#include "engine/jobs/task_reservations.h"

namespace burdockrock::engine {

namespace {

// Number of counted runs kept per task to ignore repeated reports of an end.
// Reports repeat within seconds, in which a task can't end this often.
constexpr std::size_t kEndedRunsKept = 16;

void MarkDone(Context& context, const TaskRef& ref, std::uint64_t run) {
  StepRun& step = ref.step;
  const auto finish = [&](Task& task, std::uint32_t index) {
    if (task.phase == TaskPhase::kDone) {
      return;
    }
    TaskName name = ref.name;
    name.index = index;
    // A stop of the run that has just ended would only cause another report of
    // its end.
    const bool over = index == ref.name.index && task.run == run;
    if (task.copy) {
      StopOtherRun(context, ref.job, name, task, run);
    } else if (!over) {
      StopTask(context, ref.job, name, task);
    }
    task.phase = TaskPhase::kDone;
    task.since = context.now;
    ++step.done;
  };
  if (ref.spec.gang) {
    for (std::uint32_t it = 0; it < step.tasks.size(); ++it) {
      finish(step.tasks[it], it);
    }
  } else {
    finish(ref.task, ref.name.index);
  }
  if (step.done == step.tasks.size()) {
    step.done_at = context.now;
    OnStepDone(ref.job, ref.name.occurrence);
  }
  context.state.placement_due = true;
}

// Counts a failed run; a gang's run once, however many members report it.
std::uint32_t CountFailure(const TaskRef& ref, std::uint64_t run) {
  if (!ref.spec.gang) {
    return ++ref.task.failures;
  }
  StepRun& step = ref.step;
  Task& first = step.tasks.front();
  if (step.gang_failed_run < run) {
    step.gang_failed_run = run;
    ++first.failures;
  }
  return first.failures;
}

void OnFailed(Context& context, const TaskRef& ref, const EndReport& report) {
  const std::uint32_t failures = CountFailure(ref, report.run);
  ref.task.avoid_worker = report.worker;
  const QueuePolicy* queue =
      FindQueueByName(context.state.configuration, ref.job.queue);
  const bool last =
      queue != nullptr && !ref.spec.lasting && failures >= queue->max_attempts;
  if (last) {
    EndJob(context, ref.job, JobState::kFailed, "attempts used up");
  }
}

void CountEnd(Context& context, const TaskRef& ref, const EndReport& report) {
  std::set<std::uint64_t>& ended = ref.task.ended_runs;
  if (ended.size() > kEndedRunsKept) {
    ended.erase(ended.begin());
  }
  if (report.how == RunEnd::kFailed) {
    OnFailed(context, ref, report);
  }
  ref.task.may_have_crashed =
      ref.task.may_have_crashed && report.how == RunEnd::kCrashed;
  MarkChanged(context, ref.job, false);
}

void ApplyNewEnd(Context& context,
                 const TaskRef& ref,
                 const EndReport& report) {
  Task& task = ref.task;
  MarkStarted(context, ref.job);
  if (!report.checkpoint.empty()) {
    task.checkpoint = report.checkpoint;
  }
  const bool lasting = ref.spec.lasting;
  if (report.how == RunEnd::kDone && !lasting) {
    MarkDone(context, ref, report.run);
    MarkChanged(context, ref.job, false);
    CompleteIfDone(context, ref.job);
    return;
  }
  if (report.how == RunEnd::kCrashed) {
    CountReportedCrash(context, ref.job, ref.name, task, report);
  }
  // An end that was counted before an adoption must still release its task: the
  // run may have been reported by a former owner of the worker.
  if (task.ended_runs.insert(report.run).second) {
    CountEnd(context, ref, report);
  }
  if (IsCopy(task, report.run)) {
    return OnCopyReport(context, task, RunState::kAbsent);
  }
  if (report.run == task.run && IsPlaced(task) && !PromoteCopy(context, task)) {
    Requeue(context, task, kFailedTaskDelay);
    if (ref.spec.gang) {
      StopGang(context, ref, RunEndName(report.how));
    }
  }
}

}  // namespace

void OnEndReport(Context& context,
                 const std::string& from,
                 const EndReport& report) {
  const auto ref = FindTaskRef(context, report.task);
  if (!ref) {
    return;
  }
  if (ref->task.phase == TaskPhase::kDone || IsFinal(ref->job.state)) {
    // The result no longer counts, but the run has to be released.
    if (IsCopy(ref->task, report.run)) {
      OnCopyReport(context, ref->task, RunState::kAbsent);
    } else if (report.run == ref->task.run && IsPlaced(ref->task)) {
      Requeue(context, ref->task, Duration(0));
    }
  } else if (WasNeverStarted(ref->job, ref->spec, ref->step, report.run) ||
             (IsReserved(ref->task) && report.run == ref->task.run)) {
    if (report.run == ref->task.run && report.worker == ref->task.worker) {
      Requeue(context, ref->task, Duration(0));
    }
  } else if (!IsOfGivenUpBooking(ref->job, ref->spec, ref->task, report.run,
                                 report.worker) &&
             !IsOfFormerProcess(ref->task, report)) {
    ApplyNewEnd(context, *ref, report);
  }
  ConfirmWhenStored(context, ref->job, from, report);
}

void OnEndReports(Context& context,
                  const std::string& from,
                  const EndReports& reports) {
  for (const EndReport& it : reports.ends) {
    OnEndReport(context, from, it);
  }
}

}  // namespace burdockrock::engine
