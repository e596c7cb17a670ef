#include "engine/jobs/gang_bookings.h"

#include <algorithm>
#include <string>
#include <utility>

#include "engine/jobs/job_runs.h"
#include "engine/jobs/job_table.h"
#include "engine/limits.h"
#include "engine/members/digests.h"
#include "engine/workers/service_workers.h"
#include "model/worker_incarnation.h"

namespace burdockrock::engine {

namespace {

// From when the step could run to now, in milliseconds.
std::string SinceReady(const Context& context, const StepRun& step) {
  return std::to_string(step.ready_at == kForever
                            ? 0
                            : ToMilliseconds(context.now - step.ready_at));
}

}  // namespace

bool IsOnlyBooked(const Job& job, const StepRun& step, const Task& task) {
  // A run of a former owner may have begun.
  return task.phase == TaskPhase::kOffered && task.run == step.gang_run &&
         task.run != step.gang_started_run && IsRunOfThisOwner(job, task.run);
}

bool IsBeingBooked(const Job& job, const StepRun& step) {
  return std::any_of(step.tasks.begin(), step.tasks.end(), [&](const Task& it) {
    return IsOnlyBooked(job, step, it);
  });
}

bool WasNeverStarted(const Job& job,
                     const StepSpec& spec,
                     const StepRun& step,
                     std::uint64_t run) {
  return spec.gang && IsRunOfThisOwner(job, run) && run > step.gang_started_run;
}

bool IsOfGivenUpBooking(const Job& job,
                        const StepSpec& spec,
                        const Task& task,
                        std::uint64_t run,
                        const std::string& worker) {
  return spec.gang && run == task.run && IsRunOfThisOwner(job, run) &&
         !task.worker.empty() && WorkerIdOf(worker) != WorkerIdOf(task.worker);
}

void NoteBooked(Context& context, Task& task) {
  task.booked = true;
  task.booked_at = context.now;
  task.last_update = context.now;
  context.state.placement_due = true;
}

bool IsOwnerUnresponsive(const Context& context, const std::string& worker) {
  const auto view = context.state.view.find(worker);
  return view != context.state.view.end() &&
         context.state.unresponsive_members.unresponsive.contains(
             view->second.owner);
}

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
      OnRoomChanged(it);
    }
  }
  RequestRoomUpdate(context, worker);
}

void LogBackedOff(Context& context,
                  Job& job,
                  const TaskName& name,
                  BackOff back_off,
                  const char* cause) {
  StepRun& step = StepAt(job, name.occurrence, name.step);
  std::uint64_t& logged_run = back_off == BackOff::kOne
                                  ? step.gang_rebooked_run
                                  : step.gang_backed_off_run;
  if (std::exchange(logged_run, step.gang_run) == step.gang_run) {
    return;
  }
  const auto booked = std::count_if(step.tasks.begin(), step.tasks.end(),
                                    [](const Task& it) { return it.booked; });
  context.Log(
      EventNumber::kGangBackedOff,
      {{"job", job.id},
       {"step", std::to_string(name.step)},
       {"run", std::to_string(step.gang_run)},
       {"task", std::to_string(name.index)},
       {"cause", cause},
       {"given_up", back_off == BackOff::kOne ? "one" : "all"},
       {"started", step.gang_started_run == step.gang_run ? "yes" : "no"},
       {"booked", std::to_string(booked)},
       {"tasks", std::to_string(step.tasks.size())},
       {"ready_ms", SinceReady(context, step)}});
}

void ReleaseBookings(Context& context,
                     Job& job,
                     const TaskName& name,
                     const char* cause) {
  StepRun& step = StepAt(job, name.occurrence, name.step);
  LogBackedOff(context, job, name, BackOff::kAll, cause);
  for (std::uint32_t it = 0; it < step.tasks.size(); ++it) {
    Task& task = step.tasks[it];
    if (IsOnlyBooked(job, step, task)) {
      TaskName member = name;
      member.index = it;
      SendStop(context, job, member, task.worker, task.run);
      Requeue(context, task, Duration(0));
    }
  }
}

// Without a start command nothing runs for a booking, so giving up a booking
// that got no answer is safe, and a gang need not wait for a worker that is cut
// off.
void ExpireBooking(Context& context,
                   Job& job,
                   const TaskName& name,
                   Task& task) {
  if (!job.spec.steps[name.step].gang ||
      !IsOnlyBooked(job, StepAt(job, name.occurrence, name.step), task)) {
    return;
  }
  const Time seen = std::max(task.since, task.booked_at);
  const bool unresponsive =
      !task.booked && IsOwnerUnresponsive(context, task.worker);
  if (!HasPassed(context.now, seen,
                 unresponsive ? kOfferRetryDelay : kBookingTimeout)) {
    return;
  }
  if (!task.booked) {
    CloseWorkersOfOwner(context, task.worker);
  }
  LogBackedOff(context, job, name, BackOff::kOne, "unanswered");
  SendStop(context, job, name, task.worker, task.run);
  Requeue(context, task, Duration(0));
}

}  // namespace burdockrock::engine
