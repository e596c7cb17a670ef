#include <vector>

#include "bench/capacity.h"
#include "bench/driven_entry.h"
#include "bench/lanyu.h"
#include "bench/slope.h"

namespace burdockrock::bench {

namespace {

using std::chrono::seconds;

constexpr Resources kTask{.processors_milli = 100, .memory_mb = 64};
constexpr char kLongQueues[] =
    R"({"admission":{"max_queue_per_service":100000}})";

double HeapOfGroup(const EntryGroupOptions& options) {
  const auto group = MakeSettled(options);
  return HeapBytesOf(group->state("d0-e0"));
}

void MeasureWorkers(BenchReport& report) {
  std::vector<Point> owned;
  std::vector<Point> known;
  std::vector<Point> listed;
  for (const std::uint32_t size : {64U, 256U, 1024U, 4096U}) {
    const double value = HeapOfGroup({.entries = {1}, .workers = size});
    owned.push_back({static_cast<double>(size), value});
  }
  for (const std::uint32_t size : {64U, 256U, 1024U}) {
    // Half of the domain's workers are the other member's.
    const double value = HeapOfGroup({.entries = {2}, .workers = 2 * size});
    const double alone = FitLine(owned).intercept +
                         FitLine(owned).slope * static_cast<double>(size);
    known.push_back({static_cast<double>(size), value - alone});
    // As many again in another domain: rows of the platform's list alone.
    const double both = HeapOfGroup({.entries = {1, 1}, .workers = size});
    listed.push_back({static_cast<double>(size), both - alone});
  }
  ReportLine(report, "capacity.state.owned_worker", "B", "worker", owned);
  ReportLine(report, "capacity.state.other_worker_of_domain", "B", "worker",
             known);
  ReportLine(report, "capacity.state.worker_of_other_domain", "B", "worker",
             listed);
}

void MeasureBookings(BenchReport& report) {
  std::vector<Point> points;
  for (const std::uint32_t size : {500U, 2000U, 8000U}) {
    const auto group = MakeSettled({.entries = {1}, .workers = 256});
    DrivenEntry entry(*group);
    Sample unused;
    for (std::uint32_t it = 0; it < size; ++it) {
      entry.Offer(kTask, unused);
    }
    points.push_back({static_cast<double>(size), HeapBytesOf(entry.state())});
  }
  ReportLine(report, "capacity.state.running_task", "B", "task", points);
}

// One minion takes eight requests; all others wait.
void MeasureRequests(BenchReport& report) {
  std::vector<Point> points;
  for (const std::uint32_t size : {500U, 2000U, 8000U}) {
    const auto group = MakeSettled(
        {.entries = {1}, .workers = 0, .minions = 1, .policy = kLongQueues});
    DrivenEntry entry(*group);
    Sample unused;
    for (std::uint32_t it = 0; it < size; ++it) {
      entry.Arrive(unused);
    }
    points.push_back({static_cast<double>(size), HeapBytesOf(entry.state())});
  }
  ReportLine(report, "capacity.state.waiting_request", "B", "request", points);
}

JobSpec WaitingJob(std::uint32_t count) {
  return {.kind = JobKind::kBatch,
          .count = count,
          .resources = {.processors_milli = 8000, .memory_mb = 64},
          .payload = "sleep_ms=3600000;answer=ok"};
}

void MeasureJobs(BenchReport& report) {
  std::vector<Point> jobs;
  for (const std::uint32_t size : {500U, 2000U, 8000U}) {
    const auto group = MakeSettled({.entries = {1}, .workers = 1});
    for (std::uint32_t it = 0; it < size; ++it) {
      group->Submit("d0-e0", WaitingJob(1));
      if (it % 100 == 0) {
        group->Run(std::chrono::milliseconds(200));
      }
    }
    group->Run(seconds(10));
    jobs.push_back(
        {static_cast<double>(size), HeapBytesOf(group->state("d0-e0"))});
  }
  ReportLine(report, "capacity.state.waiting_job", "B", "job of one task",
             jobs);
  std::vector<Point> tasks;
  for (const std::uint32_t size : {1000U, 4000U, 16'000U}) {
    const auto group = MakeSettled({.entries = {1}, .workers = 1});
    group->Submit("d0-e0", WaitingJob(size));
    group->Run(seconds(5));
    tasks.push_back(
        {static_cast<double>(size), HeapBytesOf(group->state("d0-e0"))});
  }
  ReportLine(report, "capacity.state.waiting_task", "B", "task", tasks);
}

void MeasurePeers(BenchReport& report) {
  std::vector<Point> points;
  for (const std::uint32_t size : {4U, 16U, 64U}) {
    const double value = HeapOfGroup({.entries = {size}, .workers = 1});
    points.push_back({static_cast<double>(size) - 1, value});
  }
  ReportLine(report, "capacity.state.peer", "B", "peer", points);
}

}  // namespace

void MeasureState(BenchReport& report) {
  MeasureWorkers(report);
  MeasureBookings(report);
  MeasureRequests(report);
  MeasureJobs(report);
  MeasurePeers(report);
}

}  // namespace burdockrock::bench
