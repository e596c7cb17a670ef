#include "scheduler/decaying_rate.h"

#include <cmath>

namespace burdockrock {

void DecayingRate::Record(Time now) {
  rate_ = At(now) + 1 / static_cast<double>(kTimeConstant.count());
  updated_ = now;
}

double DecayingRate::At(Time now) const {
  const auto passed = static_cast<double>((now - updated_).count());
  return rate_ * std::exp(-passed / static_cast<double>(kTimeConstant.count()));
}

}  // namespace burdockrock
