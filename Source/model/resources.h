// Amounts of what workers and minions offer and tasks and requests take.
#ifndef BURDOCKROCK_MODEL_RESOURCES_H_
#define BURDOCKROCK_MODEL_RESOURCES_H_

#include <array>
#include <compare>
#include <cstdint>
#include <string>

namespace burdockrock {

// An amount in each dimension. Amounts are never negative and each is at most
// kMaxAmount, so that sums over a failure domain cannot overflow.
struct Resources {
  std::int64_t processors_milli = 0;
  std::int64_t memory_mb = 0;
  std::int64_t accelerators = 0;
  std::int64_t slots = 0;

  auto operator<=>(const Resources&) const = default;
};

inline constexpr std::int64_t kMaxAmount = 1'000'000'000;
inline constexpr std::size_t kDimensionCount = 4;

using DimensionArray = std::array<std::int64_t, kDimensionCount>;

DimensionArray ToArray(const Resources& resources);

// The name of a dimension as settings and diagnostics spell it.
const char* DimensionName(std::size_t dimension);

Resources operator+(const Resources& left, const Resources& right);
Resources operator-(const Resources& left, const Resources& right);
Resources& operator+=(Resources& left, const Resources& right);
Resources& operator-=(Resources& left, const Resources& right);

// True when `need` is at most `room` in every dimension.
bool Fits(const Resources& need, const Resources& room);

// How many times `need` goes into `room`; 0 when it does not fit. An empty
// `need` fits kMaxAmount times.
std::int64_t CountFitting(const Resources& need, const Resources& room);

// "processors_milli 64000 over 32000, ..." for each dimension that does not
// fit; empty when all fit.
std::string DescribeMisfit(const Resources& need, const Resources& room);

}  // namespace burdockrock

#endif  // BURDOCKROCK_MODEL_RESOURCES_H_
