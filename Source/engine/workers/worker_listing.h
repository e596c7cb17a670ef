// Reads what a worker lists in answer to a hold.
#ifndef BURDOCKROCK_ENGINE_WORKERS_WORKER_LISTING_H_
#define BURDOCKROCK_ENGINE_WORKERS_WORKER_LISTING_H_

#include <string>

#include "engine/context.h"

namespace burdockrock::engine {

// `asked` is when the hold was sent.
void ApplyListing(Context& context,
                  const std::string& id,
                  OwnedWorker& worker,
                  const WorkerDone& listing,
                  Time asked);

// The spec of runs that were found at a claimed worker is known now.
void DescribeRuns(Context& context,
                  const std::string& job,
                  const JobSpec& spec);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_WORKERS_WORKER_LISTING_H_
