// Waiting time of requests at Lanyu's size, at 80% load and under four times
// as much, in virtual time.
#include <string>

#include <fmt/format.h>

#include "bench/bench_report.h"
#include "bench/lanyu.h"
#include "bench/queue_model.h"
#include "bench/traffic.h"

namespace burdockrock::bench {

namespace {

using std::chrono::seconds;

constexpr double kHopMs = 1.4;
constexpr double kAllowanceMs = 2;
constexpr double kLeastGoodput = 0.95;
// A caller that is refused hears within two hops.
constexpr double kAtOnceMs = 2 * kHopMs;
// Of the users' letter: urgent work starts within so long.
constexpr double kUrgentStartMs = 3200;

struct Part {
  const char* name;
  double part;
};

constexpr Part kParts[] = {{"p50", 0.5}, {"p99", 0.99}, {"p99.9", 0.999}};

void ReportClass(BenchReport& report,
                 const std::string& name,
                 const ClassResult& result) {
  for (const Part& it : kParts) {
    report.Add({.name = fmt::format("{}.wait.{}", name, it.name),
                .value = result.wait_ms.Quantile(it.part),
                .unit = "ms"});
  }
  const auto arrived = static_cast<double>(result.arrived);
  report.Add({.name = name + ".deadlines_met",
              .value = static_cast<double>(result.ran) / arrived,
              .unit = "share"});
}

void BenchSteady(BenchReport& report) {
  const TrafficOptions options{.per_second = 4000};
  const std::vector<Arrival> arrivals = MakeArrivals(options);
  const Sample ideal = ModelWaits(arrivals, {.warm_up = options.warm_up});
  const Sample apart =
      ModelWaits(arrivals, {.queues = 6, .warm_up = options.warm_up});
  const Sample random = ModelWaits(arrivals, {.queues = 6,
                                              .forwards_at_random = true,
                                              .hop = Duration(1400),
                                              .warm_up = options.warm_up});
  const auto group = MakeLanyu();
  const TrafficResult result = RunTraffic(*group, options, kLanyuSlots);
  for (const Part& it : kParts) {
    report.Add({.name = fmt::format("waiting.80.ideal.wait.{}", it.name),
                .value = ideal.Quantile(it.part),
                .unit = "ms"});
    report.Add(
        {.name = fmt::format("waiting.80.no_forwarding.wait.{}", it.name),
         .value = apart.Quantile(it.part),
         .unit = "ms"});
    report.Add(
        {.name = fmt::format("waiting.80.random_forwarding.wait.{}", it.name),
         .value = random.Quantile(it.part),
         .unit = "ms"});
  }
  ReportClass(report, "waiting.80.normal", result.all);
  const double best = ideal.Quantile(0.99);
  report.Add({.name = "waiting.80.p99",
              .value = result.all.wait_ms.Quantile(0.99),
              .unit = "ms",
              .bound = AtMost(best + 2 * kHopMs + kAllowanceMs),
              .baseline = random.Quantile(0.99)});
  report.Add({.name = "waiting.80.refused",
              .value = static_cast<double>(result.all.not_run),
              .unit = "requests",
              .bound = AtMost(0)});
  report.Add({.name = "waiting.80.unanswered",
              .value = static_cast<double>(result.all.unanswered),
              .unit = "requests",
              .bound = AtMost(0)});
}

void BenchOverload(BenchReport& report) {
  const TrafficOptions options{
      .per_second = 16'000, .deadline = seconds(1), .mix = {0.1, 0.7, 0.2}};
  const auto group = MakeLanyu();
  const TrafficResult result = RunTraffic(*group, options, kLanyuSlots);
  for (std::size_t it = 0; it < kUrgencyCount; ++it) {
    const std::string name = fmt::format("waiting.overload.{}",
                                         UrgencyName(static_cast<Urgency>(it)));
    ReportClass(report, name, result.classes[it]);
    report.Add({.name = name + ".refused.p99",
                .value = result.classes[it].refused_ms.Quantile(0.99),
                .unit = "ms"});
  }
  report.Add({.name = "waiting.overload.goodput",
              .value = result.goodput,
              .unit = "share",
              .bound = AtLeast(kLeastGoodput)});
  report.Add({.name = "waiting.overload.refused.p50",
              .value = result.all.refused_ms.Quantile(0.5),
              .unit = "ms"});
  report.Add({.name = "waiting.overload.refused.p99",
              .value = result.all.refused_ms.Quantile(0.99),
              .unit = "ms",
              .bound = AtMost(kAtOnceMs)});
  report.Add({.name = "waiting.overload.urgent.p99",
              .value = result.classes[0].wait_ms.Quantile(0.99),
              .unit = "ms",
              .bound = AtMost(kUrgentStartMs)});
  report.Add({.name = "waiting.overload.may_have_run",
              .value = static_cast<double>(result.all.may_have_run) /
                       static_cast<double>(result.all.arrived),
              .unit = "share"});
  report.Add({.name = "waiting.overload.unanswered",
              .value = static_cast<double>(result.all.unanswered),
              .unit = "requests",
              .bound = AtMost(0)});
}

}  // namespace

int RunWaitingBench() {
  BenchReport report;
  BenchSteady(report);
  BenchOverload(report);
  return report.ExitCode();
}

}  // namespace burdockrock::bench

int main() {
  return burdockrock::bench::RunWaitingBench();
}
