// Adjusts the pace of filling tasks so that they do not disturb lasting tasks
// on the same worker that have a tail target.
#ifndef BURDOCKROCK_ENGINE_WORKERS_PACING_H_
#define BURDOCKROCK_ENGINE_WORKERS_PACING_H_

#include <string>

#include "engine/context.h"

namespace burdockrock::engine {

// Called after a listing of the worker was taken in.
void AdjustPace(Context& context, const std::string& id, OwnedWorker& worker);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_WORKERS_PACING_H_
