#include "engine/workers/assigned_workers.h"

#include <set>

#include "engine/members/membership.h"

namespace burdockrock::engine {

namespace {

// Domains in which a member may be chosen. Their workers are assigned to one of
// their own members.
std::set<std::string> DomainsWithMembers(const State& state) {
  std::set<std::string> domains;
  for (const auto& [node, it] : state.members.choosable) {
    domains.insert(it.domain);
  }
  return domains;
}

}  // namespace

const std::vector<std::string>& WorkersAssigned(Context& context) {
  State& state = context.state;
  AssignedWorkers& assigned = state.assigned;
  if (assigned.members_version == state.members.version &&
      assigned.workers_version == state.workers_version) {
    return assigned.workers;
  }
  assigned = {.members_version = state.members.version,
              .workers_version = state.workers_version};
  // Choosing a member is slow, and the members of another domain outnumber this
  // instance by far.
  std::set<std::string> foreign = DomainsWithMembers(state);
  foreign.erase(state.options.self.domain);
  foreign.erase(std::string());
  for (const auto& [id, it] : state.workers) {
    if (!foreign.contains(it.info.domain) &&
        ChooseMember(state, id, it.info.domain) == context.self()) {
      assigned.workers.push_back(id);
    }
  }
  return assigned.workers;
}

}  // namespace burdockrock::engine
