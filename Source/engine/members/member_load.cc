#include "engine/members/member_load.h"

#include <algorithm>

#include "engine/teams/admission.h"
#include "engine/teams/entitlement.h"

namespace burdockrock::engine {

namespace {

// Whether the load is older than the one that is known, by its counts, which
// only rise. A load that was passed on may come after a later one.
bool IsOutdated(const MemberLoad& load, const MemberLoad& known) {
  return std::any_of(
      known.teams.begin(), known.teams.end(), [&](const TeamArrivals& it) {
        const auto same = std::find_if(
            load.teams.begin(), load.teams.end(),
            [&](const TeamArrivals& other) { return other.team == it.team; });
        return same == load.teams.end() || same->accepted < it.accepted;
      });
}

}  // namespace

bool UsesLoad(const State& state) {
  return state.configuration.teams.has_value();
}

MemberLoad OwnLoad(Context& context) {
  MemberLoad load{.teams = OwnArrivals(context.state)};
  const OwnBacklogs& backlogs = CountBacklogs(context);
  for (const auto& [team, backlog] : backlogs.teams) {
    load.waits.push_back({.team = team, .backlog = backlog});
  }
  for (const auto& [service, backlog] : backlogs.services) {
    load.waits.push_back({.service = service, .backlog = backlog});
  }
  return load;
}

void OnMemberLoad(Context& context,
                  const std::string& from,
                  const MemberLoad& load) {
  const auto known = context.state.member_loads.find(from);
  if (known != context.state.member_loads.end() &&
      IsOutdated(load, known->second.load)) {
    return;
  }
  CountReportedArrivals(context, from, load);
  context.state.member_loads[from] = {.load = load, .received_at = context.now};
}

void ForgetMemberLoad(State& state, const std::string& member) {
  state.member_loads.erase(member);
}

}  // namespace burdockrock::engine
