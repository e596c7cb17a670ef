// Dispatches requests to minions and takes their ends.
#ifndef BURDOCKROCK_SCHEDULER_REQUEST_RUNS_H_
#define BURDOCKROCK_SCHEDULER_REQUEST_RUNS_H_

#include <string>

#include "model/attempt.h"
#include "model/worker_message.h"
#include "scheduler/requests.h"

namespace burdockrock {

class Context;

// False when no minion of the service has a free slot.
bool TryDispatch(Context& context, RequestEntry& entry);

// A minion's answer to a run.
void OnRunEnded(Context& context, const std::string& id, const RunEnded& ended);

// The run was refused or never left: it may be tried again.
void OnRunNotStarted(Context& context,
                     const std::string& id,
                     const std::string& why);

// The answer to a run was lost; its minion is asked what it runs.
void OnRunUncertain(Context& context, const std::string& id);

// The minion doesn't run the attempt (any more) and its answer is lost.
void OnRunVanished(Context& context, const AttemptId& attempt);

}  // namespace burdockrock

#endif  // BURDOCKROCK_SCHEDULER_REQUEST_RUNS_H_
