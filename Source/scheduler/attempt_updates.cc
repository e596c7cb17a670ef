#include "scheduler/attempt_updates.h"

#include <algorithm>

#include "scheduler/context.h"
#include "scheduler/gangs.h"
#include "scheduler/task_crashes.h"

namespace burdockrock {

namespace {

constexpr std::uint32_t kMaxBackoffShift = 7;

Duration RetryDelay(Context& context, const Task& task) {
  const RetryPolicy& policy = context.policy().retries;
  const std::uint32_t shift =
      std::min<std::uint32_t>(task.tries, kMaxBackoffShift);
  return context.Jitter(
      std::min(policy.backoff_min * (1U << shift), policy.backoff_max));
}

// Requeues the task at once. Only the queueing of its job is delayed by the
// backoff, which has no effect if the job is still queued.
void RetryLater(Context& context, Job& job, std::uint32_t index) {
  Task& task = job.tasks[index];
  CreditTeam(context, job, index);
  task.state = TaskState::kQueued;
  task.start_recorded = false;
  task.worker.clear();
  task.owner.clear();
  ++job.queued;
  ++context.state().jobs.queued_tasks;
  job.next_queued = std::min(job.next_queued, index);
  ++context.state().counters.retries;
  context.ScheduleAfter(RetryDelay(context, task), TimerKind::kRetryTask,
                        job.id);
}

void OnTaskFailed(Context& context,
                  Job& job,
                  std::uint32_t index,
                  const std::string& worker) {
  const HealthPolicy& health = context.policy().health;
  Task& task = job.tasks[index];
  job.failed_on.insert(worker);
  if (!job.bad && static_cast<std::int64_t>(job.failed_on.size()) >=
                      health.bad_job_workers) {
    job.bad = true;
    context.Log(EventNumber::kJobJudgedBad, {{"job", job.id}});
  }
  if (job.spec.kind == JobKind::kService) {
    RetryLater(context, job, index);
    return;
  }
  const bool may_retry = job.spec.idempotent && !job.bad &&
                         task.tries < context.policy().retries.max_attempts;
  if (may_retry) {
    RetryLater(context, job, index);
    return;
  }
  CreditTeam(context, job, index);
  EndTask(context, job, index, TaskState::kFailed);
}

}  // namespace

void EndTask(Context& context, Job& job, std::uint32_t index, TaskState end) {
  Task& task = job.tasks[index];
  const bool was_queued = task.state == TaskState::kQueued;
  if (was_queued) {
    --job.queued;
    --context.state().jobs.queued_tasks;
  }
  task.state = TaskState::kEnding;
  task.final_state = end;
  AppendTo(context, job.log, RecordOfEnd(job, index), {},
           EndAppend{.job = job.id, .task = index});
}

void OnDispatchRecorded(Context& context,
                        const std::string& id,
                        std::uint32_t index,
                        AppendOutcome outcome) {
  Job* job = FindJob(context, id);
  if (job == nullptr || job->tasks[index].state != TaskState::kDispatching) {
    return;
  }
  job->tasks[index].dispatched = outcome == AppendOutcome::kCommitted;
  RequeueRecorded(context, *job, index);
}

void OnAttemptRunning(Context& context,
                      const AttemptId& attempt,
                      bool held,
                      const std::string& worker,
                      const std::string& owner) {
  Task* task = nullptr;
  Job* job = JobOfAttempt(context, attempt, &task);
  if (job == nullptr || task->attempt > attempt.number ||
      !IsOutstanding(*task)) {
    return;
  }
  if (held && task->state == TaskState::kRunning) {
    return;  // reordered: a later update said that it runs
  }
  // The attempt numbers of an adopted journal's former writer aren't recorded.
  task->attempt = attempt.number;
  task->worker = worker;
  task->owner = owner;
  const bool is_stray = job->spec.kind == JobKind::kGang &&
                        !job->gang_running && !job->recovering &&
                        job->hold_until == Time(0);
  if (job->cancelled || is_stray || task->state == TaskState::kStopping) {
    task->state = TaskState::kRunning;
    StopAttempt(context, *job, attempt.task);
    return;
  }
  if (!held && task->state != TaskState::kRunning) {
    task->running_since = context.now();
  }
  task->state = held ? TaskState::kHeld : TaskState::kRunning;
  if (!held && job->first_start == Time(0)) {
    job->first_start = context.now();
  }
  if (!held) {
    context.Emit(WaitingMeasured{.urgency = job->spec.urgency,
                                 .is_request = false,
                                 .waited = context.now() - job->arrived});
  }
  if (held) {
    OnGangTaskHeld(context, *job);
  }
}

void OnAttemptNotStarted(Context& context,
                         const AttemptId& attempt,
                         const std::string& why) {
  Task* task = nullptr;
  Job* job = JobOfAttempt(context, attempt, &task);
  if (job == nullptr || task->attempt != attempt.number ||
      !IsOutstanding(*task)) {
    return;
  }
  if (job->cancelled) {
    CreditTeam(context, *job, attempt.task);
    task->state = TaskState::kCancelled;
    --job->open;
    FinishIfDone(context, *job);
    return;
  }
  RequeueTask(context, *job, attempt.task);
  if (job->spec.kind == JobKind::kGang) {
    OnGangTaskRefused(context, *job, why);
  }
}

void OnAttemptEnded(Context& context,
                    const AttemptReport& report,
                    const std::string& worker,
                    const std::string& owner) {
  Task* task = nullptr;
  Job* job = JobOfAttempt(context, report.attempt, &task);
  const bool is_current = job != nullptr && IsOutstanding(*task) &&
                          task->attempt <= report.attempt.number;
  if (!is_current) {
    const bool is_ending = job != nullptr && task->state == TaskState::kEnding;
    if (!is_ending) {
      AcknowledgeEnd(context, report.attempt, owner);
    }
    return;
  }
  task->attempt = report.attempt.number;
  task->worker = worker;
  task->owner = owner;
  const std::uint32_t index = report.attempt.task;
  const bool is_gang = job->spec.kind == JobKind::kGang;
  switch (report.outcome) {
    case Outcome::kDone:
      if (job->spec.kind == JobKind::kService && !job->cancelled) {
        RetryLater(context, *job, index);
        break;
      }
      task->answer = report.answer.substr(0, kMaxAnswerBytes);
      CreditTeam(context, *job, index);
      EndTask(context, *job, index, TaskState::kDone);
      if (is_gang && !job->gang_running && !job->recovering) {
        BackOffGang(context, *job,
                    "a task ended while others were being stopped");
      }
      return;  // acknowledged when it is recorded
    case Outcome::kFailed:
      task->answer = report.answer.substr(0, kMaxAnswerBytes);
      OnTaskFailed(context, *job, index, worker);
      if (task->state == TaskState::kEnding) {
        if (is_gang) {
          BackOffGang(context, *job, "a task failed and is not retried");
        }
        return;
      }
      break;
    case Outcome::kStopped:
      CreditTeam(context, *job, index);
      if (job->judged_failed) {
        EndTask(context, *job, index, TaskState::kFailed);
        return;
      }
      if (job->cancelled) {
        task->state = TaskState::kCancelled;
        --job->open;
        FinishIfDone(context, *job);
        break;
      }
      // Not outstanding, so that RequeueTask does not subtract the team's usage
      // a second time.
      task->state = TaskState::kDispatching;
      RequeueTask(context, *job, index);
      break;
    case Outcome::kWorkerCrashed:
      OnAttemptCrashed(context, *job, index);
      if (task->state == TaskState::kEnding) {
        if (is_gang) {
          BackOffGang(context, *job, "workers crashed under a task");
        }
        return;
      }
      break;
    case Outcome::kLeaseLapsed:
    case Outcome::kNone:
      OnAttemptLost(context, *job, index);
      break;
  }
  AcknowledgeEnd(context, report.attempt, owner);
  if (is_gang && !job->cancelled && !job->finished) {
    BackOffGang(context, *job, OutcomeName(report.outcome));
  }
}

void OrphanTask(Context& context, Job& job, std::uint32_t index) {
  Task& task = job.tasks[index];
  if (!IsOutstanding(task)) {
    return;
  }
  task.state = TaskState::kOrphaned;
  task.owner.clear();
  // The coverage of an earlier search doesn't apply to an attempt that was
  // orphaned later: its worker may have a new owner.
  const auto search = context.state().searches.find(job.log);
  const bool is_fresh = search != context.state().searches.end() &&
                        search->second.started == context.now() &&
                        search->second.round == 0;
  if (!is_fresh) {
    StartSearch(context, job.log);
  }
}

void OnAttemptLost(Context& context, Job& job, std::uint32_t index) {
  Task& task = job.tasks[index];
  if (job.cancelled) {
    CreditTeam(context, job, index);
    task.state = TaskState::kCancelled;
    --job.open;
    FinishIfDone(context, job);
    return;
  }
  if (job.judged_failed) {
    CreditTeam(context, job, index);
    EndTask(context, job, index, TaskState::kFailed);
    return;
  }
  const bool is_gang = job.spec.kind == JobKind::kGang;
  // Before the go was sent, the tasks of a gang were held and did not run.
  const bool may_have_run = task.dispatched && (!is_gang || job.go_sent);
  if (!job.spec.idempotent && may_have_run) {
    CreditTeam(context, job, index);
    EndTask(context, job, index, TaskState::kMayHaveRun);
    if (is_gang && !job.recovering) {
      BackOffGang(context, job, "attempt lost");
    }
    return;
  }
  context.Log(EventNumber::kAttemptRestarted,
              {{"job", job.id}, {"task", std::to_string(index)}});
  RetryLater(context, job, index);
  if (is_gang && !job.recovering) {
    BackOffGang(context, job, "attempt lost");
  }
}

void OnEndRecorded(Context& context,
                   const std::string& id,
                   std::uint32_t index,
                   AppendOutcome outcome) {
  Job* job = FindJob(context, id);
  if (job == nullptr || outcome != AppendOutcome::kCommitted) {
    return;  // fenced: the journal's new writer takes over
  }
  Task& task = job->tasks[index];
  task.state = task.final_state;
  --job->open;
  AcknowledgeEnd(context, {.job = id, .task = index, .number = task.attempt},
                 task.owner);
  FinishIfDone(context, *job);
}

}  // namespace burdockrock
