// Which members take part in the accounting of teams.
#ifndef BURDOCKROCK_ENGINE_TEAMS_TEAM_MEMBERS_H_
#define BURDOCKROCK_ENGINE_TEAMS_TEAM_MEMBERS_H_

#include <string>
#include <string_view>

#include "engine/state.h"

namespace burdockrock::engine {

// The incarnation of a process that knows teams. Earlier releases refuse
// records and messages with fields that they don't know, so that the name is
// the only place to announce it.
std::string WithTeams(std::string incarnation);

// Whether the member understands messages about teams.
bool KnowsTeams(std::string_view incarnation);

// The member that accounts for what the team has running; empty if none of the
// members can.
std::string AccountantOf(const State& state, const std::string& team);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_TEAMS_TEAM_MEMBERS_H_
