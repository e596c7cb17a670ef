#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "scheduler/context.h"
#include "scheduler/ownership.h"

namespace burdockrock {

namespace {

// Assigns each worker, in hash order, to the member with the highest score
// among those below their share.
void AssignGroup(std::vector<const InstanceInfo*> workers,
                 const std::vector<std::string>& members,
                 std::map<std::string, std::string>& owners) {
  std::sort(workers.begin(), workers.end(),
            [](const InstanceInfo* left, const InstanceInfo* right) {
              return StableHash("order", left->id) <
                     StableHash("order", right->id);
            });
  const std::size_t share =
      (workers.size() + members.size() - 1) / members.size();
  std::vector<std::size_t> load(members.size(), 0);
  for (const InstanceInfo* worker : workers) {
    std::size_t best = members.size();
    std::uint64_t best_score = 0;
    for (std::size_t it = 0; it < members.size(); ++it) {
      const std::uint64_t score = StableHash(members[it], worker->id);
      if (load[it] < share && (best == members.size() || score > best_score)) {
        best = it;
        best_score = score;
      }
    }
    ++load[best];
    owners[worker->id] = members[best];
  }
}

}  // namespace

std::map<std::string, std::string> AssignOwners(
    const std::vector<InstanceInfo>& workers,
    const std::vector<std::string>& members) {
  std::map<std::string, std::string> owners;
  if (members.empty()) {
    return owners;
  }
  // The minions of each service are assigned separately, so that each member
  // gets slots of each service.
  std::map<std::string, std::vector<const InstanceInfo*>> groups;
  for (const InstanceInfo& it : workers) {
    const std::string group =
        it.role == InstanceRole::kMinion ? "minion/" + it.service : "worker";
    groups[group].push_back(&it);
  }
  for (auto& [name, group] : groups) {
    AssignGroup(std::move(group), members, owners);
  }
  return owners;
}

}  // namespace burdockrock
