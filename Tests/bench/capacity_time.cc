#include <string>
#include <vector>

#include <fmt/format.h>

#include "bench/capacity.h"
#include "bench/driven_entry.h"
#include "bench/lanyu.h"
#include "bench/slope.h"

namespace burdockrock::bench {

namespace {

constexpr std::size_t kRepeats = 2000;
constexpr Resources kTask{.processors_milli = 100, .memory_mb = 64};

void MeasureRenewals(BenchReport& report) {
  std::vector<Point> points;
  for (const std::uint32_t size : {1U, 4U, 16U}) {
    const auto group = MakeSettled({.entries = {1}, .workers = 64});
    DrivenEntry entry(*group);
    Sample unused;
    for (std::uint32_t it = 0; it < size * 64; ++it) {
      entry.Offer(kTask, unused);
    }
    Sample took;
    for (std::size_t it = 0; it < kRepeats; ++it) {
      entry.AnswerRenewal(took);
    }
    points.push_back({static_cast<double>(size), took.Quantile(0.5)});
  }
  ReportLine(report, "capacity.time.renewal", "us", "attempt", points);
}

void MeasureDigests(BenchReport& report) {
  std::vector<Point> received;
  std::vector<Point> sent;
  for (const std::uint32_t size : {4U, 16U, 64U}) {
    const auto group = MakeSettled({.entries = {size}, .workers = 1});
    DrivenEntry entry(*group);
    Sample took;
    for (std::size_t it = 0; it < kRepeats; ++it) {
      entry.ReceiveDigest("d0-e1", took);
    }
    const double peers = static_cast<double>(size) - 1;
    received.push_back({peers, took.Quantile(0.5)});
    Sample ticks;
    for (std::size_t it = 0; it < kRepeats; ++it) {
      entry.state().timers.Add(Time(0), TimerKind::kDigest, "");
      entry.Step(TimerFired{}, ticks);
    }
    sent.push_back({peers, ticks.Quantile(0.5)});
  }
  ReportLine(report, "capacity.time.digest_received", "us", "peer", received);
  ReportLine(report, "capacity.time.digest_tick", "us", "peer", sent);
}

// A changed list of instances, as each failure and restart makes one.
void MeasureList(BenchReport& report) {
  std::vector<Point> points;
  for (const std::uint32_t size : {64U, 256U, 1024U, 4096U}) {
    const auto group = MakeSettled({.entries = {1}, .workers = size});
    DrivenEntry entry(*group);
    InstanceList list = entry.state().membership.instances;
    Sample took;
    for (std::size_t it = 0; it < 50; ++it) {
      ++list.revision;
      entry.Step(
          PeerMessageReceived{.from = "d0-peer",
                              .incarnation = "7",
                              .domain = "d0",
                              .message = InstancesDocument{.list = list}},
          took);
    }
    points.push_back({static_cast<double>(size), took.Quantile(0.5)});
  }
  ReportLine(report, "capacity.time.instance_list", "us", "worker", points);
}

void MeasureConfig(BenchReport& report) {
  std::vector<Point> points;
  for (const int size : {55, 220, 880}) {
    std::string teams;
    for (int it = 0; it < size; ++it) {
      teams += fmt::format(
          R"({}"team-{}":{{"weight":2.0,"quota":{{"processors_milli":64000}}}})",
          it == 0 ? "" : ",", it);
    }
    const auto group =
        MakeSettled({.entries = {1},
                     .workers = 1,
                     .policy = fmt::format(R"({{"teams":{{{}}}}})", teams)});
    DrivenEntry entry(*group);
    ConfigView view = entry.state().config.view;
    Sample took;
    for (std::size_t it = 0; it < 50; ++it) {
      ++view.revision;
      entry.Step(PeerMessageReceived{.from = "d0-peer",
                                     .incarnation = "7",
                                     .domain = "d0",
                                     .message = ConfigDocument{.view = view}},
                 took);
    }
    points.push_back({static_cast<double>(size), took.Quantile(0.5)});
  }
  ReportLine(report, "capacity.time.configuration", "us", "team", points);
}

void MeasureRequests(BenchReport& report) {
  std::vector<Point> points;
  for (const std::uint32_t size : {16U, 64U, 256U}) {
    const auto group =
        MakeSettled({.entries = {1}, .workers = 0, .minions = size});
    DrivenEntry entry(*group);
    Sample both;
    for (std::uint32_t it = 0; it < size * 6; ++it) {
      entry.Arrive(both);
    }
    Sample arrivals;
    Sample ends;
    for (std::size_t it = 0; it < kRepeats; ++it) {
      entry.Arrive(arrivals);
      entry.EndOne(ends);
    }
    points.push_back({static_cast<double>(size),
                      arrivals.Quantile(0.5) + ends.Quantile(0.5)});
  }
  ReportLine(report, "capacity.time.request", "us", "minion", points);
}

void MeasureOffers(BenchReport& report) {
  std::vector<Point> points;
  for (const std::uint32_t size : {64U, 256U, 1024U}) {
    const auto group = MakeSettled({.entries = {1}, .workers = size});
    DrivenEntry entry(*group);
    Sample took;
    for (std::size_t it = 0; it < kRepeats; ++it) {
      entry.Offer(kTask, took);
    }
    points.push_back({static_cast<double>(size), took.Quantile(0.5)});
  }
  ReportLine(report, "capacity.time.task_offer", "us", "worker", points);
}

}  // namespace

void MeasureTime(BenchReport& report) {
  MeasureRenewals(report);
  MeasureDigests(report);
  MeasureList(report);
  MeasureConfig(report);
  MeasureRequests(report);
  MeasureOffers(report);
}

}  // namespace burdockrock::bench
