#include "scheduler/timers.h"

#include <utility>

namespace burdockrock {

void Timers::Add(Time at, TimerKind kind, std::string id) {
  heap_.push({.at = at,
              .sequence = next_sequence_++,
              .kind = kind,
              .id = std::move(id)});
}

std::optional<Timer> Timers::PopDue(Time now) {
  if (heap_.empty() || heap_.top().at > now) {
    return std::nullopt;
  }
  Timer timer = heap_.top();
  heap_.pop();
  return timer;
}

Time Timers::next() const {
  return heap_.empty() ? kForever : heap_.top().at;
}

}  // namespace burdockrock
