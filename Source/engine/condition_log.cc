#include "engine/condition_log.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "engine/jobs/job_runs.h"
#include "engine/jobs/job_table.h"
#include "engine/jobs/open_work.h"
#include "engine/jobs/placing.h"
#include "engine/jobs/step_waits.h"
#include "engine/jobs/unseen_workers.h"
#include "engine/records/watches.h"
#include "engine/workers/lease_bounds.h"
#include "engine/workers/worker_list.h"
#include "engine/workers/worker_owner.h"

namespace burdockrock::engine {

namespace {

// Between two checks of lasting conditions.
constexpr Duration kCheckInterval = milliseconds(500);
// Between two checks of whether the last task of a cancelled job has ended. The
// reported time is too long by at most this.
constexpr Duration kCancelCheckInterval = milliseconds(25);
// Users are guaranteed that no task of a cancelled job starts later than this
// after the acknowledgement. A run that started before has the worker's stop
// timeout to end.
constexpr Duration kMaxStartAfterCancel = milliseconds(3000);
// Between two lines with the totals of the calls for advice.
constexpr Duration kAdviceLogInterval = milliseconds(10'000);
// Items named in one line; another field has their total number.
constexpr std::size_t kMaxNamed = 3;

std::string Milliseconds(Duration span) {
  return std::to_string(ToMilliseconds(span));
}

std::string OwnerName(const Context& context, const std::string& worker) {
  const std::string owner = OwnerOfWorker(context, worker);
  return owner.empty() ? "-" : owner;
}

// WORKER@OWNER:MS, with the time since the last report of the owner.
std::string DescribeUnreported(const Context& context, const std::string& id) {
  const auto view = context.state.view.find(id);
  const bool reported =
      view != context.state.view.end() && !view->second.owner.empty();
  const ListedWorker* listed = FindWorker(context.state, id);
  const bool unlisted = listed != nullptr && !listed->listed;
  return fmt::format(
      "{}@{}:{}{}", id, OwnerName(context, id),
      reported ? Milliseconds(context.now - view->second.updated_at) : "-",
      unlisted ? ":unlisted" : "");
}

// The workers that were reported the longest ago.
std::string DescribeUnreported(const Context& context, const Job& job) {
  std::vector<std::pair<Time, std::string>> workers;
  for (const std::uint32_t number : job.unreported_workers.Numbers()) {
    const std::string& it = context.state.recovery.numbers.NameOf(number);
    const auto view = context.state.view.find(it);
    const bool reported = view != context.state.view.end();
    workers.emplace_back(reported ? view->second.updated_at : Time::min(), it);
  }
  const std::size_t n = std::min(kMaxNamed, workers.size());
  std::partial_sort(workers.begin(),
                    workers.begin() + static_cast<std::ptrdiff_t>(n),
                    workers.end());
  std::string text;
  for (std::size_t it = 0; it < n; ++it) {
    text += (text.empty() ? "" : " ") +
            DescribeUnreported(context, workers[it].second);
  }
  return text;
}

void LogRecoveries(Context& context) {
  LogRepeatLimiter& limiter = context.state.condition_log.recoveries;
  for (const std::string& id : context.state.active) {
    const Job& job = context.state.jobs.at(id);
    if (job.recovering && limiter.IsDue(id, context.now, job.created)) {
      context.Log(
          EventNumber::kJobRecovering,
          {{"job", id},
           {"for_ms", Milliseconds(context.now - job.created)},
           {"lists", ListsAreRead(context.state) ? "read" : "unread"},
           {"registered_ms",
            Milliseconds(context.now - context.state.members.registered_at)},
           {"members", std::to_string(job.awaited_members.size())},
           {"unheard", std::to_string(job.unreported_workers.size())},
           {"workers", DescribeUnreported(context, job)},
           {"unknown", DescribeUnknown(context)}});
    }
  }
  limiter.EndRound();
}

// Logs claims of workers that do not reply. Such a worker is declared lost only
// when the leases that another owner may have renewed there have expired. A
// refused claim is no such case: it is repeated with a higher fence from the
// store.
void LogClaims(Context& context) {
  LogRepeatLimiter& limiter = context.state.condition_log.claims;
  for (const auto& [id, worker] : context.state.owned) {
    const Time leases_end = ForeignLeasesEnd(context, worker);
    const bool waits = IsUnresponsive(worker) && leases_end > context.now;
    if (!waits || !limiter.IsDue(id, context.now, worker.unresponsive_since)) {
      continue;
    }
    const auto view = context.state.view.find(id);
    const bool known = view != context.state.view.end() &&
                       !view->second.owner.empty() &&
                       view->second.owner != context.self();
    context.Log(
        EventNumber::kClaimWaits,
        {{"worker", id},
         {"owner", known ? view->second.owner : "unknown"},
         {"for_ms", Milliseconds(context.now - worker.unresponsive_since)},
         {"left_ms", Milliseconds(leases_end - context.now)}});
  }
  limiter.EndRound();
}

void LogStops(Context& context) {
  LogRepeatLimiter& limiter = context.state.condition_log.stops;
  for (const auto& [id, worker] : context.state.owned) {
    std::size_t n = 0;
    std::pair<Time, std::string> oldest{kForever, ""};
    for (const auto& [task, run] : worker.runs) {
      if (run.phase == RunPhase::kStopping && !run.stop_answered) {
        ++n;
        oldest = std::min(oldest, {run.since, task});
      }
    }
    if (n == 0 || !limiter.IsDue(id, context.now, oldest.first)) {
      continue;
    }
    context.Log(EventNumber::kStopUnanswered,
                {{"worker", id},
                 {"runs", std::to_string(n)},
                 {"task", oldest.second},
                 {"run", std::to_string(worker.runs.at(oldest.second).run)},
                 {"for_ms", Milliseconds(context.now - oldest.first)},
                 {"silent", IsUnresponsive(worker) ? "yes" : "no"}});
  }
  limiter.EndRound();
}

void AddCapLimit(const std::string& team,
                 const CapLimit& cap,
                 std::vector<LogField>& fields) {
  fields.push_back({"team", team});
  fields.push_back({"limit", cap.dimension});
  fields.push_back({"held", std::to_string(cap.held)});
  fields.push_back({"usable", std::to_string(cap.usable)});
  fields.push_back({"used", std::to_string(cap.used)});
  fields.push_back({"wanted", std::to_string(cap.wanted)});
  fields.push_back({"cap", std::to_string(cap.cap)});
  fields.push_back({"grant", std::to_string(cap.grant)});
  fields.push_back({"cap_state", CapStateName(cap.state)});
  fields.push_back({"taken", std::to_string(cap.taken)});
  fields.push_back({"blocked", std::to_string(cap.blocked)});
  fields.push_back({"told_ms", Milliseconds(cap.since_told)});
  // NUMBER@SENDER:COUNT:MS
  if (cap.refused.count > 0) {
    fields.push_back(
        {"refused_grants",
         fmt::format("{}@{}:{}:{}", cap.refused.last, cap.refused.from,
                     cap.refused.count, Milliseconds(cap.since_refused))});
  }
}

void AddAdvice(const StepWait& wait, std::vector<LogField>& fields) {
  fields.push_back({"reserved", std::to_string(wait.reserved)});
  fields.push_back({"known", std::to_string(wait.known)});
  fields.push_back({"asked", std::to_string(wait.advice.asked)});
  fields.push_back({"refused", std::to_string(wait.advice.refused)});
  fields.push_back({"gone", std::to_string(wait.advice.room_gone)});
  fields.push_back({"place", std::to_string(wait.advice.place)});
  fields.push_back({"unasked_ms", Milliseconds(wait.since_request)});
}

// Logs why tasks wait: for room, for tickets or for a reply.
void LogWaits(Context& context) {
  ConditionLogState& condition_log = context.state.condition_log;
  LogRepeatLimiter& limiter = condition_log.waits;
  condition_log.waiting_steps = 0;
  condition_log.longest_wait = Duration(0);
  for (const ReadyStep& it : ReadySteps(context)) {
    const Time since = OldestWait(context, it);
    if (since != kForever) {
      ++condition_log.waiting_steps;
      condition_log.longest_wait =
          std::max(condition_log.longest_wait, context.now - since);
    }
    const std::string step = StepName(
        {.job = it.job->id, .occurrence = it.occurrence, .step = it.step});
    if (since == kForever || !limiter.IsDue(step, context.now, since)) {
      continue;
    }
    const StepWait wait = WaitOf(context, it);
    std::vector<LogField> fields = {
        {"step", step},
        {"cause", WaitCauseName(wait.cause)},
        {"for_ms", Milliseconds(context.now - since)},
        {"tasks", std::to_string(wait.tasks)},
        {"room", std::to_string(wait.room)},
        {"ticketed", std::to_string(wait.ticketed)},
        {"tickets", std::to_string(wait.tickets)},
        {"denied", std::to_string(wait.denied)},
        {"closed", std::to_string(wait.closed)},
        {"alone", std::to_string(wait.alone)},
        {"asked_ms", Milliseconds(wait.since_advice_check)}};
    if (it.queue->advice) {
      AddAdvice(wait, fields);
    }
    if (it.standing() != Standing::kInTime) {
      fields.push_back({"standing", StandingName(it.standing())});
    }
    if (wait.cause == WaitCause::kQuota) {
      AddCapLimit(it.job->team, wait.cap, fields);
    }
    context.Log(EventNumber::kTasksWait, std::move(fields));
  }
  limiter.EndRound();
}

// Logs members that do not apply what they are granted of a team's cap. The
// grants count as held all the same.
void LogGrants(Context& context) {
  LogRepeatLimiter& limiter = context.state.condition_log.grants;
  for (const auto& [team, account] : context.state.quota.accounts) {
    for (const auto& [member, it] : account.ledger.holders) {
      if (!LeavesGrantsUnapplied(it) ||
          !limiter.IsDue(fmt::format("{}/{}", team, member), context.now,
                         it.unapplied_since)) {
        continue;
      }
      context.Log(EventNumber::kGrantUnapplied,
                  {{"team", team},
                   {"member", member},
                   {"sent", std::to_string(it.grant)},
                   {"applied", std::to_string(it.applied)},
                   {"held", std::to_string(it.held.processors_milli)},
                   {"for_ms", Milliseconds(context.now - it.unapplied_since)}});
    }
  }
  limiter.EndRound();
}

// CALLS:NAMES:ALLOWED:STARTS:MS:UNUSED:GIVEN_UP:ROOM_GONE
std::string DescribeAdvice(const AdviceCount& count) {
  return fmt::format("{}:{}:{}:{}:{}:{}:{}:{}", count.calls, count.names,
                     count.allowed, count.starts, ToMilliseconds(count.time),
                     count.unused, count.given_up, count.room_gone);
}

// Logs which calls use the time of the advice service, and which of them lead
// to starts.
void LogAdviceTotals(Context& context) {
  const AdviceCounts& counts = context.state.totals.advice;
  std::vector<LogField> fields;
  for (const AdviceReason it : kAllAdviceReasons) {
    if (counts[it].calls != 0 || counts[it].given_up != 0) {
      fields.push_back({AdviceReasonName(it), DescribeAdvice(counts[it])});
    }
  }
  if (!fields.empty()) {
    context.Log(EventNumber::kAdviceUsed, std::move(fields));
  }
}

// TASK/RUN@WORKER@OWNER of at most kMaxNamed runs.
std::string DescribeRuns(const Context& context,
                         const std::vector<OpenRun>& runs) {
  std::string text;
  for (std::size_t it = 0; it < std::min(kMaxNamed, runs.size()); ++it) {
    const OpenRun& run = runs[it];
    text += fmt::format("{}{}/{}@{}@{}", text.empty() ? "" : " ",
                        ToString(run.task), run.run, run.worker,
                        OwnerName(context, run.worker));
  }
  return text;
}

void CheckCancel(Context& context, const Job& job, Time acknowledged) {
  const Duration bound =
      kMaxStartAfterCancel + context.state.options.bounds.stop_timeout;
  const Duration after = context.now - acknowledged;
  const std::vector<OpenRun> runs = OpenRunsOf(job);
  const bool over = runs.empty() && !job.recovering;
  if (over && after <= bound) {
    context.Log(EventNumber::kCancelOver,
                {{"job", job.id}, {"after_ms", Milliseconds(after)}});
  } else if (over ||
             (after > bound && context.state.condition_log.cancels.IsDue(
                                   job.id, context.now, acknowledged))) {
    context.Log(EventNumber::kCancelLate,
                {{"job", job.id},
                 {"after_ms", Milliseconds(after)},
                 {"out", std::to_string(runs.size())},
                 {"runs", DescribeRuns(context, runs)}});
  }
  if (over) {
    context.Emit(RecordSpan{.span = MeasuredSpan::kCancel, .took = after});
    context.state.condition_log.cancelled.erase(job.id);
  }
}

void CheckCancels(Context& context) {
  // A copy, as CheckCancel() erases entries.
  const std::map<std::string, Time> cancelled =
      context.state.condition_log.cancelled;
  for (const auto& [id, acknowledged] : cancelled) {
    if (const Job* job = FindJob(context.state, id)) {
      CheckCancel(context, *job, acknowledged);
    } else {
      context.state.condition_log.cancelled.erase(id);
    }
  }
  context.state.condition_log.cancels.EndRound();
}

}  // namespace

void DriveConditionLog(Context& context) {
  const bool stopping = context.state.stop.requested;
  for (LogLine& it : context.state.end_log.TakeDone(context.now, stopping)) {
    context.Log(it.number, std::move(it.fields));
  }
  ConditionLogState& condition_log = context.state.condition_log;
  if (!condition_log.cancelled.empty() &&
      HasPassed(context.now, condition_log.cancels_checked_at,
                kCancelCheckInterval)) {
    condition_log.cancels_checked_at = context.now;
    CheckCancels(context);
  }
  if (HasPassed(context.now, condition_log.advice_logged_at,
                kAdviceLogInterval)) {
    condition_log.advice_logged_at = context.now;
    LogAdviceTotals(context);
  }
  if (!HasPassed(context.now, condition_log.checked_at, kCheckInterval)) {
    return;
  }
  condition_log.checked_at = context.now;
  LogRecoveries(context);
  LogClaims(context);
  LogStops(context);
  LogWaits(context);
  LogGrants(context);
}

void LogRecovered(Context& context, const Job& job) {
  std::size_t to_start = 0;
  for (std::uint32_t k = 0; k < job.occurrences.size(); ++k) {
    const auto& steps = job.occurrences[k].steps;
    for (std::uint32_t s = 0; s < steps.size(); ++s) {
      if (!IsStepReady(job, k, s)) {
        continue;
      }
      to_start += static_cast<std::size_t>(std::count_if(
          steps[s].tasks.begin(), steps[s].tasks.end(), [](const Task& it) {
            return it.phase == TaskPhase::kUnknown ||
                   it.phase == TaskPhase::kWaiting;
          }));
    }
  }
  context.Log(EventNumber::kJobRecovered,
              {{"job", job.id},
               {"after_ms", Milliseconds(context.now - job.created)},
               {"found", std::to_string(OpenRunsOf(job).size())},
               {"to_start", std::to_string(to_start)}});
}

void TrackAcknowledgedCancel(Context& context, const Job& job) {
  if (job.stored_state != JobState::kCancelled) {
    return;
  }
  const std::vector<OpenRun> runs = OpenRunsOf(job);
  context.Log(EventNumber::kCancelAcknowledged,
              {{"job", job.id},
               {"after_ms", Milliseconds(context.now - job.ended_at)},
               {"out", std::to_string(runs.size())}});
  context.state.condition_log.cancelled.emplace(job.id, context.now);
}

}  // namespace burdockrock::engine
