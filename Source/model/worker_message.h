// Commands to workers and minions and what they answer, as data.
// docs/design/protocols.md gives the wire form.
#ifndef BURDOCKROCK_MODEL_WORKER_MESSAGE_H_
#define BURDOCKROCK_MODEL_WORKER_MESSAGE_H_

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "model/attempt.h"
#include "model/resources.h"
#include "model/time.h"

namespace burdockrock {

// `born` tells the processes of one worker apart: when the process started, in
// Unix milliseconds. It is 0 if the worker does not tell it.

// Rises with each claim of a worker; the worker refuses lower ones.
using Epoch = std::uint64_t;

// Makes the sender the worker's owner. Leases are not renewed by it.
struct ClaimCommand {
  Epoch epoch = 0;
  std::string owner;
  std::string incarnation;
  // The process that it is meant for; another refuses it. 0: any.
  std::int64_t born = 0;
  auto operator<=>(const ClaimCommand&) const = default;
};

// Starts a task; answered as soon as it is started or held.
struct StartCommand {
  Epoch epoch = 0;
  AttemptId attempt;
  Resources resources;
  std::string payload;
  Duration lease{0};
  bool hold = false;  // take the room and wait for RenewCommand::go
  // The process that it is meant for; another refuses it. 0: any.
  std::int64_t born = 0;
  auto operator<=>(const StartCommand&) const = default;
};

// Runs a request; answered when it has ended.
struct RunCommand {
  Epoch epoch = 0;
  AttemptId attempt;
  Resources resources;
  std::string payload;
  Duration lease{0};
  // The process that it is meant for; another refuses it. 0: any.
  std::int64_t born = 0;
  auto operator<=>(const RunCommand&) const = default;
};

// Renews the lease of every attempt on the worker. Idempotent.
struct RenewCommand {
  Epoch epoch = 0;
  Duration lease{0};
  Duration wait{0};  // 0: answer at once
  std::uint64_t version = 0;
  std::vector<AttemptId> acknowledge;  // ended attempts that may be forgotten
  std::vector<AttemptId> go;           // held attempts that may run
  // The process that it is meant for; another refuses it. 0: any.
  std::int64_t born = 0;
  auto operator<=>(const RenewCommand&) const = default;
};

struct StopCommand {
  Epoch epoch = 0;
  std::vector<AttemptId> attempts;
  // The process that it is meant for; another refuses it. 0: any.
  std::int64_t born = 0;
  auto operator<=>(const StopCommand&) const = default;
};

using WorkerCommand = std::
    variant<ClaimCommand, StartCommand, RunCommand, RenewCommand, StopCommand>;

struct ClaimAccepted {
  Epoch epoch = 0;
  Resources capacity;
  std::vector<AttemptReport> attempts;
  std::int64_t born = 0;
  auto operator<=>(const ClaimAccepted&) const = default;
};

// The command was refused: the worker has accepted `epoch` from `owner`.
struct StaleEpoch {
  Epoch epoch = 0;
  std::string owner;
  std::int64_t born = 0;
  auto operator<=>(const StaleEpoch&) const = default;
};

struct StartDone {
  std::int64_t born = 0;
  auto operator<=>(const StartDone&) const = default;
};

// A start or run was refused and nothing runs: "no_room", "already_ended".
struct StartRefused {
  std::string reason;
  std::int64_t born = 0;
  auto operator<=>(const StartRefused&) const = default;
};

struct RunEnded {
  Outcome outcome = Outcome::kDone;
  std::string answer;
  std::int64_t born = 0;
  auto operator<=>(const RunEnded&) const = default;
};

struct RenewDone {
  std::uint64_t version = 0;
  std::vector<AttemptReport> attempts;  // all on the worker
  Resources usage;                      // lags by some seconds
  std::int64_t born = 0;
  auto operator<=>(const RenewDone&) const = default;
};

struct StopDone {
  std::vector<AttemptId> stopped;
  std::int64_t born = 0;
  auto operator<=>(const StopDone&) const = default;
};

// No answer, or one that can't be read. `may_have_been_received` is false only
// when no byte of the command left this process.
struct WorkerUnreachable {
  bool may_have_been_received = true;
  bool garbage = false;
  std::string message;
  auto operator<=>(const WorkerUnreachable&) const = default;
};

using WorkerResult = std::variant<ClaimAccepted,
                                  StaleEpoch,
                                  StartDone,
                                  StartRefused,
                                  RunEnded,
                                  RenewDone,
                                  StopDone,
                                  WorkerUnreachable>;

}  // namespace burdockrock

#endif  // BURDOCKROCK_MODEL_WORKER_MESSAGE_H_
