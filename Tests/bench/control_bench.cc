// What a deployment of Lanyu's size spends on control, idle and at peak, in
// counts and bytes over virtual time.
#include <string>
#include <vector>

#include <fmt/format.h>

#include "bench/bench_report.h"
#include "bench/lanyu.h"
#include "bench/traffic.h"
#include "bench/wire_meter.h"

namespace burdockrock::bench {

namespace {

using std::chrono::seconds;

constexpr std::uint32_t kWorkersPerDomain = 17;
constexpr double kIdleCalls = 10;
constexpr double kPeakCalls = 100;
constexpr double kControlBytes = 24'000;
constexpr Duration kSpan = seconds(20);
constexpr std::size_t kManyDomains = 10;
// At peak, beside the requests.
constexpr double kJobsPerSecond = 20;
constexpr double kKeyedPerSecond = 20;
constexpr double kTicksPerSecond = 10;

JobSpec PeakJob() {
  return {.kind = JobKind::kBatch,
          .count = 5,
          .resources = {.processors_milli = 100, .memory_mb = 64},
          .payload = "sleep_ms=2000;answer=ok"};
}

void ReportCounts(BenchReport& report,
                  const std::string& name,
                  const WireMeter& meter,
                  double span_s,
                  double most_calls) {
  const WireCounts total = meter.Total();
  const WireCounts largest = meter.Largest();
  const auto rate = [&](const std::string& what, std::uint64_t count,
                        const char* unit) {
    report.Add({.name = fmt::format("control.{}.{}", name, what),
                .value = static_cast<double>(count) / span_s,
                .unit = unit});
  };
  report.Add({.name = fmt::format("control.{}.deployment.platform_calls", name),
              .value = static_cast<double>(total.platform.messages) / span_s,
              .unit = "1/s",
              .bound = AtMost(most_calls)});
  report.Add({.name = fmt::format("control.{}.entry.control_bytes", name),
              .value = static_cast<double>(largest.ControlBytes()) / span_s,
              .unit = "B/s",
              .bound = AtMost(kControlBytes)});
  rate("deployment.peak_second_platform_calls",
       meter.PeakPlatformCalls() * static_cast<std::uint64_t>(span_s), "1/s");
  rate("deployment.digests", total.digests.messages, "1/s");
  rate("deployment.renewals", total.renewals.messages, "1/s");
  rate("deployment.other_peer_messages", total.other_peer.messages, "1/s");
  rate("deployment.forwards", total.forwards.messages, "1/s");
  rate("entry.control_messages", largest.ControlMessages(), "1/s");
  rate("entry.digest_bytes", largest.digests.bytes + largest.digests_in.bytes,
       "B/s");
  rate("entry.renewal_bytes", largest.renewals.bytes, "B/s");
  rate("entry.platform_bytes", largest.platform.bytes, "B/s");
  rate("entry.other_peer_bytes",
       largest.other_peer.bytes + largest.other_peer_in.bytes, "B/s");
  rate(
      "entry.work_bytes",
      largest.starts.bytes + largest.forwards.bytes + largest.forwards_in.bytes,
      "B/s");
}

void BenchIdle(BenchReport& report, EntryGroup& group) {
  const WireMeter meter(group);
  group.Run(kSpan);
  ReportCounts(report, "idle", meter, static_cast<double>(kSpan / seconds(1)),
               kIdleCalls);
}

void SubmitKeyed(EntryGroup& group, const std::string& entry, int number) {
  const std::string key = fmt::format("k{}", number);
  group.Submit(entry, Request{.service = "desk",
                              .deadline = seconds(5),
                              .idempotent = false,
                              .key = key,
                              .payload = "answer=ok;sleep_ms=80;key=" + key});
}

void BenchPeak(BenchReport& report, EntryGroup& group) {
  const WireMeter meter(group);
  const std::vector<std::string> entries = group.entries();
  int number = 0;
  const auto at_tick = [&](Time) {
    const int jobs = static_cast<int>(kJobsPerSecond / kTicksPerSecond);
    const int keyed = static_cast<int>(kKeyedPerSecond / kTicksPerSecond);
    for (int it = 0; it < jobs; ++it) {
      ++number;
      group.Submit(entries[static_cast<std::size_t>(number) % entries.size()],
                   PeakJob());
    }
    for (int it = 0; it < keyed; ++it) {
      ++number;
      SubmitKeyed(group,
                  entries[static_cast<std::size_t>(number) % entries.size()],
                  number);
    }
  };
  const TrafficOptions options{.per_second = 4000, .span = kSpan};
  RunTraffic(group, options, kLanyuSlots, at_tick);
  // The traffic's last requests end within 3 s more.
  ReportCounts(report, "peak", meter, static_cast<double>(kSpan / seconds(1)),
               kPeakCalls);
}

// Sixty entry instances in ten domains. All live, none may be taken for dead.
void BenchManyDomains(BenchReport& report) {
  const auto group = MakeSettled(
      {.entries = std::vector<std::uint32_t>(kManyDomains, 6), .workers = 5});
  const std::size_t silent = group->LogLinesOf(EventNumber::kPeerSilent).size();
  const WireMeter meter(*group);
  group->Run(kSpan);
  const double span_s = static_cast<double>(kSpan / seconds(1));
  report.Add(
      {.name = "control.idle_60.deployment.platform_calls",
       .value = static_cast<double>(meter.Total().platform.messages) / span_s,
       .unit = "1/s",
       .bound = AtMost(kIdleCalls)});
  const std::size_t lost =
      group->LogLinesOf(EventNumber::kPeerSilent).size() - silent;
  report.Add({.name = "control.idle_60.live_peers_taken_for_dead",
              .value = static_cast<double>(lost) / span_s,
              .unit = "1/s",
              .bound = AtMost(0)});
  report.Add(
      {.name = "control.idle_60.entry.control_bytes",
       .value = static_cast<double>(meter.Largest().ControlBytes()) / span_s,
       .unit = "B/s",
       .bound = AtMost(kControlBytes)});
}

}  // namespace

int RunControlBench() {
  BenchReport report;
  const auto group = MakeLanyu("{}", kWorkersPerDomain);
  BenchIdle(report, *group);
  BenchPeak(report, *group);
  BenchManyDomains(report);
  return report.ExitCode();
}

}  // namespace burdockrock::bench

int main() {
  return burdockrock::bench::RunControlBench();
}
