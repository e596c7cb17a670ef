#include "engine/jobs/gang_bookings.h"

#include <algorithm>
#include <string>

#include "engine/jobs/job_runs.h"
#include "engine/jobs/job_table.h"
#include "engine/limits.h"
#include "engine/members/digests.h"

namespace burdockrock::engine {

namespace {

// Treats all workers of an owner that did not answer as not accepting until it
// answers, because they would be chosen again at once.
void CloseWorkersOfOwner(Context& context, const std::string& worker) {
  const auto view = context.state.view.find(worker);
  if (view == context.state.view.end() || view->second.owner.empty() ||
      view->second.owner == context.self()) {
    return;
  }
  const std::string owner = view->second.owner;
  for (auto& [id, it] : context.state.view) {
    if (it.owner == owner) {
      it.accepting = false;
    }
  }
  RequestRoomUpdate(context, worker);
}

// Members are booked first and started together, so a run does not begin before
// this owner has commanded its start. A run of a former owner may have begun.
bool IsOnlyBooked(Job& job, const TaskName& name, const Task& task) {
  const StepRun& step = StepAt(job, name.occurrence, name.step);
  return job.spec.steps[name.step].gang && task.phase == TaskPhase::kOffered &&
         task.run == step.gang_run && task.run != step.gang_started_run &&
         IsRunOfThisOwner(job, task.run);
}

// From when the step could run to now, in milliseconds.
std::string SinceReady(const Context& context, const StepRun& step) {
  return std::to_string(step.ready_at == kForever
                            ? 0
                            : ToMilliseconds(context.now - step.ready_at));
}

}  // namespace

void LogBackedOff(Context& context,
                  Job& job,
                  const TaskName& name,
                  const char* cause) {
  const StepRun& step = StepAt(job, name.occurrence, name.step);
  if (step.gang_run == 0 || step.gang_backed_off_run == step.gang_run) {
    return;  // each run is logged once
  }
  StepAt(job, name.occurrence, name.step).gang_backed_off_run = step.gang_run;
  const auto booked = std::count_if(step.tasks.begin(), step.tasks.end(),
                                    [](const Task& it) { return it.booked; });
  context.Log(
      EventNumber::kGangBackedOff,
      {{"job", job.id},
       {"step", std::to_string(name.step)},
       {"run", std::to_string(step.gang_run)},
       {"task", std::to_string(name.index)},
       {"cause", cause},
       {"started", step.gang_started_run == step.gang_run ? "yes" : "no"},
       {"booked", std::to_string(booked)},
       {"tasks", std::to_string(step.tasks.size())},
       {"ready_ms", SinceReady(context, step)}});
}

// Without a start command nothing runs for a booking, so giving up a booking
// that got no answer is safe, and a gang need not wait for a worker that is cut
// off.
void ExpireBooking(Context& context,
                   Job& job,
                   const TaskName& name,
                   Task& task) {
  if (!IsOnlyBooked(job, name, task) ||
      !HasPassed(context.now, task.since, kBookingTimeout)) {
    return;
  }
  if (!task.booked) {
    CloseWorkersOfOwner(context, task.worker);
  }
  LogBackedOff(context, job, name, "unanswered");
  SendStop(context, job, name, task.worker, task.run);
  Requeue(context, task, Duration(0));
}

}  // namespace burdockrock::engine
