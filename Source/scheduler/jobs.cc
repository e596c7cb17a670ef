#include "scheduler/jobs.h"

#include <algorithm>

#include "scheduler/context.h"

namespace burdockrock {

bool IsOutstanding(const Task& task) {
  return task.state == TaskState::kStarting || task.state == TaskState::kHeld ||
         task.state == TaskState::kRunning ||
         task.state == TaskState::kStopping ||
         task.state == TaskState::kOrphaned;
}

void ChargeTeam(Context& context, Job& job, std::uint32_t index) {
  --job.queued;
  --context.state().jobs.queued_tasks;
  Task& task = job.tasks[index];
  task.tries = static_cast<std::uint8_t>(std::min(task.tries + 1, 255));
  task.state = TaskState::kStarting;
  task.running_since = Time(0);
  task.last_sent = context.now();
  context.state().jobs.team_usage[job.spec.team] += job.spec.resources;
}

void CreditTeam(Context& context, Job& job, std::uint32_t index) {
  if (IsOutstanding(job.tasks[index])) {
    context.state().jobs.team_usage[job.spec.team] -= job.spec.resources;
  }
}

std::string LogOfJob(const std::string& id) {
  const std::size_t split = id.rfind('.');
  if (!id.starts_with(kJobIdPrefix) || split == std::string::npos) {
    return "";
  }
  const std::size_t start = sizeof(kJobIdPrefix) - 1;
  return split < start ? "" : kJournalPrefix + id.substr(start, split - start);
}

Job* FindJob(Context& context, const std::string& id) {
  const auto it = context.state().jobs.jobs.find(id);
  return it == context.state().jobs.jobs.end() ? nullptr : &it->second;
}

Job* JobOfAttempt(Context& context, const AttemptId& attempt, Task** task) {
  Job* job = FindJob(context, attempt.job);
  if (job == nullptr || attempt.task >= job->tasks.size()) {
    return nullptr;
  }
  *task = &job->tasks[attempt.task];
  return job;
}

void OnRetryTaskTimer(Context& context, const std::string& id) {
  Job* job = FindJob(context, id);
  if (job != nullptr && !job->cancelled && job->queued > 0) {
    QueueJob(context, *job);
  }
}

void RequeueTask(Context& context, Job& job, std::uint32_t index) {
  Task& task = job.tasks[index];
  CreditTeam(context, job, index);
  task.state = TaskState::kQueued;
  task.worker.clear();
  task.owner.clear();
  if (task.tries > 0) {
    --task.tries;  // it did not run
  }
  ++job.queued;
  ++context.state().jobs.queued_tasks;
  job.next_queued = std::min(job.next_queued, index);
  QueueJob(context, job);
}

void RequeueRecorded(Context& context, Job& job, std::uint32_t index) {
  job.tasks[index].state = TaskState::kQueued;
  ++job.queued;
  ++context.state().jobs.queued_tasks;
  job.next_queued = std::min(job.next_queued, index);
  QueueJob(context, job);
}

void FinishIfDone(Context& context, Job& job) {
  if (job.open > 0 || job.finished || !job.recorded) {
    return;
  }
  job.finished = true;
  context.Log(EventNumber::kJobEnded, {{"job", job.id}});
  AppendTo(context, job.log, RecordOfJob(job), {}, std::nullopt);
  context.ScheduleAfter(kFinishedJobRetention, TimerKind::kForgetJob, job.id);
}

void OnForgetJobTimer(Context& context, const std::string& id) {
  const Job* job = FindJob(context, id);
  if (job == nullptr || !job->finished) {
    return;
  }
  EraseJobRecords(context, *job);
  context.state().jobs.jobs.erase(id);
}

void DropJob(Context& context, const std::string& id) {
  State& state = context.state();
  Job* job = FindJob(context, id);
  if (job == nullptr) {
    return;
  }
  const MayHaveRun lost{.reason = Reason::kOwnerLost,
                        .detail = "another entry instance took the job over"};
  context.Answer(job->reply, WorkAnswer{.id = id, .verdict = lost});
  for (const ReplyId it : job->cancel_replies) {
    context.Answer(it, WorkAnswer{.id = id, .verdict = lost});
  }
  state.jobs.queued_tasks -= job->queued;
  for (std::uint32_t it = 0; it < job->tasks.size(); ++it) {
    CreditTeam(context, *job, it);
  }
  state.jobs.jobs.erase(state.jobs.jobs.find(id));
}

}  // namespace burdockrock
