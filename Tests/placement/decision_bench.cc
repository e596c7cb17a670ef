// A fleet is filled until nothing fits; then tasks end at random and new ones
// are placed, so that the free room is as ragged as in a busy cell. Times are
// for the pick and the booking of one task. Bounds are on counts of search
// steps and on ratios within the run, which do not depend on the machine.
#include "decision_bench.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <random>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "bench_placer.h"
#include "overnight_mix.h"

namespace burdockrock {

namespace {

constexpr std::array<std::size_t, 4> kFleetSizes = {50, 500, 1'500, 15'000};
constexpr std::uint32_t kSeed = 7;
constexpr std::size_t kDecisions = 20'000;
constexpr std::size_t kMissesToFill = 200;
// Of the tasks that run when the fleet is full, one in so many ends at first.
constexpr std::size_t kEndedShare = 10;
constexpr double kSizeGrowth = 15'000.0 / 50.0;
// By how much the growth of costs has to stay below that of the fleet. Times
// vary from run to run, counts of steps do not.
constexpr double kTimeMargin = 5;
constexpr double kStepsMargin = 40;
constexpr double kMostSteps = 800;

struct Costs {
  double p99_us = 0;
  double mean_steps = 0;
};

double At(std::vector<double>& values, double share) {
  const auto nth =
      values.begin() + static_cast<std::ptrdiff_t>(
                           share * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), nth, values.end());
  return *nth;
}

std::vector<Placed> Fill(const BenchPlacer& placer, OvernightMix& mix) {
  std::vector<Placed> running;
  for (std::size_t misses = 0; misses < kMissesToFill;) {
    const Resources need = mix.Next().resources;
    const auto worker = placer.place(need);
    misses = worker ? 0 : misses + 1;
    if (worker) {
      running.push_back({.worker = *worker, .resources = need});
    }
  }
  return running;
}

void EndOne(const BenchPlacer& placer,
            std::vector<Placed>& running,
            std::mt19937& random) {
  std::swap(running[random() % running.size()], running.back());
  placer.give(running.back().worker, running.back().resources);
  running.pop_back();
}

Costs Measure(bench::BenchReport& report,
              BenchPolicy policy,
              std::size_t workers) {
  const BenchPlacer placer = MakeBenchPlacer(policy, MakeFleet(workers, kSeed));
  OvernightMix mix(kSeed);
  std::mt19937 random(kSeed);
  std::vector<Placed> running = Fill(placer, mix);
  for (std::size_t it = running.size() / kEndedShare; it > 0; --it) {
    EndOne(placer, running, random);
  }
  std::vector<double> times;
  std::vector<double> steps;
  double time_sum = 0;
  double step_sum = 0;
  while (times.size() < kDecisions) {
    const Resources need = mix.Next().resources;
    const std::uint64_t before = placer.steps();
    const auto start = std::chrono::steady_clock::now();
    const auto worker = placer.place(need);
    const std::chrono::duration<double, std::micro> time =
        std::chrono::steady_clock::now() - start;
    times.push_back(time.count());
    steps.push_back(static_cast<double>(placer.steps() - before));
    time_sum += times.back();
    step_sum += steps.back();
    if (worker) {
      running.push_back({.worker = *worker, .resources = need});
      EndOne(placer, running, random);
    }
  }
  const Costs costs{.p99_us = At(times, 0.99),
                    .mean_steps = step_sum / kDecisions};
  const auto name = [&](const char* figure) {
    return fmt::format("decision_{}.{}.{}", figure, BenchPolicyName(policy),
                       workers);
  };
  report.Add({name("p50"), At(times, 0.50), "us"});
  report.Add({name("p99"), costs.p99_us, "us"});
  report.Add({name("rate"), 1e6 * kDecisions / time_sum, "decisions/s"});
  if (step_sum > 0) {
    report.Add({name("steps_mean"), costs.mean_steps, "nodes"});
    report.Add({name("steps_worst"), At(steps, 1.0), "nodes",
                bench::AtMost(kMostSteps)});
  }
  return costs;
}

void ReportGrowth(bench::BenchReport& report,
                  BenchPolicy policy,
                  const Costs& smallest,
                  const Costs& largest) {
  const char* const name = BenchPolicyName(policy);
  report.Add({fmt::format("decision_p99_growth.{}", name),
              largest.p99_us / smallest.p99_us, "ratio",
              bench::AtMost(kSizeGrowth / kTimeMargin)});
  report.Add({fmt::format("decision_steps_growth.{}", name),
              largest.mean_steps / smallest.mean_steps, "ratio",
              bench::AtMost(kSizeGrowth / kStepsMargin)});
}

}  // namespace

void RunDecisionBench(bench::BenchReport& report) {
  double first_fit_p99 = 0;
  double pack_p99 = 0;
  for (const BenchPolicy policy : kBenchPolicies) {
    std::vector<Costs> costs;
    costs.reserve(kFleetSizes.size());
    for (const std::size_t workers : kFleetSizes) {
      costs.push_back(Measure(report, policy, workers));
    }
    if (policy == BenchPolicy::kFirstFit) {
      first_fit_p99 = costs.back().p99_us;
    } else if (policy == BenchPolicy::kPack) {
      pack_p99 = costs.back().p99_us;
    }
    if (costs.front().mean_steps > 0) {
      ReportGrowth(report, policy, costs.front(), costs.back());
    }
  }
  report.Add({"decision_p99.pack_over_first_fit.15000",
              pack_p99 / first_fit_p99, "ratio", bench::AtMost(1.0)});
}

}  // namespace burdockrock
