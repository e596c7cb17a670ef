// How fast a worker is, learned from the runs that ended there.
#ifndef BURDOCKROCK_ENGINE_WORKERS_SPEED_ESTIMATE_H_
#define BURDOCKROCK_ENGINE_WORKERS_SPEED_ESTIMATE_H_

#include <compare>
#include <cstdint>

#include "model/time.h"

namespace burdockrock::engine {

// A mean of the runs' times against their estimates, on a logarithmic scale and
// with more weight on newer ones.
class SpeedEstimate {
 public:
  SpeedEstimate() = default;
  // Goes on from what another instance has learned; 0: from nothing.
  explicit SpeedEstimate(std::uint32_t slowness);

  void Add(Duration took, Duration estimate);

  // In hundredths of the estimates; 0 while too little is known.
  std::uint32_t slowness() const;

  auto operator<=>(const SpeedEstimate&) const = default;

 private:
  double log_ratio_ = 0;
  std::uint32_t samples_ = 0;
};

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_WORKERS_SPEED_ESTIMATE_H_
