// Plain queues that give the benchmarks of waiting time something to be held
// against. First come, first served; no deadlines, no classes.
#ifndef BURDOCKROCK_TESTS_BENCH_QUEUE_MODEL_H_
#define BURDOCKROCK_TESTS_BENCH_QUEUE_MODEL_H_

#include <vector>

#include "bench/sample.h"
#include "bench/traffic.h"

namespace burdockrock::bench {

struct QueueModelOptions {
  std::size_t queues = 1;  // each with its part of the slots
  std::size_t slots = 400;
  // A request that finds no free slot goes to a random other queue and waits
  // there.
  bool forwards_at_random = false;
  Duration hop{0};
  Duration warm_up{0};
};

// Waits in milliseconds. One queue is the ideal: a slot is never free while a
// request waits.
Sample ModelWaits(const std::vector<Arrival>& arrivals,
                  const QueueModelOptions& options);

}  // namespace burdockrock::bench

#endif  // BURDOCKROCK_TESTS_BENCH_QUEUE_MODEL_H_
