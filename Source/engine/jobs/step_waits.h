// Why the tasks of a step wait, for logs and metrics.
#ifndef BURDOCKROCK_ENGINE_JOBS_STEP_WAITS_H_
#define BURDOCKROCK_ENGINE_JOBS_STEP_WAITS_H_

#include <cstddef>

#include "engine/advice/advice_history.h"
#include "engine/context.h"
#include "engine/jobs/placing.h"
#include "engine/teams/cap_limit.h"

namespace burdockrock::engine {

enum class WaitCause {
  kRecovery,   // after an adoption not all of its possible runs are known
  kRecord,     // the job's record or a start is not stored, or the job's
               // ownership is unverified
  kAdvice,     // an advice request is pending, or waits to be sent
  kTickets,    // no worker with a ticket has room (for a gang: for all of it),
               // and no advice request is pending
  kRoom,       // no worker that may run it has room (for a gang: for all of it)
  kClosed,     // the same, and some of these workers accept no tasks for now
  kQuota,      // what is held of the team's cap has no room for it
  kPause,      // delay after a failed or refused start
  kBooking,    // of a gang: some of its room is booked, and it is not started
  kMembers,    // of a gang: runs of other members are not known to have ended
  kOffer,      // offered to a worker for long, and not known to have begun
  kPlacement,  // none of these: the next placement round can start it
};

// The name in the log and in metrics.
const char* WaitCauseName(WaitCause cause);

// A step's wait and the numbers that explain it.
struct StepWait {
  WaitCause cause = WaitCause::kRoom;
  std::size_t tasks = 0;     // waiting tasks
  std::size_t reserved = 0;  // of these, with reserved room
  std::size_t unstored = 0;  // of these, whose start is not stored yet
  std::size_t room = 0;      // tasks that fit on all workers that may run it
  std::size_t ticketed = 0;  // of these, on workers with a valid ticket
  std::size_t tickets = 0;   // valid tickets
  std::size_t known = 0;     // of `room`, at workers known to be allowed
  std::size_t denied = 0;    // workers that advice has ruled out
  std::size_t closed = 0;    // workers that may run it and accept no tasks
  std::size_t alone = 0;     // waiting tasks that are isolated
  CapLimit cap{};            // for kQuota
  Duration since_advice_check{0};  // since advice was last considered; 0: never
  // Since the last request for advice, or since the step can run.
  Duration since_request{0};
  AdviceHistory advice{};
};

// When the longest waiting task of the step began to wait; kForever: none
// waits.
Time OldestWait(const Context& context, const ReadyStep& ready);

// Scans all workers, so it is too slow for every placement round.
StepWait WaitOf(const Context& context, const ReadyStep& ready);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_JOBS_STEP_WAITS_H_
