// What a stopping instance tells the other members, so that they need not find
// it out anew.
#ifndef BURDOCKROCK_ENGINE_MEMBERS_STOP_HANDOVER_H_
#define BURDOCKROCK_ENGINE_MEMBERS_STOP_HANDOVER_H_

#include "engine/context.h"

namespace burdockrock::engine {

// Sends all others the workers that left the list and may still run tasks, and
// whether these are all. To be called while the instance is still registered.
void HandOverKnownWorkers(Context& context);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_MEMBERS_STOP_HANDOVER_H_
