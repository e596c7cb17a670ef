// Requests that arrive at the entry instances of a group at random, as behind
// a balancer that knows nothing of them, and what becomes of each.
#ifndef BURDOCKROCK_TESTS_BENCH_TRAFFIC_H_
#define BURDOCKROCK_TESTS_BENCH_TRAFFIC_H_

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "bench/sample.h"
#include "scheduler/entry_group.h"

namespace burdockrock::bench {

struct TrafficOptions {
  double per_second = 4000;
  Duration span = std::chrono::seconds(20);
  // Arrivals of the first part are not counted.
  Duration warm_up = std::chrono::seconds(2);
  double mean_run_ms = 80;  // exponential
  Duration deadline = std::chrono::seconds(10);
  // Shares of urgent, normal and batch.
  std::array<double, kUrgencyCount> mix = {0, 1, 0};
  std::uint64_t seed = 1;
};

struct Arrival {
  Time at{0};  // since the start of the traffic
  Duration run{0};
  Urgency urgency = Urgency::kNormal;
  std::uint64_t entry = 0;  // random; taken modulo the live entry instances
};

// Poisson arrivals; the same for the same options.
std::vector<Arrival> MakeArrivals(const TrafficOptions& options);

struct ClassResult {
  Sample wait_ms;     // from arrival to the last dispatch
  Sample refused_ms;  // from arrival to "not run"
  std::uint64_t arrived = 0;
  std::uint64_t ran = 0;  // in time
  std::uint64_t not_run = 0;
  std::uint64_t may_have_run = 0;
  std::uint64_t unanswered = 0;
};

struct TrafficResult {
  std::array<ClassResult, kUrgencyCount> classes;
  ClassResult all;
  // Slot time of requests that ran in time, of all slot time while the counted
  // ones arrived.
  double goodput = 0;
};

// Sends the traffic and then lets it end. `at_tick`, if set, is called each
// 100 ms with the time since the start.
TrafficResult RunTraffic(EntryGroup& group,
                         const TrafficOptions& options,
                         double slots,
                         const std::function<void(Time)>& at_tick = {});

// The payload that makes a stand-in run for `run`.
std::string SleepPayload(Duration run);

}  // namespace burdockrock::bench

#endif  // BURDOCKROCK_TESTS_BENCH_TRAFFIC_H_
