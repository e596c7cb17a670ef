#include "observe/metric_catalogue.h"

#include <algorithm>

namespace burdockrock {

const MetricInfo* FindMetric(std::string_view name) {
  const auto* it = std::ranges::find(kAllMetrics, name, &MetricInfo::name);
  return it == kAllMetrics.end() ? nullptr : it;
}

const char* MetricKindName(MetricKind kind) {
  switch (kind) {
    case MetricKind::kCounter:
      return "counter";
    case MetricKind::kGauge:
      return "gauge";
    case MetricKind::kSummary:
      return "summary";
  }
  return "untyped";
}

}  // namespace burdockrock
