#include "scheduler/job_status.h"

#include <optional>
#include <utility>

#include "scheduler/attempt_updates.h"
#include "scheduler/context.h"

namespace burdockrock {

namespace {

constexpr std::size_t kMaxStatusAnswers = 100;

WorkState StateOf(const Job& job, const WorkStatus& status) {
  if (job.cancelled) {
    return WorkState::kCancelled;
  }
  if (job.open > 0 && !job.finished) {
    return status.running + status.done > 0 ? WorkState::kRunning
                                            : WorkState::kQueued;
  }
  return status.failed + status.may_have_run > 0 ? WorkState::kFailed
                                                 : WorkState::kFinished;
}

void CountTask(const Task& task, WorkStatus& status) {
  switch (task.state) {
    case TaskState::kQueued:
    case TaskState::kDispatching:
      ++status.queued;
      break;
    case TaskState::kStarting:
    case TaskState::kHeld:
      ++status.starting;
      break;
    case TaskState::kRunning:
    case TaskState::kStopping:
    case TaskState::kOrphaned:
    case TaskState::kEnding:
      ++status.running;
      break;
    case TaskState::kDone:
      ++status.done;
      break;
    case TaskState::kFailed:
      ++status.failed;
      break;
    case TaskState::kMayHaveRun:
      ++status.may_have_run;
      break;
    case TaskState::kCancelled:
      break;
  }
}

void AnswerCancel(Context& context,
                  Job& job,
                  const Verdict& problem,
                  bool recorded) {
  const auto status = JobStatus(context, job.id);
  for (const ReplyId it : std::exchange(job.cancel_replies, {})) {
    if (recorded) {
      context.Answer(it, *status);
    } else {
      context.Answer(it, WorkAnswer{.id = job.id, .verdict = problem});
    }
  }
  if (!job.cancel_peer.empty() && recorded) {
    context.Send(job.cancel_peer, AskWorkAnswer{.ask = job.cancel_query,
                                                .found = true,
                                                .status = *status});
    job.cancel_peer.clear();
  }
}

void CancelTask(Context& context, Job& job, std::uint32_t index) {
  Task& task = job.tasks[index];
  switch (task.state) {
    case TaskState::kQueued:
      --job.queued;
      --context.state().jobs.queued_tasks;
      task.state = TaskState::kCancelled;
      --job.open;
      break;
    case TaskState::kDispatching:
      task.state = TaskState::kCancelled;
      --job.open;
      break;
    case TaskState::kStarting:
    case TaskState::kHeld:
    case TaskState::kRunning:
      StopAttempt(context, job, index);
      break;
    default:
      break;
  }
}

}  // namespace

std::optional<WorkStatus> JobStatus(Context& context, const std::string& id) {
  const Job* job = FindJob(context, id);
  if (job == nullptr) {
    return std::nullopt;
  }
  WorkStatus status{.id = id, .kind = job->spec.kind, .count = job->spec.count};
  for (const Task& it : job->tasks) {
    CountTask(it, status);
    const bool has_answer =
        it.state == TaskState::kDone || it.state == TaskState::kFailed;
    if (has_answer && status.answers.size() < kMaxStatusAnswers) {
      status.answers.push_back(it.answer);
    }
  }
  if (job->first_start > job->arrived) {
    status.waited = job->first_start - job->arrived;
  }
  status.state = StateOf(*job, status);
  return status;
}

void CancelJob(Context& context, Job& job) {
  const bool is_known = job.cancelled ? job.cancel_recorded : job.finished;
  if (is_known) {
    AnswerCancel(context, job, NotRun{}, true);
    return;
  }
  if (job.cancelled) {
    return;  // answered when the first cancel is recorded
  }
  job.cancelled = true;
  context.Log(EventNumber::kCancel, {{"job", job.id}});
  AppendTo(context, job.log, RecordOfCancel(job),
           {.refuse_when_unreachable = true}, CancelAppend{.job = job.id});
  for (std::uint32_t it = 0; it < job.tasks.size(); ++it) {
    CancelTask(context, job, it);
  }
  FinishIfDone(context, job);
}

void OnCancelRecorded(Context& context,
                      const std::string& id,
                      AppendOutcome outcome) {
  Job* job = FindJob(context, id);
  if (job == nullptr) {
    return;
  }
  job->cancel_recorded = outcome == AppendOutcome::kCommitted;
  AnswerCancel(
      context, *job,
      MayHaveRun{.reason = Reason::kPlatformDown,
                 .detail = "stopped, but the cancel can't be recorded now; if "
                           "this entry instance dies first the job goes on"},
      job->cancel_recorded);
  if (!job->cancel_recorded) {
    // Appended again for durability; no caller waits for it.
    AppendTo(context, job->log, RecordOfCancel(*job), {}, std::nullopt);
  }
}

}  // namespace burdockrock
