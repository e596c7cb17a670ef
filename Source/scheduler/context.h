// The arguments of a handler of the reducer: the state, the time of the event,
// and the effects collected so far.
#ifndef BURDOCKROCK_SCHEDULER_CONTEXT_H_
#define BURDOCKROCK_SCHEDULER_CONTEXT_H_

#include <string>
#include <string_view>
#include <vector>

#include "observe/log.h"
#include "scheduler/effect.h"
#include "scheduler/state.h"

namespace burdockrock {

class Context {
 public:
  Context(State& state, Time now, Effects& effects)
      : state_(state), now_(now), effects_(effects) {}

  State& state() const { return state_; }
  Time now() const { return now_; }
  const Policy& policy() const { return state_.config.policy; }
  const std::string& self() const { return state_.self.instance; }

  void Log(EventNumber number, std::vector<LogField> fields);
  // Does nothing if `reply` is 0.
  void Answer(ReplyId reply, CallerAnswer answer);

  // Does nothing if the address of the peer is unknown.
  void Send(const std::string& peer, PeerMessage message);

  // Each registers an outstanding call and returns its id.
  CallId CallPlatform(PlatformOperation operation,
                      Duration timeout,
                      PlatformPurpose purpose);
  CallId CallWorker(const std::string& worker,
                    const std::string& address,
                    WorkerCommand command,
                    Duration timeout,
                    WorkerPurpose purpose);

  // Set a timer; `id` names its worker, job, request or log, see TimerKind.
  void ScheduleAt(Time at, TimerKind kind, std::string id = "");
  void ScheduleAfter(Duration wait, TimerKind kind, std::string id = "");
  void Emit(Effect effect) { effects_.push_back(std::move(effect)); }

  // Uniform in [0, 1).
  double Random();
  // Uniform between half of `duration` and `duration`.
  Duration Jitter(Duration duration);

 private:
  State& state_;
  Time now_;
  Effects& effects_;
};

// A hash with the same value in every process.
std::uint64_t StableHash(std::string_view first, std::string_view second);

}  // namespace burdockrock

#endif  // BURDOCKROCK_SCHEDULER_CONTEXT_H_
