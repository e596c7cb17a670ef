// Handles updates of attempts at the writer of their job's journal.
#ifndef BURDOCKROCK_SCHEDULER_ATTEMPT_UPDATES_H_
#define BURDOCKROCK_SCHEDULER_ATTEMPT_UPDATES_H_

#include <cstdint>
#include <string>

#include "ledger/slot_log.h"
#include "model/attempt.h"
#include "scheduler/jobs.h"

namespace burdockrock {

class Context;

// Handle updates of an attempt of a job whose journal this process writes.
// `owner` is the member that owns the worker. Outdated updates are ignored.
void OnAttemptRunning(Context& context,
                      const AttemptId& attempt,
                      bool held,
                      const std::string& worker,
                      const std::string& owner);
// The attempt was not started and will not be.
void OnAttemptNotStarted(Context& context,
                         const AttemptId& attempt,
                         const std::string& why);
// The end is acknowledged once it is recorded, or at once if nothing needs to
// be recorded.
void OnAttemptEnded(Context& context,
                    const AttemptReport& report,
                    const std::string& worker,
                    const std::string& owner);

// Marks a task whose attempt may or may not be running, and searches for the
// attempt.
void OrphanTask(Context& context, Job& job, std::uint32_t task);

// Handles an attempt that no worker has: the task is retried or, if it is
// non-idempotent and may have run, ended as such.
void OnAttemptLost(Context& context, Job& job, std::uint32_t task);

// Appends the end of a task to the journal. The worker is allowed to forget the
// attempt only after the record is durable.
void EndTask(Context& context, Job& job, std::uint32_t task, TaskState end);

// Handle the outcome of appending the record of an end or a dispatch.
void OnEndRecorded(Context& context,
                   const std::string& id,
                   std::uint32_t task,
                   AppendOutcome outcome);
void OnDispatchRecorded(Context& context,
                        const std::string& id,
                        std::uint32_t task,
                        AppendOutcome outcome);

}  // namespace burdockrock

#endif  // BURDOCKROCK_SCHEDULER_ATTEMPT_UPDATES_H_
