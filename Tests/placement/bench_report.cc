// A bound is printed as text, ">= 0.95" or "<= 40", or null.
#include "bench_report.h"

#include <string>

#include <fmt/core.h>

namespace burdockrock {

namespace {

std::string Describe(const Bound& bound) {
  if (bound.at_least) {
    return fmt::format("\">= {:.4g}\"", *bound.at_least);
  }
  if (bound.at_most) {
    return fmt::format("\"<= {:.4g}\"", *bound.at_most);
  }
  return "null";
}

}  // namespace

void BenchReport::Add(std::string_view name,
                      double value,
                      std::string_view unit,
                      const Bound& bound) {
  const bool low = bound.at_least && !(value >= *bound.at_least);
  const bool high = bound.at_most && !(value <= *bound.at_most);
  fmt::print(
      "{{\"name\":\"{}\",\"value\":{:.6g},\"unit\":\"{}\",\"bound\":{}}}\n",
      name, value, unit, Describe(bound));
  if (low || high) {
    fmt::print(stderr, "{}: {:.6g} is past its bound {}\n", name, value,
               Describe(bound));
    past_bound_ = true;
  }
}

}  // namespace burdockrock
