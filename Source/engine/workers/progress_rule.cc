#include "engine/workers/progress_rule.h"

#include <algorithm>
#include <chrono>

namespace burdockrock::engine {

namespace {

// Pauses of a few tenths of a second are common on busy workers.
constexpr Duration kMinStall = std::chrono::milliseconds(800);
// Expected progress that is missing, in percent of the run. A worker that
// became eight times slower has advanced by one percent by then, which is
// visible.
constexpr double kMinMissedPercent = 10;
// Less progress than this says little about the pace.
constexpr std::uint32_t kMinRisePercent = 3;
// A run without progress so far may take this many times its estimate:
// estimates are too low by a factor of up to 2, and slow workers take up to 4
// times as long.
constexpr int kMaxEstimateFactor = 8;
constexpr Duration kMinEstimate = std::chrono::milliseconds(100);
constexpr double kAllPercent = 100;

// In percent per nanosecond.
double ExpectedPace(const RunProgress& progress, Duration estimate) {
  const Duration span = progress.risen_at - progress.first_at;
  const std::uint32_t rise = progress.percent - progress.first_percent;
  if (rise >= kMinRisePercent && span > Duration(0)) {
    return rise / static_cast<double>(span.count());
  }
  const Duration longest =
      kMaxEstimateFactor * std::max(estimate, kMinEstimate);
  return kAllPercent / static_cast<double>(longest.count());
}

}  // namespace

RunProgress BeginProgress(Time now, std::uint32_t percent) {
  return {.first_at = now,
          .first_percent = percent,
          .risen_at = now,
          .percent = percent};
}

RunProgress AddProgress(RunProgress progress, Time now, std::uint32_t percent) {
  if (percent < progress.percent) {
    return BeginProgress(now, percent);
  }
  if (percent > progress.percent) {
    progress.percent = percent;
    progress.risen_at = now;
  }
  return progress;
}

bool IsStalled(const RunProgress& progress, Time now, Duration estimate) {
  const Duration stalled = now - progress.risen_at;
  return progress.percent < kAllPercent && stalled >= kMinStall &&
         ExpectedPace(progress, estimate) *
                 static_cast<double>(stalled.count()) >=
             kMinMissedPercent;
}

bool IsWorthMoving(const RunProgress& progress, Time now, Duration lost) {
  return 2 * (now - progress.risen_at) >= lost;
}

}  // namespace burdockrock::engine
