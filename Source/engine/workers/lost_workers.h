// Declares unreachable workers lost by the list of machines. All runs at a
// worker have ended once its machine has another worker or none. This needs a
// reply from neither the worker nor a former owner.
#ifndef BURDOCKROCK_ENGINE_WORKERS_LOST_WORKERS_H_
#define BURDOCKROCK_ENGINE_WORKERS_LOST_WORKERS_H_

#include "engine/context.h"

namespace burdockrock::engine {

// Whether a listing is due because some owned worker is unresponsive.
bool NeedsMachineListing(const Context& context);

// Declares owned workers lost that are unresponsive and on no running machine.
// `machines` is a complete listing that was requested at `requested_at`.
void DeclareLostWorkers(Context& context,
                        const MachineList& machines,
                        Time requested_at);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_WORKERS_LOST_WORKERS_H_
