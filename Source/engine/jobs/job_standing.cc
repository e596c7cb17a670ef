#include "engine/jobs/job_standing.h"

#include <algorithm>
#include <chrono>
#include <vector>

#include "engine/jobs/job_table.h"
#include "engine/teams/admission.h"

namespace burdockrock::engine {

namespace {

// Well below the slack of a short job.
constexpr Duration kStandingInterval = milliseconds(50);

Duration AgeOf(const Context& context, const Job& job) {
  return std::chrono::milliseconds(
      std::max<std::int64_t>(context.wall_ms - job.accepted_ms, 0));
}

void UpdateStandings(const Context& context,
                     const QueuePolicy& queue,
                     Job& job) {
  const Resources cap = CapOf(context.state.configuration, job.team);
  const Duration objective =
      ObjectiveOf(queue, LongestChain(job.spec, {}, cap));
  std::vector<bool> done(job.spec.steps.size());
  for (std::uint32_t k = 0; k < job.occurrences.size(); ++k) {
    Occurrence& occurrence = job.occurrences[k];
    if (!occurrence.begun) {
      continue;
    }
    for (std::uint32_t it = 0; it < done.size(); ++it) {
      done[it] = IsStepDone(job, k, it);
    }
    occurrence.standing = StandingOf({.objective = objective,
                                      .age = AgeOf(context, job),
                                      .left = LongestChain(job.spec, done, cap),
                                      .excess = job.excess});
  }
}

}  // namespace

void SetFirstStanding(Job& job) {
  for (Occurrence& it : job.occurrences) {
    it.standing = job.excess ? Standing::kExcess : Standing::kInTime;
  }
}

void DriveStandings(Context& context) {
  State& state = context.state;
  if (!state.configuration.teams ||
      !HasPassed(context.now, state.standings_at, kStandingInterval)) {
    return;
  }
  state.standings_at = context.now;
  for (const std::string& id : state.active) {
    Job& job = state.jobs.at(id);
    const QueuePolicy* queue = FindQueueByName(state.configuration, job.queue);
    if (queue != nullptr && !job.team.empty() && !IsFinal(job.state) &&
        IsDeferrable(job.spec)) {
      UpdateStandings(context, *queue, job);
    }
  }
}

}  // namespace burdockrock::engine
