#include "bench/slope.h"

#include <algorithm>
#include <cmath>

#include <fmt/format.h>

namespace burdockrock::bench {

Line FitLine(const std::vector<Point>& points) {
  const auto count = static_cast<double>(points.size());
  double size_sum = 0;
  double value_sum = 0;
  for (const Point& it : points) {
    size_sum += it.size;
    value_sum += it.value;
  }
  const double size_mean = size_sum / count;
  const double value_mean = value_sum / count;
  double spread = 0;
  double product = 0;
  for (const Point& it : points) {
    spread += (it.size - size_mean) * (it.size - size_mean);
    product += (it.size - size_mean) * (it.value - value_mean);
  }
  Line line;
  line.slope = product / spread;
  line.intercept = value_mean - line.slope * size_mean;
  double largest = 0;
  double distance = 0;
  for (const Point& it : points) {
    const double on_line = line.intercept + line.slope * it.size;
    largest = std::max(largest, std::abs(it.value));
    distance = std::max(distance, std::abs(it.value - on_line));
  }
  line.residual = largest > 0 ? distance / largest : 0;
  return line;
}

void ReportLine(BenchReport& report,
                const std::string& name,
                const std::string& unit,
                const std::string& per,
                const std::vector<Point>& points) {
  const Line line = FitLine(points);
  report.Add({.name = name, .value = line.slope, .unit = unit + "/" + per});
  report.Add(
      {.name = name + ".intercept", .value = line.intercept, .unit = unit});
  report.Add(
      {.name = name + ".residual", .value = line.residual, .unit = "share"});
  for (const Point& it : points) {
    report.Add({.name = fmt::format("{}.at_{:.0f}", name, it.size),
                .value = it.value,
                .unit = unit});
  }
}

}  // namespace burdockrock::bench
