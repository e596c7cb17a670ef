// Whether the jobs of this instance can still meet their queues' objectives.
#ifndef BURDOCKROCK_ENGINE_JOBS_JOB_STANDING_H_
#define BURDOCKROCK_ENGINE_JOBS_JOB_STANDING_H_

#include "engine/context.h"
#include "engine/jobs/objective_rule.h"

namespace burdockrock::engine {

// The standing of a job that was just accepted or adopted.
void SetFirstStanding(Job& job);

// Updates the standing of all occurrences when that is due. Only where teams
// are configured, whose caps make work wait; elsewhere all are in time, and so
// are lasting and repeated jobs.
void DriveStandings(Context& context);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_JOBS_JOB_STANDING_H_
