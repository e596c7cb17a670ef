// What entry instances tell each other about jobs of steps, in messages and in
// bytes: 30 instances with 350 workers, without work and with 40 jobs a second,
// in virtual time. Does not depend on the machine.
#include <algorithm>
#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>

#include <fmt/format.h>

#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include "bench/bench_report.h"
#include "bench/sample.h"
#include "bench/wire_meter.h"
#include "engine/fleet.h"
#include "engine/members/peer_codec.h"
#include "net/json.h"

namespace burdockrock::bench {

namespace {

using engine::Fleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kInstances = 30;
constexpr std::size_t kWorkers = 350;
constexpr std::int64_t kProcessors = 18'000;
// Registrations and claims are over by then.
constexpr Duration kStart = seconds(8);
constexpr Duration kIdleSpan = seconds(10);
// As many tasks end as start: the long ones take 6 s.
constexpr Duration kWarmUp = seconds(8);
constexpr Duration kBusySpan = seconds(6);
constexpr Duration kBetweenJobs = milliseconds(25);
// Every ninth job is long.
constexpr std::uint64_t kLongEvery = 9;
// The first letter of the long jobs' names.
constexpr const char* kLong = "l";
constexpr Duration kShortTask = milliseconds(800);
constexpr Duration kLongTask = milliseconds(6000);

// What is sent within one step to one receiver goes in one call.
struct Call {
  std::string from{};
  std::string to{};
  Time at{0};
  auto operator<=>(const Call&) const = default;
};

class PeerMeter {
 public:
  explicit PeerMeter(Fleet& fleet) : fleet_(fleet) {
    fleet_.on_peer = [this](const std::string& from,
                            const engine::SendPeer& send) { Note(from, send); };
  }
  PeerMeter(const PeerMeter&) = delete;
  PeerMeter& operator=(const PeerMeter&) = delete;

  void Clear() {
    flows_.clear();
    calls_.clear();
  }

  // Sent and received by one instance in a second, as its metrics count.
  void Report(BenchReport& report,
              const std::string& name,
              Duration span,
              const Bound& messages,
              const Bound& bytes) const {
    const double share = 2 / static_cast<double>(kInstances) /
                         std::chrono::duration<double>(span).count();
    Flow all;
    for (const auto& [method, flow] : flows_) {
      report.Add({.name = fmt::format("peers.{}.messages.{}", name, method),
                  .value = static_cast<double>(flow.messages) * share,
                  .unit = "1/s of one instance"});
      report.Add({.name = fmt::format("peers.{}.bytes.{}", name, method),
                  .value = static_cast<double>(flow.bytes) * share,
                  .unit = "B/s of one instance"});
      all.messages += flow.messages;
      all.bytes += flow.bytes;
    }
    report.Add({.name = fmt::format("peers.{}.calls", name),
                .value = static_cast<double>(calls_.size()) * share,
                .unit = "1/s of one instance"});
    report.Add({.name = fmt::format("peers.{}.messages", name),
                .value = static_cast<double>(all.messages) * share,
                .unit = "1/s of one instance",
                .bound = messages});
    const std::uint64_t sum = all.bytes + calls_.size() * kHttpBytes;
    report.Add({.name = fmt::format("peers.{}.bytes", name),
                .value = static_cast<double>(sum) * share,
                .unit = "B/s of one instance",
                .bound = bytes});
  }

 private:
  void Note(const std::string& from, const engine::SendPeer& send) {
    const std::string incarnation = from + "-6f0c2a9e51d7";
    flows_[engine::PeerMethods()[send.message.index()]].Add(
        WriteJson(engine::EncodePeerNotification(incarnation, send.message))
            .size());
    calls_.insert({.from = from, .to = send.address, .at = fleet_.now()});
  }

