// Logs conditions that last longer than they should, and how they end. Has no
// influence on scheduling.
#ifndef BURDOCKROCK_ENGINE_CONDITION_LOG_H_
#define BURDOCKROCK_ENGINE_CONDITION_LOG_H_

#include "engine/context.h"

namespace burdockrock::engine {

// Logs conditions that have lasted for long, repeatedly but at growing
// intervals, and the totals of the calls for advice.
void DriveConditionLog(Context& context);

// Logs that all workers that may run the adopted job have been reported. Call
// it before the tasks that were not found become ready to start.
void LogRecovered(Context& context, const Job& job);

// Logs that the cancel of the job was acknowledged to its callers, and follows
// it until the last run has ended.
void TrackAcknowledgedCancel(Context& context, const Job& job);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_CONDITION_LOG_H_
