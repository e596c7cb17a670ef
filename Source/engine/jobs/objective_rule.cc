#include "engine/jobs/objective_rule.h"

#include <algorithm>
#include <chrono>

namespace burdockrock::engine {

namespace {

// No work is deferred for longer: without a bound, a team whose callers always
// send too much would never see the end of what is beyond its entitlement.
constexpr Duration kLongestDeferral = std::chrono::seconds(60);

// How many times the step's tasks fill the cap.
std::int64_t WavesOf(const StepSpec& step, const Resources& cap) {
  const DimensionArray each = ToArray(step.each);
  const DimensionArray limits = ToArray(cap);
  std::int64_t waves = 1;
  for (std::size_t it = 0; it < kDimensionCount; ++it) {
    if (limits[it] > 0) {
      const std::int64_t needed = each[it] * step.count;
      waves = std::max(waves, (needed + limits[it] - 1) / limits[it]);
    }
  }
  return waves;
}

}  // namespace

const char* StandingName(Standing standing) {
  switch (standing) {
    case Standing::kInTime:
      return "in_time";
    case Standing::kLate:
      return "late";
    case Standing::kExcess:
      return "excess";
    case Standing::kOverdue:
      return "overdue";
  }
  return "";
}

Duration LongestChain(const JobSpec& spec,
                      const std::vector<bool>& done,
                      const Resources& cap) {
  std::vector<Duration> ends(spec.steps.size(), Duration(0));
  Duration longest{0};
  for (std::size_t it = 0; it < spec.steps.size(); ++it) {
    const StepSpec& step = spec.steps[it];
    for (const std::uint32_t before : step.after) {
      ends[it] = std::max(ends[it], ends[before]);
    }
    if (it >= done.size() || !done[it]) {
      ends[it] += step.estimate * WavesOf(step, cap);
    }
    longest = std::max(longest, ends[it]);
  }
  return longest;
}

Duration ObjectiveOf(const QueuePolicy& queue, Duration longest_chain) {
  const double chain =
      queue.stretch * static_cast<double>(longest_chain.count());
  return Duration(static_cast<Duration::rep>(chain)) + queue.latency;
}

Standing StandingOf(const JobProgress& job) {
  const Duration end = job.age + job.left;
  const bool in_time = end <= job.objective;
  if (job.age >= kLongestDeferral) {
    return in_time ? Standing::kInTime : Standing::kLate;
  }
  if (end > kLastUse * job.objective) {
    return Standing::kOverdue;
  }
  if (job.excess) {
    return Standing::kExcess;
  }
  return in_time ? Standing::kInTime : Standing::kLate;
}

}  // namespace burdockrock::engine
