#include "standin/attempt_run.h"

#include <algorithm>

namespace burdockrock::standin {

namespace {

constexpr int kFullPercent = 100;

}  // namespace

void AttemptRun::Begin(Time now) {
  begun_ = true;
  since_ = now;
}

void AttemptRun::SetPercent(std::uint32_t percent, Time now) {
  done_ = DoneAt(now);
  since_ = now;
  percent_ = percent;
}

Time AttemptRun::FinishTime() const {
  if (!begun_ || work_ == kForever) {
    return kForever;
  }
  const Duration left = work_ - done_;
  if (left <= Duration(0)) {
    return since_;
  }
  return percent_ == 0 ? kForever : since_ + left * kFullPercent / percent_;
}

Duration AttemptRun::DoneAt(Time now) const {
  if (!begun_) {
    return done_;
  }
  return std::min(work_, done_ + (now - since_) * percent_ / kFullPercent);
}

}  // namespace burdockrock::standin
