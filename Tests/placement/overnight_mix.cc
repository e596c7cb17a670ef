// Sizes come in steps of half a processor and 256 MiB, as people declare them.
#include "overnight_mix.h"

#include <algorithm>

#include <fmt/format.h>

namespace burdockrock {

namespace {

constexpr std::size_t kRackSize = 8;
constexpr std::int64_t kProcessorStep = 500;
constexpr std::int64_t kMemoryStep = 256;
constexpr Resources kCapacity{.processors_milli = 16'000, .memory_mb = 65'536};

std::uint32_t Count(std::int64_t amount) {
  return static_cast<std::uint32_t>(amount);
}

}  // namespace

std::vector<TargetInfo> MakeFleet(std::size_t workers, std::uint32_t seed) {
  std::mt19937 random(seed);
  std::vector<TargetInfo> fleet;
  std::vector<std::int64_t> accelerators = {2, 1, 0, 0, 0, 0, 0, 0};
  for (std::size_t it = 0; it < workers; ++it) {
    if (it % kRackSize == 0) {
      // Not std::shuffle, whose draws the standard leaves open.
      for (std::size_t n = kRackSize - 1; n > 0; --n) {
        std::swap(accelerators[n], accelerators[random() % (n + 1)]);
      }
    }
    TargetInfo info{.id = fmt::format("worker-{}", it),
                    .rack = fmt::format("rack-{}", it / kRackSize),
                    .capacity = kCapacity};
    info.capacity.accelerators = accelerators[it % kRackSize];
    fleet.push_back(info);
  }
  return fleet;
}

Resources CapacityOf(const std::vector<TargetInfo>& fleet) {
  Resources sum;
  for (const TargetInfo& it : fleet) {
    sum += it.capacity;
  }
  return sum;
}

std::int64_t OvernightMix::Between(std::int64_t low, std::int64_t high) {
  return low + static_cast<std::int64_t>(random_() % (high - low + 1));
}

Resources OvernightMix::Size(std::int64_t low_processors,
                             std::int64_t high_processors,
                             std::int64_t low_memory,
                             std::int64_t high_memory) {
  return {.processors_milli =
              kProcessorStep * Between(low_processors, high_processors),
          .memory_mb = kMemoryStep * Between(low_memory, high_memory)};
}

JobSpec OvernightMix::Next() {
  JobSpec job;
  const std::int64_t draw = Between(0, 99);
  if (draw < 26) {  // validation
    job.count = Count(Between(4, 16));
    job.resources = Size(1, 3, 4, 12);
  } else if (draw < 42) {  // rendering
    job.count = Count(Between(2, 8));
    job.resources = Size(4, 10, 4, 24);
  } else if (draw < 62) {  // roster solving
    job.count = Count(Between(2, 6));
    job.resources = Size(2, 4, 48, 96);
  } else if (draw < 76) {  // scanning
    job.count = Count(Between(1, 3));
    job.resources = Size(2, 8, 16, 64);
    job.resources.accelerators = 1;
  } else if (draw < 82) {  // route planning
    job.count = Count(Between(1, 2));
    job.resources = Size(16, 28, 96, 208);
  } else {  // merging
    job.kind = JobKind::kGang;
    job.count = Count(Between(4, 12));
    job.resources = Size(2, 8, 24, 56);
  }
  return job;
}

}  // namespace burdockrock
