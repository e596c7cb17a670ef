#include "engine/teams/team_policy.h"

#include <algorithm>
#include <map>
#include <set>

#include <fmt/format.h>

namespace burdockrock::engine {

namespace {

bool IsNegative(const Resources& amount) {
  const DimensionArray amounts = ToArray(amount);
  return std::any_of(amounts.begin(), amounts.end(),
                     [](std::int64_t it) { return it < 0; });
}

}  // namespace

std::optional<TeamFault> FindTeamFault(const std::vector<TeamPolicy>& teams) {
  std::set<std::string> names;
  std::map<KeyDigest, std::string> owners;  // of the keys
  for (std::size_t it = 0; it < teams.size(); ++it) {
    const TeamPolicy& team = teams[it];
    if (team.name.empty()) {
      return TeamFault{.team = it,
                       .field = TeamField::kName,
                       .problem = "is empty",
                       .allowed = "a name"};
    }
    if (!names.insert(team.name).second) {
      return TeamFault{.team = it,
                       .field = TeamField::kName,
                       .problem = team.name + " is listed twice",
                       .allowed = "each name once"};
    }
    for (const KeyDigest& key : team.keys) {
      const std::string& owner =
          owners.try_emplace(key, team.name).first->second;
      if (owner != team.name) {
        return TeamFault{
            .team = it,
            .field = TeamField::kKeys,
            .problem = fmt::format("a key of {} is also a key of {}", team.name,
                                   owner),
            .allowed = "each key for one team"};
      }
    }
    if (!(team.weight > 0)) {
      return TeamFault{.team = it,
                       .field = TeamField::kWeight,
                       .problem = fmt::format("{} is too small", team.weight),
                       .allowed = "more than 0"};
    }
    if (IsNegative(team.cap)) {
      return TeamFault{.team = it,
                       .field = TeamField::kCap,
                       .problem = "is negative",
                       .allowed = "0 or more; 0 is no limit"};
    }
  }
  return std::nullopt;
}

const TeamPolicy* FindTeamByName(const std::vector<TeamPolicy>& teams,
                                 std::string_view name) {
  const auto it = std::find_if(
      teams.begin(), teams.end(),
      [name](const TeamPolicy& team) { return team.name == name; });
  return it == teams.end() ? nullptr : &*it;
}

const TeamPolicy* FindTeamByKey(const std::vector<TeamPolicy>& teams,
                                const KeyDigest& key) {
  const TeamPolicy* found = nullptr;
  // Compares all keys, so that the time does not tell which one matches.
  for (const TeamPolicy& team : teams) {
    for (const KeyDigest& it : team.keys) {
      found = IsSameKey(it, key) ? &team : found;
    }
  }
  return found;
}

Resources LimitedPart(const Resources& amount, const Resources& cap) {
  return {.processors_milli =
              cap.processors_milli == 0 ? 0 : amount.processors_milli,
          .memory_mb = cap.memory_mb == 0 ? 0 : amount.memory_mb,
          .accelerators = cap.accelerators == 0 ? 0 : amount.accelerators};
}

}  // namespace burdockrock::engine
