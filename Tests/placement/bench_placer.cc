// The functions of a placer share the ownership of its fleet.
#include "bench_placer.h"

#include <cstddef>
#include <memory>
#include <random>

#include "placement/placement_index.h"

namespace burdockrock {

namespace {

class BaselinePlacer {
 public:
  BaselinePlacer(bool random_start, const std::vector<TargetInfo>& fleet)
      : random_start_(random_start) {
    for (const TargetInfo& it : fleet) {
      free_.push_back(it.capacity);
    }
  }

  std::optional<std::uint32_t> Place(const Resources& need) {
    const std::size_t size = free_.size();
    std::size_t worker = random_start_ ? random_() % size : 0;
    for (std::size_t it = 0; it < size; ++it) {
      if (Fits(need, free_[worker])) {
        free_[worker] -= need;
        return static_cast<std::uint32_t>(worker);
      }
      worker = worker + 1 == size ? 0 : worker + 1;
    }
    return std::nullopt;
  }

  std::vector<std::uint32_t> PlaceGang(const Resources& need,
                                       std::uint32_t count) {
    std::vector<std::uint32_t> places;
    while (places.size() < count) {
      const auto worker = Place(need);
      if (!worker) {
        for (const std::uint32_t taken : places) {
          Give(taken, need);
        }
        return {};
      }
      places.push_back(*worker);
    }
    return places;
  }

  void Give(std::uint32_t worker, const Resources& amount) {
    free_[worker] += amount;
  }

 private:
  bool random_start_;
  std::vector<Resources> free_;
  std::mt19937 random_;
};

BenchPlacer MakeBaseline(bool random_start,
                         const std::vector<TargetInfo>& fleet) {
  const auto baseline = std::make_shared<BaselinePlacer>(random_start, fleet);
  return {.place = [baseline](
                       const Resources& need) { return baseline->Place(need); },
          .place_gang =
              [baseline](const Resources& need, std::uint32_t count) {
                return baseline->PlaceGang(need, count);
              },
          .give =
              [baseline](std::uint32_t worker, const Resources& amount) {
                baseline->Give(worker, amount);
              },
          .steps = [] { return std::uint64_t{0}; }};
}

BenchPlacer MakeIndex(WorkerPolicy policy,
                      const std::vector<TargetInfo>& fleet) {
  const auto index = std::make_shared<PlacementIndex>();
  for (const TargetInfo& it : fleet) {
    index->Add(it);
  }
  return {
      .place = [index,
                policy](const Resources& need) -> std::optional<std::uint32_t> {
        const auto worker = index->PickWorker(need, policy);
        return worker && index->Take(*worker, need) ? worker : std::nullopt;
      },
      .place_gang =
          [index](const Resources& need, std::uint32_t count) {
            auto places = index->PickGang(need, count);
            for (const TargetIndex worker : places) {
              index->Take(worker, need);
            }
            return places;
          },
      .give = [index](std::uint32_t worker,
                      const Resources& amount) { index->Give(worker, amount); },
      .steps = [index] { return index->visited(); }};
}

}  // namespace

const char* BenchPolicyName(BenchPolicy policy) {
  switch (policy) {
    case BenchPolicy::kPack:
      return "pack";
    case BenchPolicy::kSpread:
      return "spread";
    case BenchPolicy::kFirstFit:
      return "first_fit";
    case BenchPolicy::kRandom:
      return "random";
  }
  return "unknown";
}

BenchPlacer MakeBenchPlacer(BenchPolicy policy,
                            const std::vector<TargetInfo>& fleet) {
  switch (policy) {
    case BenchPolicy::kPack:
      return MakeIndex(WorkerPolicy::kPack, fleet);
    case BenchPolicy::kSpread:
      return MakeIndex(WorkerPolicy::kSpread, fleet);
    case BenchPolicy::kFirstFit:
      return MakeBaseline(false, fleet);
    case BenchPolicy::kRandom:
      break;
  }
  return MakeBaseline(true, fleet);
}

std::vector<Placed> PlaceJob(const BenchPlacer& placer, const JobSpec& job) {
  std::vector<Placed> placed;
  if (job.kind == JobKind::kGang) {
    for (const std::uint32_t it : placer.place_gang(job.resources, job.count)) {
      placed.push_back({.worker = it, .resources = job.resources});
    }
    return placed;
  }
  for (std::uint32_t it = 0; it < job.count; ++it) {
    if (const auto worker = placer.place(job.resources)) {
      placed.push_back({.worker = *worker, .resources = job.resources});
    }
  }
  return placed;
}

}  // namespace burdockrock
