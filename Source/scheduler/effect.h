// The output effects of the reducer; the runtime executes them.
#ifndef BURDOCKROCK_SCHEDULER_EFFECT_H_
#define BURDOCKROCK_SCHEDULER_EFFECT_H_

#include <compare>
#include <string>
#include <variant>
#include <vector>

#include "model/caller_message.h"
#include "model/peer_message.h"
#include "model/platform.h"
#include "model/worker_message.h"
#include "observe/log.h"
#include "scheduler/event.h"

namespace burdockrock {

struct AnswerCaller {
  ReplyId reply = 0;
  CallerAnswer answer;
  bool operator==(const AnswerCaller&) const = default;
};

// Completed by a PlatformAnswered with the same `call`, also after `timeout`.
struct CallPlatform {
  CallId call = 0;
  PlatformOperation operation;
  Duration timeout{0};
  bool operator==(const CallPlatform&) const = default;
};

// Completed by a WorkerAnswered with the same `call`, also after `timeout`.
struct CallWorker {
  CallId call = 0;
  std::string worker;   // id of a worker or minion
  std::string address;  // "IP:PORT"
  WorkerCommand command;
  Duration timeout{0};
  bool operator==(const CallWorker&) const = default;
};

struct SendPeer {
  std::string peer;
  std::string address;  // "IP:PORT"
  PeerMessage message;
  bool operator==(const SendPeer&) const = default;
};

struct WriteLog {
  LogLine line;
  bool operator==(const WriteLog&) const = default;
};

// A request or task was started after waiting for `waited`; feeds the
// waiting-time metric.
struct WaitingMeasured {
  Urgency urgency = Urgency::kNormal;
  bool is_request = true;
  Duration waited{0};
  bool operator==(const WaitingMeasured&) const = default;
};

// The drain is complete and the process may exit.
struct StopProcess {
  bool operator==(const StopProcess&) const = default;
};

using Effect = std::variant<AnswerCaller,
                            CallPlatform,
                            CallWorker,
                            SendPeer,
                            WriteLog,
                            WaitingMeasured,
                            StopProcess>;
using Effects = std::vector<Effect>;

}  // namespace burdockrock

#endif  // BURDOCKROCK_SCHEDULER_EFFECT_H_
