// The slopes that docs/CAPACITY.md is worked out from: what an entry instance
// holds, sends and computes for each worker, task, peer and the like.
#ifndef BURDOCKROCK_TESTS_BENCH_CAPACITY_H_
#define BURDOCKROCK_TESTS_BENCH_CAPACITY_H_

#include "bench/bench_report.h"

namespace burdockrock::bench {

// Heap bytes of the state, by what is in it.
void MeasureState(BenchReport& report);

// Messages, bytes and platform calls a second in virtual time.
void MeasureMessages(BenchReport& report);

// Processor time of events. Depends on the machine.
void MeasureTime(BenchReport& report);

}  // namespace burdockrock::bench

#endif  // BURDOCKROCK_TESTS_BENCH_CAPACITY_H_
