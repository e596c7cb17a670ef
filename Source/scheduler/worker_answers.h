// What the answers of workers and minions mean for the books.
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

// The worker's leases have all lapsed: whatever ran there runs no more.
void EndAllAttempts(Context& context, WorkerRecord& worker);

// The worker has been silent past its leases: the writers of the journals look
// for what ran there.
void LoseSight(Context& context, WorkerRecord& worker);

// The worker is another's, or gone: forgets what is booked on it.
void ReleaseWorker(Context& context, WorkerRecord& worker);

}  // namespace burdockrock

#endif  // BURDOCKROCK_SCHEDULER_WORKER_ANSWERS_H_
