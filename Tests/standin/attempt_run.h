// How far one attempt on a worker has come, under changing speed.
#ifndef BURDOCKROCK_STANDIN_ATTEMPT_RUN_H_
#define BURDOCKROCK_STANDIN_ATTEMPT_RUN_H_

#include <cstdint>

#include "model/time.h"

namespace burdockrock::standin {

// The work of an attempt, measured as time at full speed.
class AttemptRun {
 public:
  // `work` kForever: the attempt never ends by itself.
  AttemptRun(Duration work, std::uint32_t percent)
      : work_(work), percent_(percent) {}

  // Work goes on from `now`; before that it stands still.
  void Begin(Time now);
  void SetPercent(std::uint32_t percent, Time now);

  // When the work will be done at today's speed.
  Time FinishTime() const;
  Duration DoneAt(Time now) const;

 private:
  Duration work_;
  std::uint32_t percent_;
  bool begun_ = false;
  Duration done_{0};  // at since_
  Time since_{0};
};

}  // namespace burdockrock::standin

#endif  // BURDOCKROCK_STANDIN_ATTEMPT_RUN_H_
