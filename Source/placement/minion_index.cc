// A service is forgotten with its last open minion.
#include "placement/minion_index.h"

#include <algorithm>

namespace burdockrock {

namespace {

// A minion that reports more than it has gives no room to the others.
std::int64_t UsableSlots(const Target& target) {
  return std::max<std::int64_t>(target.free.slots, 0);
}

}  // namespace

MinionIndex::Place MinionIndex::PlaceOf(TargetIndex index,
                                        const Target& target) {
  return Place{
      .taken = -target.free.slots, .rank = target.rank, .index = index};
}

void MinionIndex::Insert(TargetIndex index, const Target& target) {
  Service& service = services_[target.info.service];
  service.places.insert(PlaceOf(index, target));
  service.free_slots += UsableSlots(target);
  service.total_slots += target.info.capacity.slots;
}

void MinionIndex::Erase(TargetIndex index, const Target& target) {
  const auto it = services_.find(target.info.service);
  if (it == services_.end() ||
      it->second.places.erase(PlaceOf(index, target)) == 0) {
    return;
  }
  it->second.free_slots -= UsableSlots(target);
  it->second.total_slots -= target.info.capacity.slots;
  if (it->second.places.empty()) {
    services_.erase(it);
  }
}

std::optional<TargetIndex> MinionIndex::Pick(std::string_view service) const {
  const auto it = services_.find(service);
  if (it == services_.end()) {
    return std::nullopt;
  }
  const Place& first = *it->second.places.begin();
  if (first.taken >= 0) {
    return std::nullopt;
  }
  return first.index;
}

std::int64_t MinionIndex::free_slots(std::string_view service) const {
  const auto it = services_.find(service);
  return it == services_.end() ? 0 : it->second.free_slots;
}

std::int64_t MinionIndex::total_slots(std::string_view service) const {
  const auto it = services_.find(service);
  return it == services_.end() ? 0 : it->second.total_slots;
}

}  // namespace burdockrock
