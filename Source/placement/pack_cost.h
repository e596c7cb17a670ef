// How well a task packs into a worker.
#ifndef BURDOCKROCK_PLACEMENT_PACK_COST_H_
#define BURDOCKROCK_PLACEMENT_PACK_COST_H_

#include "model/resources.h"

namespace burdockrock {

// The cost of a task of `need` on a worker with `free` of `capacity`: lower is
// better. Grows with the angle between the task and the free room, since room
// in one dimension is of no use without the other, and with the room that
// stays free, since large tasks need whole workers. Looks at processors and
// memory.
double PackCost(const Resources& need,
                const Resources& free,
                const Resources& capacity);

}  // namespace burdockrock

#endif  // BURDOCKROCK_PLACEMENT_PACK_COST_H_
