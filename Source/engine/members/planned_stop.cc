#include "engine/members/planned_stop.h"

#include <algorithm>

#include "engine/jobs/caller_requests.h"
#include "engine/jobs/task_handover.h"
#include "engine/members/membership.h"
#include "engine/members/stop_handover.h"
#include "engine/workers/run_handover.h"

namespace burdockrock::engine {

namespace {

// Time for storing job progress. The new owners of the jobs query the workers
// for progress that is not stored by then.
constexpr Duration kFlushTimeout = milliseconds(1200);
// Time after the hand-over in which other members claim the workers and this
// instance still answers late messages.
constexpr Duration kHandOverPeriod = milliseconds(800);

// Reserved at the end of the grace, before the process is killed, for requests
// that still arrive on open connections and for sending the last answers. At
// most half of the grace.
constexpr Duration kFinalAnswerReserve = milliseconds(2000);

bool IsFlushed(const State& state) {
  return state.writer.queue.empty() && state.writer.in_flight.empty() &&
         CountOpenRequests(state) == OpenRequests();
}

// Makes the store writes of pending job progress due at once.
void MakeProgressWritesDue(State& state) {
  for (const std::string& id : state.active) {
    Job& job = state.jobs.at(id);
    job.urgent_write = job.urgent_write || job.version > job.stored_version;
  }
}

// Adds the numbers of pending requests, to help to find one without an answer.
void LogStage(Context& context,
              EventNumber number,
              std::vector<LogField> fields) {
  const OpenRequests open = CountOpenRequests(context.state);
  fields.push_back({"questions", std::to_string(open.queries)});
  fields.push_back({"submissions", std::to_string(open.submissions)});
  fields.push_back({"cancels", std::to_string(open.cancels)});
  fields.push_back({"states", std::to_string(open.states)});
  context.Log(number, std::move(fields));
}

}  // namespace

void BeginStop(Context& context) {
  StopState& stop = context.state.stop;
  if (stop.requested) {
    return;
  }
  stop.requested = true;
  stop.requested_at = context.now;
  stop.stage_since = context.now;
  LogStage(context, EventNumber::kDrainStarted,
           {{"jobs", std::to_string(context.state.active.size())},
            {"workers", std::to_string(context.state.owned.size())}});
  MakeProgressWritesDue(context.state);
}

Time StopDeadline(const State& state) {
  const Duration grace = state.options.bounds.grace;
  return state.stop.requested_at + grace -
         std::min(kFinalAnswerReserve, grace / 2);
}

void DriveStop(Context& context) {
  StopState& stop = context.state.stop;
  if (!stop.requested || stop.ended) {
    return;
  }
  const bool overdue = context.now >= StopDeadline(context.state);
  const bool late =
      overdue || HasPassed(context.now, stop.stage_since, kFlushTimeout);
  if (!stop.released && (IsFlushed(context.state) || late)) {
    LogStage(context, EventNumber::kHandedOver,
             {{"jobs", std::to_string(context.state.active.size())}});
    HandOverKnownWorkers(context);
    HandOverTasks(context);
    Deregister(context);
    HandOverRuns(context);
    HandOverPendingCallers(context);
    stop.stage_since = context.now;
    return;
  }
  if (stop.released) {
    HandOverTasks(context);
  }
  if (stop.released &&
      (overdue || HasPassed(context.now, stop.stage_since, kHandOverPeriod))) {
    stop.ended = true;
    LogStage(context, EventNumber::kDrainComplete, {});
    context.Emit(EndProcess{});
  }
}

}  // namespace burdockrock::engine
