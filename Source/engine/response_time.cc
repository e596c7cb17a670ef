#include "engine/response_time.h"

#include <algorithm>
#include <chrono>

namespace burdockrock::engine {

namespace {

// Weights of a new sample, and number of deviations in a timeout (RFC 6298).
constexpr int kMeanDivisor = 8;
constexpr int kDeviationDivisor = 4;
constexpr int kDeviations = 4;

}  // namespace

ResponseTime ResponseTime::With(Duration sample) const {
  ResponseTime next = *this;
  if (!known_) {
    next.mean_ = sample;
    next.deviation_ = sample / 2;
    next.known_ = true;
    return next;
  }
  const Duration off = std::chrono::abs(sample - mean_);
  next.deviation_ += (off - deviation_) / kDeviationDivisor;
  next.mean_ += (sample - mean_) / kMeanDivisor;
  return next;
}

Duration ResponseTime::Timeout(Duration least, Duration most) const {
  return known_ ? std::clamp(mean_ + kDeviations * deviation_, least, most)
                : most;
}

}  // namespace burdockrock::engine
