#include "bench/bench_report.h"

#include <cmath>
#include <cstdio>

#include <fmt/format.h>

namespace burdockrock::bench {

namespace {

bool IsPast(const Figure& figure) {
  if (!figure.bound) {
    return false;
  }
  // A figure that can't be computed is past any bound.
  if (std::isnan(figure.value)) {
    return true;
  }
  return figure.bound->side == BoundSide::kAtMost
             ? figure.value > figure.bound->limit
             : figure.value < figure.bound->limit;
}

std::string Number(double value) {
  return std::isfinite(value) ? fmt::format("{:.6g}", value) : "null";
}

}  // namespace

void BenchReport::Add(const Figure& figure) {
  std::string line =
      fmt::format(R"({{"name":"{}","value":{},"unit":"{}","bound":{})",
                  figure.name, Number(figure.value), figure.unit,
                  figure.bound ? Number(figure.bound->limit) : "null");
  if (figure.bound) {
    line +=
        fmt::format(R"(,"bound_side":"{}")",
                    figure.bound->side == BoundSide::kAtMost ? "max" : "min");
  }
  if (figure.baseline) {
    line += fmt::format(R"(,"baseline":{})", Number(*figure.baseline));
  }
  fmt::print("{}}}\n", line);
  std::fflush(stdout);
  if (IsPast(figure)) {
    is_past_bound_ = true;
    fmt::print(stderr, "past its bound: {} is {} {}, bound {}\n", figure.name,
               Number(figure.value), figure.unit, Number(figure.bound->limit));
  }
}

}  // namespace burdockrock::bench
