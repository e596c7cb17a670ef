// The engine's state as operators see it.
#ifndef BURDOCKROCK_RUNTIME_ENGINE_DUMP_H_
#define BURDOCKROCK_RUNTIME_ENGINE_DUMP_H_

#include <json/value.h>

#include "engine/state.h"
#include "observe/metrics.h"

namespace burdockrock {

Json::Value DumpEngine(const engine::State& state);

void SetEngineMetrics(Metrics& metrics, const engine::State& state, Time now);

}  // namespace burdockrock

#endif  // BURDOCKROCK_RUNTIME_ENGINE_DUMP_H_
