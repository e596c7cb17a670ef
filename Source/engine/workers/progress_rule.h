// Whether the work of a run goes on. A pure function of what its worker lists.
#ifndef BURDOCKROCK_ENGINE_WORKERS_PROGRESS_RULE_H_
#define BURDOCKROCK_ENGINE_WORKERS_PROGRESS_RULE_H_

#include <compare>
#include <cstdint>

#include "model/time.h"

namespace burdockrock::engine {

// What a worker's listings have shown of one run.
struct RunProgress {
  Time first_at{0};  // the first listing that had it
  std::uint32_t first_percent = 0;
  Time risen_at{0};  // the last listing in which it had got further
  std::uint32_t percent = 0;

  auto operator<=>(const RunProgress&) const = default;
};

RunProgress BeginProgress(Time now, std::uint32_t percent);
RunProgress AddProgress(RunProgress progress, Time now, std::uint32_t percent);

// By its own progress before, or else by its estimate, it should have got
// further by now.
bool IsStalled(const RunProgress& progress, Time now, Duration estimate);

// Starting it again elsewhere throws `lost` away; waiting costs nobody knows
// how long. It is moved when it has stood still for half of what moving costs,
// which is never more than three times as dear as knowing would have been.
bool IsWorthMoving(const RunProgress& progress, Time now, Duration lost);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_WORKERS_PROGRESS_RULE_H_
