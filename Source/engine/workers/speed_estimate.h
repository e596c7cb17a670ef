// Estimates a worker's speed from the runs that ended there.
#ifndef BURDOCKROCK_ENGINE_WORKERS_SPEED_ESTIMATE_H_
#define BURDOCKROCK_ENGINE_WORKERS_SPEED_ESTIMATE_H_

#include <compare>
#include <cstdint>

#include "model/time.h"

namespace burdockrock::engine {

// The geometric mean of the runs' times divided by their estimates, with more
// weight on recent runs.
class SpeedEstimate {
 public:
  SpeedEstimate() = default;
  // Continues from another instance's slowness(); 0 starts without data.
  explicit SpeedEstimate(std::uint32_t slowness);

  void Add(Duration took, Duration estimate);

  // Time taken in percent of the estimates; 0 while there are too few runs.
  std::uint32_t slowness() const;

  auto operator<=>(const SpeedEstimate&) const = default;

 private:
  double log_ratio_ = 0;
  std::uint32_t samples_ = 0;
};

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_WORKERS_SPEED_ESTIMATE_H_
