// Tells the processes of a worker apart by the steady clock that its replies
// carry. A process that starts under the id of another one begins its clock
// anew, at any value.
#ifndef BURDOCKROCK_ENGINE_WORKERS_PROCESS_CLOCK_H_
#define BURDOCKROCK_ENGINE_WORKERS_PROCESS_CLOCK_H_

#include <compare>
#include <cstdint>

#include "model/time.h"

namespace burdockrock::engine {

// A reply's reading of the worker's clock, taken at some time between the call
// and the reply.
struct ClockReading {
  std::int64_t clock_ms = 0;
  Time called_at = Time::min();  // Time::min(): there is none
  Time replied_at = Time::min();

  auto operator<=>(const ClockReading&) const = default;
};

// Which process of a worker has replied.
enum class ReplySource {
  kKnownProcess,  // the one that gave an earlier reading
  kLaterProcess,  // one that started after that reading
  kUnknown,
};

// The source of `reply`, by what a process read from its clock earlier.
ReplySource SourceOf(const ClockReading& known, const ClockReading& reply);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_WORKERS_PROCESS_CLOCK_H_
