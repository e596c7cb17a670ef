// How fully a fleet of the smaller user's size is used when an overnight mix
// is offered until nothing more fits, and what is refused while tasks come and
// go at a given load; for the index and the baselines on the same work. All
// of it is counted and the same in each run.
#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "bench/bench_report.h"
#include "bench_placer.h"
#include "decision_bench.h"
#include "overnight_mix.h"

namespace burdockrock {

namespace {

constexpr std::size_t kWorkers = 50;
constexpr std::uint32_t kFillSeeds = 30;
constexpr std::uint32_t kChurnSeeds = 10;
constexpr std::size_t kMeasured = 3;  // the dimensions that workers have
// Offered over capacity, so that the last gaps have tasks to choose from.
constexpr std::int64_t kOfferedPercent = 150;
constexpr std::array<std::int64_t, 2> kChurnPercents = {75, 85};
constexpr int kChurnWarmUp = 300;
constexpr int kChurnJobs = 3'000;
constexpr std::int64_t kLargeProcessors = 8'000;

constexpr double kLeastScarcest = 0.95;
constexpr double kLeastLeadOnFirstFit = 0.05;
constexpr double kMostRefusedGangs = 0.05;

using Shares = std::array<double, kMeasured>;

// True when `part` is `percent` of `whole` in each dimension (`all`) or in one.
bool Reaches(const Resources& part,
             const Resources& whole,
             std::int64_t percent,
             bool all) {
  const DimensionArray parts = ToArray(part);
  const DimensionArray wholes = ToArray(whole);
  std::size_t reached = 0;
  for (std::size_t it = 0; it < kMeasured; ++it) {
    reached += parts[it] * 100 >= wholes[it] * percent ? 1 : 0;
  }
  return all ? reached == kMeasured : reached > 0;
}

// What is placed, over the volume bound. More than the capacity is offered in
// each dimension, so the capacity is that bound.
Shares Fill(BenchPolicy policy, std::uint32_t seed) {
  const std::vector<TargetInfo> fleet = MakeFleet(kWorkers, seed);
  const Resources capacity = CapacityOf(fleet);
  const BenchPlacer placer = MakeBenchPlacer(policy, fleet);
  OvernightMix mix(seed);
  Resources offered;
  Resources placed;
  while (!Reaches(offered, capacity, kOfferedPercent, true)) {
    const JobSpec job = mix.Next();
    for (std::uint32_t it = 0; it < job.count; ++it) {
      offered += job.resources;
    }
    for (const Placed& it : PlaceJob(placer, job)) {
      placed += it.resources;
    }
  }
  const DimensionArray amounts = ToArray(placed);
  const DimensionArray capacities = ToArray(capacity);
  Shares shares{};
  for (std::size_t it = 0; it < kMeasured; ++it) {
    shares[it] =
        static_cast<double>(amounts[it]) / static_cast<double>(capacities[it]);
  }
  return shares;
}

Shares MeanFill(BenchPolicy policy) {
  Shares mean{};
  for (std::uint32_t seed = 1; seed <= kFillSeeds; ++seed) {
    const Shares shares = Fill(policy, seed);
    for (std::size_t it = 0; it < kMeasured; ++it) {
      mean[it] += shares[it] / kFillSeeds;
    }
  }
  return mean;
}

void RunFill(bench::BenchReport& report) {
  std::map<BenchPolicy, Shares> shares;
  for (const BenchPolicy policy : kBenchPolicies) {
    shares[policy] = MeanFill(policy);
    for (std::size_t it = 0; it < kMeasured; ++it) {
      const bool bounded = policy == BenchPolicy::kPack && it == 0;
      report.Add({fmt::format("fill.{}.{}", BenchPolicyName(policy),
                              DimensionName(it)),
                  shares[policy][it], "share",
                  bounded ? std::optional(bench::AtLeast(kLeastScarcest))
                          : std::nullopt});
    }
  }
  for (std::size_t it = 0; it < kMeasured; ++it) {
    const double lead =
        shares[BenchPolicy::kPack][it] - shares[BenchPolicy::kFirstFit][it];
    report.Add({fmt::format("fill_lead_on_first_fit.{}", DimensionName(it)),
                lead, "share", bench::AtLeast(kLeastLeadOnFirstFit)});
  }
}

struct Refusals {
  double gangs = 0;
  double refused_gangs = 0;
  double large_tasks = 0;
  double refused_large_tasks = 0;
};

void Count(const JobSpec& job, std::size_t placed, Refusals& refusals) {
  if (job.kind == JobKind::kGang) {
    refusals.gangs += 1;
    refusals.refused_gangs += placed == 0 ? 1 : 0;
  } else if (job.resources.processors_milli >= kLargeProcessors) {
    refusals.large_tasks += job.count;
    refusals.refused_large_tasks += static_cast<double>(job.count - placed);
  }
}

// Offers job after job; after each, tasks end at random until the fleet is
// below the load again in processors and in memory.
void Churn(BenchPolicy policy,
           std::int64_t percent,
           std::uint32_t seed,
           Refusals& refusals) {
  const std::vector<TargetInfo> fleet = MakeFleet(kWorkers, seed);
  Resources capacity = CapacityOf(fleet);
  // The load is that of processors and memory; accelerators end no task.
  capacity.accelerators = kMaxAmount;
  const BenchPlacer placer = MakeBenchPlacer(policy, fleet);
  OvernightMix mix(seed);
  std::mt19937 random(seed);
  std::vector<Placed> running;
  Resources used;
  for (int it = 0; it < kChurnJobs; ++it) {
    const JobSpec job = mix.Next();
    const std::vector<Placed> placed = PlaceJob(placer, job);
    if (it >= kChurnWarmUp) {
      Count(job, placed.size(), refusals);
    }
    for (const Placed& task : placed) {
      used += task.resources;
      running.push_back(task);
    }
    while (Reaches(used, capacity, percent, false)) {
      std::swap(running[random() % running.size()], running.back());
      placer.give(running.back().worker, running.back().resources);
      used -= running.back().resources;
      running.pop_back();
    }
  }
}

void RunChurn(bench::BenchReport& report) {
  for (const std::int64_t percent : kChurnPercents) {
    for (const BenchPolicy policy : kBenchPolicies) {
      Refusals refusals;
      for (std::uint32_t seed = 1; seed <= kChurnSeeds; ++seed) {
        Churn(policy, percent, seed, refusals);
      }
      const char* const name = BenchPolicyName(policy);
      const bool bounded = policy == BenchPolicy::kPack;
      report.Add({fmt::format("churn_refused_gangs.{}.{}", name, percent),
                  refusals.refused_gangs / refusals.gangs, "share",
                  bounded ? std::optional(bench::AtMost(kMostRefusedGangs))
                          : std::nullopt});
      report.Add({fmt::format("churn_refused_large.{}.{}", name, percent),
                  refusals.refused_large_tasks / refusals.large_tasks,
                  "share"});
    }
  }
}

}  // namespace

}  // namespace burdockrock

int main() {
  burdockrock::bench::BenchReport report;
  burdockrock::RunFill(report);
  burdockrock::RunChurn(report);
  burdockrock::RunDecisionBench(report);
  return report.ExitCode();
}
