// How the ownership of a worker passes from one member to another.
#ifndef BURDOCKROCK_ENGINE_WORKERS_WORKER_HANDOVER_H_
#define BURDOCKROCK_ENGINE_WORKERS_WORKER_HANDOVER_H_

#include <cstdint>
#include <string>

#include "engine/context.h"

namespace burdockrock::engine {

// The fence above which the worker has to be claimed. The other members ignore
// what is announced with the fence with which it was declared lost, as that may
// be older than the loss. A process that started again knows no fence, so that
// commands for the one before are refused only after a claim with a higher one.
std::uint64_t FenceToExceed(const State& state, const std::string& name);

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
