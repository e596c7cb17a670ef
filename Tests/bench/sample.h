// Values of one measured quantity.
#ifndef BURDOCKROCK_TESTS_BENCH_SAMPLE_H_
#define BURDOCKROCK_TESTS_BENCH_SAMPLE_H_

#include <cstddef>
#include <vector>

namespace burdockrock::bench {

class Sample {
 public:
  void Add(double value) { values_.push_back(value); }
  std::size_t size() const { return values_.size(); }
  double Mean() const;

  // The least value that a share `part` of all values does not exceed; NaN
  // when there are none.
  double Quantile(double part) const;

 private:
  std::vector<double> values_;
};

}  // namespace burdockrock::bench

#endif  // BURDOCKROCK_TESTS_BENCH_SAMPLE_H_
