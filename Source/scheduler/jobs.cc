#include "scheduler/jobs.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "scheduler/context.h"
#include "scheduler/gangs.h"

namespace burdockrock {

namespace {

constexpr char kJobPrefix[] = "j.";
constexpr char kLogPrefix[] = "jobs.";
constexpr Duration kAcceptTimeout = std::chrono::seconds(5);
constexpr Duration kPlatformRetryAfter = std::chrono::seconds(2);
constexpr std::size_t kMaxStatusAnswers = 100;
constexpr std::uint32_t kMaxBackoffShift = 7;

std::optional<NotRun> RefusalByPolicy(Context& context, const JobSpec& spec) {
  const State& state = context.state();
  const auto team = context.policy().teams.find(spec.team);
  if (team == context.policy().teams.end()) {
    return NotRun{.reason = Reason::kInvalid,
                  .detail = "no team " + spec.team + " in the configuration"};
  }
  const bool over_team =
      team->second.max_waiting > 0 &&
      state.jobs.waiting + spec.count > team->second.max_waiting;
  if (over_team) {
    return NotRun{.reason = Reason::kQuota,
                  .detail = "the team has too many tasks waiting",
                  .retry_after = RetryAfter(context, kPlatformRetryAfter)};
  }
  if (state.jobs.waiting + spec.count >
      context.policy().admission.max_queue_tasks) {
    return NotRun{.reason = Reason::kOverloaded,
                  .detail = "too many tasks are waiting",
                  .retry_after = RetryAfter(context, kPlatformRetryAfter)};
  }
  return std::nullopt;
}

// Work that fits no worker would wait for ever; it is refused with the
// dimension that does not fit.
std::optional<NotRun> RefusalByFit(Context& context, const JobSpec& spec) {
  std::int64_t places = 0;
  Resources largest;
  std::string misfit;
  for (const auto& [id, worker] : context.state().ownership.workers) {
    if (worker.info.role != InstanceRole::kWorker || worker.removed) {
      continue;
    }
    places += CountFitting(spec.resources, worker.info.capacity);
    if (worker.info.capacity.processors_milli > largest.processors_milli) {
      largest = worker.info.capacity;
    }
  }
  const std::int64_t needed = spec.kind == JobKind::kGang ? spec.count : 1;
  if (places >= needed) {
    return std::nullopt;
  }
  const std::string detail =
      places > 0 ? fmt::format(
                       "the gang needs {} places at once and all "
                       "workers together have {}",
                       needed, places)
                 : "no worker of the failure domain has the room: " +
                       DescribeMisfit(spec.resources, largest);
  return NotRun{.reason = Reason::kNeverFits, .detail = detail};
}

std::optional<NotRun> RefusalOf(Context& context, const JobSpec& spec) {
  const State& state = context.state();
  if (!IsServing(context)) {
    return NotRun{.reason = Reason::kNotReady,
                  .detail = "this entry instance is starting",
                  .retry_after = kPlatformRetryAfter};
  }
  if (state.drain.draining) {
    return NotRun{.reason = Reason::kDraining,
                  .detail = "this entry instance is stopping; ask another",
                  .retry_after = context.policy().admission.retry_after_min};
  }
  if (spec.resources == Resources{}) {
    return NotRun{.reason = Reason::kInvalid,
                  .detail = "$.resources: a task must take some resource"};
  }
  if (auto refusal = RefusalByPolicy(context, spec)) {
    return refusal;
  }
  return RefusalByFit(context, spec);
}

void RecordJob(Context& context, Job& job) {
  job.accept_ticket = AppendTo(context, job.log, RecordOfJob(job),
                               {.urgent = job.spec.urgency == Urgency::kUrgent,
                                .refuse_when_unreachable = true},
                               JobAppend{.job = job.id});
}

}  // namespace

void EndTask(Context& context, Job& job, std::uint32_t index, TaskState end) {
  Task& task = job.tasks[index];
  const bool was_queued = task.state == TaskState::kQueued;
  if (was_queued) {
    --job.queued;
    --context.state().jobs.waiting;
  }
  task.state = TaskState::kEnding;
  task.end = end;
  AppendTo(context, job.log, RecordOfEnd(job, index), {},
           EndAppend{.job = job.id, .task = index});
}

namespace {

// The room that the task counted for is returned to its team.
void NoteReturned(Context& context, Job& job, std::uint32_t index) {
  if (IsOut(job.tasks[index])) {
    context.state().jobs.team_usage[job.spec.team] -= job.spec.resources;
  }
}

Duration RetryDelay(Context& context, const Task& task) {
  const RetryPolicy& policy = context.policy().retries;
  const std::uint32_t shift =
      std::min<std::uint32_t>(task.tries, kMaxBackoffShift);
  return context.Jitter(
      std::min(policy.backoff_min * (1U << shift), policy.backoff_max));
}

// Tries the task again after a while.
void RetryLater(Context& context, Job& job, std::uint32_t index) {
  Task& task = job.tasks[index];
  NoteReturned(context, job, index);
  task.state = TaskState::kQueued;
  task.worker.clear();
  task.owner.clear();
  ++job.queued;
  ++context.state().jobs.waiting;
  job.next_queued = std::min(job.next_queued, index);
  ++context.state().counters.retries;
  context.After(RetryDelay(context, task), TimerKind::kRetryTask, job.id);
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
  NoteReturned(context, job, index);
  EndTask(context, job, index, TaskState::kFailed);
}

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

void AnswerCancel(Context& context, Job& job, Verdict problem, bool recorded) {
  const auto status = JobStatus(context, job.id);
  if (job.cancel_reply != 0) {
    if (recorded) {
      context.Answer(job.cancel_reply, *status);
    } else {
      context.Answer(job.cancel_reply,
                     WorkAnswer{.id = job.id, .verdict = std::move(problem)});
    }
    job.cancel_reply = 0;
  }
  if (!job.cancel_peer.empty() && recorded) {
    context.Send(
        job.cancel_peer,
        AskWorkAnswer{.ask = job.cancel_ask, .found = true, .status = *status});
    job.cancel_peer.clear();
  }
}

void CancelTask(Context& context, Job& job, std::uint32_t index) {
  Task& task = job.tasks[index];
  switch (task.state) {
    case TaskState::kQueued:
      --job.queued;
      --context.state().jobs.waiting;
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

bool IsOut(const Task& task) {
  return task.state == TaskState::kStarting || task.state == TaskState::kHeld ||
         task.state == TaskState::kRunning ||
         task.state == TaskState::kStopping ||
         task.state == TaskState::kOrphaned;
}

void NoteDispatched(Context& context, Job& job, std::uint32_t index) {
  --job.queued;
  --context.state().jobs.waiting;
  Task& task = job.tasks[index];
  task.tries = static_cast<std::uint8_t>(std::min(task.tries + 1, 255));
  task.state = TaskState::kStarting;
  task.offered = context.now();
  context.state().jobs.team_usage[job.spec.team] += job.spec.resources;
}

std::string LogOfJob(const std::string& id) {
  const std::size_t split = id.rfind('.');
  if (!id.starts_with(kJobPrefix) || split == std::string::npos) {
    return "";
  }
  const std::size_t start = sizeof(kJobPrefix) - 1;
  return split < start ? "" : kLogPrefix + id.substr(start, split - start);
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

void OnJobArrived(Context& context, const JobArrived& arrived) {
  State& state = context.state();
  JobSpec spec = arrived.spec;
  if (spec.team.empty()) {
    spec.team = context.policy().default_team;
  }
  if (const auto refusal = RefusalOf(context, spec)) {
    ++state.counters.answers[1];
    context.Log(
        EventNumber::kRequestRefused,
        {{"reason", ReasonName(refusal->reason)}, {"detail", refusal->detail}});
    context.Answer(arrived.reply, WorkAnswer{.verdict = *refusal});
    return;
  }
  Journal& journal = OwnJournal(context);
  Job job;
  job.id = kJobPrefix + journal.name.substr(sizeof(kLogPrefix) - 1) + "." +
           std::to_string(journal.next_job++);
  job.log = journal.name;
  job.spec = std::move(spec);
  job.reply = arrived.reply;
  job.arrived = context.now();
  job.tasks.resize(job.spec.count);
  job.open = job.spec.count;
  const std::string id = job.id;
  context.After(kAcceptTimeout, TimerKind::kJobDeadline, id);
  Job& stored = state.jobs.jobs.emplace(id, std::move(job)).first->second;
  if (stored.spec.key.empty()) {
    RecordJob(context, stored);
  } else {
    ClaimKeyOfJob(context, stored);
  }
}

void OnJobClaimed(Context& context, const std::string& id) {
  Job* job = FindJob(context, id);
  if (job != nullptr) {
    RecordJob(context, *job);
  }
}

void RefuseJob(Context& context, const std::string& id, Verdict verdict) {
  Job* job = FindJob(context, id);
  if (job == nullptr) {
    return;
  }
  ++context.state().counters.answers[verdict.index()];
  context.Answer(job->reply, WorkAnswer{.id = id, .verdict = verdict});
  context.state().jobs.jobs.erase(id);
}

void OnJobRecorded(Context& context,
                   const std::string& id,
                   AppendOutcome outcome) {
  Job* job = FindJob(context, id);
  if (job == nullptr) {
    return;
  }
  const bool has_key = !job->spec.key.empty();
  if (outcome == AppendOutcome::kCommitted) {
    job->recorded = true;
    job->accept_ticket = 0;
    ++context.state().counters.answers[3];
    context.Log(EventNumber::kJobAccepted,
                {{"job", id}, {"kind", JobKindName(job->spec.kind)}});
    context.Answer(job->reply, WorkAnswer{.id = id, .verdict = Accepted{}});
    job->reply = 0;
    if (has_key) {
      SettleClaim(context, job->spec.team, job->spec.key, id,
                  ClaimState::kAccepted, "");
    }
    job->queued = job->spec.count;
    context.state().jobs.waiting += job->spec.count;
    if (job->spec.deadline > Duration(0)) {
      context.At(job->arrived + job->spec.deadline, TimerKind::kJobDeadline,
                 id);
    }
    QueueJob(context, *job);
    return;
  }
  if (has_key) {
    SettleClaim(context, job->spec.team, job->spec.key, id,
                ClaimState::kReleased, "");
  }
  if (outcome == AppendOutcome::kUnknown) {
    // The record may stand. Erasing it behind itself keeps the job from being
    // run later by this journal's next writer, as far as that can be done.
    AppendTo(context, job->log,
             {.key = RecordOfJob(*job).key, .kind = kEraseKind}, {},
             std::nullopt);
    RefuseJob(context, id,
              MayHaveRun{.reason = Reason::kPlatformDown,
                         .detail = "the platform's answer was lost"});
    return;
  }
  RefuseJob(context, id,
            NotRun{.reason = Reason::kPlatformDown,
                   .detail = "the job can't be recorded now",
                   .retry_after = kPlatformRetryAfter});
}

void OnJobDeadline(Context& context, const std::string& id) {
  Job* job = FindJob(context, id);
  if (job == nullptr || job->finished || job->cancelled) {
    return;
  }
  if (!job->recorded) {
    const auto log = context.state().logs.find(job->log);
    if (job->accept_ticket != 0 && log != context.state().logs.end()) {
      RunLedger(context, job->log,
                log->second.log->GiveUp(job->accept_ticket, context.now()));
      return;
    }
    GiveUpClaim(context, job->spec.team, job->spec.key, id, job->claim_ticket);
    RefuseJob(context, id,
              NotRun{.reason = Reason::kPlatformDown,
                     .detail = "the job's key can't be recorded now",
                     .retry_after = kPlatformRetryAfter});
    return;
  }
  const bool is_late = job->spec.deadline > Duration(0) &&
                       context.now() >= job->arrived + job->spec.deadline;
  if (is_late && job->queued > 0) {
    context.Log(EventNumber::kCancel, {{"job", id}, {"reason", "deadline"}});
    CancelJob(context, *job);
  }
}

void OnRetryTaskTimer(Context& context, const std::string& id) {
  Job* job = FindJob(context, id);
  if (job != nullptr && !job->cancelled && job->queued > 0) {
    QueueJob(context, *job);
  }
}

void OnDispatchRecorded(Context& context,
                        const std::string& id,
                        std::uint32_t index,
                        AppendOutcome outcome) {
  Job* job = FindJob(context, id);
  if (job == nullptr || job->tasks[index].state != TaskState::kDispatching) {
    return;
  }
  Task& task = job->tasks[index];
  task.dispatched = outcome == AppendOutcome::kCommitted;
  task.state = TaskState::kQueued;
  ++job->queued;
  ++context.state().jobs.waiting;
  job->next_queued = std::min(job->next_queued, index);
  QueueJob(context, *job);
}

void OnAttemptRunning(Context& context,
                      const AttemptId& attempt,
                      bool held,
                      const std::string& worker,
                      const std::string& owner) {
  Task* task = nullptr;
  Job* job = JobOfAttempt(context, attempt, &task);
  if (job == nullptr || task->attempt > attempt.number || !IsOut(*task)) {
    return;
  }
  if (held && task->state == TaskState::kRunning) {
    return;  // overtaken by the news that it runs
  }
  // An adopted journal doesn't know the attempt numbers of its former writer.
  task->attempt = attempt.number;
  task->worker = worker;
  task->owner = owner;
  const bool is_stray = job->spec.kind == JobKind::kGang &&
                        !job->gang_running && !job->settling &&
                        job->hold_until == Time(0);
  if (job->cancelled || is_stray || task->state == TaskState::kStopping) {
    task->state = TaskState::kRunning;
    StopAttempt(context, *job, attempt.task);
    return;
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
  if (job == nullptr || task->attempt != attempt.number || !IsOut(*task)) {
    return;
  }
  if (job->cancelled) {
    NoteReturned(context, *job, attempt.task);
    task->state = TaskState::kCancelled;
    --job->open;
    FinishIfDone(context, *job);
    return;
  }
  RequeueTask(context, *job, attempt.task);
  if (job->spec.kind == JobKind::kGang) {
    BackOffGang(context, *job, why);
  }
}

void OnAttemptEnded(Context& context,
                    const AttemptReport& report,
                    const std::string& worker,
                    const std::string& owner) {
  Task* task = nullptr;
  Job* job = JobOfAttempt(context, report.attempt, &task);
  const bool is_current =
      job != nullptr && IsOut(*task) && task->attempt <= report.attempt.number;
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
      task->answer = report.answer.substr(0, kMaxKeptAnswer);
      NoteReturned(context, *job, index);
      EndTask(context, *job, index, TaskState::kDone);
      if (is_gang && !job->gang_running && !job->settling) {
        BackOffGang(context, *job, "a member ended while others were stopped");
      }
      return;  // acknowledged when it is recorded
    case Outcome::kFailed:
      task->answer = report.answer.substr(0, kMaxKeptAnswer);
      OnTaskFailed(context, *job, index, worker);
      if (task->state == TaskState::kEnding) {
        if (is_gang) {
          BackOffGang(context, *job, "a member failed for good");
        }
        return;
      }
      break;
    case Outcome::kStopped:
      NoteReturned(context, *job, index);
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
      task->state = TaskState::kDispatching;  // counted again by the requeue
      RequeueTask(context, *job, index);
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

void RequeueTask(Context& context, Job& job, std::uint32_t index) {
  Task& task = job.tasks[index];
  NoteReturned(context, job, index);
  task.state = TaskState::kQueued;
  task.worker.clear();
  task.owner.clear();
  if (task.tries > 0) {
    --task.tries;  // it did not run
  }
  ++job.queued;
  ++context.state().jobs.waiting;
  job.next_queued = std::min(job.next_queued, index);
  QueueJob(context, job);
}

void OrphanTask(Context& context, Job& job, std::uint32_t index) {
  Task& task = job.tasks[index];
  if (!IsOut(task)) {
    return;
  }
  task.state = TaskState::kOrphaned;
  task.owner.clear();
  // What an earlier search has covered says nothing of an attempt that was
  // orphaned after it: the worker may have changed hands since.
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
    NoteReturned(context, job, index);
    task.state = TaskState::kCancelled;
    --job.open;
    FinishIfDone(context, job);
    return;
  }
  const bool is_gang = job.spec.kind == JobKind::kGang;
  // The tasks of a gang that was never told to go were held and did not run.
  const bool may_have_run = task.dispatched && (!is_gang || job.went);
  if (!job.spec.idempotent && may_have_run) {
    NoteReturned(context, job, index);
    EndTask(context, job, index, TaskState::kMayHaveRun);
    if (is_gang && !job.settling) {
      BackOffGang(context, job, "attempt lost");
    }
    return;
  }
  context.Log(EventNumber::kAttemptRestarted,
              {{"job", job.id}, {"task", std::to_string(index)}});
  RetryLater(context, job, index);
  if (is_gang && !job.settling) {
    BackOffGang(context, job, "attempt lost");
  }
}

void OnEndRecorded(Context& context,
                   const std::string& id,
                   std::uint32_t index,
                   AppendOutcome outcome) {
  Job* job = FindJob(context, id);
  if (job == nullptr || outcome != AppendOutcome::kCommitted) {
    return;  // fenced: the journal's new writer decides
  }
  Task& task = job->tasks[index];
  task.state = task.end;
  --job->open;
  AcknowledgeEnd(context, {.job = id, .task = index, .number = task.attempt},
                 task.owner);
  FinishIfDone(context, *job);
}

void FinishIfDone(Context& context, Job& job) {
  if (job.open > 0 || job.finished || !job.recorded) {
    return;
  }
  job.finished = true;
  context.Log(EventNumber::kJobEnded, {{"job", job.id}});
  AppendTo(context, job.log, RecordOfJob(job), {}, std::nullopt);
  context.After(kFinishedKept, TimerKind::kForgetJob, job.id);
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
  context.Answer(job->cancel_reply, WorkAnswer{.id = id, .verdict = lost});
  state.jobs.waiting -= job->queued;
  for (std::uint32_t it = 0; it < job->tasks.size(); ++it) {
    NoteReturned(context, *job, it);
  }
  state.jobs.jobs.erase(id);
}

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
  if (job.finished || job.cancelled) {
    AnswerCancel(context, job, NotRun{}, true);
    return;
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
    // Tried again until it is recorded; nobody waits for it.
    AppendTo(context, job->log, RecordOfCancel(*job), {}, std::nullopt);
  }
}

}  // namespace burdockrock
