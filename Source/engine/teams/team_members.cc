#include "engine/teams/team_members.h"

#include <fmt/format.h>

#include "engine/members/membership.h"

namespace burdockrock::engine {

namespace {

constexpr std::string_view kSuffix = "_t";
// Choices of a member before it is assumed that none knows teams.
constexpr int kMaxChoices = 16;

}  // namespace

std::string WithTeams(std::string incarnation) {
  return incarnation.append(kSuffix);
}

bool KnowsTeams(std::string_view incarnation) {
  return incarnation.ends_with(kSuffix);
}

std::string AccountantOf(const State& state, const std::string& team) {
  for (int it = 0; it < kMaxChoices; ++it) {
    std::string member =
        ChooseMember(state, fmt::format("team/{}/{}", it, team), {});
    if (member.empty() || KnowsTeams(member)) {
      return member;
    }
  }
  return {};
}

}  // namespace burdockrock::engine
