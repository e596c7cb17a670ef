// The engine as a reducer: each event changes the state and returns effects. It
// does no I/O and reads no clock.
#ifndef BURDOCKROCK_ENGINE_REDUCER_H_
#define BURDOCKROCK_ENGINE_REDUCER_H_

#include "engine/event.h"
#include "engine/options.h"
#include "engine/state.h"

namespace burdockrock::engine {

State MakeState(EngineOptions options);

// Handles one event.
Effects Step(State& state, const Event& event);

// The time by which the next TimePassed event is due.
Time NextTime(const State& state, Time now);

// Whether this instance should receive callers' requests.
bool IsReady(const State& state);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_REDUCER_H_
