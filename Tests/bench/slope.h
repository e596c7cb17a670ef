// A straight line through measured points.
#ifndef BURDOCKROCK_TESTS_BENCH_SLOPE_H_
#define BURDOCKROCK_TESTS_BENCH_SLOPE_H_

#include <string>
#include <vector>

#include "bench/bench_report.h"

namespace burdockrock::bench {

struct Point {
  double size = 0;
  double value = 0;
};

struct Line {
  double slope = 0;
  double intercept = 0;
  // The largest distance of a point from the line, as a share of the largest
  // value.
  double residual = 0;
};

// Least squares; at least two sizes.
Line FitLine(const std::vector<Point>& points);

// Reports NAME (the slope), NAME.intercept, NAME.residual and each point as
// NAME.at_SIZE. `unit` is that of the value, `per` what the size counts.
void ReportLine(BenchReport& report,
                const std::string& name,
                const std::string& unit,
                const std::string& per,
                const std::vector<Point>& points);

}  // namespace burdockrock::bench

#endif  // BURDOCKROCK_TESTS_BENCH_SLOPE_H_
