// Exports the state of a process for operators and metrics.
#ifndef BURDOCKROCK_SCHEDULER_DUMP_H_
#define BURDOCKROCK_SCHEDULER_DUMP_H_

#include <array>
#include <cstdint>

#include <json/value.h>

#include "scheduler/state.h"

namespace burdockrock {

// Returns the state of the process as one JSON object. Ages are relative to
// `now`.
Json::Value DumpState(const State& state, Time now);

// The values that the metrics are computed from.
struct StateMetrics {
  std::uint32_t owned = 0;
  std::array<std::size_t, kUrgencyCount> waiting_requests{};
  std::int64_t waiting_tasks = 0;
  Resources capacity;  // of open owned workers
  Resources free;
  Counters counters;
};

StateMetrics CollectStateMetrics(const State& state);

}  // namespace burdockrock

#endif  // BURDOCKROCK_SCHEDULER_DUMP_H_