  Fleet& fleet_;
  std::map<std::string, Flow> flows_;  // by method
  std::set<Call> calls_;
};

// Jobs are handed in anywhere, by chance.
struct Load {
  std::uint64_t number = 0;
  std::mt19937_64 random{1};
  std::map<std::string, Time> submitted{};  // short jobs of one step
};

// Short jobs of 10 tasks and long ones of 14, in one or two steps.
void SubmitNext(Fleet& fleet, Load& load) {
  const std::uint64_t number = ++load.number;
  const bool is_long = number % kLongEvery == 0;
  const std::uint32_t steps = number % 2 == 0 ? 2 : 1;
  engine::JobSpec spec = engine::Chain(steps, is_long ? 14 : 10);
  for (engine::StepSpec& it : spec.steps) {
    it.each = {.processors_milli = is_long ? 4500 : 2200, .memory_mb = 4000};
    it.estimate = is_long ? kLongTask : kShortTask;
  }
  const std::string job = fmt::format("{}{}", is_long ? kLong : "s", number);
  if (!is_long && steps == 1) {
    load.submitted[job] = fleet.now();
  }
  fleet.Submit(fmt::format("n{}", load.random() % kInstances), job,
               std::move(spec));
}

void PlanWork(Fleet& fleet) {
  for (const std::string& it : fleet.worker_names()) {
    fleet.worker(it).plan = [](const std::string& task, std::uint64_t) {
      const bool is_long = task.starts_with(kLong);
      return engine::RunPlan{.takes = is_long ? kLongTask : kShortTask};
    };
  }
}

void Work(Fleet& fleet, Duration span, Load& load) {
  const Time until = fleet.now() + span;
  while (fleet.now() < until) {
    SubmitNext(fleet, load);
    fleet.Run(kBetweenJobs);
  }
}

std::uint64_t Sum(const Fleet& fleet, std::uint64_t engine::Totals::*total) {
  std::uint64_t sum = 0;
  for (const std::string& it : fleet.nodes()) {
    sum += fleet.state(it).totals.*total;
  }
  return sum;
}

// What a short job of one step takes beside its work.
void ReportDelay(BenchReport& report, const Fleet& fleet, const Load& load) {
  std::map<std::string, Time> ended;
  for (const engine::SeenRun& it : fleet.seen) {
    Time& last = ended[it.task.substr(0, it.task.find('.'))];
    last = std::max(last, it.ended);
  }
  Sample delays;
  for (const auto& [job, at] : load.submitted) {
    const auto it = ended.find(job);
    if (it != ended.end() && it->second != kForever) {
      const Duration delay = it->second - at - kShortTask;
      delays.Add(std::chrono::duration<double, std::milli>(delay).count());
    }
  }
  report.Add({.name = "peers.busy.delay.p50",
              .value = delays.Quantile(0.5),
              .unit = "ms of a short job"});
  report.Add({.name = "peers.busy.delay.p99",
              .value = delays.Quantile(0.99),
              .unit = "ms of a short job",
              .bound = AtMost(150)});
}

void Measure(BenchReport& report) {
  Fleet fleet({.domains = {"a", "b", "c", "d"},
               .instances = kInstances,
               .workers = kWorkers,
               .processors_milli = kProcessors,
               .advice = true,
               .store_writes = 1200});
  PlanWork(fleet);
  fleet.Run(kStart);
  PeerMeter meter(fleet);
  fleet.Run(kIdleSpan);
  meter.Report(report, "idle", kIdleSpan, AtMost(15), AtMost(5'000));
  Load load;
  Work(fleet, kWarmUp, load);
  meter.Clear();
  const std::uint64_t offers = Sum(fleet, &engine::Totals::offers);
  const std::uint64_t refused = Sum(fleet, &engine::Totals::offers_refused);
  const std::uint64_t completed = Sum(fleet, &engine::Totals::completed);
  load.submitted.clear();
  Work(fleet, kBusySpan, load);
  meter.Report(report, "busy", kBusySpan, AtMost(145), AtMost(65'000));
  const auto made =
      static_cast<double>(Sum(fleet, &engine::Totals::offers) - offers);
  const auto lost = static_cast<double>(
      Sum(fleet, &engine::Totals::offers_refused) - refused);
  const auto ended =
      static_cast<double>(Sum(fleet, &engine::Totals::completed) - completed);
  report.Add({.name = "peers.busy.offers_refused",
              .value = lost / made,
              .unit = "of the tasks offered",
              .bound = AtMost(0.45)});
  report.Add({.name = "peers.busy.completed",
              .value = ended / std::chrono::duration<double>(kBusySpan).count(),
              .unit = "jobs/s of all",
              .bound = AtLeast(35)});
  fleet.Run(kShortTask);
  ReportDelay(report, fleet, load);
}

}  // namespace

}  // namespace burdockrock::bench

int main() {
  // The fleet's own checks are fatal here.
  doctest::Context context;
  context.setAsDefaultForAssertsOutOfTestCases();
  burdockrock::bench::BenchReport report;
  burdockrock::bench::Measure(report);
  return report.ExitCode();
}
