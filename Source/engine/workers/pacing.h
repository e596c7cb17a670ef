// Slows filling tasks down when they disturb tasks that serve.
#ifndef BURDOCKROCK_ENGINE_WORKERS_PACING_H_
#define BURDOCKROCK_ENGINE_WORKERS_PACING_H_

#include <string>

#include "engine/context.h"

namespace burdockrock::engine {

void AdjustPace(Context& context, const std::string& id, OwnedWorker& worker);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_WORKERS_PACING_H_
