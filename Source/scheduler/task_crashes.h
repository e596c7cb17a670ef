// Tasks of jobs under which workers crash: their crashes are counted in the
// journal, a suspected task gets a worker to itself, and in the end it fails.
//
// A crash shows when a worker that answers no longer knows an attempt that it
// had confirmed. It is counted for all attempts that it had, as it does not
// tell which one caused it.
#ifndef BURDOCKROCK_SCHEDULER_TASK_CRASHES_H_
#define BURDOCKROCK_SCHEDULER_TASK_CRASHES_H_

#include <cstdint>
#include <string>

#include "ledger/slot_log.h"
#include "scheduler/jobs.h"

namespace burdockrock {

class Context;

// Crashes under one task after which it fails, and after which it runs alone.
inline constexpr std::uint8_t kMaxTaskCrashes = 3;
inline constexpr std::uint8_t kCrashesBeforeIsolation = 2;

// Lets the task wait for a worker to itself from now on, for some time, if its
// crashes call for that.
void NoteCrash(Context& context, Task& task);

// Counts a crash under the task, and retries it or ends it as failed.
void OnAttemptCrashed(Context& context, Job& job, std::uint32_t task);

// Whether the next start of the task must be in the journal before it is sent:
// otherwise a crash that also ends the journal's writer would not be counted.
bool MustRecordStart(const Task& task);

void RecordStart(Context& context, Job& job, std::uint32_t task);
void OnStartRecorded(Context& context,
                     const std::string& id,
                     std::uint32_t task,
                     AppendOutcome outcome);

// Whether the task's next attempt must be alone on its worker.
bool IsIsolated(const Context& context, const Task& task);

}  // namespace burdockrock

#endif  // BURDOCKROCK_SCHEDULER_TASK_CRASHES_H_
