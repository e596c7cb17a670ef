// Decides whether a run is stalled. Pure functions of what its worker lists.
#ifndef BURDOCKROCK_ENGINE_WORKERS_PROGRESS_RULE_H_
#define BURDOCKROCK_ENGINE_WORKERS_PROGRESS_RULE_H_

#include <compare>
#include <cstdint>

#include "model/time.h"

namespace burdockrock::engine {

// The progress of one run as seen in its worker's listings.
struct RunProgress {
  Time first_at{0};  // first listing that contained it
  std::uint32_t first_percent = 0;
  Time risen_at{0};  // last listing with an increase
  std::uint32_t percent = 0;

  auto operator<=>(const RunProgress&) const = default;
};

RunProgress BeginProgress(Time now, std::uint32_t percent);
// Starts over when `percent` has decreased.
RunProgress AddProgress(RunProgress progress, Time now, std::uint32_t percent);

// Whether the run should have progressed by now, by its own earlier pace or
// else by its estimate.
bool IsStalled(const RunProgress& progress, Time now, Duration estimate);

// Whether to restart a stalled run elsewhere, which discards `lost`, the work
// done so far. How long the stall will last is unknown. Moving the run once it
// has been stalled for half of `lost` costs at most three times as much as the
// best choice in hindsight.
bool IsWorthMoving(const RunProgress& progress, Time now, Duration lost);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_WORKERS_PROGRESS_RULE_H_
