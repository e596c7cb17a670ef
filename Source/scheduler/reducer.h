// The reducer of an entry instance: makes every decision from events alone. It
// reads no clock, socket or external random source, so that equal states and
// events produce equal effects.
#ifndef BURDOCKROCK_SCHEDULER_REDUCER_H_
#define BURDOCKROCK_SCHEDULER_REDUCER_H_

#include "scheduler/effect.h"
#include "scheduler/event.h"
#include "scheduler/state.h"

namespace burdockrock {

// Applies one event and returns the resulting effects, in order.
Effects Step(State& state, const Event& event);

// When the next TimerFired is due; kForever if no timer is set.
Time NextTime(const State& state);

}  // namespace burdockrock

#endif  // BURDOCKROCK_SCHEDULER_REDUCER_H_
