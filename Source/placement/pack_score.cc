// Amounts count as shares of the worker's own capacity.
#include "placement/pack_score.h"

#include <cmath>
#include <cstdint>

namespace burdockrock {

namespace {

constexpr double kUnevenWeight = 1.0;

double Share(std::int64_t amount, std::int64_t capacity) {
  return capacity <= 0
             ? 0.0
             : static_cast<double>(amount) / static_cast<double>(capacity);
}

}  // namespace

double RemainderCost(const Resources& remainder, const Resources& capacity) {
  const double processors =
      Share(remainder.processors_milli, capacity.processors_milli);
  const double memory = Share(remainder.memory_mb, capacity.memory_mb);
  return processors + memory + kUnevenWeight * std::abs(processors - memory);
}

}  // namespace burdockrock
