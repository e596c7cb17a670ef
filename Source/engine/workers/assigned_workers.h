// The workers that the current members assign to this instance.
#ifndef BURDOCKROCK_ENGINE_WORKERS_ASSIGNED_WORKERS_H_
#define BURDOCKROCK_ENGINE_WORKERS_ASSIGNED_WORKERS_H_

#include <string>
#include <vector>

#include "engine/context.h"

namespace burdockrock::engine {

// In the order of their names; some may be gone. Chosen anew only when the
// members or the workers have changed.
const std::vector<std::string>& WorkersAssigned(Context& context);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_WORKERS_ASSIGNED_WORKERS_H_
