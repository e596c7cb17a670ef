// The gate on old digests and the one-strike marker, each with and without,
// in virtual time.
#include <string>

#include <fmt/format.h>

#include "bench/bench_report.h"
#include "bench/lanyu.h"
#include "bench/traffic.h"

namespace burdockrock::bench {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kSpan = seconds(15);
constexpr Duration kPauseEvery = seconds(3);
constexpr Duration kPauseFor = milliseconds(1700);

struct Condition {
  const char* name;
  double per_second;
  double lose;
  double hold_back;
  const char* digest_ms;
  bool pauses;
};

constexpr Condition kConditions[] = {
    {"clean_90", 4500, 0, 0, "500", false},
    {"late_90", 4500, 0, 0.3, "500", false},
    {"lossy_90", 4500, 0.02, 0, "500", false},
    {"slow_digests_90", 4500, 0, 0, "1000", false},
    {"pauses_80", 4000, 0, 0, "500", true},
    {"clean_97", 4850, 0, 0, "500", false},
};

struct Checks {
  const char* name;
  bool gate;
  bool one_strike;
};

constexpr Checks kChecks[] = {
    {"both", true, true},
    {"gate", true, false},
    {"one_strike", false, true},
    {"neither", false, false},
};

std::string PolicyOf(const Condition& condition, const Checks& checks) {
  return fmt::format(R"({{"membership":{{"digest_ms":{}}},)"
                     R"("forwarding":{{"gate":{},"one_strike":{}}}}})",
                     condition.digest_ms, checks.gate, checks.one_strike);
}

// One entry instance after another stands still for less than the time after
// which it counts as dead: its last digest goes on telling of free slots.
void PauseInTurn(EntryGroup& group, Time since) {
  const std::vector<std::string> entries = group.entries();
  const auto turn = static_cast<std::size_t>(since / kPauseEvery);
  const std::string& entry = entries[turn % entries.size()];
  const bool is_paused = group.faults(entry).paused;
  const bool wanted = since % kPauseEvery < kPauseFor;
  if (wanted && !is_paused) {
    group.Pause(entry);
  } else if (!wanted && is_paused) {
    group.Resume(entry);
  }
}

struct Forwards {
  double sent = 0;
  double refused = 0;
};

Forwards CountForwards(EntryGroup& group) {
  Forwards sum;
  for (const std::string& it : group.entries()) {
    const Counters& counters = group.state(it).counters;
    sum.sent += static_cast<double>(counters.forwards);
    sum.refused += static_cast<double>(counters.forwards_refused);
  }
  return sum;
}

void BenchOne(BenchReport& report,
              const Condition& condition,
              const Checks& checks) {
  EntryGroupOptions options = LanyuOptions();
  options.policy = PolicyOf(condition, checks);
  options.loss_probability = condition.lose;
  options.delay_probability = condition.hold_back;
  const auto group = MakeLanyu(options);
  const TrafficOptions traffic{.per_second = condition.per_second,
                               .span = kSpan,
                               .deadline = seconds(2)};
  const Forwards before = CountForwards(*group);
  const TrafficResult result =
      RunTraffic(*group, traffic, kLanyuSlots, [&](Time since) {
        if (condition.pauses) {
          PauseInTurn(*group, since);
        }
      });
  const Forwards after = CountForwards(*group);
  const std::string name =
      fmt::format("forwarding.{}.{}", condition.name, checks.name);
  const double sent = after.sent - before.sent;
  const auto arrived = static_cast<double>(result.all.arrived);
  report.Add({.name = name + ".forwarded",
              .value = sent / arrived,
              .unit = "share of requests"});
  report.Add({.name = name + ".refused",
              .value = sent > 0 ? (after.refused - before.refused) / sent : 0,
              .unit = "share of forwards"});
  report.Add({.name = name + ".wait.p99",
              .value = result.all.wait_ms.Quantile(0.99),
              .unit = "ms"});
  report.Add({.name = name + ".wait.p99.9",
              .value = result.all.wait_ms.Quantile(0.999),
              .unit = "ms"});
  report.Add({.name = name + ".not_in_time",
              .value = 1 - static_cast<double>(result.all.ran) / arrived,
              .unit = "share of requests"});
}

}  // namespace

int RunForwardingBench() {
  BenchReport report;
  for (const Condition& condition : kConditions) {
    for (const Checks& checks : kChecks) {
      BenchOne(report, condition, checks);
    }
  }
  return report.ExitCode();
}

}  // namespace burdockrock::bench

int main() {
  return burdockrock::bench::RunForwardingBench();
}
