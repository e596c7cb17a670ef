// Pieces of the text exposition format.
#ifndef BURDOCKROCK_OBSERVE_METRICS_TEXT_H_
#define BURDOCKROCK_OBSERVE_METRICS_TEXT_H_

#include <string>
#include <string_view>

#include "observe/metrics.h"

namespace burdockrock {

// The HELP and TYPE lines.
void AppendHeader(std::string& out, const MetricInfo& info);

// One line: NAME{LABELS} VALUE
void AppendSample(std::string& out,
                  std::string_view name,
                  const Labels& labels,
                  double value);

// The quantiles (the largest value as quantile 1), the sum and the count.
void AppendSummary(std::string& out,
                   std::string_view name,
                   const Labels& labels,
                   const Summary& summary);

}  // namespace burdockrock

#endif  // BURDOCKROCK_OBSERVE_METRICS_TEXT_H_
