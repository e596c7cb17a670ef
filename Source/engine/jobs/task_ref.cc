#include "engine/jobs/task_ref.h"

#include <cstdint>

#include "engine/jobs/gang_bookings.h"
#include "engine/jobs/job_table.h"

namespace burdockrock::engine {

std::optional<TaskRef> FindTaskRef(Context& context, const std::string& task) {
  const auto name = ParseTaskName(task);
  if (!name) {
    return std::nullopt;
  }
  Job* job = FindJob(context.state, name->job);
  Task* found = job == nullptr ? nullptr : FindTask(*job, *name);
  if (found == nullptr) {
    return std::nullopt;
  }
  return TaskRef{.job = *job,
                 .step = StepAt(*job, name->occurrence, name->step),
                 .task = *found,
                 .name = *name,
                 .spec = job->spec.steps[name->step]};
}

bool IsPlaced(const Task& task) {
  return task.phase == TaskPhase::kOffered || task.phase == TaskPhase::kRunning;
}

void MarkStarted(Context& context, Job& job) {
  if (!job.started) {
    job.started = true;
    context.state.digest.waiting_changed = true;
  }
}

void StopGang(Context& context, const TaskRef& ref, const char* cause) {
  StepRun& step = ref.step;
  if (IsBeingBooked(ref.job, step)) {
    return ReleaseBookings(context, ref.job, ref.name, cause);
  }
  LogBackedOff(context, ref.job, ref.name, BackOff::kAll, cause);
  for (std::uint32_t it = 0; it < step.tasks.size(); ++it) {
    TaskName name = ref.name;
    name.index = it;
    StopTask(context, ref.job, name, step.tasks[it]);
  }
}

}  // namespace burdockrock::engine
