// Which callers may use a queue, and whose jobs they may read and cancel.
#ifndef BURDOCKROCK_ENGINE_TEAMS_ACCESS_RULE_H_
#define BURDOCKROCK_ENGINE_TEAMS_ACCESS_RULE_H_

#include <compare>
#include <optional>
#include <string>
#include <variant>

#include "engine/configuration.h"
#include "engine/teams/key_digest.h"

namespace burdockrock::engine {

// The caller is of this team; empty: of none.
struct Admitted {
  std::string team{};
  auto operator<=>(const Admitted&) const = default;
};

enum class KeyProblem { kMissing, kUnknown };

struct NotAdmitted {
  KeyProblem problem = KeyProblem::kMissing;
  auto operator<=>(const NotAdmitted&) const = default;
};

// Whether a caller with this key may use the queue. Without a queue the request
// names a job by its id alone, and MayAccess() decides.
std::variant<Admitted, NotAdmitted> Admit(const Configuration& configuration,
                                          const QueuePolicy* queue,
                                          const std::optional<KeyDigest>& key);

// Whether a caller of the team may read, cancel or submit again the job of
// `job_team`. Jobs without a team are open to all.
bool MayAccess(const std::string& job_team, const std::string& team);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_TEAMS_ACCESS_RULE_H_
