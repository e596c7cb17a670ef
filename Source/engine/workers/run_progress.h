// Watches whether runs on own workers go on, and tells their jobs' owners.
#ifndef BURDOCKROCK_ENGINE_WORKERS_RUN_PROGRESS_H_
#define BURDOCKROCK_ENGINE_WORKERS_RUN_PROGRESS_H_

#include <string>

#include "engine/context.h"

namespace burdockrock::engine {

// After a listing of the worker was taken in. A run that stands still is
// reported, and the worker gets no new tasks for a while: it answers all calls
// as if it were well, so nothing else would show it.
void CheckProgress(Context& context,
                   const std::string& id,
                   OwnedWorker& worker);

// The worker can't be reached: copies of what runs there may start, where the
// steps allow copies.
void ReportUnreached(Context& context,
                     const std::string& id,
                     OwnedWorker& worker);

// The worker is to be emptied: the owners of its runs' jobs move them when that
// costs little and the steps' budgets allow it.
void ReportUnwanted(Context& context,
                    const std::string& id,
                    OwnedWorker& worker);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_WORKERS_RUN_PROGRESS_H_
