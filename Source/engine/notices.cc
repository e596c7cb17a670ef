#include "engine/notices.h"

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
#include "engine/records/watches.h"
#include "engine/workers/lease_bounds.h"
#include "engine/workers/worker_list.h"
#include "engine/workers/worker_owner.h"

namespace burdockrock::engine {

namespace {

// Between two checks of lasting conditions.
constexpr Duration kRound = milliseconds(500);
// Between two checks whether a cancelled job's last task has ended; the
// reported time is too long by this at most.
constexpr Duration kCancelLook = milliseconds(25);
// Users are promised that nothing of a cancelled job is started any more this
// long after the acknowledgement; a run that was started until then has the
// worker's time to stop.
constexpr Duration kCancelledStarts = milliseconds(3000);
// Between two lines with the totals of the calls for advice.
constexpr Duration kAdviceTold = milliseconds(10'000);
// Things named in one line; how many there are is said beside them.
constexpr std::size_t kNamed = 3;

std::string Milliseconds(Duration span) {
  return std::to_string(ToMilliseconds(span));
}

std::string OwnerName(const Context& context, const std::string& worker) {
  const std::string owner = OwnerOfWorker(context, worker);
  return owner.empty() ? "-" : owner;
}

// WORKER@OWNER:MS with the time since the owner's last report of it.
std::string DescribeUnheard(const Context& context, const std::string& id) {
  const auto view = context.state.view.find(id);
  const bool told =
      view != context.state.view.end() && !view->second.owner.empty();
  const ListedWorker* listed = FindWorker(context.state, id);
  const bool unlisted = listed != nullptr && !listed->listed;
  return fmt::format(
      "{}@{}:{}{}", id, OwnerName(context, id),
      told ? Milliseconds(context.now - view->second.heard) : "-",
      unlisted ? ":unlisted" : "");
}

// The first few by the time of their last report.
std::string DescribeUnheard(const Context& context, const Job& job) {
  std::vector<std::pair<Time, std::string>> workers;
  for (const std::uint32_t number : job.uncovered.Numbers()) {
    const std::string& it = context.state.recovery.numbers.NameOf(number);
    const auto view = context.state.view.find(it);
    const bool told = view != context.state.view.end();
    workers.emplace_back(told ? view->second.heard : Time::min(), it);
  }
  const std::size_t n = std::min(kNamed, workers.size());
  std::partial_sort(workers.begin(),
                    workers.begin() + static_cast<std::ptrdiff_t>(n),
                    workers.end());
  std::string text;
  for (std::size_t it = 0; it < n; ++it) {
    text += (text.empty() ? "" : " ") +
            DescribeUnheard(context, workers[it].second);
  }
  return text;
}

void LookAtRecoveries(Context& context) {
  Reminders& reminders = context.state.notices.recoveries;
  for (const std::string& id : context.state.active) {
    const Job& job = context.state.jobs.at(id);
    if (job.recovering && reminders.IsDue(id, context.now, job.created)) {
      context.Log(
          EventNumber::kJobRecovering,
          {{"job", id},
           {"for_ms", Milliseconds(context.now - job.created)},
           {"lists", ListsAreRead(context.state) ? "read" : "unread"},
           {"registered_ms",
            Milliseconds(context.now - context.state.members.registered_at)},
           {"members", std::to_string(job.unheard.size())},
           {"unheard", std::to_string(job.uncovered.size())},
           {"workers", DescribeUnheard(context, job)}});
    }
  }
  reminders.EndRound();
}

// What another owner may have renewed there has to run out before the worker
// counts as gone; a claim that was refused is tried again with a higher fence,
// which the store gives.
void LookAtClaims(Context& context) {
  Reminders& reminders = context.state.notices.claims;
  for (const auto& [id, worker] : context.state.owned) {
    const Time leases_end = ForeignLeasesEnd(context, worker);
    const bool waits = IsUnresponsive(worker) && leases_end > context.now;
    if (!waits ||
        !reminders.IsDue(id, context.now, worker.unresponsive_since)) {
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
  reminders.EndRound();
}

void LookAtStops(Context& context) {
  Reminders& reminders = context.state.notices.stops;
  for (const auto& [id, worker] : context.state.owned) {
    std::size_t n = 0;
    std::pair<Time, std::string> oldest{kForever, ""};
    for (const auto& [task, run] : worker.runs) {
      if (run.phase == RunPhase::kStopping && !run.stop_answered) {
        ++n;
        oldest = std::min(oldest, {run.since, task});
      }
    }
    if (n == 0 || !reminders.IsDue(id, context.now, oldest.first)) {
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
  reminders.EndRound();
}

// Logs why tasks wait: for room, for tickets or for an answer.
void LookAtWaits(Context& context) {
  Reminders& reminders = context.state.notices.waits;
  for (const ReadyStep& it : ReadySteps(context)) {
    const Time since = OldestWait(it);
    const std::string step = StepName(
        {.job = it.job->id, .occurrence = it.occurrence, .step = it.step});
    if (since == kForever || !reminders.IsDue(step, context.now, since)) {
      continue;
    }
    const StepWait wait = WaitOf(context, it);
    context.Log(EventNumber::kTasksWait,
                {{"step", step},
                 {"cause", WaitCauseName(wait.cause)},
                 {"for_ms", Milliseconds(context.now - since)},
                 {"tasks", std::to_string(wait.tasks)},
                 {"room", std::to_string(wait.room)},
                 {"ticketed", std::to_string(wait.ticketed)},
                 {"tickets", std::to_string(wait.tickets)},
                 {"denied", std::to_string(wait.denied)},
                 {"asked_ms", Milliseconds(wait.asked)}});
  }
  reminders.EndRound();
}

// CALLS:NAMES:ALLOWED:STARTS:MS:UNUSED:GIVEN_UP
std::string DescribeAdvice(const AdviceCount& count) {
  return fmt::format("{}:{}:{}:{}:{}:{}:{}", count.calls, count.names,
                     count.allowed, count.starts, ToMilliseconds(count.time),
                     count.unused, count.given_up);
}

// Logs which calls take the service's time, and which of them lead to starts.
void TellAdvice(Context& context) {
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

// TASK/RUN@WORKER@OWNER of the first few.
std::string DescribeRuns(const Context& context,
                         const std::vector<OpenRun>& runs) {
  std::string text;
  for (std::size_t it = 0; it < std::min(kNamed, runs.size()); ++it) {
    const OpenRun& run = runs[it];
    text += fmt::format("{}{}/{}@{}@{}", text.empty() ? "" : " ",
                        ToString(run.task), run.run, run.worker,
                        OwnerName(context, run.worker));
  }
  return text;
}

void LookAtCancel(Context& context, const Job& job, Time acknowledged) {
  const Duration bound =
      kCancelledStarts + context.state.options.bounds.stop_timeout;
  const Duration after = context.now - acknowledged;
  const std::vector<OpenRun> runs = OpenRunsOf(job);
  const bool over = runs.empty() && !job.recovering;
  if (over && after <= bound) {
    context.Log(EventNumber::kCancelOver,
                {{"job", job.id}, {"after_ms", Milliseconds(after)}});
  } else if (over ||
             (after > bound && context.state.notices.cancels.IsDue(
                                   job.id, context.now, acknowledged))) {
    context.Log(EventNumber::kCancelLate,
                {{"job", job.id},
                 {"after_ms", Milliseconds(after)},
                 {"out", std::to_string(runs.size())},
                 {"runs", DescribeRuns(context, runs)}});
  }
  if (over) {
    context.Emit(NoteSpan{.span = MeasuredSpan::kCancel, .took = after});
    context.state.notices.cancelled.erase(job.id);
  }
}

void LookAtCancels(Context& context) {
  // Erased from within.
  const std::map<std::string, Time> cancelled = context.state.notices.cancelled;
  for (const auto& [id, acknowledged] : cancelled) {
    if (const Job* job = FindJob(context.state, id)) {
      LookAtCancel(context, *job, acknowledged);
    } else {
      context.state.notices.cancelled.erase(id);
    }
  }
  context.state.notices.cancels.EndRound();
}

}  // namespace

void DriveNotices(Context& context) {
  const bool stopping = context.state.stop.asked;
  for (LogLine& it : context.state.end_log.TakeDone(context.now, stopping)) {
    context.Log(it.number, std::move(it.fields));
  }
  NoticesState& notices = context.state.notices;
  if (!notices.cancelled.empty() &&
      HasPassed(context.now, notices.cancels_seen_at, kCancelLook)) {
    notices.cancels_seen_at = context.now;
    LookAtCancels(context);
  }
  if (HasPassed(context.now, notices.advice_told_at, kAdviceTold)) {
    notices.advice_told_at = context.now;
    TellAdvice(context);
  }
  if (!HasPassed(context.now, notices.seen_at, kRound)) {
    return;
  }
  notices.seen_at = context.now;
  LookAtRecoveries(context);
  LookAtClaims(context);
  LookAtStops(context);
  LookAtWaits(context);
}

void NoteRecovered(Context& context, const Job& job) {
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

void NoteCancelAcknowledged(Context& context, const Job& job) {
  if (job.stored_state != JobState::kCancelled) {
    return;
  }
  const std::vector<OpenRun> runs = OpenRunsOf(job);
  context.Log(EventNumber::kCancelAcknowledged,
              {{"job", job.id},
               {"after_ms", Milliseconds(context.now - job.ended_at)},
               {"out", std::to_string(runs.size())}});
  context.state.notices.cancelled.emplace(job.id, context.now);
}

}  // namespace burdockrock::engine
