// Decides when a machine of a standby pool is moved to a service, and when it
// is returned. Pure functions. They target load for which jobs wait for seconds
// although every placement was tried, as at the start of a lasting rise in
// load.
#ifndef BURDOCKROCK_ENGINE_WORKERS_POOL_RULE_H_
#define BURDOCKROCK_ENGINE_WORKERS_POOL_RULE_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "engine/calls.h"
#include "engine/configuration.h"
#include "engine/workers/upkeep_rule.h"
#include "model/time.h"

namespace burdockrock::engine {

// Since when jobs of a service have been waiting without a break, or since when
// none has; the other time is kForever.
struct PoolPressure {
  Time waiting_since = kForever;
  Time calm_since = kForever;
};

PoolPressure AddPressure(PoolPressure pressure, Time now, bool waiting);

struct PoolView {
  const Configuration* configuration = nullptr;
  const MachineList* machines = nullptr;
  std::map<std::string, PoolPressure> pressure{};  // by service
  // Machines that were moved in, and the pool that each came from.
  std::map<std::string, std::string> borrowed{};
  // Moves that the machine service refuses as invalid: machine and pool.
  std::set<std::pair<std::string, std::string>> impossible{};
};

struct PoolMove {
  std::string machine{};
  std::string pool{};  // target
  auto operator<=>(const PoolMove&) const = default;
};

// A machine to move in now.
std::optional<PoolMove> ChooseMoveIn(const PoolView& view, Time now);

// A machine to return once it has no runs.
std::optional<PoolMove> ChooseMoveBack(const PoolView& view, Time now);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_WORKERS_POOL_RULE_H_
