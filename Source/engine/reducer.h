// One step of the engine: an event in, effects out.
#ifndef BURDOCKROCK_ENGINE_REDUCER_H_
#define BURDOCKROCK_ENGINE_REDUCER_H_

#include "engine/event.h"
#include "engine/options.h"
#include "engine/state.h"

namespace burdockrock::engine {

State MakeState(EngineOptions options);

Effects Step(State& state, const Event& event);

// When TimePassed is wanted at the latest.
Time NextTime(const State& state, Time now);

// Whether callers should be sent here.
bool IsReady(const State& state);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_REDUCER_H_
