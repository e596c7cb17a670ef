// The order by processors finds a worker whenever one has room, and at
// logarithmic cost: within a group the order bounds one dimension and the
// trees' greatest amounts the other. The other orders have no such bound, so
// their searches end after kMaxNodes and only add better candidates.
#include "placement/worker_index.h"

#include <algorithm>
#include <compare>
#include <functional>
#include <queue>
#include <tuple>

#include "placement/pack_cost.h"

namespace burdockrock {

namespace {

constexpr std::int64_t kLoadSteps = 64;
constexpr std::int64_t kSizeSteps = 1'000;
constexpr std::int64_t kDirectionSteps = 256;
constexpr std::size_t kMaxCandidates = 12;  // of each order
constexpr std::size_t kMaxNodes = 128;
constexpr std::size_t kSpareGangCandidates = 16;

// `amount` in `steps` of `whole`.
std::int64_t StepsOf(std::int64_t amount,
                     std::int64_t whole,
                     std::int64_t steps) {
  return whole <= 0 ? 0 : amount * steps / whole;
}

std::int64_t SizeOf(const Resources& amount, const Resources& capacity) {
  return StepsOf(amount.processors_milli, capacity.processors_milli,
                 kSizeSteps) +
         StepsOf(amount.memory_mb, capacity.memory_mb, kSizeSteps);
}

// The part of the processors in the size; what is empty has the middle one.
std::int64_t DirectionOf(const Resources& amount, const Resources& capacity) {
  const std::int64_t size = SizeOf(amount, capacity);
  if (size == 0) {
    return kDirectionSteps / 2;
  }
  return StepsOf(
      StepsOf(amount.processors_milli, capacity.processors_milli, kSizeSteps),
      size, kDirectionSteps);
}

// The next task of a gang on a worker that has been given some of it.
struct GangPlace {
  double cost = 0;
  TargetIndex index = 0;
  Resources free;

