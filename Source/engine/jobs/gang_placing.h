// Placement of gangs: room is booked for all members, and then all are started
// together.
#ifndef BURDOCKROCK_ENGINE_JOBS_GANG_PLACING_H_
#define BURDOCKROCK_ENGINE_JOBS_GANG_PLACING_H_

#include "engine/jobs/placement_round.h"

namespace burdockrock::engine {

// Books room for the gang, or starts it once all of its room is booked.
void PlaceGang(PlacementRound& round, const ReadyStep& ready);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_JOBS_GANG_PLACING_H_
