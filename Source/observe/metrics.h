// A registry of the process's counters, gauges and summaries, and their text
// exposition format.
#ifndef BURDOCKROCK_OBSERVE_METRICS_H_
#define BURDOCKROCK_OBSERVE_METRICS_H_

#include <compare>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "observe/metric_catalogue.h"
#include "observe/summary.h"

namespace burdockrock {

struct Label {
  std::string name;
  std::string value;

  auto operator<=>(const Label&) const = default;
};

using Labels = std::vector<Label>;

// A total that only grows.
class Counter {
 public:
  // Leaves out amounts that are negative or not finite.
  void Add(double amount = 1);

  // For totals that are measured elsewhere; a lower `total` changes nothing.
  void RaiseTo(double total);

  double value() const { return value_; }

 private:
  double value_ = 0;
};

// A value that goes up and down.
class Gauge {
 public:
  void Set(double value) { value_ = value; }
  double value() const { return value_; }

 private:
  double value_ = 0;
};

// Not safe for use from several threads. Names come from metric_catalogue.h; a
// name that the catalogue lacks, or has as another kind, is not served, and
// the text says so in a comment.
class Metrics {
 public:
  // The references stay valid as long as this object. Callers on a hot path
  // keep them, and so save the search by name and labels.
  Counter& GetCounter(std::string_view name, const Labels& labels = {});
  Gauge& GetGauge(std::string_view name, const Labels& labels = {});
  Summary& GetSummary(std::string_view name, const Labels& labels = {});

  void Add(std::string_view counter, const Labels& labels, double amount);
  void Set(std::string_view gauge, const Labels& labels, double value);
  void Observe(std::string_view summary, const Labels& labels, double value);

  // The text exposition format, in order of kind, name and labels.
  std::string ToText() const;

 private:
  template <typename Metric>
  using Families = std::map<std::string, std::map<Labels, Metric>, std::less<>>;

  template <typename Metric>
  Metric& Get(Families<Metric>& families,
              MetricKind kind,
              std::string_view name,
              const Labels& labels);

  Families<Counter> counters_;
  Families<Gauge> gauges_;
  Families<Summary> summaries_;

  // Names that were asked for and are not in the catalogue as that kind.
  std::set<std::string> uncatalogued_;
};

}  // namespace burdockrock

#endif  // BURDOCKROCK_OBSERVE_METRICS_H_
