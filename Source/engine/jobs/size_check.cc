#include "engine/jobs/size_check.h"

#include <algorithm>

#include <fmt/format.h>

#include "engine/state.h"

namespace burdockrock::engine {

namespace {

bool FitAll(const JobSpec& spec, const Resources& largest) {
  return std::all_of(
      spec.steps.begin(), spec.steps.end(),
      [&](const StepSpec& it) { return Fits(RoomOf(it), largest); });
}

}  // namespace

std::optional<SpecFault> CheckSizes(const State& state,
                                    const JobSpec& spec,
                                    const std::string& service) {
  Resources largest;
  for (const auto& [id, it] : state.workers) {
    if (it.info.service == service && !Fits(it.info.capacity, largest)) {
      const Resources& capacity = it.info.capacity;
      largest.processors_milli =
          std::max(largest.processors_milli, capacity.processors_milli);
      largest.memory_mb = std::max(largest.memory_mb, capacity.memory_mb);
      largest.accelerators =
          std::max(largest.accelerators, capacity.accelerators);
      // Mostly the first worker is large enough.
      if (FitAll(spec, largest)) {
        return std::nullopt;
      }
    }
  }
  if (largest == Resources()) {
    return std::nullopt;
  }
  for (std::size_t it = 0; it < spec.steps.size(); ++it) {
    const Resources needed = RoomOf(spec.steps[it]);
    if (!Fits(needed, largest)) {
      return SpecFault{.path = fmt::format("steps[{}]", it),
                       .problem = DescribeMisfit(needed, largest),
                       .allowed = "what the largest worker has"};
    }
  }
  return std::nullopt;
}

std::optional<SpecFault> CheckGangs(const JobSpec& spec, const Resources& cap) {
  for (std::size_t it = 0; it < spec.steps.size(); ++it) {
    const StepSpec& step = spec.steps[it];
    const Resources needed = LimitedPart(
        {.processors_milli = step.each.processors_milli * step.count,
         .memory_mb = step.each.memory_mb * step.count,
         .accelerators = step.each.accelerators * step.count},
        cap);
    if (step.gang && !Fits(needed, LimitedPart(cap, cap))) {
      return SpecFault{.path = fmt::format("steps[{}].gang", it),
                       .problem = DescribeMisfit(needed, LimitedPart(cap, cap)),
                       .allowed = "a gang that fits in the cap of its team"};
    }
  }
  return std::nullopt;
}

}  // namespace burdockrock::engine
