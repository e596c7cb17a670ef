// Dispatches requests to minions and handles the results of their runs.
#ifndef BURDOCKROCK_SCHEDULER_REQUEST_RUNS_H_
#define BURDOCKROCK_SCHEDULER_REQUEST_RUNS_H_

#include <string>

#include "model/attempt.h"
#include "model/worker_message.h"
#include "scheduler/requests.h"

namespace burdockrock {

class Context;

// Dispatches the request; false if no minion of the service has a free slot.
bool TryDispatch(Context& context, RequestEntry& entry);

// A minion has answered a run.
void OnRunEnded(Context& context, const std::string& id, const RunEnded& ended);

// The run was refused or its command was not received: it may be retried.
void OnRunNotStarted(Context& context,
                     const std::string& id,
                     const std::string& why);

// The answer to a run was lost. If the request is idempotent and its minion
// responsive, the minion's next report decides; else the request is finished.
void OnRunUnverified(Context& context, const std::string& id);

// The minion doesn't run the attempt (any more) and its answer was lost.
void OnRunLost(Context& context, const AttemptId& attempt);

}  // namespace burdockrock

#endif  // BURDOCKROCK_SCHEDULER_REQUEST_RUNS_H_
