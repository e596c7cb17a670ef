// Ownership of workers: claims, lease renewal by long polls, and the decision
// that a worker is lost.
#ifndef BURDOCKROCK_ENGINE_WORKERS_WORKER_OWNER_H_
#define BURDOCKROCK_ENGINE_WORKERS_WORKER_OWNER_H_

#include <string>

#include "engine/context.h"
#include "engine/workers/worker_crashes.h"

namespace burdockrock::engine {

// Makes the next DriveWorkers claim the workers that this instance should own.
// Workers that it should no longer own stay with it until their new owner has
// claimed them.
void ScheduleOwnershipCheck(Context& context);

// Claims workers, renews their leases and declares them lost, as due.
void DriveWorkers(Context& context);

void OnPollReply(Context& context, const WorkerAnswered& event);

// Called when this instance's registration was lost: other members may claim
// the workers from then on.
void MarkWorkersUnverified(Context& context);

// Called when this instance is registered again. Other owners may have renewed
// the leases of workers that have not replied since the registration was lost.
void ExtendUnverifiedLeases(Context& context);

// Gives the worker up because another owner has a higher fence. The new owner
// takes over all runs there.
void ReleaseWorker(Context& context, const std::string& id);

// Declares the worker lost: all runs there have ended. `cause` is logged.
void DeclareWorkerLost(Context& context,
                       const std::string& id,
                       LossKind kind,
                       const char* cause);

// Publishes the worker's free room, and whether it accepts tasks, after either
// has changed.
void RoomChanged(Context& context, const std::string& id);

Resources FreeRoom(const OwnedWorker& worker);

// The end of a lease that is requested now, in milliseconds on the worker's
// clock. Extends `lease_bound` accordingly.
std::int64_t NextLease(Context& context, OwnedWorker& worker);

// Two polls in a row got no reply, or one before the claim, or the worker
// refused a poll for a reason other than kFenced.
bool IsUnresponsive(const OwnedWorker& worker);

// Null when this instance has not claimed the worker.
OwnedWorker* FindClaimed(State& state, const std::string& id);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_WORKERS_WORKER_OWNER_H_
