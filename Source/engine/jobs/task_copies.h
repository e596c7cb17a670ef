// Second runs of tasks whose step allows copies: the first to finish counts.
// They are started when the first run stands still or its worker can't be
// reached, so that the step need not wait for the worker's leases to run out.
#ifndef BURDOCKROCK_ENGINE_JOBS_TASK_COPIES_H_
#define BURDOCKROCK_ENGINE_JOBS_TASK_COPIES_H_

#include <map>
#include <string>

#include "engine/context.h"

namespace burdockrock::engine {

// The task's run may not end soon: a copy is placed when there is room.
void RequestCopy(Context& context, const StepSpec& spec, Task& task);

// Whether the task waits for a worker for its copy.
bool WaitsForCopy(const Task& task);

// Whether the run is the task's copy.
bool IsCopy(const Task& task, std::uint64_t run);

// The worker has answered whether the copy runs.
void OnCopyAnswer(Context& context, Task& task, OfferOutcome outcome);
void OnCopyReport(Context& context, Task& task, RunState state);

// The copy takes the place of the first run, which is over. False if there is
// none that runs.
bool PromoteCopy(Context& context, Task& task);

// The task is done by the run: the other one, if any, is stopped. It is kept as
// the copy until its end is known.
void StopOtherRun(Context& context,
                  const Job& job,
                  const TaskName& name,
                  Task& task,
                  std::uint64_t done_run);

void StopCopy(Context& context,
              const Job& job,
              const TaskName& name,
              Task& task);

// Asks about copies that were not heard of for long; repeats their stops.
void DriveCopy(Context& context,
               const Job& job,
               const TaskName& name,
               Task& task,
               std::map<std::string, RunQueries>& queries);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_JOBS_TASK_COPIES_H_