  auto operator<=>(const GangPlace&) const = default;
};

using GangQueue =
    std::priority_queue<GangPlace, std::vector<GangPlace>, std::greater<>>;

}  // namespace

void WorkerIndex::Insert(TargetIndex index, const Target& target) {
  if (index >= workers_.size()) {
    workers_.resize(index + 1);
  }
  workers_[index] = Worker{.free = target.free,
                           .capacity = target.info.capacity,
                           .load = LoadOf(target),
                           .rank = target.rank};
  const Worker& worker = workers_[index];
  Group& group = groups_[worker.free.accelerators];
  ++group.size;
  for (std::size_t it = 0; it < kOrderCount; ++it) {
    forests_[it].Insert(group.roots[it], index,
                        KeyOf(static_cast<Order>(it), worker), worker.free);
  }
}

void WorkerIndex::Erase(TargetIndex index) {
  const auto group = groups_.find(workers_[index].free.accelerators);
  for (std::size_t it = 0; it < kOrderCount; ++it) {
    forests_[it].Erase(group->second.roots[it], index);
  }
  if (--group->second.size == 0) {
    groups_.erase(group);
  }
}

std::optional<TargetIndex> WorkerIndex::Pick(const Resources& need,
                                             WorkerPolicy policy) const {
  return policy == WorkerPolicy::kPack ? PickDensest(need)
                                       : PickLeastLoaded(need);
}

std::vector<TargetIndex> WorkerIndex::PickGang(const Resources& need,
                                               std::uint32_t count) const {
  std::vector<TargetIndex> picked;
  for (auto it = groups_.lower_bound(need.accelerators);
       it != groups_.end() && picked.size() < count; ++it) {
    const auto left = static_cast<std::uint32_t>(count - picked.size());
    PlaceDensest(GangCandidates(it->second, need, left), need, left, picked);
  }
  if (picked.size() < count) {
    picked.clear();
  }
  return picked;
}

std::int64_t WorkerIndex::CountFitting(const Resources& need) const {
  std::int64_t count = 0;
  const auto add = [&](TargetIndex index) {
    count += burdockrock::CountFitting(need, workers_[index].free);
    return count < kMaxAmount;
  };
  for (auto it = groups_.lower_bound(need.accelerators); it != groups_.end();
       ++it) {
    Visit(it->second, kByProcessors, {.need = need}, add);
  }
  return std::min(count, kMaxAmount);
}

std::int64_t WorkerIndex::LoadOf(const Target& target) {
  const DimensionArray frees = ToArray(target.free);
  const DimensionArray capacities = ToArray(target.info.capacity);
  std::int64_t load = 0;
  for (std::size_t it = 0; it < kDimensionCount; ++it) {
    load = std::max(
        load, StepsOf(capacities[it] - frees[it], capacities[it], kLoadSteps));
  }
  return load;
}

FitForest::Key WorkerIndex::KeyOf(Order order, const Worker& worker) {
  const std::int64_t size = SizeOf(worker.free, worker.capacity);
  switch (order) {
    case kByProcessors:
      return {.order = worker.free.processors_milli,
              .tie = worker.free.memory_mb};
    case kBySize:
      return {.order = size};
    case kByDirection:
      return {.order = DirectionOf(worker.free, worker.capacity), .tie = size};
    case kByLoad:
    case kOrderCount:
      break;
  }
  return {.order = worker.load, .tie = worker.rank};
}

void WorkerIndex::Visit(const Group& group,
                        Order order,
                        const FitForest::Search& search,
                        const FitForest::Visitor& visitor) const {
  visited_ += forests_[order].Visit(group.roots[order], search, visitor);
}

bool WorkerIndex::Collect(const Group& group,
                          Order order,
                          const FitForest::Search& search,
                          std::vector<TargetIndex>& found) const {
  std::size_t count = 0;
  Visit(group, order, search, [&](TargetIndex index) {
    found.push_back(index);
    return ++count < kMaxCandidates;
  });
  return count > 0;
}

bool WorkerIndex::CollectByProcessors(const Group& group,
                                      const Resources& need,
                                      std::vector<TargetIndex>& found) const {
  return Collect(group, kByProcessors,
                 {.need = need, .from = need.processors_milli}, found);
}

bool WorkerIndex::CollectDense(const Group& group,
                               const Resources& need,
                               std::vector<TargetIndex>& found) const {
  if (!CollectByProcessors(group, need, found)) {
    return false;
  }
  FitForest::Search search{.need = need, .max_nodes = kMaxNodes};
  Collect(group, kBySize, search, found);
  const Resources& typical = workers_[found.front()].capacity;
  search.from = DirectionOf(need, typical);
  Collect(group, kByDirection, search, found);
  search.direction = FitForest::Direction::kDescending;
  Collect(group, kByDirection, search, found);
  return true;
}

std::optional<TargetIndex> WorkerIndex::PickDensest(
    const Resources& need) const {
  std::vector<TargetIndex> found;
  for (auto it = groups_.lower_bound(need.accelerators); it != groups_.end();
       ++it) {
    if (CollectDense(it->second, need, found)) {
      break;
    }
  }
  std::optional<std::tuple<double, TargetIndex>> best;
  for (const TargetIndex index : found) {
    const Worker& worker = workers_[index];
    const std::tuple cost(PackCost(need, worker.free, worker.capacity), index);
    best = best ? std::min(*best, cost) : cost;
  }
  return best ? std::optional(std::get<TargetIndex>(*best)) : std::nullopt;
}

std::optional<TargetIndex> WorkerIndex::PickLeastLoaded(
    const Resources& need) const {
  std::vector<TargetIndex> found;
  for (auto it = groups_.lower_bound(need.accelerators); it != groups_.end();
       ++it) {
    const FitForest::Search search{.need = need, .max_nodes = kMaxNodes};
    if (!Collect(it->second, kByLoad, search, found)) {
      CollectByProcessors(it->second, need, found);
    }
    if (need.accelerators == 0 && !found.empty()) {
      break;
    }
  }
  const auto place = [&](TargetIndex index) {
    const Worker& worker = workers_[index];
    return std::tuple(worker.load, worker.rank, index);
  };
  const auto best = std::min_element(
      found.begin(), found.end(),
      [&](TargetIndex l, TargetIndex r) { return place(l) < place(r); });
  return best == found.end() ? std::nullopt : std::optional(*best);
}

// The workers with the fewest processors that hold the gang, some more to
// choose from, and the best for a single task.
std::vector<TargetIndex> WorkerIndex::GangCandidates(
    const Group& group,
    const Resources& need,
    std::uint32_t count) const {
  std::vector<TargetIndex> candidates;
  std::int64_t fitting = 0;
  std::size_t spare = 0;
  const auto add = [&](TargetIndex index) {
    candidates.push_back(index);
    spare += fitting >= count ? 1 : 0;
    fitting += burdockrock::CountFitting(need, workers_[index].free);
    return spare < kSpareGangCandidates;
  };
  Visit(group, kByProcessors, {.need = need, .from = need.processors_milli},
        add);
  CollectDense(group, need, candidates);
  std::sort(candidates.begin(), candidates.end());
  candidates.erase(std::unique(candidates.begin(), candidates.end()),
                   candidates.end());
  return candidates;
}

// Puts one task after the other where it costs least.
void WorkerIndex::PlaceDensest(const std::vector<TargetIndex>& candidates,
                               const Resources& need,
                               std::uint32_t count,
                               std::vector<TargetIndex>& picked) const {
  GangQueue places;
  const auto add = [&](TargetIndex index, const Resources& free) {
    if (Fits(need, free)) {
      const double cost = PackCost(need, free, workers_[index].capacity);
      places.push({.cost = cost, .index = index, .free = free});
    }
  };
  for (const TargetIndex index : candidates) {
    add(index, workers_[index].free);
  }
  for (; count > 0 && !places.empty(); --count) {
    const GangPlace place = places.top();
    places.pop();
    picked.push_back(place.index);
    add(place.index, place.free - need);
  }
}

}  // namespace burdockrock
