// An exponentially decaying rate of events.
#ifndef BURDOCKROCK_SCHEDULER_DECAYING_RATE_H_
#define BURDOCKROCK_SCHEDULER_DECAYING_RATE_H_

#include "model/time.h"

namespace burdockrock {

// The weight of each event decreases by a factor of e per kTimeConstant.
class DecayingRate {
 public:
  static constexpr Duration kTimeConstant = std::chrono::seconds(1);

  // Counts one event.
  void Record(Time now);

  // Events per microsecond.
  double At(Time now) const;

 private:
  double rate_ = 0;
  Time updated_{0};
};

}  // namespace burdockrock

#endif  // BURDOCKROCK_SCHEDULER_DECAYING_RATE_H_
