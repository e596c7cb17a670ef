#include "runtime/initial_state.h"

#include <utility>

#include "runtime/clock.h"

namespace burdockrock {

namespace {

// The wall clock's reading, in milliseconds, when the steady clock was at 0.
std::int64_t WallAtSteadyZero() {
  const auto wall_us = static_cast<std::int64_t>(WallMicroseconds());
  return ToMilliseconds(Duration(wall_us) - SteadyNow());
}

}  // namespace

State MakeInitialState(const ProcessSettings& settings,
                       const std::string& incarnation,
                       std::uint64_t seed) {
  StateOptions options;
  options.instance = settings.instance;
  options.incarnation = incarnation;
  options.domain = settings.domain;
  options.site = settings.site;
  options.seed = seed;
  options.wall_start_ms = WallAtSteadyZero();
  for (const PeerSettings& it : settings.peers) {
    options.peers.push_back(
        {.id = it.id, .domain = it.domain, .address = it.address});
  }
  return MakeState(std::move(options));
}

}  // namespace burdockrock
