#include "engine/workers/pool_rule.h"

#include <algorithm>

namespace burdockrock::engine {

namespace {

// Shorter bursts are over before another machine helps.
constexpr Duration kPressureTime = std::chrono::milliseconds(3000);
// Bursts recur within this time, and each move of a machine has a cost.
constexpr Duration kCalmTime = std::chrono::milliseconds(30'000);

bool IsStandby(const Configuration& configuration, const std::string& pool) {
  return std::any_of(
      configuration.services.begin(), configuration.services.end(),
      [&](const ServicePolicy& it) { return it.name == pool && it.standby; });
}

bool HasWaitedFor(Time since, Time now, Duration span) {
  return since != kForever && now - since >= span;
}

}  // namespace

PoolPressure AddPressure(PoolPressure pressure, Time now, bool waiting) {
  if (waiting) {
    return {.waiting_since = std::min(pressure.waiting_since, now)};
  }
  return {.calm_since = std::min(pressure.calm_since, now)};
}

std::optional<PoolMove> ChooseMoveIn(const PoolView& view, Time now) {
  for (const auto& [service, pressure] : view.pressure) {
    if (!HasWaitedFor(pressure.waiting_since, now, kPressureTime)) {
      continue;
    }
    for (const auto& [name, machine] : *view.machines) {
      const bool fits = machine.state == MachineState::kUp &&
                        IsStandby(*view.configuration, machine.pool) &&
                        !view.impossible.contains({name, service});
      if (fits) {
        return PoolMove{.machine = name, .pool = service};
      }
    }
  }
  return std::nullopt;
}

std::optional<PoolMove> ChooseMoveBack(const PoolView& view, Time now) {
  for (const auto& [name, pool] : view.borrowed) {
    const auto machine = view.machines->find(name);
    if (machine == view.machines->end() ||
        machine->second.state != MachineState::kUp) {
      continue;
    }
    const auto pressure = view.pressure.find(machine->second.pool);
    if (pressure != view.pressure.end() &&
        HasWaitedFor(pressure->second.calm_since, now, kCalmTime)) {
      return PoolMove{.machine = name, .pool = pool};
    }
  }
  return std::nullopt;
}

}  // namespace burdockrock::engine
