// Everything that can happen to an entry instance, as data. The runtime turns
// what arrives at sockets and timers into these; the reducer sees nothing else.
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

// Names a caller's connection that waits for an answer; chosen by the runtime.
using ReplyId = std::uint64_t;

// Names an outstanding call to the platform, a worker or minion; chosen by the
// reducer.
using CallId = std::uint64_t;

// The first event of a process, exactly once.
struct ProcessStarted {
  auto operator<=>(const ProcessStarted&) const = default;
};

// The time that NextTime() gave has come.
struct TimerFired {
  auto operator<=>(const TimerFired&) const = default;
};

struct RequestArrived {
  ReplyId reply = 0;
  Request request;  // with an empty id the reducer makes one
  auto operator<=>(const RequestArrived&) const = default;
};

struct JobArrived {
  ReplyId reply = 0;
  JobSpec spec;
  auto operator<=>(const JobArrived&) const = default;
};

// Status of a job or request, or its cancellation.
struct WorkAsked {
  ReplyId reply = 0;
  std::string id;
  bool cancel = false;
  auto operator<=>(const WorkAsked&) const = default;
};

// The caller closed its connection before the answer.
struct CallerGone {
  ReplyId reply = 0;
  auto operator<=>(const CallerGone&) const = default;
};

struct ConfigAsked {
  ReplyId reply = 0;
  auto operator<=>(const ConfigAsked&) const = default;
};

// A new policy document to store if the one in force has revision `expect`.
struct ConfigProposed {
  ReplyId reply = 0;
  Revision expect = 0;
  std::string document;
  auto operator<=>(const ConfigProposed&) const = default;
};

struct DrainAsked {
  ReplyId reply = 0;  // 0: asked by a signal
  auto operator<=>(const DrainAsked&) const = default;
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

struct PeerSaid {
  std::string from;
  std::string incarnation;
  std::string domain;
  PeerMessage message;
  auto operator<=>(const PeerSaid&) const = default;
};

// A message to a peer is known not to have been received. Messages lost in any
// other way are not reported.
struct PeerNotReached {
  std::string peer;
  PeerMessage message;
  auto operator<=>(const PeerNotReached&) const = default;
};

using EventBody = std::variant<ProcessStarted,
                               TimerFired,
                               RequestArrived,
                               JobArrived,
                               WorkAsked,
                               CallerGone,
                               ConfigAsked,
                               ConfigProposed,
                               DrainAsked,
                               PlatformAnswered,
                               WorkerAnswered,
                               PeerSaid,
                               PeerNotReached>;

struct Event {
  Time now{0};
  EventBody body;
  auto operator<=>(const Event&) const = default;
};

}  // namespace burdockrock

#endif  // BURDOCKROCK_SCHEDULER_EVENT_H_
