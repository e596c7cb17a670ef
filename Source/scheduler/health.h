// Judges workers by failures over distinct jobs and jobs by failures over
// distinct workers.
//
// A worker that fails every task at once looks idle and draws ever more work.
// It shows as many short failures of unlike jobs on one worker. A job that is
// itself wrong fails on every worker; judged by its own count it does not
// bring sound workers into quarantine.
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
  // The last ends, newest last; at most kHealthWindow.
  struct End {
    std::string job;
    bool failed = false;
    auto operator<=>(const End&) const = default;
  };
  std::vector<End> recent;
  bool quarantined = false;
  bool probing = false;  // one attempt may run to see whether it is sound
  std::uint32_t quarantines = 0;
};

inline constexpr std::size_t kHealthWindow = 20;

// The name that the failure of an attempt counts under. As a rule that is its
// job: all failures of one job are one, since the job may be wrong. But when
// other tasks of it have run at least twice as long on other workers, the job
// is not what fails so fast, and each of its tasks speaks against this worker
// by itself. Else a black hole that meets few jobs draws task after task of
// them before it has failed enough distinct jobs.
std::string FailureName(const Context& context,
                        const WorkerRecord& worker,
                        const AttemptId& attempt);

// An attempt of `job` ended on the worker. A job already judged bad is not
// counted against it.
void NoteEnd(Context& context,
             WorkerRecord& worker,
             const std::string& job,
             bool failed,
             bool job_is_bad);

// The quarantine's probe is due.
void OnProbeTimer(Context& context, const std::string& worker);

}  // namespace burdockrock

#endif  // BURDOCKROCK_SCHEDULER_HEALTH_H_
