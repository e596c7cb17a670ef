// The planned stop of a process: refuses new work, hands its workers and
// journals over, finishes running requests and exits.
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

// Starts the drain; repeated requests are only acknowledged.
void OnDrainRequested(Context& context, const DrainRequested& asked);
// Offers journals and workers to members, and stops the process when the drain
// is complete.
void OnDrainTimer(Context& context);

}  // namespace burdockrock

#endif  // BURDOCKROCK_SCHEDULER_DRAIN_H_
