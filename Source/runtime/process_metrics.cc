#include "runtime/process_metrics.h"

#include <chrono>

#include "observe/metric_catalogue.h"
#include "observe/process_usage.h"

namespace burdockrock {

namespace {

constexpr std::array<const char*, 4> kVerdictNames = {
    "ran", "not_run", "may_have_run", "accepted"};

double InSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

ProcessMetrics::ProcessMetrics()
    : step_seconds_(metrics_.GetSummary(kStepSeconds)) {
  for (std::size_t it = 0; it < kUrgencyCount; ++it) {
    const char* name = UrgencyName(static_cast<Urgency>(it));
    waiting_seconds_[it] =
        &metrics_.GetSummary(kWaitingSeconds, {{"urgency", name}});
  }
}

void ProcessMetrics::StepTook(Duration took) {
  step_seconds_.Observe(InSeconds(took));
}

void ProcessMetrics::Waited(Urgency urgency, Duration waited) {
  waiting_seconds_.at(static_cast<std::size_t>(urgency))
      ->Observe(InSeconds(waited));
}

void ProcessMetrics::SetFigures(const StateMetrics& figures) {
  metrics_.Set(kOwnedWorkers, {}, figures.owned);
  for (std::size_t it = 0; it < kUrgencyCount; ++it) {
    const char* name = UrgencyName(static_cast<Urgency>(it));
    metrics_.Set(kQueueLength, {{"urgency", name}},
                 static_cast<double>(figures.waiting_requests[it]));
  }
  metrics_.Set(kQueueLength, {{"urgency", "tasks"}},
               static_cast<double>(figures.waiting_tasks));

  const DimensionArray capacity = ToArray(figures.capacity);
  const DimensionArray free = ToArray(figures.free);
  for (std::size_t it = 0; it < kDimensionCount; ++it) {
    if (capacity[it] > 0) {
      metrics_.Set(kPackedRatio, {{"dimension", DimensionName(it)}},
                   1.0 - static_cast<double>(free[it]) /
                             static_cast<double>(capacity[it]));
    }
  }
  for (std::size_t it = 0; it < kVerdictNames.size(); ++it) {
    metrics_.GetCounter(kAnswersTotal, {{"verdict", kVerdictNames[it]}})
        .RaiseTo(static_cast<double>(figures.counters.answers[it]));
  }
  metrics_.GetCounter(kStartsTotal)
      .RaiseTo(static_cast<double>(figures.counters.starts));
  metrics_.GetCounter(kTaskCrashesTotal)
      .RaiseTo(static_cast<double>(figures.counters.crashes));
}

void ProcessMetrics::SetTraffic(std::string_view edge,
                                const EdgeTraffic& traffic) {
  const Labels labels = {{"edge", std::string(edge)}};
  metrics_.GetCounter(kControlMessagesTotal, labels)
      .RaiseTo(static_cast<double>(traffic.messages));
  metrics_.GetCounter(kControlBytesTotal, labels)
      .RaiseTo(static_cast<double>(traffic.bytes));
}

void ProcessMetrics::SetPlatformCalls(std::uint64_t calls) {
  metrics_.GetCounter(kPlatformCallsTotal).RaiseTo(static_cast<double>(calls));
}

void ProcessMetrics::SetProcessUsage() {
  if (const auto usage = ReadProcessUsage()) {
    metrics_.Set(kResidentBytes, {},
                 static_cast<double>(usage->resident_bytes));
    metrics_.GetCounter(kProcessorSecondsTotal)
        .RaiseTo(usage->processor_seconds);
  }
}

}  // namespace burdockrock
