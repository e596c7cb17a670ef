// When a machine of a standby pool is brought in, and when it is given back.
// Pure functions: the load pattern they answer is work that waits for seconds
// though every placement was tried, as when a season opens.
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

// How long jobs of a service have waited without a break, or none has.
struct PoolPressure {
  Time waiting_since = kForever;
  Time calm_since = kForever;
};

PoolPressure AddPressure(PoolPressure pressure, Time now, bool waiting);

struct PoolView {
  const Configuration* configuration = nullptr;
  const MachineList* machines = nullptr;
  std::map<std::string, PoolPressure> pressure{};  // by service
  // Machines that were brought in, and the pool that each came from.
  std::map<std::string, std::string> borrowed{};
  // Moves that the service of machines does not allow: machine and pool.
  std::set<std::pair<std::string, std::string>> impossible{};
};

struct PoolMove {
  std::string machine{};
  std::string pool{};  // to which
  auto operator<=>(const PoolMove&) const = default;
};

// A machine to bring in now.
std::optional<PoolMove> ChooseMoveIn(const PoolView& view, Time now);

// A machine to give back once nothing runs there.
std::optional<PoolMove> ChooseMoveBack(const PoolView& view, Time now);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_WORKERS_POOL_RULE_H_
