#include "engine/teams/access_rule.h"

namespace burdockrock::engine {

std::variant<Admitted, NotAdmitted> Admit(const Configuration& configuration,
                                          const QueuePolicy* queue,
                                          const std::optional<KeyDigest>& key) {
  if (!configuration.teams) {
    return Admitted();
  }
  const TeamPolicy* team =
      key ? FindTeamByKey(*configuration.teams, *key) : nullptr;
  if (team != nullptr) {
    return Admitted{.team = team->name};
  }
  const bool needs_key = queue != nullptr ? !queue->open : key.has_value();
  if (needs_key) {
    return NotAdmitted{.problem =
                           key ? KeyProblem::kUnknown : KeyProblem::kMissing};
  }
  return Admitted();
}

bool MayAccess(const std::string& job_team, const std::string& team) {
  return job_team.empty() || job_team == team;
}

}  // namespace burdockrock::engine
