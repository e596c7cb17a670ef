#include "observe/summary.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <sstream>  // extended_p_square_quantile.hpp needs it, lacks it

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

namespace burdockrock {

namespace {

namespace accumulators = boost::accumulators;
namespace tag = boost::accumulators::tag;

using Accumulator = accumulators::accumulator_set<
    double,
    accumulators::stats<tag::count,
                        tag::sum,
                        tag::mean,
                        tag::max,
                        tag::extended_p_square_quantile>>;

// The estimator follows these quantiles. It interpolates between neighbours, so
// with only the three that are asked for the median stays far off for good
// once the distribution shifts, as under overload; the others hold it close.
constexpr std::array<double, 17> kFollowed = {
    0.05, 0.1,  0.2,  0.3,  0.4,   0.5,    0.6,   0.7,   0.8,
    0.9,  0.95, 0.98, 0.99, 0.995, 0.9975, 0.999, 0.9995};

// The estimator answers 0 before each of its markers holds a value, and a high
// quantile of few values is far too low, so up to here the values themselves
// are kept.
constexpr std::size_t kExactValues = 1000;
constexpr std::size_t kMarkers = 2 * kFollowed.size() + 3;
static_assert(kExactValues >= kMarkers);

constexpr double kNone = std::numeric_limits<double>::quiet_NaN();

// The smallest of `n` sorted values that has the share `probability` at or
// below it.
std::size_t NearestRank(double probability, std::size_t n) {
  const double rank = std::ceil(probability * static_cast<double>(n));
  return std::max<std::size_t>(1, static_cast<std::size_t>(rank));
}

}  // namespace

struct Summary::State {
  Accumulator accumulator{accumulators::extended_p_square_probabilities =
                              kFollowed};
  std::array<double, kExactValues> first{};
};

Summary::Summary() : state_(std::make_unique<State>()) {}

Summary::~Summary() = default;

void Summary::Observe(double value) {
  if (!std::isfinite(value)) {
    return;
  }
  const std::uint64_t n = Count();
  if (n < kExactValues) {
    state_->first.at(n) = value;
  }
  state_->accumulator(value);
}

std::uint64_t Summary::Count() const {
  return accumulators::count(state_->accumulator);
}

double Summary::Sum() const {
  return accumulators::sum(state_->accumulator);
}

double Summary::Mean() const {
  return Count() == 0 ? kNone : accumulators::mean(state_->accumulator);
}

double Summary::Max() const {
  return Count() == 0 ? kNone : accumulators::max(state_->accumulator);
}

double Summary::Quantile(std::size_t index) const {
  const double probability = kSummaryQuantiles.at(index);
  const std::uint64_t n = Count();
  if (n == 0) {
    return kNone;
  }
  if (n > kExactValues) {
    return accumulators::quantile(
        state_->accumulator, accumulators::quantile_probability = probability);
  }
  std::array<double, kExactValues> sorted = state_->first;
  std::sort(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(n));
  return sorted.at(NearestRank(probability, n) - 1);
}

}  // namespace burdockrock
