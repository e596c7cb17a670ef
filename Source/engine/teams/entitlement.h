// Counts what teams send, here and as the other members report it.
#ifndef BURDOCKROCK_ENGINE_TEAMS_ENTITLEMENT_H_
#define BURDOCKROCK_ENGINE_TEAMS_ENTITLEMENT_H_

#include <string>
#include <vector>

#include "engine/context.h"

namespace burdockrock::engine {

// Whether one more job is beyond its team's entitlement. Never without teams in
// the configuration.
bool IsExcess(Context& context, const std::string& team);

// Counts a job that was accepted here. Refused ones don't count: callers send
// them again.
void CountArrival(Context& context, const std::string& team, bool excess);

// Counts what arrived at the member since its last report.
void CountReportedArrivals(Context& context,
                           const std::string& from,
                           const MemberLoad& load);

// What arrived here since the process started, by team.
std::vector<TeamArrivals> OwnArrivals(const State& state);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_TEAMS_ENTITLEMENT_H_
