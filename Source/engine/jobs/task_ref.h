// Tasks of own jobs, as messages name them.
#ifndef BURDOCKROCK_ENGINE_JOBS_TASK_REF_H_
#define BURDOCKROCK_ENGINE_JOBS_TASK_REF_H_

#include <optional>
#include <string>

#include "engine/context.h"

namespace burdockrock::engine {

// A task with the job and step that it belongs to.
struct TaskRef {
  Job& job;
  StepRun& step;
  Task& task;
  TaskName name;
  const StepSpec& spec;
};

// The task of that name; nothing if this instance does not own its job.
std::optional<TaskRef> FindTaskRef(Context& context, const std::string& task);

// Whether a run of the task is offered to a worker or running there.
bool IsPlaced(const Task& task);

void MarkStarted(Context& context, Job& job);

// Stops all members of a gang after one of them ended or was refused: their
// room and runs are released, and the gang starts again as a whole.
void StopGang(Context& context, const TaskRef& ref, const char* cause);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_JOBS_TASK_REF_H_
