// Which tasks a stopping instance knows to have no run, so that the next owners
// of its jobs can start them without waiting for recovery.
#ifndef BURDOCKROCK_ENGINE_JOBS_TASK_HANDOVER_H_
#define BURDOCKROCK_ENGINE_JOBS_TASK_HANDOVER_H_

#include "engine/context.h"

namespace burdockrock::engine {

// Tells the other members which lasting tasks of the own jobs have no run, as
// far as this has changed since the last call. To be called only once the
// instance places no more tasks.
void HandOverTasks(Context& context);

// Keeps what a stopping member hands over until its jobs are adopted.
void OnJobsHandedOver(Context& context, const JobsHandedOver& handed);

// Lets the tasks of an adopted job wait for workers that had no run when the
// former owner stopped.
void TakeHandover(Context& context, Job& job);

// The task has no run, and waits for a worker from now on.
void BeginWait(Context& context, Job& job, const TaskName& name, Task& task);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_JOBS_TASK_HANDOVER_H_
