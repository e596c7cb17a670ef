// Tasks under which workers crash: counts the crashes, isolates a suspected
// task from others, and gives it up in the end.
//
// A crash is counted for every run at the worker, since it does not tell which
// one caused it. After kCrashesBeforeIsolation of them a task is isolated:
// beside it are only runs that have lasted for kMinIsolation, which are
// unlikely to cause a crash now, and a crash counts for it alone. So work
// beside a crashing task is not given up for it. The task doesn't wait for such
// runs to end: lasting ones never do.
#ifndef BURDOCKROCK_ENGINE_JOBS_TASK_CRASHES_H_
#define BURDOCKROCK_ENGINE_JOBS_TASK_CRASHES_H_

#include <cstdint>
#include <string>

#include "engine/context.h"

namespace burdockrock::engine {

// A run and the worker that crashed under it.
struct CrashedRun {
  std::uint64_t run = 0;
  std::string worker{};
  Duration lasted{0};  // upper bound of the run's time at work; 0: not known
  bool lost_start = false;  // stored, and not known to have begun
};

// Counts the crash, once for each run.
void CountCrash(Context& context,
                Job& job,
                const TaskName& name,
                Task& task,
                const CrashedRun& crashed);

// Excuses crashes that are part of the failure of a group of workers, unless
// the job's own tasks may have caused it. Fails the job when kMaxCrashes are
// held against a task, or one more if starts that may not have begun are among
// them.
void ReviewCrashes(Context& context, Job& job);

// Whether the task is not to be placed yet, as its last crash may turn out to
// be excused or its job is about to be given up.
bool IsHeldForCrashes(const Context& context, const Task& task);

// Counts a crash that the worker's owner reports.
void CountReportedCrash(Context& context,
                        Job& job,
                        const TaskName& name,
                        Task& task,
                        const EndReport& report);

// Counts a crash of the present run's worker if the run is known to have begun.
// Of the others only the worker's owner knows.
void CountIfCrashed(Context& context,
                    Job& job,
                    const TaskName& name,
                    Task& task);

// How long nothing else may run beside the next run of the task; 0: no limit.
Duration IsolationOf(const Context& context, const Task& task);

// Whether the task, which is to run alone, may be waiting at its worker for the
// other runs there to end.
bool MayAwaitEmptyWorker(const Context& context,
                         const StepSpec& spec,
                         const Task& task);

// Clears the crashes of a task whose present run has lasted so much longer than
// the crashed ones that it can't be their cause.
void ClearOutlastedCrashes(Context& context, Job& job, Task& task);

// Whether the next start of the task must be stored before it is sent: its run
// could otherwise crash its worker and be lost with the job's owner, without
// being counted.
bool MustStoreStart(const Task& task);

// Whether the worker is known to have crashed.
bool HasCrashed(const State& state, const std::string& worker);

// For an adopted task of which no run was found: counts the crash that has
// ended its stored start, if there was one.
void CountLostStart(Context& context,
                    Job& job,
                    const TaskName& name,
                    Task& task);

// The same, afterwards: crashes may have been lost with former owners of the
// job.
void NoteUntoldCrashes(Task& task);

// Whether the run is reported as lost with a process that its start did not
// reach: it is at the worker's next incarnation.
bool IsOfFormerProcess(const Task& task, const EndReport& report);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_JOBS_TASK_CRASHES_H_
