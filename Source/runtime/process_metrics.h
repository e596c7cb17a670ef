// Feeds the process's metrics from the shell, the edges and the state.
#ifndef BURDOCKROCK_RUNTIME_PROCESS_METRICS_H_
#define BURDOCKROCK_RUNTIME_PROCESS_METRICS_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include "model/time.h"
#include "model/work.h"
#include "observe/metrics.h"
#include "runtime/edge_traffic.h"
#include "scheduler/dump.h"

namespace burdockrock {

class ProcessMetrics {
 public:
  ProcessMetrics();

  void StepTook(Duration took);
  void Waited(Urgency urgency, Duration waited);

  // Totals and levels, set anew before each reading.
  void SetFigures(const StateMetrics& figures);
  void SetTraffic(std::string_view edge, const EdgeTraffic& traffic);
  void SetPlatformCalls(std::uint64_t calls);
  void SetProcessUsage();

  std::string ToText() const { return metrics_.ToText(); }

 private:
  Metrics metrics_;
  Summary& step_seconds_;
  std::array<Summary*, kUrgencyCount> waiting_seconds_{};
};

}  // namespace burdockrock

#endif  // BURDOCKROCK_RUNTIME_PROCESS_METRICS_H_
