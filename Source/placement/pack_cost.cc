// Amounts count as shares of the worker's own capacity. The angle alone fills
// a fleet best but leaves no large room; the remainder alone leaves large room
// and strands memory beside used processors. docs/design/0002-placement.md
// has the figures for weights between.
#include "placement/pack_cost.h"

#include <cmath>
#include <cstdint>

namespace burdockrock {

namespace {

constexpr double kRemainderWeight = 0.1;

struct Shares {
  double processors = 0;
  double memory = 0;
};

double Share(std::int64_t amount, std::int64_t capacity) {
  return capacity <= 0
             ? 0.0
             : static_cast<double>(amount) / static_cast<double>(capacity);
}

Shares SharesOf(const Resources& amount, const Resources& capacity) {
  return {
      .processors = Share(amount.processors_milli, capacity.processors_milli),
      .memory = Share(amount.memory_mb, capacity.memory_mb)};
}

double Length(const Shares& shares) {
  return std::sqrt(shares.processors * shares.processors +
                   shares.memory * shares.memory);
}

// 1 for the same direction; also where one of them has none.
double Cosine(const Shares& left, const Shares& right) {
  const double lengths = Length(left) * Length(right);
  if (lengths <= 0) {
    return 1.0;
  }
  return (left.processors * right.processors + left.memory * right.memory) /
         lengths;
}

}  // namespace

double PackCost(const Resources& need,
                const Resources& free,
                const Resources& capacity) {
  const Shares task = SharesOf(need, capacity);
  const Shares room = SharesOf(free, capacity);
  const double remainder =
      room.processors - task.processors + room.memory - task.memory;
  return 1.0 - Cosine(task, room) + kRemainderWeight * remainder;
}

}  // namespace burdockrock
