#include "model/resources.h"

#include <algorithm>

#include <fmt/format.h>

namespace burdockrock {

DimensionArray ToArray(const Resources& resources) {
  return {resources.processors_milli, resources.memory_mb,
          resources.accelerators, resources.slots};
}

const char* DimensionName(std::size_t dimension) {
  static constexpr std::array<const char*, kDimensionCount> kNames = {
      "processors_milli", "memory_mb", "accelerators", "slots"};
  return kNames.at(dimension);
}

Resources operator+(const Resources& left, const Resources& right) {
  Resources sum = left;
  sum += right;
  return sum;
}

Resources operator-(const Resources& left, const Resources& right) {
  Resources difference = left;
  difference -= right;
  return difference;
}

Resources& operator+=(Resources& left, const Resources& right) {
  left.processors_milli += right.processors_milli;
  left.memory_mb += right.memory_mb;
  left.accelerators += right.accelerators;
  left.slots += right.slots;
  return left;
}

Resources& operator-=(Resources& left, const Resources& right) {
  left.processors_milli -= right.processors_milli;
  left.memory_mb -= right.memory_mb;
  left.accelerators -= right.accelerators;
  left.slots -= right.slots;
  return left;
}

bool Fits(const Resources& need, const Resources& room) {
  return need.processors_milli <= room.processors_milli &&
         need.memory_mb <= room.memory_mb &&
         need.accelerators <= room.accelerators && need.slots <= room.slots;
}

std::int64_t CountFitting(const Resources& need, const Resources& room) {
  const DimensionArray needs = ToArray(need);
  const DimensionArray rooms = ToArray(room);
  std::int64_t count = kMaxAmount;
  for (std::size_t it = 0; it < kDimensionCount; ++it) {
    if (needs[it] > 0) {
      count = std::min(count, std::max<std::int64_t>(rooms[it], 0) / needs[it]);
    }
  }
  return count;
}

std::string DescribeMisfit(const Resources& need, const Resources& room) {
  const DimensionArray needs = ToArray(need);
  const DimensionArray rooms = ToArray(room);
  std::string text;
  for (std::size_t it = 0; it < kDimensionCount; ++it) {
    if (needs[it] > rooms[it]) {
      text += fmt::format("{}{} {} over {}", text.empty() ? "" : ", ",
                          DimensionName(it), needs[it], rooms[it]);
    }
  }
  return text;
}

}  // namespace burdockrock
