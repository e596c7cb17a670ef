// An open target stands in the index of its kind under its current free room.
// Each change takes it out, changes it and puts it back, so that the indexes
// and the sums never show a target as it was.
#include "placement/placement_index.h"

#include <algorithm>
#include <utility>

namespace burdockrock {

namespace {

bool IsWorker(const Target& target) {
  return target.info.service.empty();
}

RackKey RackOf(const TargetInfo& info) {
  return RackKey{.service = info.service, .rack = info.rack};
}

Resources AtMost(const Resources& amount, const Resources& bound) {
  return Resources{
      .processors_milli =
          std::min(amount.processors_milli, bound.processors_milli),
      .memory_mb = std::min(amount.memory_mb, bound.memory_mb),
      .accelerators = std::min(amount.accelerators, bound.accelerators),
      .slots = std::min(amount.slots, bound.slots)};
}

// An overbooked worker is given nothing, so its other dimensions are no room.
Resources UsableRoom(const Resources& free) {
  return Fits(Resources{}, free) ? free : Resources{};
}

}  // namespace

TargetIndex PlacementIndex::Add(TargetInfo info) {
  const auto known = by_id_.find(info.id);
  if (known != by_id_.end()) {
    return known->second;
  }
  TargetIndex index = static_cast<TargetIndex>(targets_.size());
  if (unused_.empty()) {
    targets_.emplace_back();
  } else {
    index = unused_.back();
    unused_.pop_back();
  }
  by_id_.emplace(info.id, index);
  Target& target = targets_[index];
  target.rank = ranks_.Acquire(RackOf(info));
  target.free = info.capacity;
  target.open = true;
  target.info = std::move(info);
  if (IsWorker(target)) {
    capacities_.Add(target.info.capacity);
  }
  Index(index);
  return index;
}

void PlacementIndex::Remove(TargetIndex index) {
  Unindex(index);
  Target& target = targets_[index];
  if (IsWorker(target)) {
    capacities_.Remove(target.info.capacity);
  }
  ranks_.Release(RackOf(target.info), target.rank);
  by_id_.erase(target.info.id);
  target = Target{};
  unused_.push_back(index);
}

std::optional<TargetIndex> PlacementIndex::Find(std::string_view id) const {
  const auto it = by_id_.find(id);
  return it == by_id_.end() ? std::nullopt : std::optional(it->second);
}

const TargetInfo& PlacementIndex::info(TargetIndex index) const {
  return targets_[index].info;
}

const Resources& PlacementIndex::free(TargetIndex index) const {
  return targets_[index].free;
}

bool PlacementIndex::open(TargetIndex index) const {
  return targets_[index].open;
}

void PlacementIndex::SetOpen(TargetIndex index, bool open) {
  Unindex(index);
  targets_[index].open = open;
  Index(index);
}

bool PlacementIndex::Take(TargetIndex index, const Resources& need) {
  const Resources& room = targets_[index].free;
  if (!Fits(need, room)) {
    return false;
  }
  SetFree(index, room - need);
  return true;
}

void PlacementIndex::Give(TargetIndex index, const Resources& amount) {
  const Target& target = targets_[index];
  SetFree(index, AtMost(target.free + amount, target.info.capacity));
}

void PlacementIndex::ForceTake(TargetIndex index, const Resources& amount) {
  SetFree(index, targets_[index].free - amount);
}

std::optional<TargetIndex> PlacementIndex::PickMinion(
    std::string_view service) const {
  return minions_.Pick(service);
}

std::optional<TargetIndex> PlacementIndex::PickWorker(
    const Resources& need,
    WorkerPolicy policy) const {
  return workers_.Pick(need, policy);
}

std::vector<TargetIndex> PlacementIndex::PickGang(const Resources& need,
                                                  std::uint32_t count) const {
  return workers_.PickGang(need, count);
}

std::int64_t PlacementIndex::CountFitting(const Resources& need) const {
  return workers_.CountFitting(need);
}

bool PlacementIndex::FitsEmpty(const Resources& need) const {
  return capacities_.FitsSome(need);
}

std::string PlacementIndex::DescribeMisfitEverywhere(
    const Resources& need) const {
  return capacities_.DescribeMisfit(need);
}

std::int64_t PlacementIndex::free_slots(std::string_view service) const {
  return minions_.free_slots(service);
}

std::int64_t PlacementIndex::total_slots(std::string_view service) const {
  return minions_.total_slots(service);
}

void PlacementIndex::Index(TargetIndex index) {
  const Target& target = targets_[index];
  if (!target.open) {
    return;
  }
  if (!IsWorker(target)) {
    minions_.Insert(index, target);
    return;
  }
  workers_.Insert(index, target);
  total_free_ += UsableRoom(target.free);
  total_capacity_ += target.info.capacity;
}

void PlacementIndex::Unindex(TargetIndex index) {
  const Target& target = targets_[index];
  if (!target.open) {
    return;
  }
  if (!IsWorker(target)) {
    minions_.Erase(index, target);
    return;
  }
  workers_.Erase(index);
  total_free_ -= UsableRoom(target.free);
  total_capacity_ -= target.info.capacity;
}

void PlacementIndex::SetFree(TargetIndex index, const Resources& free) {
  // The caller's reference may be into the target that is changed here.
  const Resources amount = free;
  Unindex(index);
  targets_[index].free = amount;
  Index(index);
}

}  // namespace burdockrock
