// What the list of machines says of workers that can't be reached: a machine
// whose worker is another by now, or none, has ended all that ran at the old
// one. It needs neither the worker nor a former owner.
#ifndef BURDOCKROCK_ENGINE_WORKERS_LOST_WORKERS_H_
#define BURDOCKROCK_ENGINE_WORKERS_LOST_WORKERS_H_

#include "engine/context.h"

namespace burdockrock::engine {

// Some silent worker may still have leases, and a listing is due.
bool NeedsMachineListing(const Context& context);

// Takes owned workers that are silent and have no machine for gone. `machines`
// is a whole listing that was begun at `asked`.
void DeclareLostWorkers(Context& context,
                        const MachineList& machines,
                        Time asked);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_WORKERS_LOST_WORKERS_H_
