// A misfit is told against the greatest amount of each dimension; where each
// dimension alone would fit, against the size that lacks the fewest.
#include "placement/capacity_catalog.h"

#include <algorithm>
#include <cstddef>
#include <limits>

#include <fmt/format.h>

namespace burdockrock {

namespace {

std::size_t CountMisfits(const Resources& need, const Resources& room) {
  const DimensionArray needs = ToArray(need);
  const DimensionArray rooms = ToArray(room);
  std::size_t count = 0;
  for (std::size_t it = 0; it < kDimensionCount; ++it) {
    count += needs[it] > rooms[it] ? 1 : 0;
  }
  return count;
}

}  // namespace

void CapacityCatalog::Add(const Resources& capacity) {
  ++counts_[capacity];
}

void CapacityCatalog::Remove(const Resources& capacity) {
  const auto it = counts_.find(capacity);
  if (it != counts_.end() && --it->second == 0) {
    counts_.erase(it);
  }
}

bool CapacityCatalog::FitsSome(const Resources& need) const {
  return std::any_of(
      counts_.begin(), counts_.end(),
      [&need](const auto& entry) { return Fits(need, entry.first); });
}

std::string CapacityCatalog::DescribeMisfit(const Resources& need) const {
  if (counts_.empty()) {
    return "no worker is known";
  }
  Resources greatest;
  Resources nearest;
  std::size_t fewest = std::numeric_limits<std::size_t>::max();
  for (const auto& [capacity, count] : counts_) {
    const std::size_t misfits = CountMisfits(need, capacity);
    if (misfits == 0) {
      return "";
    }
    if (misfits < fewest) {
      fewest = misfits;
      nearest = capacity;
    }
    greatest.processors_milli =
        std::max(greatest.processors_milli, capacity.processors_milli);
    greatest.memory_mb = std::max(greatest.memory_mb, capacity.memory_mb);
    greatest.accelerators =
        std::max(greatest.accelerators, capacity.accelerators);
    greatest.slots = std::max(greatest.slots, capacity.slots);
  }
  std::string text = burdockrock::DescribeMisfit(need, greatest);
  if (!text.empty()) {
    return text;
  }
  return fmt::format("no worker offers all at once, the nearest lacks {}",
                     burdockrock::DescribeMisfit(need, nearest));
}

}  // namespace burdockrock
