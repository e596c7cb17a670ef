#include "engine/teams/quota_demand.h"

#include <algorithm>

#include "engine/jobs/job_table.h"
#include "engine/jobs/task_copies.h"
#include "engine/teams/quota_ledger.h"

namespace burdockrock::engine {

namespace {

bool MayRun(const Task& task) {
  return task.phase == TaskPhase::kOffered || task.phase == TaskPhase::kRunning;
}

// Whether each step waits for the one before it, so that only one of them runs
// at a time.
bool IsChain(const JobSpec& spec) {
  for (std::uint32_t it = 1; it < spec.steps.size(); ++it) {
    const auto& after = spec.steps[it].after;
    if (std::find(after.begin(), after.end(), it - 1) == after.end()) {
      return false;
    }
  }
  return true;
}

Resources Times(const Resources& each, std::int64_t n) {
  return {.processors_milli = each.processors_milli * n,
          .memory_mb = each.memory_mb * n,
          .accelerators = each.accelerators * n};
}

Resources ChargeOfStep(const StepSpec& spec, const StepRun& step) {
  std::int64_t runs = 0;
  for (const Task& it : step.tasks) {
    runs += (MayRun(it) ? 1 : 0) + (it.copy ? 1 : 0);
  }
  return Times(ChargeOfRun(spec), runs);
}

Resources UnknownOfStep(const StepSpec& spec, const StepRun& step) {
  return Times(
      ChargeOfRun(spec),
      std::count_if(step.tasks.begin(), step.tasks.end(), [](const Task& it) {
        return it.phase == TaskPhase::kUnknown;
      }));
}

// Tasks that wait for a run, or for a copy of theirs.
std::int64_t CountWaiting(const StepRun& step) {
  return std::count_if(
      step.tasks.begin(), step.tasks.end(), [](const Task& it) {
        return it.phase == TaskPhase::kWaiting || WaitsForCopy(it);
      });
}

void AddWaiting(const StepSpec& spec,
                const StepRun& step,
                const Resources& cap,
                QuotaDemand& sum) {
  sum.waiting += Times(ChargeOfRun(spec), CountWaiting(step));
  KeepSmaller(LeastChargeOf(spec, step), cap, sum.least);
}

}  // namespace

Resources ChargeOfRun(const StepSpec& step) {
  return {.processors_milli = step.each.processors_milli,
          .memory_mb = step.each.memory_mb,
          .accelerators = step.each.accelerators};
}

Resources LeastChargeOf(const StepSpec& spec, const StepRun& step) {
  const std::int64_t waiting = CountWaiting(step);
  return Times(ChargeOfRun(spec),
               spec.gang ? waiting : std::min<std::int64_t>(waiting, 1));
}

Resources MostChargeOf(const JobSpec& spec) {
  const bool chain = IsChain(spec);
  Resources most;
  for (const StepSpec& it : spec.steps) {
    const std::int64_t runs = std::int64_t{it.count} * (it.concurrent ? 2 : 1);
    const Resources of_step = Times(ChargeOfRun(it), runs);
    most = chain ? LargerOf(most, of_step) : most + of_step;
  }
  return Times(most, std::max<std::int64_t>(spec.repetitions, 1));
}

QuotaDemand DemandOf(const Job& job,
                     const Resources& cap,
                     const MayStart& may_start) {
  QuotaDemand sum;
  const bool chain = IsChain(job.spec);
  for (std::uint32_t k = 0; k < job.occurrences.size(); ++k) {
    const auto& steps = job.occurrences[k].steps;
    Resources charge;
    Resources unknown;
    for (std::uint32_t s = 0; s < steps.size(); ++s) {
      const Resources of_step = ChargeOfStep(job.spec.steps[s], steps[s]);
      const Resources unknown_of_step =
          UnknownOfStep(job.spec.steps[s], steps[s]);
      charge = chain ? LargerOf(charge, of_step) : charge + of_step;
      unknown = chain ? LargerOf(unknown, unknown_of_step)
                      : unknown + unknown_of_step;
      if (!IsFinal(job.state) && IsStepReady(job, k, s) && may_start(k, s)) {
        AddWaiting(job.spec.steps[s], steps[s], cap, sum);
      }
    }
    sum.charge += charge;
    sum.unknown += unknown;
  }
  return sum;
}

}  // namespace burdockrock::engine
