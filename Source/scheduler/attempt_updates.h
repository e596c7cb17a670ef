// What becomes of attempts, as the writer of their job's journal hears it.
#ifndef BURDOCKROCK_SCHEDULER_ATTEMPT_UPDATES_H_
#define BURDOCKROCK_SCHEDULER_ATTEMPT_UPDATES_H_

#include <cstdint>
#include <string>

#include "ledger/slot_log.h"
#include "model/attempt.h"
#include "scheduler/jobs.h"

namespace burdockrock {

class Context;

// News of an attempt of a job whose journal this process writes. `owner` is
// the member that owns the worker.
void OnAttemptRunning(Context& context,
                      const AttemptId& attempt,
                      bool held,
                      const std::string& worker,
                      const std::string& owner);
// Nothing was started, and nothing will be.
void OnAttemptNotStarted(Context& context,
                         const AttemptId& attempt,
                         const std::string& why);
void OnAttemptEnded(Context& context,
                    const AttemptReport& report,
                    const std::string& worker,
                    const std::string& owner);

// Not known whether the attempt runs: it is looked for.
void OrphanTask(Context& context, Job& job, std::uint32_t task);

// Nobody has the attempt: it is tried again or, if non-idempotent, given up.
void OnAttemptLost(Context& context, Job& job, std::uint32_t task);

// The end of a task, durable before its worker may forget it.
void EndTask(Context& context, Job& job, std::uint32_t task, TaskState end);

// What the journal answered to the record of an end or a dispatch.
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
