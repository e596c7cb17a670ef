#include "scheduler/job_admission.h"

#include <optional>
#include <utility>

#include <fmt/format.h>

#include "scheduler/context.h"
#include "scheduler/job_status.h"

namespace burdockrock {

namespace {

constexpr Duration kAcceptTimeout = std::chrono::seconds(5);
constexpr Duration kPlatformRetryAfter = std::chrono::seconds(2);

std::optional<NotRun> RefusalByPolicy(Context& context, const JobSpec& spec) {
  const State& state = context.state();
  const auto team = context.policy().teams.find(spec.team);
  if (team == context.policy().teams.end()) {
    return NotRun{.reason = Reason::kInvalid,
                  .detail = "no team " + spec.team + " in the configuration"};
  }
  const bool over_team =
      team->second.max_waiting > 0 &&
      state.jobs.queued_tasks + spec.count > team->second.max_waiting;
  if (over_team) {
    return NotRun{.reason = Reason::kQuota,
                  .detail = "the team has too many tasks waiting",
                  .retry_after = RetryAfter(context, kPlatformRetryAfter)};
  }
  if (state.jobs.queued_tasks + spec.count >
      context.policy().admission.max_queue_tasks) {
    return NotRun{.reason = Reason::kOverloaded,
                  .detail = "too many tasks are waiting",
                  .retry_after = RetryAfter(context, kPlatformRetryAfter)};
  }
  return std::nullopt;
}

// Refuses work that fits no worker, which would stay queued forever, and names
// the dimension that does not fit.
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
  job.id = kJobIdPrefix + journal.name.substr(sizeof(kJournalPrefix) - 1) +
           "." + std::to_string(journal.next_job++);
  job.log = journal.name;
  job.spec = std::move(spec);
  job.reply = arrived.reply;
  job.arrived = context.now();
  job.tasks.resize(job.spec.count);
  job.open = job.spec.count;
  const std::string id = job.id;
  context.ScheduleAfter(kAcceptTimeout, TimerKind::kJobDeadline, id);
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

void RefuseJob(Context& context,
               const std::string& id,
               const Verdict& verdict) {
  Job* job = FindJob(context, id);
  if (job == nullptr) {
    return;
  }
  ++context.state().counters.answers[verdict.index()];
  context.Answer(job->reply, WorkAnswer{.id = id, .verdict = verdict});
  context.state().jobs.jobs.erase(context.state().jobs.jobs.find(id));
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
    context.state().jobs.queued_tasks += job->spec.count;
    if (job->spec.deadline > Duration(0)) {
      context.ScheduleAt(job->arrived + job->spec.deadline,
                         TimerKind::kJobDeadline, id);
    }
    QueueJob(context, *job);
    return;
  }
  if (has_key) {
    SettleClaim(context, job->spec.team, job->spec.key, id,
                ClaimState::kReleased, "");
  }
  if (outcome == AppendOutcome::kUnknown) {
    // The record may have been written. The erase record, appended on a
    // best-effort basis, keeps the journal's next writer from running the job.
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
      ApplyLedgerProgress(
          context, job->log,
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

}  // namespace burdockrock
