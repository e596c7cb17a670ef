// Rounds of placement: which waiting task is offered to which worker.
#ifndef BURDOCKROCK_ENGINE_PLACING_H_
#define BURDOCKROCK_ENGINE_PLACING_H_

#include <vector>

#include "engine/context.h"

namespace burdockrock::engine {

// A step with tasks that may run now.
struct ReadyStep {
  Job* job = nullptr;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  const QueuePolicy* queue = nullptr;

  const StepSpec& spec() const { return job->spec.steps[step]; }
  StepRun& run() const { return job->occurrences[occurrence].steps[step]; }
};

// In the order in which they are served.
std::vector<ReadyStep> ReadySteps(Context& context);

void DrivePlacement(Context& context);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_PLACING_H_
