// Refuses jobs of teams that can't be served in time, by the waiting work that
// all members report.
#ifndef BURDOCKROCK_ENGINE_TEAMS_ADMISSION_H_
#define BURDOCKROCK_ENGINE_TEAMS_ADMISSION_H_

#include <optional>
#include <string>

#include "engine/context.h"
#include "engine/teams/admission_rule.h"

namespace burdockrock::engine {

// Whether the job may be refused or deferred for its team's other work: it has
// a time by which it ends.
bool IsDeferrable(const JobSpec& spec);

// Unset: the job is accepted.
std::optional<AdmissionRefusal> CheckAdmission(Context& context,
                                               const std::string& id,
                                               const JobSpec& spec,
                                               const QueuePolicy& queue,
                                               const std::string& team,
                                               bool excess);

// Waiting work of the own jobs. Up to date within a tenth of a second.
const OwnBacklogs& CountBacklogs(Context& context);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_TEAMS_ADMISSION_H_
