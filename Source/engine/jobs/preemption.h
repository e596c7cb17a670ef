// Preemption: stops runs of lower priority to make room for work of the highest
// priority.
#ifndef BURDOCKROCK_ENGINE_JOBS_PREEMPTION_H_
#define BURDOCKROCK_ENGINE_JOBS_PREEMPTION_H_

#include <string>

#include "engine/context.h"

namespace burdockrock::engine {

// Whether all runs at the worker but that of `task` have been at work for so
// long that an isolated one may start beside them.
bool OthersHaveLasted(const Context& context,
                      const OwnedWorker& worker,
                      const std::string& task);

// Room of the runs that can be preempted at little cost: they checkpoint, so
// that a stop discards little work. Excludes gang, lasting and filling runs and
// those of the highest priority.
Resources PreemptibleRoom(const OwnedWorker& worker);

// Stops as many runs as it takes to make `room` free. False, with nothing
// stopped, if all of them would not suffice.
bool MakeRoom(Context& context,
              const std::string& id,
              OwnedWorker& worker,
              const Resources& room);

// Starts runs that wait for room once it is free: a run that is being stopped
// keeps its room until it ends. Refuses those that have waited too long.
void DriveRunsAwaitingRoom(Context& context,
                           const std::string& id,
                           OwnedWorker& worker);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_JOBS_PREEMPTION_H_
