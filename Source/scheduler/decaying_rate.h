// A rate of events that forgets what is long past.
#ifndef BURDOCKROCK_SCHEDULER_DECAYING_RATE_H_
#define BURDOCKROCK_SCHEDULER_DECAYING_RATE_H_

#include "model/time.h"

namespace burdockrock {

// Each event counts with a weight that falls by a factor of e in kMemory.
class DecayingRate {
 public:
  static constexpr Duration kMemory = std::chrono::seconds(1);

  void Note(Time now);

  // Events per microsecond.
  double At(Time now) const;

 private:
  double rate_ = 0;
  Time updated_{0};
};

}  // namespace burdockrock

#endif  // BURDOCKROCK_SCHEDULER_DECAYING_RATE_H_
