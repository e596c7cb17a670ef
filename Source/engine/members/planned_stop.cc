#include "engine/members/planned_stop.h"

#include <algorithm>

#include "engine/jobs/questions.h"
#include "engine/members/membership.h"

namespace burdockrock::engine {

namespace {

// Progress that can't be stored in this time is learned from the workers by
// whoever adopts the jobs.
constexpr Duration kFlushTime = milliseconds(1200);
// The others claim the workers meanwhile, while late messages are answered.
constexpr Duration kLinger = milliseconds(800);

// Kept before the process is killed, for what still comes on open connections
// and for the last answers to leave; half of the grace where that is short.
constexpr Duration kLastAnswers = milliseconds(2000);

bool IsFlushed(const State& state) {
  return state.writer.queue.empty() && state.writer.in_flight.empty() &&
         CountOpenRequests(state) == OpenRequests();
}

// Progress is stored at once instead of at its time.
void HurryProgress(State& state) {
  for (const std::string& id : state.active) {
    Job& job = state.jobs.at(id);
    job.urgent_write = job.urgent_write || job.version > job.stored_version;
  }
}

// With the requests that wait, for whoever looks for one without an answer.
void LogStage(Context& context,
              EventNumber number,
              std::vector<LogField> fields) {
  const OpenRequests open = CountOpenRequests(context.state);
  fields.push_back({"questions", std::to_string(open.questions)});
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
  HurryProgress(context.state);
}

Time StopDeadline(const State& state) {
  const Duration grace = state.options.bounds.grace;
  return state.stop.requested_at + grace - std::min(kLastAnswers, grace / 2);
}

void DriveStop(Context& context) {
  StopState& stop = context.state.stop;
  if (!stop.requested || stop.ended) {
    return;
  }
  const bool overdue = context.now >= StopDeadline(context.state);
  const bool late =
      overdue || HasPassed(context.now, stop.stage_since, kFlushTime);
  if (!stop.released && (IsFlushed(context.state) || late)) {
    LogStage(context, EventNumber::kHandedOver,
             {{"jobs", std::to_string(context.state.active.size())}});
    Deregister(context);
    HandOverAskers(context);
    stop.stage_since = context.now;
    return;
  }
  if (stop.released &&
      (overdue || HasPassed(context.now, stop.stage_since, kLinger))) {
    stop.ended = true;
    LogStage(context, EventNumber::kDrainComplete, {});
    context.Emit(EndProcess{});
  }
}

}  // namespace burdockrock::engine
