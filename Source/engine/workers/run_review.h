// Looks after runs on own workers whose job's owner is not heard of.
#ifndef BURDOCKROCK_ENGINE_WORKERS_RUN_REVIEW_H_
#define BURDOCKROCK_ENGINE_WORKERS_RUN_REVIEW_H_

#include "engine/context.h"

namespace burdockrock::engine {

// A run goes on for as long as its worker's owner renews the leases, and only
// the job's owner orders it to stop. If that one has died, or is cut off, after
// a cancel was acknowledged, nobody adopts a job that has ended, and its runs
// would go on for ever. So each run must be asked for by its job's owner from
// time to time. Where it is not, the job's record is read: the runs of an ended
// job are stopped, repeatedly, whoever started them; while its state can't be
// read they go on. Whoever owns the job now is told of the run, and has it
// stopped if it knows no use for it.
void CheckRuns(Context& context);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_WORKERS_RUN_REVIEW_H_
