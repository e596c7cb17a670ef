// What the tasks of a step wait for, for logs and metrics.
#ifndef BURDOCKROCK_ENGINE_JOBS_STEP_WAITS_H_
#define BURDOCKROCK_ENGINE_JOBS_STEP_WAITS_H_

#include <cstddef>

#include "engine/context.h"
#include "engine/jobs/placing.h"

namespace burdockrock::engine {

enum class WaitCause {
  kRecovery,   // not all that may run it was heard of after an adoption
  kRecord,     // the job's record is being written or read
  kAdvice,     // a question for advice is out
  kTickets,    // no worker with a ticket has room, and none is asked for; of a
               // gang: not for all of it
  kRoom,       // no worker that may run it has room; of a gang: not for all
  kPause,      // a failed or refused start is not tried again yet
  kPlacement,  // the next round of placement can start it
};

const char* WaitCauseName(WaitCause cause);

struct StepWait {
  WaitCause cause = WaitCause::kRoom;
  std::size_t tasks = 0;     // that wait
  std::size_t room = 0;      // tasks that fit at all workers that may run it
  std::size_t ticketed = 0;  // of these at workers with a valid ticket
  std::size_t tickets = 0;   // valid ones
  std::size_t denied = 0;    // workers that advice has ruled out
  Duration since_advice_check{0};  // since advice was last considered; 0: never
};

// Since when the first of the step's waiting tasks waits; kForever: none does.
Time OldestWait(const ReadyStep& ready);

// Looks at all workers: not for each round.
StepWait WaitOf(const Context& context, const ReadyStep& ready);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_JOBS_STEP_WAITS_H_
