// Prints the figures of a benchmark as JSON lines and holds them to bounds.
#ifndef BURDOCKROCK_TESTS_BENCH_BENCH_REPORT_H_
#define BURDOCKROCK_TESTS_BENCH_BENCH_REPORT_H_

#include <compare>
#include <optional>
#include <string>

namespace burdockrock::bench {

enum class BoundSide { kAtMost, kAtLeast };

struct Bound {
  BoundSide side = BoundSide::kAtMost;
  double limit = 0;
  auto operator<=>(const Bound&) const = default;
};

inline Bound AtMost(double limit) {
  return {.side = BoundSide::kAtMost, .limit = limit};
}

inline Bound AtLeast(double limit) {
  return {.side = BoundSide::kAtLeast, .limit = limit};
}

struct Figure {
  std::string name;
  double value = 0;
  std::string unit;
  std::optional<Bound> bound{};
  std::optional<double> baseline{};
  auto operator<=>(const Figure&) const = default;
};

class BenchReport {
 public:
  // Prints one line:
  //   {"name","value","unit","bound","bound_side","baseline"}
  // `bound` is null when there is none; `bound_side` ("max" or "min") and
  // `baseline` are left out when there is none.
  void Add(const Figure& figure);

  // 1 when a figure was past its bound; each is named on stderr.
  int ExitCode() const { return is_past_bound_ ? 1 : 0; }

 private:
  bool is_past_bound_ = false;
};

}  // namespace burdockrock::bench

#endif  // BURDOCKROCK_TESTS_BENCH_BENCH_REPORT_H_
