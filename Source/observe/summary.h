// Streaming statistics of one measured quantity, in constant memory.
#ifndef BURDOCKROCK_OBSERVE_SUMMARY_H_
#define BURDOCKROCK_OBSERVE_SUMMARY_H_

#include <array>
#include <cstdint>
#include <memory>

namespace burdockrock {

// The quantiles that a Summary estimates.
inline constexpr std::array<double, 3> kSummaryQuantiles = {0.5, 0.99, 0.999};

class Summary {
 public:
  Summary();
  ~Summary();
  Summary(const Summary&) = delete;
  Summary& operator=(const Summary&) = delete;

  // Leaves out values that are not finite.
  void Observe(double value);

  std::uint64_t Count() const;
  double Sum() const;

  // NaN while nothing was observed.
  double Mean() const;
  double Max() const;

  // `index` into kSummaryQuantiles. Exact for the first 1,000 values, after
  // that an estimate. NaN while nothing was observed.
  double Quantile(std::size_t index) const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace burdockrock

#endif  // BURDOCKROCK_OBSERVE_SUMMARY_H_
