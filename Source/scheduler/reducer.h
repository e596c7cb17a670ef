// The one reducer of an entry instance: every decision is made here, from
// events alone. It reads no clock, no socket and no random source, so the same
// events give the same effects.
#ifndef BURDOCKROCK_SCHEDULER_REDUCER_H_
#define BURDOCKROCK_SCHEDULER_REDUCER_H_

#include "scheduler/effect.h"
#include "scheduler/event.h"
#include "scheduler/state.h"

namespace burdockrock {

// Applies one event and returns what is to be done, in order.
Effects Step(State& state, const Event& event);

// When the next TimerFired is due; kForever when none is.
Time NextTime(const State& state);

}  // namespace burdockrock

#endif  // BURDOCKROCK_SCHEDULER_REDUCER_H_
