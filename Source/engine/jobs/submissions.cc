#include "engine/jobs/submissions.h"

#include <utility>
#include <vector>

#include <fmt/format.h>

#include "engine/jobs/caller_requests.h"
#include "engine/jobs/job_progress.h"
#include "engine/jobs/job_standing.h"
#include "engine/jobs/job_table.h"
#include "engine/jobs/size_check.h"
#include "engine/members/membership.h"
#include "engine/members/planned_stop.h"
#include "engine/records/catalog.h"
#include "engine/records/record_size.h"
#include "engine/records/record_writer.h"
#include "engine/teams/access_rule.h"
#include "engine/teams/admission.h"
#include "engine/teams/entitlement.h"

namespace burdockrock::engine {

namespace {

// Sent with refusals. A store outage usually lasts longer, but another entry
// instance may still reach the store.
constexpr Duration kRetryAfter = milliseconds(1000);

void Answer(Context& context, std::uint64_t call, CallerAnswer answer) {
  context.Emit(AnswerCaller{.call = call, .answer = std::move(answer)});
}

void RefuseOverload(Context& context, const PendingCallerQuery& caller) {
  const AdmissionRefusal& refusal = *caller.refusal;
  const std::string& team = *caller.team;
  const char* const cause = RefusalText(RefusalCause::kOverloaded);
  ++context.state.totals.refused;
  ++context.state.arrivals[team].refused;
  context.Log(
      EventNumber::kRequestRefused,
      {{"job", caller.job},
       {"team", team},
       {"wait_ms", std::to_string(ToMilliseconds(refusal.wait))},
       {"retry_after_ms", std::to_string(ToMilliseconds(refusal.retry_after))},
       {"cause", cause}});
  Answer(context, caller.call,
         Unavailable{.cause = RefusalCause::kOverloaded,
                     .detail = fmt::format(
                         "{}; this submission is not accepted", cause),
                     .retry_after = refusal.retry_after});
}

// Refuses the job unless another entry instance has accepted it: a caller whose
// first submission was not answered sends it again.
void RefuseIfNew(Context& context,
                 std::uint64_t call,
                 const std::string& id,
                 const std::string& team,
                 const AdmissionRefusal& refusal) {
  PendingCallerQuery caller{.call = call,
                            .query = CallerQuery::kSubmit,
                            .job = id,
                            .team = team,
                            .refusal = refusal,
                            .since = context.now,
                            .deadline = context.now + kCallerQueryTimeout,
                            .read_from = context.now};
  if (!AnswerRefused(context, caller)) {
    context.state.callers.emplace(++context.state.last_query,
                                  std::move(caller));
  }
}

void Create(Context& context,
            std::uint64_t call,
            const std::string& id,
            const QueuePolicy& queue,
            const std::string& team,
            bool excess,
            JobSpec spec) {
  Job job = MakeJob(id, std::move(spec), queue.name);
  job.team = team;
  job.excess = excess;
  SetFirstStanding(job);
  CountArrival(context, team, excess);
  job.created = context.now;
  job.accepted_ms = context.wall_ms;
  job.submit_waiters.push_back(call);
  QueueCreation(context, job);
  context.state.active.insert(id);
  context.state.jobs.emplace(id, std::move(job));
}

void TimeOutSubmitWaiters(Context& context, Job& job) {
  for (const std::uint64_t it : std::exchange(job.submit_waiters, {})) {
    context.Log(EventNumber::kQuestionUnanswered, {{"job", job.id}});
    Answer(context, it, OutcomeUnknown{.detail = "the store has not answered"});
  }
}

}  // namespace

void OnSubmit(Context& context,
              std::uint64_t call,
              const std::string& id,
              const QueuePolicy& queue,
              const std::string& team,
              JobSpec spec) {
  ++context.state.totals.submitted;
  if (Job* job = FindJob(context.state, id)) {
    if (!MayAccess(job->team, team)) {
      return Answer(context, call, AccessDenied{});
    }
    if (job->stored) {
      return Answer(context, call, JobAccepted{});
    }
    job->submit_waiters.push_back(call);
    return;
  }
  if (context.state.stop.requested) {
    return Refuse(context, call, id, RefusalCause::kStopping);
  }
  if (!IsRegistered(context.state) || !context.state.store.healthy) {
    return Refuse(context, call, id, RefusalCause::kStoreUnavailable);
  }
  auto fault = CheckSpec(spec);
  if (!fault) {
    fault = CheckStoredSize(spec, context.state.options.bounds);
  }
  if (!fault) {
    fault = CheckSizes(context.state, spec, queue.service);
  }
  if (!fault) {
    fault = CheckGangs(spec, CapOf(context.state.configuration, team));
  }
  if (fault) {
    context.Log(
        EventNumber::kMalformedRequest,
        {{"job", id}, {"field", fault->path}, {"problem", fault->problem}});
    return Answer(context, call, BadRequest{.fault = *fault});
  }
  const bool excess = IsDeferrable(spec) && IsExcess(context, team);
  if (const auto refusal =
          CheckAdmission(context, id, spec, queue, team, excess)) {
    return RefuseIfNew(context, call, id, team, *refusal);
  }
  Create(context, call, id, queue, team, excess, std::move(spec));
}

void Refuse(Context& context,
            std::uint64_t call,
            const std::string& job,
            RefusalCause cause) {
  ++context.state.totals.refused;
  context.Log(EventNumber::kRequestRefused,
              {{"job", job}, {"cause", RefusalText(cause)}});
  Answer(context, call,
         Unavailable{.cause = cause,
                     .detail = RefusalText(cause),
                     .retry_after = kRetryAfter});
}

bool AnswerRefused(Context& context, PendingCallerQuery& caller) {
  Job* job = FindJob(context.state, caller.job);
  if (job != nullptr && !MayAccess(job->team, *caller.team)) {
    Answer(context, caller.call, AccessDenied{});
    return true;
  }
  if (job != nullptr && !job->stored) {
    job->submit_waiters.push_back(caller.call);
    return true;
  }
  const CatalogEntry& entry = context.state.catalog[caller.job];
  if (job != nullptr || entry.final_state || entry.record) {
    Answer(context, caller.call, JobAccepted{});
    return true;
  }
  if (entry.absent && entry.known_from >= caller.read_from) {
    RefuseOverload(context, caller);
    return true;
  }
  if (!entry.reading_record || entry.read_at < caller.read_from) {
    RequestRecord(context, caller.job);
  }
  return false;
}

void DriveSubmitWaiters(Context& context) {
  const bool store_usable =
      context.state.store.healthy && IsRegistered(context.state);
  const bool stop_is_due = context.state.stop.requested &&
                           context.now >= StopDeadline(context.state);
  std::vector<std::string> withdrawn;
  for (const std::string& id : context.state.active) {
    Job& job = context.state.jobs.at(id);
    if (job.stored || job.submit_waiters.empty()) {
      continue;
    }
    if (!store_usable && WithdrawChange(context, ChangeKind::kCreateJob, id)) {
      for (const std::uint64_t it : job.submit_waiters) {
        Refuse(context, it, id,
               context.state.stop.requested ? RefusalCause::kStopping
                                            : RefusalCause::kStoreUnavailable);
      }
      withdrawn.push_back(id);
    } else if (stop_is_due ||
               HasPassed(context.now, job.created, kSubmitTimeout)) {
      TimeOutSubmitWaiters(context, job);
    }
  }
  for (const std::string& it : withdrawn) {
    Job& job = context.state.jobs.at(it);
    AnswerStatusWaiters(context, job, true);
    const std::vector<PendingCaller> waiters = std::move(job.cancel_waiters);
    context.state.active.erase(it);
    context.state.jobs.erase(it);
    RedirectCancelWaiters(context, it, waiters);
  }
}

}  // namespace burdockrock::engine
