// Placement rounds: which waiting task is offered to which worker.
#ifndef BURDOCKROCK_ENGINE_JOBS_PLACING_H_
#define BURDOCKROCK_ENGINE_JOBS_PLACING_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "engine/context.h"
#include "engine/jobs/placement_rule.h"

namespace burdockrock::engine {

// A step whose tasks may run now or soon.
struct ReadyStep {
  Job* job = nullptr;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  const QueuePolicy* queue = nullptr;
  bool ready = true;  // false: its dependencies are expected to be done soon
  // Number of priorities for which the step leaves room free.
  std::uint32_t reserves_for = 0;

  const StepSpec& spec() const { return job->spec.steps[step]; }
  StepRun& run() const { return job->occurrences[occurrence].steps[step]; }
  Standing standing() const { return job->occurrences[occurrence].standing; }
};

// How long before its dependencies are done a step counts as ready soon.
// nullopt: never.
using StepLead =
    std::function<std::optional<Duration>(const QueuePolicy&, const StepSpec&)>;

// Which steps to collect.
struct ReadyStepOptions {
  // Adds steps whose dependencies are expected to be done within this time.
  StepLead lead{};
  // Leaves out steps for which it returns false. It is called before
  // `reserves_for` is known.
  std::function<bool(const ReadyStep&)> wants{};
};

// The step as ReadySteps() returns it.
ReadyStep ReadyStepOf(const Context& context,
                      Job& job,
                      std::uint32_t occurrence,
                      std::uint32_t step,
                      const QueuePolicy& queue);

// All steps that are ready, sorted by the priority of their queue and then by
// how long they have been ready; deferred ones come last, by their standing.
std::vector<ReadyStep> ReadySteps(Context& context,
                                  const ReadyStepOptions& options = {});

// Whether no task of the step may start before all workers that may run it have
// reported: one that has not may list failed runs of the job, and starting a
// task again before that could exceed the attempts that its queue allows.
// Lasting tasks, which have no such limit, are exempt once known to have no
// run.
bool WaitsForRecovery(const ReadyStep& ready);

// Number of the step's tasks by the worker's id. Empty if the step sets no
// limit on it. The processes of a worker count as one, since a start that was
// meant for a former one may be held by a later one.
std::map<std::string, std::uint32_t> CountPlaced(const ReadyStep& ready);

// The number that CountPlaced() gives for an incarnation of a worker.
std::uint32_t CountAt(const std::map<std::string, std::uint32_t>& placed,
                      const std::string& worker);

// Whether runs of lower priority may be stopped for the step: only for the
// highest priority, and only after a delay, because room that is about to be
// released costs nothing.
bool MayPreempt(const Context& context, const ReadyStep& ready);

// What one task of the step requires of a worker.
PlacementNeed NeedOf(const ReadyStep& ready);

// How many more tasks of the step may start at the worker with `free` resources
// there. Advice, logs and metrics must use it too: a count that differs from
// that of placement can report enough room where no task is ever placed.
std::int64_t CountStarts(const ReadyStep& ready,
                         const std::map<std::string, std::uint32_t>& placed,
                         const PlacementNeed& need,
                         const WorkerInfo& worker,
                         const Resources& free);

// Sends the present tickets for tasks that wait for their workers to be emptied
// to the owners of those of `workers`.
void RenewTickets(Context& context,
                  const ReadyStep& ready,
                  const std::set<std::string>& workers);

// Runs a placement round if one is due, and sends its offers.
void DrivePlacement(Context& context);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_JOBS_PLACING_H_
