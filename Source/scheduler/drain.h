// The planned stop: no new work, workers and journals handed over, running
// requests finished, then exit.
#ifndef BURDOCKROCK_SCHEDULER_DRAIN_H_
#define BURDOCKROCK_SCHEDULER_DRAIN_H_

#include "model/time.h"
#include "scheduler/event.h"

namespace burdockrock {

class Context;

struct DrainState {
  bool draining = false;
  bool complete = false;
  Time started{0};
};

void OnDrainRequested(Context& context, const DrainAsked& asked);
void OnDrainTimer(Context& context);

}  // namespace burdockrock

#endif  // BURDOCKROCK_SCHEDULER_DRAIN_H_
