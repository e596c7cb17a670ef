#include "observe/summary.h"

#include <cmath>
#include <functional>
#include <limits>
#include <random>

#include <doctest/doctest.h>

namespace burdockrock {
namespace {

constexpr int kSamples = 200'000;
constexpr std::size_t kMedian = 0;
constexpr std::size_t kP99 = 1;
constexpr std::size_t kP999 = 2;

void Fill(Summary& summary,
          const std::function<double(std::mt19937_64&)>& draw) {
  std::mt19937_64 random(42);
  for (int n = 0; n < kSamples; ++n) {
    summary.Observe(draw(random));
  }
}

TEST_CASE("Quantiles of an exponential distribution") {
  Summary summary;
  Fill(summary, std::exponential_distribution<double>(1));
  CHECK(summary.Quantile(kMedian) ==
        doctest::Approx(-std::log(0.5)).epsilon(0.02));
  CHECK(summary.Quantile(kP99) ==
        doctest::Approx(-std::log(0.01)).epsilon(0.03));
  CHECK(summary.Quantile(kP999) ==
        doctest::Approx(-std::log(0.001)).epsilon(0.05));
  CHECK(summary.Mean() == doctest::Approx(1).epsilon(0.01));
}

// Waiting times have such a long tail.
TEST_CASE("Quantiles of a lognormal distribution") {
  Summary summary;
  Fill(summary, std::lognormal_distribution<double>(0, 1));
  CHECK(summary.Quantile(kMedian) == doctest::Approx(1).epsilon(0.02));
  CHECK(summary.Quantile(kP99) ==
        doctest::Approx(std::exp(2.3263)).epsilon(0.05));
  CHECK(summary.Quantile(kP999) ==
        doctest::Approx(std::exp(3.0902)).epsilon(0.05));
}

// Symptom: the median of the waiting time reads twice its value for days.
// Sequence: hours of even load, then as long an overload with ten times the
// waiting time.
// Cause: an estimator whose few markers can't follow a shift.
TEST_CASE("Quantiles after the distribution has shifted") {
  Summary summary;
  Fill(summary, std::lognormal_distribution<double>(0, 1));
  Fill(summary, std::lognormal_distribution<double>(std::log(10), 1));
  CHECK(summary.Quantile(kMedian) ==
        doctest::Approx(std::sqrt(10)).epsilon(0.08));
  // A hundredth of all values is a fiftieth of the second half.
  CHECK(summary.Quantile(kP99) ==
        doctest::Approx(10 * std::exp(2.0537)).epsilon(0.08));
  CHECK(summary.Quantile(kP999) ==
        doctest::Approx(10 * std::exp(2.8782)).epsilon(0.08));
}

TEST_CASE("The first thousand values give exact quantiles") {
  Summary summary;
  constexpr int kCoprimeStep = 617;
  for (int n = 0; n < 1000; ++n) {
    summary.Observe(n * kCoprimeStep % 1000 + 1);
  }
  CHECK(summary.Quantile(kMedian) == 500);
  CHECK(summary.Quantile(kP99) == 990);
  CHECK(summary.Quantile(kP999) == 999);
}

TEST_CASE("The first values give exact quantiles in any order") {
  Summary summary;
  CHECK(std::isnan(summary.Quantile(kMedian)));
  CHECK(std::isnan(summary.Max()));
  summary.Observe(9);
  CHECK(summary.Quantile(kMedian) == 9);
  for (const double it : {5., 1., 7., 3., 8., 2., 6., 4.}) {
    summary.Observe(it);
  }
  CHECK(summary.Count() == 9);
  CHECK(summary.Sum() == 45);
  CHECK(summary.Mean() == 5);
  CHECK(summary.Max() == 9);
  CHECK(summary.Quantile(kMedian) == 5);
  CHECK(summary.Quantile(kP999) == 9);
}

// Symptom: the waiting time reads NaN until the process is replaced.
// Sequence: one observation is not finite, such as a rate over no time.
// Cause: the sum and the markers take it in and never lose it again.
TEST_CASE("A value that is not finite is left out") {
  Summary summary;
  summary.Observe(1);
  summary.Observe(std::numeric_limits<double>::quiet_NaN());
  summary.Observe(std::numeric_limits<double>::infinity());
  CHECK(summary.Count() == 1);
  CHECK(summary.Sum() == 1);
}

}  // namespace
}  // namespace burdockrock
