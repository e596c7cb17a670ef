// How well tasks pack into a worker.
#ifndef BURDOCKROCK_PLACEMENT_PACK_SCORE_H_
#define BURDOCKROCK_PLACEMENT_PACK_SCORE_H_

#include "model/resources.h"

namespace burdockrock {

// The cost of leaving `remainder` free on a worker of `capacity`: lower is
// better, 0 is a full worker. Grows with what is left and with how unevenly
// it is left, since room in one dimension is of no use without the others.
double RemainderCost(const Resources& remainder, const Resources& capacity);

}  // namespace burdockrock

#endif  // BURDOCKROCK_PLACEMENT_PACK_SCORE_H_
