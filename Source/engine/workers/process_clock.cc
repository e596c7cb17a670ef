#include "engine/workers/process_clock.h"

#include <chrono>

#include "engine/limits.h"

namespace burdockrock::engine {

namespace {

// Of the difference of two readings.
constexpr std::int64_t kRoundingMs = 2;

// The least that a clock advances between the two readings. Negative if the
// calls overlap, as the later one may have been read first.
std::int64_t LeastAdvanceMs(const ClockReading& known,
                            const ClockReading& reply) {
  const Duration apart = reply.called_at - known.replied_at;
  return apart <= Duration(0)
             ? ToMilliseconds(apart)
             : static_cast<std::int64_t>(
                   static_cast<double>(ToMilliseconds(apart)) / kClockDrift);
}

// The most that a clock advances between the two readings.
std::int64_t MostAdvanceMs(const ClockReading& known,
                           const ClockReading& reply) {
  return ToMilliseconds(reply.replied_at - known.called_at);
}

}  // namespace

ReplySource SourceOf(const ClockReading& known, const ClockReading& reply) {
  if (known.called_at == Time::min()) {
    return ReplySource::kUnknown;
  }
  const std::int64_t advance = reply.clock_ms - known.clock_ms;
  const std::int64_t most = MostAdvanceMs(known, reply);
  if (advance + kRoundingMs < LeastAdvanceMs(known, reply) ||
      advance > most + kRoundingMs) {
    return ReplySource::kLaterProcess;
  }
  // The clock of a later process that began at 0 has advanced by no more than
  // this.
  return reply.clock_ms > most + kRoundingMs ? ReplySource::kKnownProcess
                                             : ReplySource::kUnknown;
}

}  // namespace burdockrock::engine
