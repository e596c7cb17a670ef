#include "engine/workers/speed_estimate.h"

#include <algorithm>
#include <cmath>

namespace burdockrock::engine {

namespace {

// Single estimates are off by 20 to 90%. The mean of this many runs is accurate
// to between a tenth and a third.
constexpr std::uint32_t kMinSamples = 4;
// A worker that becomes slow is noticed after about this many runs.
constexpr double kWindowRuns = 12;
constexpr double kMaxRatio = 10;
constexpr double kHundredths = 100;

}  // namespace

SpeedEstimate::SpeedEstimate(std::uint32_t slowness) {
  if (slowness > 0) {
    log_ratio_ = std::log(slowness / kHundredths);
    samples_ = kMinSamples;
  }
}

void SpeedEstimate::Add(Duration took, Duration estimate) {
  if (took <= Duration(0) || estimate <= Duration(0)) {
    return;
  }
  const double ratio = std::clamp(
      static_cast<double>(took.count()) / static_cast<double>(estimate.count()),
      1 / kMaxRatio, kMaxRatio);
  ++samples_;
  const double weight =
      1 / std::min(static_cast<double>(samples_), kWindowRuns);
  log_ratio_ += weight * (std::log(ratio) - log_ratio_);
}

std::uint32_t SpeedEstimate::slowness() const {
  if (samples_ < kMinSamples) {
    return 0;
  }
  return static_cast<std::uint32_t>(
      std::lround(std::exp(log_ratio_) * kHundredths));
}

}  // namespace burdockrock::engine
