// The index and the policies that it is measured against, behind one shape.
#ifndef BURDOCKROCK_TESTS_PLACEMENT_BENCH_PLACER_H_
#define BURDOCKROCK_TESTS_PLACEMENT_BENCH_PLACER_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "model/resources.h"
#include "model/work.h"
#include "placement/target.h"

namespace burdockrock {

enum class BenchPolicy {
  kPack,      // the index, dense
  kSpread,    // the index, least loaded
  kFirstFit,  // scans a list from its start, gangs task by task
  kRandom,    // scans it from a random place, gangs task by task
};

inline constexpr BenchPolicy kBenchPolicies[] = {
    BenchPolicy::kPack, BenchPolicy::kSpread, BenchPolicy::kFirstFit,
    BenchPolicy::kRandom};

const char* BenchPolicyName(BenchPolicy policy);

struct Placed {
  std::uint32_t worker = 0;
  Resources resources;
};

// A fleet under one policy; workers are numbered as in the fleet.
struct BenchPlacer {
  // Picks a worker and books the task.
  std::function<std::optional<std::uint32_t>(const Resources&)> place;
  // Places all tasks or, with an empty answer, none.
  std::function<std::vector<std::uint32_t>(const Resources&, std::uint32_t)>
      place_gang;
  std::function<void(std::uint32_t, const Resources&)> give;
  // Search steps so far; 0 where they are not counted.
  std::function<std::uint64_t()> steps;
};

BenchPlacer MakeBenchPlacer(BenchPolicy policy,
                            const std::vector<TargetInfo>& fleet);

// Places a gang whole or not at all, other jobs as far as they fit.
std::vector<Placed> PlaceJob(const BenchPlacer& placer, const JobSpec& job);

}  // namespace burdockrock

#endif  // BURDOCKROCK_TESTS_PLACEMENT_BENCH_PLACER_H_
