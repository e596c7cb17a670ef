// Second runs of tasks whose step allows concurrent copies: the run that
// finishes first counts. A copy is started when the first run is stalled or its
// worker can't be reached, so that the step need not wait until the worker's
// leases expire.
#ifndef BURDOCKROCK_ENGINE_JOBS_TASK_COPIES_H_
#define BURDOCKROCK_ENGINE_JOBS_TASK_COPIES_H_

#include <map>
#include <string>

#include "engine/context.h"

namespace burdockrock::engine {

// Requests a copy of a task whose run may not end soon; it is placed when there
// is room.
void RequestCopy(Context& context, const StepSpec& spec, Task& task);

// Whether the task has a requested copy that is not placed yet.
bool WaitsForCopy(const Task& task);

// Whether `run` is that of the task's copy.
bool IsCopy(const Task& task, std::uint64_t run);

// Handles the answer to the copy's offer, and a report of its state.
void OnCopyAnswer(Context& context, Task& task, OfferOutcome outcome);
void OnCopyReport(Context& context, Task& task, RunState state);

// Replaces the task's first run, which has ended, by its copy. False if there
// is no copy or it is being stopped.
bool PromoteCopy(Context& context, Task& task);

// Called when `done_run` has completed the task: stops the other run, if any,
// and keeps it as the copy until its end is known.
void StopOtherRun(Context& context,
                  const Job& job,
                  const TaskName& name,
                  Task& task,
                  std::uint64_t done_run);

// Stops the copy, if any.
void StopCopy(Context& context,
              const Job& job,
              const TaskName& name,
              Task& task);

// Adds a query to `queries`, by the owner of the worker, if the copy had no
// recent update; repeats its stop.
void DriveCopy(Context& context,
               const Job& job,
               const TaskName& name,
               Task& task,
               std::map<std::string, RunQueries>& queries);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_JOBS_TASK_COPIES_H_
