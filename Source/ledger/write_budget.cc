#include "ledger/write_budget.h"

#include <algorithm>
#include <cmath>

namespace burdockrock {
namespace {

constexpr double kMicrosecondsPerSecond = 1e6;

}  // namespace

WriteBudget::WriteBudget(const WriteBudgetOptions& options)
    : options_(options), tokens_(options.burst) {}

bool WriteBudget::TryTake(bool urgent, Time now) {
  tokens_ = TokensAt(now);
  updated_ = std::max(updated_, now);
  if (tokens_ < Needed(urgent)) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

Time WriteBudget::NextTime(bool urgent, Time now) const {
  const double missing = Needed(urgent) - TokensAt(now);
  if (missing <= 0) {
    return now;
  }
  const double micros =
      missing / options_.writes_per_second * kMicrosecondsPerSecond;
  // One more, so that rounding never leaves the bucket just short.
  return now + Duration(static_cast<Duration::rep>(std::ceil(micros)) + 1);
}

double WriteBudget::TokensAt(Time now) const {
  const Duration passed = std::max(now - updated_, Duration(0));
  const double gained = static_cast<double>(passed.count()) *
                        options_.writes_per_second / kMicrosecondsPerSecond;
  return std::min(options_.burst, tokens_ + gained);
}

double WriteBudget::Needed(bool urgent) const {
  const double reserve = std::min(options_.urgent_reserve, options_.burst - 1);
  return urgent ? 1 : 1 + std::max(reserve, 0.0);
}

}  // namespace burdockrock
