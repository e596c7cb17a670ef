// Monitors the progress of runs on own workers and reports to their jobs'
// owners.
#ifndef BURDOCKROCK_ENGINE_WORKERS_RUN_PROGRESS_H_
#define BURDOCKROCK_ENGINE_WORKERS_RUN_PROGRESS_H_

#include <string>

#include "engine/context.h"

namespace burdockrock::engine {

// Called after a listing of the worker was taken in. Reports stalled runs, and
// lets the worker accept no new tasks for a while: a stalled worker replies to
// all calls, so that nothing else shows its state.
void CheckProgress(Context& context,
                   const std::string& id,
                   OwnedWorker& worker);

// Called when the worker is unreachable. Copies of its runs may start elsewhere
// where the steps allow copies.
void ReportUnreached(Context& context,
                     const std::string& id,
                     OwnedWorker& worker);

// Called when the worker is to be emptied. The jobs' owners move its runs where
// that costs little and the steps' budgets allow it.
void ReportUnwanted(Context& context,
                    const std::string& id,
                    OwnedWorker& worker);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_WORKERS_RUN_PROGRESS_H_
