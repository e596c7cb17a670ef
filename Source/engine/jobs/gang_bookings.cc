#include "engine/jobs/gang_bookings.h"

#include <string>

#include "engine/jobs/job_runs.h"
#include "engine/jobs/job_table.h"
#include "engine/limits.h"
#include "engine/members/digests.h"

namespace burdockrock::engine {

namespace {

// Takes the workers of an owner that did not answer as closed until it does, as
// they would be chosen again at once.
void DoubtOwnerOf(Context& context, const std::string& worker) {
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
  DoubtRoom(context, worker);
}

// Members are booked first and started together, so nothing of a run begins
// before this owner has ordered its start. Runs of a former owner may.
bool IsOnlyBooked(Job& job, const TaskName& name, const Task& task) {
  const StepRun& step = StepAt(job, name.occurrence, name.step);
  return job.spec.steps[name.step].gang && task.phase == TaskPhase::kOffered &&
         task.run == step.gang_run && task.run != step.gang_started &&
         IsRunOfThisOwner(job, task.run);
}

}  // namespace

// Nothing runs for a booking without an answer, so that a gang need not wait
// for a worker that is cut off.
void GiveUpBooking(Context& context,
                   Job& job,
                   const TaskName& name,
                   Task& task) {
  if (!IsOnlyBooked(job, name, task) ||
      !HasPassed(context.now, task.since, kBookingTimeout)) {
    return;
  }
  if (!task.booked) {
    DoubtOwnerOf(context, task.worker);
  }
  SendStop(context, job, name, task.worker, task.run);
  Requeue(context, task, Duration(0));
}

}  // namespace burdockrock::engine
