// The jobs that this instance owns: their tasks and states.
#ifndef BURDOCKROCK_ENGINE_JOBS_JOB_TABLE_H_
#define BURDOCKROCK_ENGINE_JOBS_JOB_TABLE_H_

#include <string>
#include <utility>

#include "engine/context.h"

namespace burdockrock::engine {

// Returns null if this instance doesn't own the job.
Job* FindJob(State& state, const std::string& id);

// Returns null if the job has no such task.
Task* FindTask(Job& job, const TaskName& name);

// Creates a job of the first generation with all of its tasks waiting.
Job MakeJob(std::string id, JobSpec spec, std::string queue);

// Returns the step, and first sets up the occurrence's tasks if needed.
StepRun& StepAt(Job& job, std::uint32_t occurrence, std::uint32_t step);

// The state that is reported to callers: final only once it is stored.
JobState ShownState(const Job& job);

// Marks the job's progress as changed, so that it will be stored.
void MarkChanged(Context& context, Job& job, bool urgent);

// Begins the occurrences that are due, as long as no more than
// MaxOpenOccurrences() are open.
void BeginOccurrences(Context& context, Job& job);

// Whether all tasks of the step are done.
bool IsStepDone(const Job& job, std::uint32_t occurrence, std::uint32_t step);

// Whether all tasks of the occurrence are done.
bool IsOccurrenceDone(const Job& job, std::uint32_t occurrence);

// Counts the occurrence as done if the step that has just been done was its
// last one.
void OnStepDone(Job& job, std::uint32_t occurrence);

// Whether the occurrence has begun and all steps that this one depends on are
// done.
bool IsStepReady(const Job& job, std::uint32_t occurrence, std::uint32_t step);

// The next run number after `last`. Run numbers increase across all owners of a
// job: each owner has its own range.
std::uint64_t NextRun(const Job& job, std::uint64_t last);

// Whether the present owner numbered the run, not one before an adoption.
bool IsRunOfThisOwner(const Job& job, std::uint64_t run);

// Ends the job and stops its runs. `cause` is logged unless it completed, and
// callers see it if it failed.
void EndJob(Context& context,
            Job& job,
            JobState state,
            const std::string& cause);

// Ends the job as completed if all of its tasks are done.
void CompleteIfDone(Context& context, Job& job);

// Sends the command to stop the task's run; DriveJobs repeats it until the
// run's end is known.
void StopTask(Context& context, Job& job, const TaskName& name, Task& task);

// Queues a command to stop a run, for the owner of its worker. The next
// FlushStops sends it.
void SendStop(Context& context,
              const Job& job,
              const TaskName& name,
              const std::string& worker,
              std::uint64_t run);

// Sends the queued stop commands, one message for each owner of workers: the
// cancel of a job of 36 tasks on the workers of two other instances sends 2
// messages instead of 20.
void FlushStops(Context& context);

// Calls `each(TaskName, Task&)` for all tasks that were set up.
template <typename Each>
void ForEachTask(Job& job, Each each) {
  TaskName name{.job = job.id};
  for (std::uint32_t k = 0; k < job.occurrences.size(); ++k) {
    auto& steps = job.occurrences[k].steps;
    for (std::uint32_t s = 0; s < steps.size(); ++s) {
      auto& tasks = steps[s].tasks;
      for (std::uint32_t i = 0; i < tasks.size(); ++i) {
        name.occurrence = k;
        name.step = s;
        name.index = i;
        each(std::as_const(name), tasks[i]);
      }
    }
  }
}

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_JOBS_JOB_TABLE_H_
