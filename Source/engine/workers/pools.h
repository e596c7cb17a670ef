// Moves machines of standby pools to services whose jobs wait, and returns them
// later.
#ifndef BURDOCKROCK_ENGINE_WORKERS_POOLS_H_
#define BURDOCKROCK_ENGINE_WORKERS_POOLS_H_

#include "engine/context.h"

namespace burdockrock::engine {

// Whether there is a standby pool, for which machines have to be listed.
bool HasStandby(const State& state);

// Updates how long jobs of each service have been waiting. Done by every
// instance, since any may get the upkeep duty.
void UpdatePressure(Context& context);

// The move to command now, for the holder of the upkeep duty. A machine is
// returned once it is empty; until then its worker's owner is requested to
// empty it.
std::optional<MoveMachine> NextMove(Context& context);

void OnMoveAnswer(Context& context,
                  const MoveMachine& command,
                  const MachineAnswer& answer);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_WORKERS_POOLS_H_
