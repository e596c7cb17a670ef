// The events that the engine's reducer handles and the effects that it returns.
#ifndef BURDOCKROCK_ENGINE_EVENT_H_
#define BURDOCKROCK_ENGINE_EVENT_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "engine/calls.h"
#include "engine/members/peer_message.h"
#include "engine/options.h"
#include "model/time.h"
#include "observe/log_format.h"

namespace burdockrock::engine {

// Events. `call` is the number in the effect to which the event replies.

struct Started {};
struct TimePassed {};

struct CallerRequestReceived {
  std::uint64_t call = 0;  // assigned by the server of the callers
  CallerRequest request{};
};

struct StoreAnswered {
  std::uint64_t call = 0;
  StoreAnswer answer{};
};

struct WorkerAnswered {
  std::string worker{};
  WorkerRequest request{};
  WorkerAnswer answer{};
  Time called_at{0};  // when the call was sent
};

struct AdviceAnswered {
  AdviceRequest request{};
  AdviceAnswer answer{};
};

struct MachinesAnswered {
  MachineRequest request{};
  MachineAnswer answer{};
};

struct PeerMessageReceived {
  std::string from{};  // an incarnation
  PeerMessage message{};
};

// The process is to stop as planned: it hands over its work first.
struct StopRequested {};

// New settings were read.
struct BoundsChanged {
  Bounds bounds{};
};

using EventBody = std::variant<Started,
                               TimePassed,
                               CallerRequestReceived,
                               StoreAnswered,
                               WorkerAnswered,
                               AdviceAnswered,
                               MachinesAnswered,
                               PeerMessageReceived,
                               StopRequested,
                               BoundsChanged>;

struct Event {
  Time now{0};               // steady clock
  std::int64_t wall_ms = 0;  // Unix time; may jump
  EventBody body{};
  // How long the instance took for the event before, with its effects.
  Duration took_before{0};
  // How long the event has waited in the process; how late, for TimePassed.
  Duration waited{0};
};

// Effects, which the shell carries out. Calls are answered by an event, also if
// they time out.

struct AnswerCaller {
  std::uint64_t call = 0;
  CallerAnswer answer{};
};

struct CallStore {
  std::uint64_t call = 0;
  StoreRequest request{};
  Duration timeout{0};
};

struct CallWorker {
  std::string worker{};
  std::string address{};
  WorkerRequest request{};
  Duration timeout{0};
};

struct CallAdvice {
  AdviceRequest request{};
  Duration timeout{0};
};

struct CallMachines {
  std::string holder{};  // this instance, for the log of the service
  MachineRequest request{};
  Duration timeout{0};
};

struct SendPeer {
  std::string to{};  // an incarnation
  std::string address{};
  PeerMessage message{};
};

struct WriteLog {
  LogLine line{};
};

enum class MeasuredSpan {
  kStart,   // from the offer of a task until its run is known to have started
  kCancel,  // from the acknowledgement of a cancel until the last run has ended
};

// Adds a time span to the metrics.
struct RecordSpan {
  MeasuredSpan span = MeasuredSpan::kStart;
  Duration took{0};
};

// Puts the configuration's limits of callers' requests into force.
struct ApplyLimits {
  CallerLimits limits{};
};

// All work is handed over. The process exits once it has answered all requests
// that it has read.
struct EndProcess {};

using Effect = std::variant<AnswerCaller,
                            CallStore,
                            CallWorker,
                            CallAdvice,
                            CallMachines,
                            SendPeer,
                            WriteLog,
                            RecordSpan,
                            ApplyLimits,
                            EndProcess>;
using Effects = std::vector<Effect>;

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_EVENT_H_
