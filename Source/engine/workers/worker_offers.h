// Handles offers of tasks, which job owners send to the owner of a worker.
#ifndef BURDOCKROCK_ENGINE_WORKERS_WORKER_OFFERS_H_
#define BURDOCKROCK_ENGINE_WORKERS_WORKER_OFFERS_H_

#include <string>

#include "engine/context.h"

namespace burdockrock::engine {

// Accepts or refuses each offered task. The outcome of a start follows when the
// worker has replied.
void OnTaskOffer(Context& context,
                 const std::string& from,
                 const TaskOffer& offer);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_WORKERS_WORKER_OFFERS_H_
