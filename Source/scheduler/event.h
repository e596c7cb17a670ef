// The input events of the reducer. The runtime converts socket and timer
// activity into these; the reducer has no other input.
#ifndef BURDOCKROCK_SCHEDULER_EVENT_H_
#define BURDOCKROCK_SCHEDULER_EVENT_H_

#include <compare>
#include <cstdint>
#include <string>
#include <variant>

#include "model/peer_message.h"
#include "model/platform.h"
#include "model/time.h"
#include "model/work.h"
#include "model/worker_message.h"

namespace burdockrock {

// Identifies a pending reply to a caller; assigned by the runtime.
using ReplyId = std::uint64_t;

// Identifies an outstanding call to the platform, a worker or a minion;
// assigned by the reducer.
using CallId = std::uint64_t;

// The first event of a process; occurs exactly once.
struct ProcessStarted {
  auto operator<=>(const ProcessStarted&) const = default;
};

// The time returned by NextTime() has been reached.
struct TimerFired {
  auto operator<=>(const TimerFired&) const = default;
};

struct RequestArrived {
  ReplyId reply = 0;
  Request request;  // the reducer assigns an id if it is empty
  auto operator<=>(const RequestArrived&) const = default;
};

struct JobArrived {
  ReplyId reply = 0;
  JobSpec spec;
  auto operator<=>(const JobArrived&) const = default;
};

// A caller queries the status of a job or request, or cancels it.
struct WorkQueryArrived {
  ReplyId reply = 0;
  std::string id;
  bool cancel = false;
  auto operator<=>(const WorkQueryArrived&) const = default;
};

// The caller closed its connection before it was answered.
struct CallerDisconnected {
  ReplyId reply = 0;
  auto operator<=>(const CallerDisconnected&) const = default;
};

struct ConfigRequested {
  ReplyId reply = 0;
  auto operator<=>(const ConfigRequested&) const = default;
};

// A new policy document, to be stored only if the current one has revision
// `expect`.
struct ConfigProposed {
  ReplyId reply = 0;
  Revision expect = 0;
  std::string document;
  auto operator<=>(const ConfigProposed&) const = default;
};

struct DrainRequested {
  ReplyId reply = 0;  // 0: requested by a signal
  auto operator<=>(const DrainRequested&) const = default;
};

struct PlatformAnswered {
  CallId call = 0;
  PlatformResult result;
  auto operator<=>(const PlatformAnswered&) const = default;
};

struct WorkerAnswered {
  CallId call = 0;
  WorkerResult result;
  auto operator<=>(const WorkerAnswered&) const = default;
};

struct PeerMessageReceived {
  std::string from;
  std::string incarnation;
  std::string domain;
  PeerMessage message;
  auto operator<=>(const PeerMessageReceived&) const = default;
};

// A message is known not to have reached its peer, e.g. because the connection
// was refused. Messages lost in any other way are not reported.
struct PeerMessageUndelivered {
  std::string peer;
  PeerMessage message;
  auto operator<=>(const PeerMessageUndelivered&) const = default;
};

using EventBody = std::variant<ProcessStarted,
                               TimerFired,
                               RequestArrived,
                               JobArrived,
                               WorkQueryArrived,
                               CallerDisconnected,
                               ConfigRequested,
                               ConfigProposed,
                               DrainRequested,
                               PlatformAnswered,
                               WorkerAnswered,
                               PeerMessageReceived,
                               PeerMessageUndelivered>;

struct Event {
  Time now{0};
  EventBody body;
  auto operator<=>(const Event&) const = default;
};

}  // namespace burdockrock

#endif  // BURDOCKROCK_SCHEDULER_EVENT_H_
