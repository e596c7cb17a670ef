// Whether a job that arrives now is accepted, by the work ahead of it. A pure
// function.
//
// Load pattern: a team sends many times its usual for some seconds. Accepted,
// all of it would wait for the team's cap and be served late, and callers would
// learn of that only at their deadlines.
#ifndef BURDOCKROCK_ENGINE_TEAMS_ADMISSION_RULE_H_
#define BURDOCKROCK_ENGINE_TEAMS_ADMISSION_RULE_H_

#include <compare>
#include <cstdint>
#include <optional>

#include "model/time.h"

namespace burdockrock::engine {

// Waiting work that capacity keeps from starting, in processor milliseconds.
struct Backlog {
  std::int64_t urgent = 0;    // of the most urgent priority
  std::int64_t other = 0;     // of other priorities
  std::int64_t deferred = 0;  // beyond its team's entitlement, or overdue

  auto operator<=>(const Backlog&) const = default;
};

Backlog operator+(const Backlog& left, const Backlog& right);

// The new job.
struct Applicant {
  Duration objective{0};  // for the time until its end
  Duration chain{0};      // run time of its longest chain of steps
  bool urgent = false;    // of the most urgent priority
  bool excess = false;    // beyond its team's entitlement

  auto operator<=>(const Applicant&) const = default;
};

// A job that is refused, and when its caller may send it again.
struct AdmissionRefusal {
  Duration wait{0};  // expected before the job could start
  Duration retry_after{0};

  auto operator<=>(const AdmissionRefusal&) const = default;
};

// What the work ahead of the job waits for.
struct CapacityAhead {
  Backlog team{};                // of the job's team, whatever it waits for
  std::int64_t cap_milli = 0;    // processors of that cap; 0: no limit
  Backlog service{};             // waits for the room of the job's service
  std::int64_t free_milli = 0;   // processors of the service's workers
  std::int64_t total_milli = 0;  // the same, free or not

  auto operator<=>(const CapacityAhead&) const = default;
};

// The wait that is expected before the job can start.
Duration ExpectedWait(const Applicant& job, const CapacityAhead& ahead);

// Unset: the job is accepted. Else the time after which it would be, if the
// work ahead drains as expected. A job within its team's entitlement is refused
// only if it would end too late to be of use, one beyond it already if it would
// miss its objective.
std::optional<Duration> RefusalDelay(const Applicant& job,
                                     const CapacityAhead& ahead);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_TEAMS_ADMISSION_RULE_H_
