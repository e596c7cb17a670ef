#include "observe/metrics.h"

#include <algorithm>
#include <cmath>
#include <iterator>

#include <fmt/format.h>

#include "observe/metrics_text.h"

namespace burdockrock {

namespace {

Labels Sorted(Labels labels) {
  std::ranges::sort(labels);
  return labels;
}

bool IsCatalogued(std::string_view name, MetricKind kind) {
  const MetricInfo* info = FindMetric(name);
  return info != nullptr && info->kind == kind;
}

void AppendMetric(std::string& out,
                  std::string_view name,
                  const Labels& labels,
                  const Counter& counter) {
  AppendSample(out, name, labels, counter.value());
}

void AppendMetric(std::string& out,
                  std::string_view name,
                  const Labels& labels,
                  const Gauge& gauge) {
  AppendSample(out, name, labels, gauge.value());
}

void AppendMetric(std::string& out,
                  std::string_view name,
                  const Labels& labels,
                  const Summary& summary) {
  AppendSummary(out, name, labels, summary);
}

template <typename Families>
void AppendFamilies(std::string& out,
                    MetricKind kind,
                    const Families& families) {
  for (const auto& [name, family] : families) {
    if (!IsCatalogued(name, kind)) {
      continue;
    }
    AppendHeader(out, *FindMetric(name));
    for (const auto& [labels, metric] : family) {
      AppendMetric(out, name, labels, metric);
    }
  }
}

}  // namespace

void Counter::Add(double amount) {
  if (std::isfinite(amount) && amount > 0) {
    value_ += amount;
  }
}

void Counter::RaiseTo(double total) {
  if (std::isfinite(total)) {
    value_ = std::max(value_, total);
  }
}

template <typename Metric>
Metric& Metrics::Get(Families<Metric>& families,
                     MetricKind kind,
                     std::string_view name,
                     const Labels& labels) {
  if (!IsCatalogued(name, kind)) {
    uncatalogued_.insert(
        fmt::format("{:?} as a {}", name, MetricKindName(kind)));
  }
  auto it = families.find(name);
  if (it == families.end()) {
    it = families.try_emplace(std::string(name)).first;
  }
  return it->second.try_emplace(Sorted(labels)).first->second;
}

Counter& Metrics::GetCounter(std::string_view name, const Labels& labels) {
  return Get(counters_, MetricKind::kCounter, name, labels);
}

Gauge& Metrics::GetGauge(std::string_view name, const Labels& labels) {
  return Get(gauges_, MetricKind::kGauge, name, labels);
}

Summary& Metrics::GetSummary(std::string_view name, const Labels& labels) {
  return Get(summaries_, MetricKind::kSummary, name, labels);
}

void Metrics::Add(std::string_view counter,
                  const Labels& labels,
                  double amount) {
  GetCounter(counter, labels).Add(amount);
}

void Metrics::Set(std::string_view gauge, const Labels& labels, double value) {
  GetGauge(gauge, labels).Set(value);
}

void Metrics::Observe(std::string_view summary,
                      const Labels& labels,
                      double value) {
  GetSummary(summary, labels).Observe(value);
}

std::string Metrics::ToText() const {
  std::string out;
  AppendFamilies(out, MetricKind::kCounter, counters_);
  AppendFamilies(out, MetricKind::kGauge, gauges_);
  AppendFamilies(out, MetricKind::kSummary, summaries_);
  for (const std::string& it : uncatalogued_) {
    fmt::format_to(std::back_inserter(out),
                   "# Not served: {} is not in the catalogue; add it to "
                   "Source/observe/metric_catalogue.h\n",
                   it);
  }
  return out;
}

}  // namespace burdockrock
