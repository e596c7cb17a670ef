// What one job's runs may take of its team's cap, and what its waiting tasks
// would add.
#ifndef BURDOCKROCK_ENGINE_TEAMS_QUOTA_DEMAND_H_
#define BURDOCKROCK_ENGINE_TEAMS_QUOTA_DEMAND_H_

#include <cstdint>
#include <functional>

#include "engine/jobs/job.h"
#include "model/resources.h"

namespace burdockrock::engine {

struct QuotaDemand {
  // What may run at workers: a run counts from its offer until its end is
  // known.
  Resources charge{};
  // Tasks of an adopted job that may have a run of a former owner.
  Resources unknown{};
  Resources waiting{};  // of tasks that could start now, but for the cap
  // The smallest of these that the cap limits: one task, or a whole gang.
  Resources least{};

  auto operator<=>(const QuotaDemand&) const = default;
};

// Whether tasks of a step whose turn has come could start now. What is held for
// a step that waits for something else would be lost to the team's other jobs.
using MayStart =
    std::function<bool(std::uint32_t occurrence, std::uint32_t step)>;

// `cap` is that of the job's team.
QuotaDemand DemandOf(const Job& job,
                     const Resources& cap,
                     const MayStart& may_start);

// The most that all runs of the job can count at once, whatever its progress.
Resources MostChargeOf(const JobSpec& spec);

// What has to be granted at once for tasks that wait: for one task, or for a
// whole gang. Nothing if none waits.
Resources LeastChargeOf(const StepSpec& spec, const StepRun& step);

// What one run of the step counts. Filling tasks count with their processors
// too, although they reserve none at their worker.
Resources ChargeOfRun(const StepSpec& step);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_TEAMS_QUOTA_DEMAND_H_
