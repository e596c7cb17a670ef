#include "observe/metrics_text.h"

#include <cmath>
#include <iterator>

#include <fmt/format.h>

namespace burdockrock {

namespace {

std::string FormatNumber(double value) {
  if (std::isnan(value)) {
    return "NaN";
  }
  if (std::isinf(value)) {
    return value > 0 ? "+Inf" : "-Inf";
  }
  return fmt::format("{}", value);
}

// A raw quote or newline in a label's value would end the sample early and the
// whole answer would no longer parse: all metrics of the process are lost.
void AppendLabelValue(std::string& out, std::string_view value) {
  for (const char it : value) {
    if (it == '\n') {
      out += "\\n";
      continue;
    }
    if (it == '"' || it == '\\') {
      out.push_back('\\');
    }
    out.push_back(it);
  }
}

void AppendLabels(std::string& out, const Labels& labels) {
  if (labels.empty()) {
    return;
  }
  char separator = '{';
  for (const Label& it : labels) {
    out.push_back(separator);
    out.append(it.name).append("=\"");
    AppendLabelValue(out, it.value);
    out.push_back('"');
    separator = ',';
  }
  out.push_back('}');
}

void AppendQuantile(std::string& out,
                    std::string_view name,
                    Labels labels,
                    double probability,
                    double value) {
  labels.push_back({.name = "quantile", .value = FormatNumber(probability)});
  AppendSample(out, name, labels, value);
}

}  // namespace

void AppendHeader(std::string& out, const MetricInfo& info) {
  const auto end = std::back_inserter(out);
  fmt::format_to(end, "# HELP {} {}\n", info.name, info.help);
  fmt::format_to(end, "# TYPE {} {}\n", info.name, MetricKindName(info.kind));
}

void AppendSample(std::string& out,
                  std::string_view name,
                  const Labels& labels,
                  double value) {
  out.append(name);
  AppendLabels(out, labels);
  out.append(" ").append(FormatNumber(value)).append("\n");
}

void AppendSummary(std::string& out,
                   std::string_view name,
                   const Labels& labels,
                   const Summary& summary) {
  for (std::size_t n = 0; n < kSummaryQuantiles.size(); ++n) {
    AppendQuantile(out, name, labels, kSummaryQuantiles.at(n),
                   summary.Quantile(n));
  }
  AppendQuantile(out, name, labels, 1, summary.Max());
  AppendSample(out, std::string(name) + "_sum", labels, summary.Sum());
  AppendSample(out, std::string(name) + "_count", labels,
               static_cast<double>(summary.Count()));
}

}  // namespace burdockrock
