// The context in which the parts of the reducer handle one event.
#ifndef BURDOCKROCK_ENGINE_CONTEXT_H_
#define BURDOCKROCK_ENGINE_CONTEXT_H_

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "engine/event.h"
#include "engine/limits.h"
#include "engine/state.h"
#include "observe/event_number.h"

namespace burdockrock::engine {

struct Context {
  State& state;
  Effects& effects;
  Time now;
  std::int64_t wall_ms;

  void Emit(Effect effect) { effects.push_back(std::move(effect)); }

  void Log(EventNumber number, std::vector<LogField> fields) {
    effects.push_back(WriteLog{
        .line = LogLine{.number = number, .fields = std::move(fields)}});
  }

  const std::string& self() const { return state.options.self.incarnation; }
};

// Sends a message to a member. A message to this instance itself is handled in
// the same step. It is dropped if the member is no longer known: senders repeat
// their messages.
void Send(Context& context, const std::string& to, PeerMessage message);

// Like Send(), but also reaches a member whose registration has ended: it still
// answers its remaining callers before it exits.
void Reply(Context& context, const std::string& to, PeerMessage message);

// By how much digests and repeated queries are put off, so that what others
// wait for is not late as well; 0 unless events of this instance wait.
inline Duration DelayWhenLate(const State& state) {
  return std::min(kWaitsOfDelay * state.drive.waited, kMaxDelayWhenLate);
}

// Whether `span` has passed since `since`. Time::min() counts as long ago,
// without an overflow.
constexpr bool HasPassed(Time now, Time since, Duration span) {
  return since == Time::min() || now - since >= span;
}

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_CONTEXT_H_
