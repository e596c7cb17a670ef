#include "observe/metrics.h"

#include <limits>
#include <string>

#include <doctest/doctest.h>

namespace burdockrock {
namespace {

constexpr double kNan = std::numeric_limits<double>::quiet_NaN();

TEST_CASE("Counters, gauges and summaries in the text exposition format") {
  Metrics metrics;
  metrics.Add(kAnswersTotal, {{"verdict", "ran"}}, 2);
  metrics.Add(kAnswersTotal, {{"verdict", "not_run"}}, 1);
  metrics.Add(kAnswersTotal, {{"verdict", "ran"}}, 1);
  metrics.Set(kOwnedWorkers, {}, 8);
  metrics.Observe(kWaitingSeconds, {{"urgency", "urgent"}}, 0.25);
  metrics.Observe(kWaitingSeconds, {{"urgency", "urgent"}}, 0.5);
  CHECK(metrics.ToText() ==
        R"(# HELP burdockrock_answers_total Answers given to callers
# TYPE burdockrock_answers_total counter
burdockrock_answers_total{verdict="not_run"} 1
burdockrock_answers_total{verdict="ran"} 3
# HELP burdockrock_owned_workers Workers that this process owns
# TYPE burdockrock_owned_workers gauge
burdockrock_owned_workers 8
# HELP burdockrock_waiting_seconds Time from a request's arrival to its running task, in seconds
# TYPE burdockrock_waiting_seconds summary
burdockrock_waiting_seconds{urgency="urgent",quantile="0.5"} 0.25
burdockrock_waiting_seconds{urgency="urgent",quantile="0.99"} 0.5
burdockrock_waiting_seconds{urgency="urgent",quantile="0.999"} 0.5
burdockrock_waiting_seconds{urgency="urgent",quantile="1"} 0.5
burdockrock_waiting_seconds_sum{urgency="urgent"} 0.75
burdockrock_waiting_seconds_count{urgency="urgent"} 2
)");
}

// Symptom: an instance's metrics vanish altogether.
// Sequence: a label's value holds a quote, a backslash or a newline; whoever
// reads the metrics refuses the whole answer.
// Cause: the value written without escapes.
TEST_CASE("A label's value is escaped") {
  Metrics metrics;
  metrics.Set(kQueueLength, {{"urgency", "a\"b\\c\nd"}}, 1);
  CHECK(metrics.ToText().ends_with(
      "\nburdockrock_queue_length{urgency=\"a\\\"b\\\\c\\nd\"} 1\n"));
}

TEST_CASE("References stay valid and the order of labels does not matter") {
  Metrics metrics;
  Counter& first = metrics.GetCounter(kStartsTotal, {{"a", "1"}, {"b", "2"}});
  for (int n = 0; n < 1000; ++n) {
    metrics.Add(kStartsTotal, {{"n", std::to_string(n)}}, 1);
  }
  first.Add();
  CHECK(&metrics.GetCounter(kStartsTotal, {{"b", "2"}, {"a", "1"}}) == &first);
  CHECK(first.value() == 1);
}

TEST_CASE("A counter never falls") {
  Counter counter;
  counter.Add(5);
  counter.Add(-1);
  counter.Add(kNan);
  counter.RaiseTo(4);
  CHECK(counter.value() == 5);
  counter.RaiseTo(6);
  CHECK(counter.value() == 6);
}

TEST_CASE("A metric outside the catalogue is named and not served") {
  Metrics metrics;
  metrics.Add("burdockrock_typo\n", {}, 1);
  metrics.Set(kStartsTotal, {}, 1);
  CHECK(metrics.ToText() ==
        "# Not served: \"burdockrock_starts_total\" as a gauge is not in the "
        "catalogue; add it to Source/observe/metric_catalogue.h\n"
        "# Not served: \"burdockrock_typo\\n\" as a counter is not in the "
        "catalogue; add it to Source/observe/metric_catalogue.h\n");
}

}  // namespace
}  // namespace burdockrock
