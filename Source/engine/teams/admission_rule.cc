#include "engine/teams/admission_rule.h"

#include <algorithm>
#include <chrono>

#include "engine/jobs/objective_rule.h"

namespace burdockrock::engine {

namespace {

// With a larger share of a service's processors free, what waits for room there
// needs workers of its own kind, and the job may find others.
constexpr std::int64_t kScarceParts = 10;  // one in this many

std::int64_t WorkAhead(const Applicant& job, const Backlog& backlog) {
  const std::int64_t urgent = backlog.urgent;
  if (job.excess) {
    return urgent + backlog.other + backlog.deferred;
  }
  return job.urgent ? urgent : urgent + backlog.other;
}

Duration TimeFor(std::int64_t processor_ms, std::int64_t milli) {
  constexpr std::int64_t kMilli = 1000;
  return milli <= 0 ? Duration(0)
                    : std::chrono::milliseconds(processor_ms * kMilli / milli);
}

}  // namespace

Backlog operator+(const Backlog& left, const Backlog& right) {
  return {.urgent = left.urgent + right.urgent,
          .other = left.other + right.other,
          .deferred = left.deferred + right.deferred};
}

Duration ExpectedWait(const Applicant& job, const CapacityAhead& ahead) {
  const Duration for_cap = TimeFor(WorkAhead(job, ahead.team), ahead.cap_milli);
  const bool scarce = kScarceParts * ahead.free_milli < ahead.total_milli;
  return scarce ? std::max(for_cap, TimeFor(WorkAhead(job, ahead.service),
                                            ahead.total_milli))
                : for_cap;
}

std::optional<Duration> RefusalDelay(const Applicant& job,
                                     const CapacityAhead& ahead) {
  const Duration wait = ExpectedWait(job, ahead);
  const Duration limit = job.excess ? job.objective : kLastUse * job.objective;
  if (wait == Duration(0) || wait + job.chain <= limit) {
    return std::nullopt;
  }
  return std::min(wait, wait + job.chain - limit);
}

}  // namespace burdockrock::engine
