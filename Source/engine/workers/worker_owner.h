// Owning workers: claims, leases, and when a worker is gone for certain.
#ifndef BURDOCKROCK_ENGINE_WORKERS_WORKER_OWNER_H_
#define BURDOCKROCK_ENGINE_WORKERS_WORKER_OWNER_H_

#include <string>

#include "engine/context.h"

namespace burdockrock::engine {

// With the next drive this instance begins to claim the workers that it should
// own. Those that it should no longer own it keeps until their new owner has
// claimed them.
void ScheduleOwnershipCheck(Context& context);

// Renews, claims and gives up workers, as due.
void DriveWorkers(Context& context);

void OnPollReply(Context& context, const WorkerAnswered& event);

// The own registration was lost.
void MarkWorkersUnverified(Context& context);

// The registration is back. Workers that have not answered since it was lost
// may have been renewed by other owners in between.
void ExtendUnverifiedLeases(Context& context);

// Another owner has a higher fence. All that ran there is the new owner's now.
void ReleaseWorker(Context& context, const std::string& id);

// All that ran there has ended.
void DeclareWorkerLost(Context& context,
                       const std::string& id,
                       const char* cause);

// The worker's room or whether it takes tasks has changed.
void RoomChanged(Context& context, const std::string& id);

// Whether new tasks may start there.
bool Accepts(const Context& context, const OwnedWorker& worker);

Resources FreeRoom(const OwnedWorker& worker);

// Until when a lease that is asked for now may last, on the worker's clock.
// Notes in the worker by when all that runs there would have ended.
std::int64_t NextLease(Context& context, OwnedWorker& worker);

// It did not answer the last hold.
bool IsUnresponsive(const OwnedWorker& worker);

// Null when it is not owned, or not claimed yet.
OwnedWorker* FindClaimed(State& state, const std::string& id);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_WORKERS_WORKER_OWNER_H_
