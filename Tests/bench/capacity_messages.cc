#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "bench/capacity.h"
#include "bench/lanyu.h"
#include "bench/sample.h"
#include "bench/slope.h"
#include "bench/wire_meter.h"
#include "net/json.h"
#include "wire/peer_codec.h"

namespace burdockrock::bench {

namespace {

using std::chrono::seconds;

constexpr Duration kSpan = seconds(30);

double PerSecond(std::uint64_t count) {
  return static_cast<double>(count) / static_cast<double>(kSpan / seconds(1));
}

WireCounts MeasureOne(EntryGroup& group) {
  const WireMeter meter(group);
  group.Run(kSpan);
  return meter.counts().at("d0-e0");
}

void MeasureRenewals(BenchReport& report) {
  std::vector<Point> calls;
  std::vector<Point> bytes;
  for (const std::uint32_t size : {64U, 256U, 1024U}) {
    const auto group = MakeSettled({.entries = {1}, .workers = size});
    const WireCounts counts = MeasureOne(*group);
    calls.push_back(
        {static_cast<double>(size), PerSecond(counts.renewals.messages)});
    bytes.push_back(
        {static_cast<double>(size), PerSecond(counts.renewals.bytes)});
  }
  ReportLine(report, "capacity.renewals.calls", "1/s", "worker", calls);
  ReportLine(report, "capacity.renewals.bytes", "B/s", "worker", bytes);
  std::vector<Point> by_task;
  for (const std::uint32_t size : {128U, 512U, 2048U}) {
    const auto group = MakeSettled({.entries = {1}, .workers = 64});
    group->Submit("d0-e0", JobSpec{.kind = JobKind::kService,
                                   .count = size,
                                   .resources = {.processors_milli = 100,
                                                 .memory_mb = 64}});
    group->Run(seconds(15));
    const WireCounts counts = MeasureOne(*group);
    by_task.push_back(
        {static_cast<double>(size), PerSecond(counts.renewals.bytes)});
  }
  ReportLine(report, "capacity.renewals.bytes_of_task", "B/s", "running task",
             by_task);
}

void MeasureDigests(BenchReport& report) {
  std::vector<Point> in_domain;
  std::vector<Point> messages;
  std::vector<Point> platform;
  for (const std::uint32_t size : {4U, 16U, 64U}) {
    const auto group = MakeSettled({.entries = {size}, .workers = 1});
    const WireMeter meter(*group);
    group->Run(kSpan);
    const WireCounts one = meter.counts().at("d0-e0");
    const double peers = static_cast<double>(size) - 1;
    in_domain.push_back(
        {peers, PerSecond(one.digests.bytes + one.digests_in.bytes)});
    messages.push_back({peers, PerSecond(one.digests.messages)});
    platform.push_back({static_cast<double>(size),
                        PerSecond(meter.Total().platform.messages)});
  }
  ReportLine(report, "capacity.digests.messages_in_domain", "1/s", "peer",
             messages);
  ReportLine(report, "capacity.digests.bytes_in_domain", "B/s", "peer",
             in_domain);
  ReportLine(report, "capacity.platform.calls_idle_by_entry", "1/s", "entry",
             platform);
  std::vector<Point> across;
  std::vector<Point> calls;
  for (const std::size_t size : {5UL, 10UL, 20UL}) {
    const auto group = MakeSettled(
        {.entries = std::vector<std::uint32_t>(size, 6), .workers = 1});
    const WireMeter meter(*group);
    group->Run(kSpan);
    const WireCounts one = meter.counts().at("d0-e0");
    across.push_back({static_cast<double>(size),
                      PerSecond(one.digests.bytes + one.digests_in.bytes)});
    calls.push_back({static_cast<double>(size),
                     PerSecond(meter.Total().platform.messages)});
  }
  ReportLine(report, "capacity.digests.bytes_across_domains", "B/s",
             "domain of 6", across);
  ReportLine(report, "capacity.platform.calls_idle_by_domain", "1/s",
             "domain of 6", calls);
}

// Writes to the platform of one entry instance by the jobs that it accepts.
// Bounded by the write budget, so no line is fitted.
void MeasureJournal(BenchReport& report) {
  for (const int per_second : {1, 4, 16, 64, 256}) {
    const auto group = MakeSettled({.entries = {1}, .workers = 256});
    const std::uint64_t before = group->platform().calls().OfGroup(true).total;
    const WireMeter meter(*group);
    Sample accepted_ms;
    std::vector<std::pair<ReplyId, Time>> sent;
    const auto count = static_cast<int>(kSpan / seconds(1)) * per_second;
    for (int it = 0; it < count; ++it) {
      sent.emplace_back(
          group->Submit("d0-e0", JobSpec{.kind = JobKind::kBatch,
                                         .resources = {.processors_milli = 100,
                                                       .memory_mb = 64},
                                         .payload = "sleep_ms=2000;answer=ok"}),
          group->now());
      group->Run(Duration(seconds(1)) / per_second);
    }
    const std::uint64_t writes =
        group->platform().calls().OfGroup(true).total - before;
    const WireCounts one = meter.counts().at("d0-e0");
    group->Run(seconds(5));
    for (const auto& [reply, at] : sent) {
      if (const auto answered = group->AnsweredAt(reply)) {
        accepted_ms.Add(static_cast<double>((*answered - at).count()) / 1e3);
      }
    }
    const std::string name =
        fmt::format("capacity.journal.jobs_{}_per_second", per_second);
    report.Add({.name = name + ".writes",
                .value = PerSecond(writes),
                .unit = "1/s of one entry"});
    report.Add({.name = name + ".bytes",
                .value = PerSecond(one.platform.bytes),
                .unit = "B/s of one entry"});
    report.Add({.name = name + ".accepted.p99",
                .value = accepted_ms.Quantile(0.99),
                .unit = "ms"});
  }
}

double MessageBytes(const PeerMessage& message) {
  const PeerSender sender{.from = "d0-e0", .incarnation = "1", .domain = "d0"};
  return static_cast<double>(
      kHttpBytes + WriteJson(EncodePeerNotification(sender, message)).size());
}

void MeasureDocuments(BenchReport& report) {
  std::vector<Point> list;
  for (const std::uint32_t size : {64U, 256U, 1024U}) {
    const auto group = MakeSettled({.entries = {1}, .workers = size});
    const InstanceList& rows = group->state("d0-e0").membership.instances;
    list.push_back({static_cast<double>(rows.instances.size()),
                    MessageBytes(InstancesDocument{.list = rows})});
  }
  ReportLine(report, "capacity.documents.instance_list", "B", "instance", list);
  std::vector<Point> config;
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
    config.push_back({static_cast<double>(size),
                      MessageBytes(ConfigDocument{
                          .view = group->state("d0-e0").config.view})});
  }
  ReportLine(report, "capacity.documents.configuration", "B", "team", config);
}

}  // namespace

void MeasureMessages(BenchReport& report) {
  MeasureRenewals(report);
  MeasureDigests(report);
  MeasureJournal(report);
  MeasureDocuments(report);
}

}  // namespace burdockrock::bench
