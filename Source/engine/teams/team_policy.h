// Teams of the operators' configuration: their keys, weights and caps.
#ifndef BURDOCKROCK_ENGINE_TEAMS_TEAM_POLICY_H_
#define BURDOCKROCK_ENGINE_TEAMS_TEAM_POLICY_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "engine/teams/key_digest.h"
#include "model/resources.h"

namespace burdockrock::engine {

struct TeamPolicy {
  std::string name{};
  std::vector<KeyDigest> keys{};  // of its callers
  double weight = 1;              // share when all workers are full
  // What its runs may take at all workers together; 0: no limit.
  Resources cap{};

  auto operator<=>(const TeamPolicy&) const = default;
};

enum class TeamField { kName, kKeys, kWeight, kCap };

// Why a list of teams is invalid. The texts never show a key.
struct TeamFault {
  std::size_t team = 0;  // its place in the list
  TeamField field = TeamField::kName;
  std::string problem{};
  std::string allowed{};

  auto operator<=>(const TeamFault&) const = default;
};

// The first fault of the list.
std::optional<TeamFault> FindTeamFault(const std::vector<TeamPolicy>& teams);

// Null if there is no such team.
const TeamPolicy* FindTeamByName(const std::vector<TeamPolicy>& teams,
                                 std::string_view name);
const TeamPolicy* FindTeamByKey(const std::vector<TeamPolicy>& teams,
                                const KeyDigest& key);

// The amounts that the cap limits; 0 in the other dimensions.
Resources LimitedPart(const Resources& amount, const Resources& cap);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_TEAMS_TEAM_POLICY_H_
