// A rack is forgotten with its last target, so that racks which come and go
// under new names take no memory.
#include "placement/rack_ranks.h"

namespace burdockrock {

std::uint32_t RackRanks::Acquire(const RackKey& key) {
  Ranks& ranks = racks_[key];
  if (ranks.released.empty()) {
    return ranks.next++;
  }
  const std::uint32_t rank = *ranks.released.begin();
  ranks.released.erase(ranks.released.begin());
  return rank;
}

void RackRanks::Release(const RackKey& key, std::uint32_t rank) {
  const auto it = racks_.find(key);
  if (it == racks_.end()) {
    return;
  }
  it->second.released.insert(rank);
  if (it->second.released.size() == it->second.next) {
    racks_.erase(it);
  }
}

}  // namespace burdockrock
