#include "engine/teams/entitlement.h"

#include <algorithm>
#include <random>

namespace burdockrock::engine {

namespace {

std::uint64_t AcceptedIn(const MemberLoad& load, const std::string& team) {
  const auto it =
      std::find_if(load.teams.begin(), load.teams.end(),
                   [&](const TeamArrivals& t) { return t.team == team; });
  return it == load.teams.end() ? 0 : it->accepted;
}

const TeamPolicy* FindPolicy(const Configuration& configuration,
                             const std::string& team) {
  return configuration.teams ? FindTeamByName(*configuration.teams, team)
                             : nullptr;
}

}  // namespace

bool IsExcess(Context& context, const std::string& team) {
  const TeamPolicy* policy = FindPolicy(context.state.configuration, team);
  if (policy == nullptr) {
    return false;
  }
  const double draw = std::generate_canonical<double, 32>(context.state.random);
  return !IsEntitled(context.state.arrivals[team].window.Count(context.now),
                     policy->weight, draw);
}

void CountArrival(Context& context, const std::string& team, bool excess) {
  if (FindPolicy(context.state.configuration, team) == nullptr) {
    return;
  }
  TeamArrivalState& arrivals = context.state.arrivals[team];
  arrivals.window.AddOwn(context.now, !excess);
  ++arrivals.accepted;
  arrivals.excess += excess ? 1 : 0;
}

void CountReportedArrivals(Context& context,
                           const std::string& from,
                           const MemberLoad& load) {
  const auto before = context.state.member_loads.find(from);
  if (before == context.state.member_loads.end()) {
    return;  // its counts are since its start, not of the last seconds
  }
  for (const TeamArrivals& it : load.teams) {
    const std::uint64_t known = AcceptedIn(before->second.load, it.team);
    if (it.accepted > known) {
      context.state.arrivals[it.team].window.AddOthers(context.now,
                                                       it.accepted - known);
    }
  }
}

std::vector<TeamArrivals> OwnArrivals(const State& state) {
  std::vector<TeamArrivals> arrivals;
  for (const auto& [team, it] : state.arrivals) {
    if (it.accepted != 0) {
      arrivals.push_back({.team = team, .accepted = it.accepted});
    }
  }
  return arrivals;
}

}  // namespace burdockrock::engine
