// Processor time of one decision, through the whole reducer, by the number of
// workers or minions that an entry instance owns. Depends on the machine.
#include <algorithm>
#include <string>

#include <fmt/format.h>

#include "bench/bench_report.h"
#include "bench/driven_entry.h"
#include "bench/lanyu.h"

namespace burdockrock::bench {

namespace {

constexpr std::uint32_t kSizes[] = {50, 500, 1500, 15'000};
constexpr std::size_t kCycles = 20'000;
constexpr std::size_t kOffers = 2'000;
constexpr std::uint32_t kOwnTasks = 4'000;
// Growth from 1,500 to 15,000, as a share of the growth of the size: linear
// growth gives 1. Half of it is taken as clearly slower.
constexpr double kClearlyBelowLinear = 0.5;
constexpr std::uint32_t kGrowthFrom = 1500;

struct Growth {
  double first = 0;
  double last = 0;
};

void ReportGrowth(BenchReport& report,
                  const std::string& name,
                  const Growth& growth) {
  const double sizes = static_cast<double>(kSizes[3]) / kGrowthFrom;
  report.Add({.name = name + ".growth",
              .value = growth.last / growth.first / sizes,
              .unit = "of linear, 1500 to 15000",
              .bound = AtMost(kClearlyBelowLinear)});
}

double BenchRequests(BenchReport& report, std::uint32_t minions) {
  const auto group =
      MakeSettled({.entries = {1}, .workers = 0, .minions = minions});
  DrivenEntry entry(*group);
  Sample unused;
  const std::size_t busy = static_cast<std::size_t>(minions) * 8 * 4 / 5;
  while (entry.running() < busy) {
    entry.Arrive(unused);
  }
  Sample arrivals;
  Sample ends;
  for (std::size_t it = 0; it < kCycles; ++it) {
    entry.Arrive(arrivals);
    entry.EndOne(ends);
  }
  const std::string name = fmt::format("decision.request.{}", minions);
  report.Add({.name = name + ".starts",
              .value = 1e6 / (arrivals.Mean() + ends.Mean()),
              .unit = "1/s on one core"});
  report.Add(
      {.name = name + ".p50", .value = arrivals.Quantile(0.5), .unit = "us"});
  report.Add(
      {.name = name + ".p99", .value = arrivals.Quantile(0.99), .unit = "us"});
  return arrivals.Quantile(0.5);
}

double BenchOfferedTasks(BenchReport& report, std::uint32_t workers) {
  const auto group =
      MakeSettled({.entries = {1}, .workers = workers, .minions = 0});
  DrivenEntry entry(*group);
  const Resources task{.processors_milli = 250, .memory_mb = 256};
  Sample unused;
  for (std::uint32_t it = 0; it < workers; ++it) {
    entry.Offer(task, unused);
  }
  Sample offers;
  const std::size_t count =
      std::min<std::size_t>(kOffers, static_cast<std::size_t>(workers) * 16);
  for (std::size_t it = 0; it < count; ++it) {
    entry.Offer(task, offers);
  }
  const std::string name = fmt::format("decision.offered_task.{}", workers);
  report.Add({.name = name + ".starts",
              .value = 1e6 / offers.Mean(),
              .unit = "1/s on one core"});
  report.Add(
      {.name = name + ".p50", .value = offers.Quantile(0.5), .unit = "us"});
  report.Add(
      {.name = name + ".p99", .value = offers.Quantile(0.99), .unit = "us"});
  return offers.Quantile(0.5);
}

// The tasks of an own job. They are placed in passes; a pass's time is shared
// evenly over its starts, so this p99 is over passes.
double BenchOwnTasks(BenchReport& report, std::uint32_t workers) {
  const auto group =
      MakeSettled({.entries = {1}, .workers = workers, .minions = 0});
  State& state = group->state("d0-e0");
  const auto set_open = [&](bool open) {
    for (const auto& [id, worker] : state.ownership.workers) {
      state.placement.SetOpen(*worker.index, open);
    }
  };
  set_open(false);
  const ReplyId reply = group->Submit(
      "d0-e0", JobSpec{.kind = JobKind::kBatch,
                       .count = std::min(kOwnTasks, workers * 16),
                       .resources = {.processors_milli = 250, .memory_mb = 256},
                       .payload = "sleep_ms=60000"});
  group->RunUntil([&] { return group->AnsweredAt(reply).has_value(); },
                  std::chrono::milliseconds(500));
  set_open(true);
  DrivenEntry entry(*group);
  Sample passes;
  double total_us = 0;
  std::uint64_t starts = 0;
  while (state.jobs.queued_tasks > 0) {
    const std::int64_t waiting = state.jobs.queued_tasks;
    state.tasks.pass_needed = true;
    Sample pass;
    // Answers no call, so that only the pass itself takes time.
    entry.Step(PlatformAnswered{}, pass);
    const auto placed =
        static_cast<std::uint64_t>(waiting - state.jobs.queued_tasks);
    if (placed == 0) {
      break;
    }
    total_us += pass.Mean();
    starts += placed;
    passes.Add(pass.Mean() / static_cast<double>(placed));
  }
  const std::string name = fmt::format("decision.own_task.{}", workers);
  report.Add({.name = name + ".starts",
              .value = 1e6 * static_cast<double>(starts) / total_us,
              .unit = "1/s on one core"});
  report.Add(
      {.name = name + ".p50", .value = passes.Quantile(0.5), .unit = "us"});
  report.Add(
      {.name = name + ".p99", .value = passes.Quantile(0.99), .unit = "us"});
  return passes.Quantile(0.5);
}

}  // namespace

int RunDecisionBench() {
  BenchReport report;
  Growth requests;
  Growth offered;
  Growth own;
  for (const std::uint32_t size : kSizes) {
    requests.last = BenchRequests(report, size);
    own.last = BenchOwnTasks(report, size);
    offered.last = BenchOfferedTasks(report, size);
    if (size == kGrowthFrom) {
      requests.first = requests.last;
      own.first = own.last;
      offered.first = offered.last;
    }
  }
  ReportGrowth(report, "decision.request", requests);
  ReportGrowth(report, "decision.own_task", own);
  ReportGrowth(report, "decision.offered_task", offered);
  return report.ExitCode();
}

}  // namespace burdockrock::bench

int main() {
  return burdockrock::bench::RunDecisionBench();
}
