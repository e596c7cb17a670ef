// Commands to a worker or minion and what it answers, as data.
// docs/design/protocols.md gives the wire form.
#ifndef BURDOCKROCK_STANDIN_WORKER_MESSAGES_H_
#define BURDOCKROCK_STANDIN_WORKER_MESSAGES_H_

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "model/attempt.h"
#include "model/resources.h"
#include "model/time.h"

namespace burdockrock::standin {

// An owner's epoch of one worker; a later claim has a higher one.
using Epoch = std::uint64_t;

// The command was not answered; it may or may not have taken effect.
struct NoAnswer {
  auto operator<=>(const NoAnswer&) const = default;
};

enum class Refusal { kStaleEpoch, kNoRoom, kAlreadyEnded, kNotFound };

// The name on the wire: "stale_epoch".
const char* RefusalName(Refusal refusal);

// The command was refused; `epoch` and `owner` are those in force.
struct Refused {
  Refusal reason = Refusal::kStaleEpoch;
  Epoch epoch = 0;
  std::string owner{};
  auto operator<=>(const Refused&) const = default;
};

struct WorkerReport {
  AttemptReport report{};
  Duration age{0};  // since the attempt came to the worker
  auto operator<=>(const WorkerReport&) const = default;
};

struct ClaimCommand {
  Epoch epoch = 0;
  std::string owner{};
  std::string incarnation{};
  auto operator<=>(const ClaimCommand&) const = default;
};

struct Claimed {
  Epoch epoch = 0;
  Resources capacity{};
  std::vector<WorkerReport> attempts{};
  auto operator<=>(const Claimed&) const = default;
};

// `hold` means nothing in Run.
struct StartCommand {
  Epoch epoch = 0;
  AttemptId attempt{};
  Resources resources{};
  std::string payload{};
  Duration lease{0};
  bool hold = false;
  auto operator<=>(const StartCommand&) const = default;
};

struct Started {
  auto operator<=>(const Started&) const = default;
};

// A run ended.
struct RunEnded {
  Outcome outcome = Outcome::kNone;
  std::string answer{};
  auto operator<=>(const RunEnded&) const = default;
};

struct RenewCommand {
  Epoch epoch = 0;
  Duration lease{0};
  Duration wait{0};
  std::uint64_t version = 0;
  std::vector<AttemptId> acknowledge{};
  std::vector<AttemptId> go{};
  auto operator<=>(const RenewCommand&) const = default;
};

struct Renewed {
  std::uint64_t version = 0;
  std::vector<WorkerReport> attempts{};
  Resources usage{};
  auto operator<=>(const Renewed&) const = default;
};

struct StopCommand {
  Epoch epoch = 0;
  std::vector<AttemptId> attempts{};
  auto operator<=>(const StopCommand&) const = default;
};

// Those of the named attempts that have ended, by this or earlier.
struct Stopped {
  std::vector<AttemptId> attempts{};
  auto operator<=>(const Stopped&) const = default;
};

// `percent` of full speed from now on; 0 stands still.
struct ThrottleCommand {
  Epoch epoch = 0;
  AttemptId attempt{};
  std::uint32_t percent = 100;
  auto operator<=>(const ThrottleCommand&) const = default;
};

struct Throttled {
  auto operator<=>(const Throttled&) const = default;
};

struct CheckpointCommand {
  Epoch epoch = 0;
  AttemptId attempt{};
  auto operator<=>(const CheckpointCommand&) const = default;
};

// `done` is the work behind the checkpoint, as time at full speed.
struct Checkpointed {
  Duration done{0};
  auto operator<=>(const Checkpointed&) const = default;
};

using ClaimAnswer = std::variant<Claimed, Refused, NoAnswer>;
using StartAnswer = std::variant<Started, Refused, NoAnswer>;
using RunAnswer = std::variant<RunEnded, Refused, NoAnswer>;
using RenewAnswer = std::variant<Renewed, Refused, NoAnswer>;
using StopAnswer = std::variant<Stopped, Refused, NoAnswer>;
using ThrottleAnswer = std::variant<Throttled, Refused, NoAnswer>;
using CheckpointAnswer = std::variant<Checkpointed, Refused, NoAnswer>;

}  // namespace burdockrock::standin

#endif  // BURDOCKROCK_STANDIN_WORKER_MESSAGES_H_
