// Workers that left the list while their ownership passed to another member.
#ifndef BURDOCKROCK_ENGINE_WORKERS_WORKER_HANDOVER_H_
#define BURDOCKROCK_ENGINE_WORKERS_WORKER_HANDOVER_H_

#include <string>

#include "engine/context.h"

namespace burdockrock::engine {

// Tells the rightful owner of a worker that left the list. That member may have
// read the list later, and does not claim a worker that it has never seen.
void TellRightfulOwner(Context& context, const std::string& worker);

// The same for an unreachable worker that this instance has claimed, at
// intervals: only the rightful owner may declare it lost.
void TellOfUnreachable(Context& context,
                       const std::string& id,
                       OwnedWorker& worker);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_WORKERS_WORKER_HANDOVER_H_
