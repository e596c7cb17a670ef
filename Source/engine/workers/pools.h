// Brings machines of standby pools in while work waits, and gives them back.
#ifndef BURDOCKROCK_ENGINE_WORKERS_POOLS_H_
#define BURDOCKROCK_ENGINE_WORKERS_POOLS_H_

#include "engine/context.h"

namespace burdockrock::engine {

// Whether there is a standby pool, so that machines have to be listed.
bool HasStandby(const State& state);

// What waits; at every instance, as any may get the duty.
void UpdatePressure(Context& context);

// A move to order now, by the one that has the duty. An emptied machine is
// given back; until then its worker's owner is asked to empty it.
std::optional<MoveMachine> NextMove(Context& context);

void OnMoveAnswer(Context& context,
                  const MoveMachine& order,
                  const MachineAnswer& answer);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_WORKERS_POOLS_H_
