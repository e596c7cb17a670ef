// Checks of a worker's ownership: short polls that prove that it still refuses
// lower fences, beside the long polls that wait for ends of runs.
#ifndef BURDOCKROCK_ENGINE_WORKERS_OWNERSHIP_CHECK_H_
#define BURDOCKROCK_ENGINE_WORKERS_OWNERSHIP_CHECK_H_

#include "engine/context.h"

namespace burdockrock::engine {

// Whether a check is due and none is in flight.
bool MaySendOwnershipCheck(const Context& context, const OwnedWorker& worker);

// Whether the reply to a call that was made at `called_at` is that of the check
// in flight, and not that of a poll.
bool IsReplyToCheck(const OwnedWorker& worker,
                    const PollWorker& poll,
                    Time called_at);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_WORKERS_OWNERSHIP_CHECK_H_
