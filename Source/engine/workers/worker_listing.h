// Takes in the runs and ends that a worker lists in its reply to a poll.
#ifndef BURDOCKROCK_ENGINE_WORKERS_WORKER_LISTING_H_
#define BURDOCKROCK_ENGINE_WORKERS_WORKER_LISTING_H_

#include <string>

#include "engine/context.h"

namespace burdockrock::engine {

// `requested_at` is the time at which the poll was sent.
void ApplyListing(Context& context,
                  const std::string& id,
                  OwnedWorker& worker,
                  const WorkerDone& listing,
                  Time requested_at);

// Sets the spec of runs that were found at a claimed worker, once the job's
// spec is known.
void DescribeRuns(Context& context,
                  const std::string& job,
                  const JobSpec& spec);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_WORKERS_WORKER_LISTING_H_
