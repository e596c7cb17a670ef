#include "bench/sample.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>

namespace burdockrock::bench {

double Sample::Mean() const {
  const double sum = std::accumulate(values_.begin(), values_.end(), 0.0);
  return values_.empty() ? std::numeric_limits<double>::quiet_NaN()
                         : sum / static_cast<double>(values_.size());
}

double Sample::Quantile(double part) const {
  if (values_.empty()) {
    return std::numeric_limits<double>::quiet_NaN();
  }
  std::vector<double> sorted = values_;
  const double rank = std::ceil(part * static_cast<double>(sorted.size()));
  const auto at = static_cast<std::size_t>(std::max(rank, 1.0)) - 1;
  const auto it = sorted.begin() +
                  static_cast<std::ptrdiff_t>(std::min(at, sorted.size() - 1));
  std::nth_element(sorted.begin(), it, sorted.end());
  return *it;
}

}  // namespace burdockrock::bench
