// Rounds of placement: which waiting task is offered to which worker.
#ifndef BURDOCKROCK_ENGINE_JOBS_PLACING_H_
#define BURDOCKROCK_ENGINE_JOBS_PLACING_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "engine/context.h"
#include "engine/jobs/placement_rule.h"

namespace burdockrock::engine {

// A step with tasks that may run now.
struct ReadyStep {
  Job* job = nullptr;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  const QueuePolicy* queue = nullptr;
  bool ready = true;  // false: its turn comes soon

  const StepSpec& spec() const { return job->spec.steps[step]; }
  StepRun& run() const { return job->occurrences[occurrence].steps[step]; }
};

// How long before its turn a step counts as ready soon. Nothing: only then.
using StepLead =
    std::function<std::optional<Duration>(const QueuePolicy&, const StepSpec&)>;

// In the order in which they are served. With `lead` also steps that are ready
// soon: all they wait for is expected to be done by then.
std::vector<ReadyStep> ReadySteps(Context& context,
                                  const StepLead& lead = nullptr);

// Tasks of the step on each worker, where their number is bounded.
std::map<std::string, std::uint32_t> CountPlaced(const ReadyStep& ready);

// Whether runs of less urgent work may be stopped for it: only for the most
// urgent, and only when it has waited, as room that others are about to give
// back costs nothing.
bool MayPreempt(const Context& context, const ReadyStep& ready);

// What one task of the step needs of a worker.
PlacementNeed NeedOf(const ReadyStep& ready);

// How many more tasks of the step may start at the worker, with this much free
// there. What counts the room otherwise than placement does takes for enough
// what never is.
std::int64_t CountStarts(const ReadyStep& ready,
                         const std::map<std::string, std::uint32_t>& placed,
                         const PlacementNeed& need,
                         const WorkerInfo& worker,
                         const Resources& free);

void DrivePlacement(Context& context);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_JOBS_PLACING_H_
