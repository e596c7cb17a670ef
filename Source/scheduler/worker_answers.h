// Applies the answers of workers and minions to their records.
#ifndef BURDOCKROCK_SCHEDULER_WORKER_ANSWERS_H_
#define BURDOCKROCK_SCHEDULER_WORKER_ANSWERS_H_

#include "model/worker_message.h"
#include "scheduler/calls.h"
#include "scheduler/ownership.h"

namespace burdockrock {

class Context;

void HandleWorkerAnswer(Context& context,
                        WorkerRecord& worker,
                        const WorkerPurpose& purpose,
                        const WorkerResult& result);

// All leases of the worker have lapsed, or its process is gone: ends all
// attempts booked on it. `is_gone`: its process is known to be gone.
void EndAllAttempts(Context& context, WorkerRecord& worker, bool is_gone);

// The worker was unresponsive until its leases lapsed: the writers of the
// journals search for the task attempts booked on it.
void OrphanLiveAttempts(Context& context, WorkerRecord& worker);

// The worker is owned by another member or was removed: drops its bookings.
void ReleaseWorker(Context& context, WorkerRecord& worker);

// Handles the answer to a claim of a process of the worker that is gone.
void OnClaimOfOtherProcess(Context& context,
                           WorkerRecord& worker,
                           const WorkerResult& result);

}  // namespace burdockrock

#endif  // BURDOCKROCK_SCHEDULER_WORKER_ANSWERS_H_
