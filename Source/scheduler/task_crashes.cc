#include "scheduler/task_crashes.h"

#include <algorithm>

#include "scheduler/attempt_updates.h"
#include "scheduler/context.h"
#include "scheduler/journal.h"

namespace burdockrock {

namespace {

// A crash is not held against an attempt that was at work for longer.
constexpr Duration kMaxCrashDelay = std::chrono::minutes(10);
// A task that found no worker to itself in this time runs beside others.
constexpr Duration kIsolationTimeout = std::chrono::seconds(20);

bool IsExcused(const Context& context, const Task& task) {
  return task.running_since != Time(0) &&
         context.now() - task.running_since > kMaxCrashDelay;
}

}  // namespace

void NoteCrash(Context& context, Task& task) {
  task.last_crash = context.now();
  if (task.crashes >= kCrashesBeforeIsolation) {
    context.ScheduleAfter(kIsolationTimeout, TimerKind::kSchedule);
  }
}

void OnAttemptCrashed(Context& context, Job& job, std::uint32_t index) {
  Task& task = job.tasks[index];
  if (job.cancelled || job.judged_failed || IsExcused(context, task)) {
    task.crashes = 0;
    return OnAttemptLost(context, job, index);
  }
  ++task.crashes;
  ++context.state().counters.crashes;
  NoteCrash(context, task);
  context.Log(EventNumber::kTaskCrashed,
              {{"job", job.id},
               {"task", std::to_string(index)},
               {"attempt", std::to_string(task.attempt)},
               {"worker", task.worker},
               {"crashes", std::to_string(task.crashes)},
               {"allowed", std::to_string(kMaxTaskCrashes)}});
  task.start_recorded = false;
  if (task.crashes < kMaxTaskCrashes || !job.spec.idempotent) {
    AppendTo(context, job.log, RecordOfCrashes(job, index), {.urgent = true},
             std::nullopt);
    return OnAttemptLost(context, job, index);
  }
  CreditTeam(context, job, index);
  task.answer =
      std::to_string(task.crashes) + " workers crashed under this task";
  EndTask(context, job, index, TaskState::kFailed);
}

bool MustRecordStart(const Task& task) {
  return task.crashes > 0 || task.may_have_crashed;
}

void RecordStart(Context& context, Job& job, std::uint32_t index) {
  Task& task = job.tasks[index];
  --job.queued;
  --context.state().jobs.queued_tasks;
  task.state = TaskState::kDispatching;
  task.start_recorded = true;
  AppendTo(context, job.log, RecordOfCrashes(job, index), {.urgent = true},
           StartAppend{.job = job.id, .task = index});
}

void OnStartRecorded(Context& context,
                     const std::string& id,
                     std::uint32_t index,
                     AppendOutcome outcome) {
  Job* job = FindJob(context, id);
  if (job == nullptr || job->tasks[index].state != TaskState::kDispatching) {
    return;
  }
  job->tasks[index].start_recorded = outcome == AppendOutcome::kCommitted;
  RequeueRecorded(context, *job, index);
}

bool IsIsolated(const Context& context, const Task& task) {
  return task.crashes >= kCrashesBeforeIsolation &&
         context.now() - task.last_crash < kIsolationTimeout;
}

}  // namespace burdockrock
