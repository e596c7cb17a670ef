// Counts the ends of runs of the jobs that this instance owns.
#ifndef BURDOCKROCK_ENGINE_JOBS_JOB_ENDS_H_
#define BURDOCKROCK_ENGINE_JOBS_JOB_ENDS_H_

#include <string>

#include "engine/context.h"

namespace burdockrock::engine {

// A message from a member that owns workers.
void OnEndReports(Context& context,
                  const std::string& from,
                  const EndReports& reports);

// A single report, also as part of the recovery of an adopted job.
void OnEndReport(Context& context,
                 const std::string& from,
                 const EndReport& report);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_JOBS_JOB_ENDS_H_
