// Checks runs on own workers that their job's owner no longer queries.
#ifndef BURDOCKROCK_ENGINE_WORKERS_RUN_REVIEW_H_
#define BURDOCKROCK_ENGINE_WORKERS_RUN_REVIEW_H_

#include "engine/context.h"

namespace burdockrock::engine {

// A run continues while its worker's owner renews the lease, and normally only
// the job's owner commands it to stop. If that owner dies or is cut off after a
// cancel was acknowledged, no instance adopts the ended job, and its runs would
// continue indefinitely. Each run is therefore expected to be queried by its
// job's owner from time to time. If it is not, the job's record is read. The
// runs of an ended job are stopped, repeatedly and regardless of which owner
// started them; while the record can't be read they continue. The job's current
// owner gets a report of the run and stops it if it is not needed.
void CheckRuns(Context& context);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_WORKERS_RUN_REVIEW_H_
