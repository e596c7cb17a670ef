// Fleets and work of the users' sizes, made from a seed.
#ifndef BURDOCKROCK_TESTS_PLACEMENT_OVERNIGHT_MIX_H_
#define BURDOCKROCK_TESTS_PLACEMENT_OVERNIGHT_MIX_H_

#include <cstddef>
#include <cstdint>
#include <random>
#include <vector>

#include "model/resources.h"
#include "model/work.h"
#include "placement/target.h"

namespace burdockrock {

// Workers of 16 processors and 64 GiB, 8 to a rack; of each rack one has two
// accelerators and one has one.
std::vector<TargetInfo> MakeFleet(std::size_t workers, std::uint32_t seed);

// The sum of the workers' capacities.
Resources CapacityOf(const std::vector<TargetInfo>& fleet);

// An endless overnight mix of batches and gangs: validation (small), rendering
// (processors), roster solving (memory), scanning (accelerators) and gangs
// that merge group permits.
class OvernightMix {
 public:
  explicit OvernightMix(std::uint32_t seed) : random_(seed) {}

  JobSpec Next();

 private:
  std::int64_t Between(std::int64_t low, std::int64_t high);
  Resources Size(std::int64_t low_processors,
                 std::int64_t high_processors,
                 std::int64_t low_memory,
                 std::int64_t high_memory);

  std::mt19937 random_;
};

}  // namespace burdockrock

#endif  // BURDOCKROCK_TESTS_PLACEMENT_OVERNIGHT_MIX_H_
