// For how long runs have been at work, which a worker does not list.
#ifndef BURDOCKROCK_ENGINE_WORKERS_RUN_HANDOVER_H_
#define BURDOCKROCK_ENGINE_WORKERS_RUN_HANDOVER_H_

#include <cstdint>
#include <string>

#include "engine/context.h"

namespace burdockrock::engine {

// Tells the next owners of the own workers for how long the runs there have
// been at work. To be called once the instance is no longer registered.
void HandOverRuns(Context& context);

// Tells the same to the owner of a worker that this instance gives up.
void HandOverRunsOf(Context& context,
                    const std::string& id,
                    const OwnedWorker& worker);

// Keeps what a former owner hands over until the workers are claimed.
void OnRunsHandedOver(Context& context, const RunsHandedOver& handed);

// For how long a run that is found at the worker was at work before; 0 if that
// is not known.
Duration LastedBefore(const Context& context,
                      const std::string& worker,
                      const std::string& task,
                      std::uint64_t run);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_WORKERS_RUN_HANDOVER_H_
