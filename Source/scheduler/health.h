// Detects bad workers by failures of distinct jobs, and bad jobs by failures on
// distinct workers.
//
// A worker that fails every task at once looks idle and attracts more and more
// work. It is recognized by many short failures of different jobs. A bad job
// fails on every worker; its failures are counted against the job, so that they
// don't quarantine healthy workers.
#ifndef BURDOCKROCK_SCHEDULER_HEALTH_H_
#define BURDOCKROCK_SCHEDULER_HEALTH_H_

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "model/attempt.h"
#include "model/time.h"

namespace burdockrock {

class Context;
struct WorkerRecord;

struct WorkerHealth {
  // The ends of the last attempts, newest last; at most kHealthWindow.
  struct End {
    std::string job;  // the FailureGroup of the attempt
    bool failed = false;
    auto operator<=>(const End&) const = default;
  };
  std::vector<End> recent;
  bool quarantined = false;
  bool probing = false;           // may run one attempt, whose outcome decides
  std::uint32_t quarantines = 0;  // in a row; lengthens the next one
};

// In ends of attempts.
inline constexpr std::size_t kHealthWindow = 20;

// The name under which the failure of an attempt is counted. Usually that is
// its job: all failures of one job count as one, since the job may be bad. But
// if other tasks of the job have run at least twice as long on other workers,
// the job isn't the cause of the early failure, and each of its tasks counts
// against this worker separately. Otherwise a worker that fails everything, but
// gets few distinct jobs, would attract many of their tasks before enough
// distinct jobs have failed there.
std::string FailureGroup(const Context& context,
                         const WorkerRecord& worker,
                         const AttemptId& attempt);

// Records the end of an attempt of `job` on the worker and updates its
// quarantine. Failures of a job already judged bad are not counted.
void RecordAttemptEnd(Context& context,
                      WorkerRecord& worker,
                      const std::string& job,
                      bool failed,
                      bool job_is_bad);

// Ends the quarantine of a worker and lets it run one attempt as a probe.
void OnProbeTimer(Context& context, const std::string& worker);

}  // namespace burdockrock

#endif  // BURDOCKROCK_SCHEDULER_HEALTH_H_
