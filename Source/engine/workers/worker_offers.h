// Offers of the owners of jobs to the owner of a worker.
#ifndef BURDOCKROCK_ENGINE_WORKERS_WORKER_OFFERS_H_
#define BURDOCKROCK_ENGINE_WORKERS_WORKER_OFFERS_H_

#include <string>

#include "engine/context.h"

namespace burdockrock::engine {

void OnTaskOffer(Context& context,
                 const std::string& from,
                 const TaskOffer& offer);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_WORKERS_WORKER_OFFERS_H_
