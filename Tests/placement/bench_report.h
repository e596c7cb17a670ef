// Figures of a benchmark as JSON lines, checked against their bounds.
#ifndef BURDOCKROCK_TESTS_PLACEMENT_BENCH_REPORT_H_
#define BURDOCKROCK_TESTS_PLACEMENT_BENCH_REPORT_H_

#include <optional>
#include <string_view>

namespace burdockrock {

// What a figure may be; absent: any.
struct Bound {
  std::optional<double> at_least = std::nullopt;
  std::optional<double> at_most = std::nullopt;
};

// Prints each figure as it is added and remembers if one is past its bound.
class BenchReport {
 public:
  void Add(std::string_view name,
           double value,
           std::string_view unit,
           const Bound& bound = {});

  // 0 when every figure is within its bound, else 1.
  int exit_code() const { return past_bound_ ? 1 : 0; }

 private:
  bool past_bound_ = false;
};

}  // namespace burdockrock

#endif  // BURDOCKROCK_TESTS_PLACEMENT_BENCH_REPORT_H_
