// The orders by processors and by memory find a worker whenever one has room,
// at logarithmic cost: within a group the order bounds one dimension and the
// trees' greatest amounts the other. The orders by size and by load have no
// such bound, so their searches end after kMaxNodes.
#include "placement/worker_index.h"

#include <algorithm>
#include <tuple>

#include "placement/pack_score.h"

namespace burdockrock {

namespace {

constexpr std::int64_t kLoadSteps = 64;
constexpr std::int64_t kSizeSteps = 1'000;
constexpr std::size_t kMaxCandidates = 12;  // of each order
constexpr std::size_t kMaxNodes = 128;
constexpr std::size_t kSpareGangCandidates = 16;

std::int64_t StepsOf(std::int64_t amount,
                     std::int64_t capacity,
                     std::int64_t steps) {
  return capacity <= 0 ? 0 : amount * steps / capacity;
}

Resources Times(const Resources& need, std::int64_t count) {
  return Resources{.processors_milli = need.processors_milli * count,
                   .memory_mb = need.memory_mb * count,
                   .accelerators = need.accelerators * count,
                   .slots = need.slots * count};
}

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
    FillDensest(GangCandidates(it->second, need, left), need, left, picked);
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
    Visit(it->second, kByProcessors, need, workers_.size(), add);
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
  const Resources& free = worker.free;
  switch (order) {
    case kByProcessors:
      return {.order = free.processors_milli, .tie = free.memory_mb};
    case kByMemory:
      return {.order = free.memory_mb, .tie = free.processors_milli};
    case kBySize:
      return {.order = StepsOf(free.processors_milli,
                               worker.capacity.processors_milli, kSizeSteps) +
                       StepsOf(free.memory_mb, worker.capacity.memory_mb,
                               kSizeSteps)};
    case kByLoad:
    case kOrderCount:
      break;
  }
  return {.order = worker.load, .tie = worker.rank};
}

void WorkerIndex::Visit(const Group& group,
                        Order order,
                        const Resources& need,
                        std::size_t max_nodes,
                        const FitForest::Visitor& visitor) const {
  FitForest::Search search{.need = need, .max_nodes = max_nodes};
  if (order == kByProcessors) {
    search.from = need.processors_milli;
  } else if (order == kByMemory) {
    search.from = need.memory_mb;
  }
  visited_ += forests_[order].Visit(group.roots[order], search, visitor);
}

void WorkerIndex::Collect(const Group& group,
                          Order order,
                          const Resources& need,
                          std::vector<TargetIndex>& found) const {
  const bool bounded = order == kByProcessors || order == kByMemory;
  const std::size_t max_nodes = bounded ? workers_.size() : kMaxNodes;
  std::size_t count = 0;
  Visit(group, order, need, max_nodes, [&](TargetIndex index) {
    found.push_back(index);
    return ++count < kMaxCandidates;
  });
}

std::optional<TargetIndex> WorkerIndex::PickDensest(
    const Resources& need) const {
  std::vector<TargetIndex> found;
  for (auto it = groups_.lower_bound(need.accelerators);
       it != groups_.end() && found.empty(); ++it) {
    for (const Order order : {kByProcessors, kByMemory, kBySize}) {
      Collect(it->second, order, need, found);
    }
  }
  const auto cost = [&](TargetIndex index) {
    const Worker& worker = workers_[index];
    return std::tuple(RemainderCost(worker.free - need, worker.capacity),
                      index);
  };
  const auto best = std::min_element(
      found.begin(), found.end(),
      [&](TargetIndex l, TargetIndex r) { return cost(l) < cost(r); });
  return best == found.end() ? std::nullopt : std::optional(*best);
}

std::optional<TargetIndex> WorkerIndex::PickLeastLoaded(
    const Resources& need) const {
  std::vector<TargetIndex> found;
  for (auto it = groups_.lower_bound(need.accelerators); it != groups_.end();
       ++it) {
    const std::size_t before = found.size();
    Collect(it->second, kByLoad, need, found);
    if (found.size() == before) {
      Collect(it->second, kByProcessors, need, found);
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

// The fullest workers that hold the gang, and some more to choose from.
std::vector<TargetIndex> WorkerIndex::GangCandidates(
    const Group& group,
    const Resources& need,
    std::uint32_t count) const {
  std::vector<TargetIndex> candidates;
  std::int64_t fitting = 0;
  std::size_t spare = 0;
  Visit(group, kByProcessors, need, workers_.size(), [&](TargetIndex index) {
    candidates.push_back(index);
    spare += fitting >= count ? 1 : 0;
    fitting += burdockrock::CountFitting(need, workers_[index].free);
    return spare < kSpareGangCandidates;
  });
  return candidates;
}

// Fills the workers that the gang's tasks leave with the cheapest remainder.
void WorkerIndex::FillDensest(std::vector<TargetIndex> candidates,
                              const Resources& need,
                              std::uint32_t count,
                              std::vector<TargetIndex>& picked) const {
  const auto tasks = [&](TargetIndex index) {
    return std::min<std::int64_t>(
        count, burdockrock::CountFitting(need, workers_[index].free));
  };
  const auto cost = [&](TargetIndex index) {
    const Worker& worker = workers_[index];
    return std::tuple(
        RemainderCost(worker.free - Times(need, tasks(index)), worker.capacity),
        index);
  };
  std::sort(candidates.begin(), candidates.end(),
            [&](TargetIndex l, TargetIndex r) { return cost(l) < cost(r); });
  for (const TargetIndex index : candidates) {
    const std::int64_t share = std::min<std::int64_t>(tasks(index), count);
    picked.insert(picked.end(), static_cast<std::size_t>(share), index);
    count -= static_cast<std::uint32_t>(share);
  }
}

}  // namespace burdockrock
