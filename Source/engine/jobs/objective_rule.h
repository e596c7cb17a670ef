// Whether a job can still meet the objective of its queue. Pure functions.
//
// Load pattern: teams send more than may run. What is beyond a team's
// entitlement comes after what is within, and work that is too late to be of
// use comes last.
#ifndef BURDOCKROCK_ENGINE_JOBS_OBJECTIVE_RULE_H_
#define BURDOCKROCK_ENGINE_JOBS_OBJECTIVE_RULE_H_

#include <compare>
#include <vector>

#include "engine/configuration.h"
#include "engine/jobs/job_model.h"
#include "model/time.h"

namespace burdockrock::engine {

// A late job is of use up to this many times its objective.
inline constexpr int kLastUse = 3;

enum class Standing {
  kInTime,   // can still meet its objective
  kLate,     // can't, but is still of use
  kExcess,   // beyond its team's entitlement
  kOverdue,  // of no use any more
};

// The value on the wire and in logs, such as "late".
const char* StandingName(Standing standing);

// Whether the work uses only what other work of any priority leaves.
constexpr bool IsDeferred(Standing standing) {
  return standing >= Standing::kExcess;
}

// The order in which work of one priority is served. Late work comes beside
// work in time: behind it, more of it would be overdue before its turn.
constexpr Standing RankOf(Standing standing) {
  return IsDeferred(standing) ? standing : Standing::kInTime;
}

// The time that the rest of the job takes on workers of the estimated speed,
// along its longest chain of steps. `done` tells for each step whether it has
// ended. A step that is wider than `cap` counts once for each wave.
Duration LongestChain(const JobSpec& spec,
                      const std::vector<bool>& done,
                      const Resources& cap);

// The objective of a job's duration, from its submission to its end.
Duration ObjectiveOf(const QueuePolicy& queue, Duration longest_chain);

// The progress of a job toward its objective.
struct JobProgress {
  Duration objective{0};
  Duration age{0};   // since its submission
  Duration left{0};  // longest chain of what is left to do
  bool excess = false;

  auto operator<=>(const JobProgress&) const = default;
};

Standing StandingOf(const JobProgress& job);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_JOBS_OBJECTIVE_RULE_H_
