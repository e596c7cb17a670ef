#include "bench/queue_model.h"

#include <functional>
#include <queue>
#include <tuple>

namespace burdockrock::bench {

namespace {

using FreeTimes = std::priority_queue<Time, std::vector<Time>, std::greater<>>;

struct Join {
  Time at{0};
  std::size_t arrival = 0;
  std::size_t queue = 0;
  bool was_forwarded = false;
  bool operator>(const Join& other) const {
    return std::tie(at, arrival) > std::tie(other.at, other.arrival);
  }
};

std::vector<FreeTimes> MakeQueues(const QueueModelOptions& options) {
  std::vector<FreeTimes> queues(options.queues);
  for (std::size_t it = 0; it < options.slots; ++it) {
    queues[it % options.queues].push(Time(0));
  }
  return queues;
}

}  // namespace

Sample ModelWaits(const std::vector<Arrival>& arrivals,
                  const QueueModelOptions& options) {
  std::vector<FreeTimes> queues = MakeQueues(options);
  std::priority_queue<Join, std::vector<Join>, std::greater<>> joins;
  for (std::size_t it = 0; it < arrivals.size(); ++it) {
    joins.push({.at = arrivals[it].at,
                .arrival = it,
                .queue = arrivals[it].entry % options.queues});
  }
  Sample waits;
  while (!joins.empty()) {
    Join join = joins.top();
    joins.pop();
    const Arrival& arrival = arrivals[join.arrival];
    const Time free_at = queues[join.queue].top();
    const bool goes_on = options.forwards_at_random && !join.was_forwarded &&
                         free_at > join.at && options.queues > 1;
    if (goes_on) {
      // Another random number of the arrival: its entry's high bits.
      const std::size_t step =
          1 + (arrival.entry >> 32U) % (options.queues - 1);
      join.queue = (join.queue + step) % options.queues;
      join.at += options.hop;
      join.was_forwarded = true;
      joins.push(join);
      continue;
    }
    const Time start = std::max(free_at, join.at);
    queues[join.queue].pop();
    queues[join.queue].push(start + arrival.run);
    if (arrival.at >= options.warm_up) {
      waits.Add(static_cast<double>((start - arrival.at).count()) / 1e3);
    }
  }
  return waits;
}

}  // namespace burdockrock::bench
