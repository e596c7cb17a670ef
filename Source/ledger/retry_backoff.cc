#include "ledger/retry_backoff.h"

#include <algorithm>

namespace burdockrock {

RetryBackoff::RetryBackoff(const RetryBackoffOptions& options)
    : options_(options), step_(options.initial), state_(options.seed) {}

Duration RetryBackoff::NextDelay() {
  const Duration half = step_ / 2;
  const Duration delay = half + Jitter(step_ - half);
  step_ = std::min(step_ * 2, options_.maximum);
  return delay;
}

Duration RetryBackoff::Jitter(Duration limit) {
  if (limit <= Duration(0)) {
    return Duration(0);
  }
  const auto range = static_cast<std::uint64_t>(limit.count());
  return Duration(static_cast<Duration::rep>(Random() % range));
}

void RetryBackoff::Reset() {
  step_ = options_.initial;
}

// SplitMix64 (Steele, Lea, Flood 2014): any seed is a good one.
std::uint64_t RetryBackoff::Random() {
  state_ += 0x9e3779b97f4a7c15U;
  std::uint64_t z = state_;
  z = (z ^ (z >> 30U)) * 0xbf58476d1ce4e5b9U;
  z = (z ^ (z >> 27U)) * 0x94d049bb133111ebU;
  return z ^ (z >> 31U);
}

}  // namespace burdockrock
