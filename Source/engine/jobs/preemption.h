// Stops runs of less urgent work for the sake of the most urgent one.
#ifndef BURDOCKROCK_ENGINE_JOBS_PREEMPTION_H_
#define BURDOCKROCK_ENGINE_JOBS_PREEMPTION_H_

#include <string>

#include "engine/context.h"

namespace burdockrock::engine {

// Room of the runs that can be stopped at little cost: they checkpoint, so that
// a stop throws nothing away, and nobody else depends on them.
Resources PreemptibleRoom(const OwnedWorker& worker);

// Orders stops until `room` will be free. False, and nothing is stopped, if it
// would not be.
bool MakeRoom(Context& context,
              const std::string& id,
              OwnedWorker& worker,
              const Resources& room);

// Starts the run that was waiting once the room is free: what is being stopped
// still takes its room.
void DriveRunsAwaitingRoom(Context& context,
                           const std::string& id,
                           OwnedWorker& worker);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_JOBS_PREEMPTION_H_
