// The cost of one placement decision at growing fleets.
#ifndef BURDOCKROCK_TESTS_PLACEMENT_DECISION_BENCH_H_
#define BURDOCKROCK_TESTS_PLACEMENT_DECISION_BENCH_H_

#include "bench/bench_report.h"

namespace burdockrock {

void RunDecisionBench(bench::BenchReport& report);

}  // namespace burdockrock

#endif  // BURDOCKROCK_TESTS_PLACEMENT_DECISION_BENCH_H_
