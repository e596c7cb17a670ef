#include "engine/jobs/task_handover.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>

#include "engine/jobs/gang_bookings.h"
#include "engine/jobs/job_table.h"
#include "engine/jobs/task_reservations.h"
#include "engine/members/member_features.h"
#include "engine/members/membership.h"

namespace burdockrock::engine {

namespace {

// The adoption may be late, as while the store is away.
constexpr Duration kHandoverKeptFor = std::chrono::seconds(60);

bool HasNoRun(const Task& task) {
  return task.phase == TaskPhase::kWaiting && !task.copy;
}

// The tasks of the step without a run; nothing if there are none, or if the
// next owner could not tell where else it may start them.
std::optional<HandedStep> StepToHandOver(const StepSpec& spec,
                                         const StepRun& run) {
  HandedStep step;
  bool any_idle = false;
  for (std::uint32_t it = 0; it < run.tasks.size(); ++it) {
    const Task& task = run.tasks[it];
    if (HasNoRun(task)) {
      any_idle = true;
      step.tasks.push_back({.index = it, .checkpoint = task.checkpoint});
    } else if (task.phase != TaskPhase::kDone && spec.gang) {
      return std::nullopt;
    } else if (task.phase != TaskPhase::kDone && spec.spread != 0) {
      if (task.worker.empty() || task.copy) {
        return std::nullopt;
      }
      step.tasks.push_back({.index = it, .worker = task.worker});
    }
  }
  return any_idle ? std::optional(std::move(step)) : std::nullopt;
}

// Without a start command nothing runs for a booking.
void GiveUpBookings(Context& context,
                    Job& job,
                    std::uint32_t occurrence,
                    std::uint32_t step) {
  if (job.spec.steps[step].gang &&
      IsBeingBooked(job, StepAt(job, occurrence, step))) {
    ReleaseBookings(context, job,
                    {.job = job.id, .occurrence = occurrence, .step = step},
                    "stop");
  }
}

// The next owner restores the crashes from the job's record, which does not say
// when they were.
std::vector<HandedCrash> CrashesToHandOver(const Context& context, Job& job) {
  std::vector<HandedCrash> crashes;
  ForEachTask(job, [&](const TaskName& name, const Task& task) {
    if (task.phase != TaskPhase::kDone &&
        task.crashes.runs.size() >= kCrashesBeforeIsolation) {
      crashes.push_back({.occurrence = name.occurrence,
                         .step = name.step,
                         .index = name.index,
                         .ago = context.now - task.crashes.last});
    }
  });
  return crashes;
}

HandedJob JobToHandOver(Context& context, Job& job) {
  HandedJob handed{.job = job.id, .generation = job.generation};
  for (std::uint32_t k = 0; k < job.occurrences.size(); ++k) {
    if (!job.occurrences[k].begun) {
      continue;
    }
    for (std::uint32_t s = 0; s < job.spec.steps.size(); ++s) {
      const StepSpec& spec = job.spec.steps[s];
      if (!spec.lasting) {
        continue;
      }
      GiveUpBookings(context, job, k, s);
      ReleaseReservations(context, job,
                          {.job = job.id, .occurrence = k, .step = s});
      if (auto step = StepToHandOver(spec, StepAt(job, k, s))) {
        step->occurrence = k;
        step->step = s;
        handed.steps.push_back(std::move(*step));
      }
    }
  }
  return handed;
}

void ApplyStep(Context& context, const HandedStep& handed, Job& job) {
  for (const HandedTask& it : handed.tasks) {
    const TaskName name{.job = job.id,
                        .occurrence = handed.occurrence,
                        .step = handed.step,
                        .index = it.index};
    Task* task = FindTask(job, name);
    if (task == nullptr || task->phase != TaskPhase::kUnknown ||
        !job.occurrences[handed.occurrence].begun) {
      continue;
    }
    if (!it.worker.empty()) {
      task->worker = it.worker;
      continue;
    }
    BeginWait(context, job, name, *task);
    task->planned.reset();  // it was not sent
    task->checkpoint = it.checkpoint;
  }
}

void ApplyCrashes(const ReceivedHandover& handed, Job& job) {
  for (const HandedCrash& it : handed.job.crashes) {
    Task* task = FindTask(job, {.job = job.id,
                                .occurrence = it.occurrence,
                                .step = it.step,
                                .index = it.index});
    // One that was counted since the adoption is later.
    if (task != nullptr && task->crashes.last <= job.created) {
      task->crashes.last =
          std::min(task->crashes.last, handed.received_at - it.ago);
    }
  }
}

}  // namespace

void HandOverTasks(Context& context) {
  StopState& stop = context.state.stop;
  if (!HasPassed(context.now, stop.handed_over_at, kTick)) {
    return;
  }
  stop.handed_over_at = context.now;
  JobsHandedOver message;
  for (const std::string& id : context.state.active) {
    Job& job = context.state.jobs.at(id);
    if (!job.stored || IsFinal(job.state)) {
      continue;
    }
    HandedJob handed = JobToHandOver(context, job);
    const auto [last, is_first] = stop.handed_over.try_emplace(id);
    handed.crashes =
        is_first ? CrashesToHandOver(context, job) : last->second.crashes;
    const bool tells = !handed.steps.empty() || !handed.crashes.empty();
    if (tells && handed != last->second) {
      last->second = handed;
      message.jobs.push_back(std::move(handed));
    }
  }
  if (message.jobs.empty()) {
    return;
  }
  for (const std::string& it : OtherMembers(context)) {
    if (KnowsHandovers(it)) {
      Send(context, it, message);
    }
  }
}

void OnJobsHandedOver(Context& context, const JobsHandedOver& handed) {
  auto& handovers = context.state.handovers;
  std::erase_if(handovers, [&](const auto& it) {
    return HasPassed(context.now, it.second.received_at, kHandoverKeptFor);
  });
  for (const HandedJob& it : handed.jobs) {
    ReceivedHandover& kept = handovers[it.job];
    if (it.generation >= kept.job.generation) {
      kept = {.job = it, .received_at = context.now};
    }
  }
}

void TakeHandover(Context& context, Job& job) {
  auto& handovers = context.state.handovers;
  const auto it = handovers.find(job.id);
  if (it == handovers.end() || it->second.job.generation + 1 > job.generation) {
    return;
  }
  const ReceivedHandover handed = std::move(it->second);
  handovers.erase(it);
  if (handed.job.generation + 1 < job.generation) {
    return;
  }
  for (const HandedStep& step : handed.job.steps) {
    ApplyStep(context, step, job);
  }
  ApplyCrashes(handed, job);
}

void BeginWait(Context& context, Job& job, const TaskName& name, Task& task) {
  task.phase = TaskPhase::kWaiting;
  task.since = context.now;
  task.idle_since = context.now;
  task.worker.clear();
  // A run of a former owner may have been lost without a trace.
  task.may_have_crashed = IsStepReady(job, name.occurrence, name.step);
  context.state.placement_due = true;
}

}  // namespace burdockrock::engine
