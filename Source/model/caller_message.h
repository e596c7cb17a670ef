// What callers and operators are told, as data. docs/design/protocols.md gives
// the wire form.
#ifndef BURDOCKROCK_MODEL_CALLER_MESSAGE_H_
#define BURDOCKROCK_MODEL_CALLER_MESSAGE_H_

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "model/platform.h"
#include "model/time.h"
#include "model/verdict.h"
#include "model/work.h"

namespace burdockrock {

// Answers a request or the submission of a job.
struct WorkAnswer {
  std::string id;
  Verdict verdict;
  Duration waited{0};  // from arrival to the start of the run
  auto operator<=>(const WorkAnswer&) const = default;
};

enum class WorkState { kQueued, kRunning, kFinished, kFailed, kCancelled };

const char* WorkStateName(WorkState state);

// The state of a job or a waiting request.
struct WorkStatus {
  std::string id;
  JobKind kind = JobKind::kBatch;
  bool is_request = false;
  WorkState state = WorkState::kQueued;
  std::uint32_t count = 0;
  std::uint32_t queued = 0;
  std::uint32_t starting = 0;
  std::uint32_t running = 0;
  std::uint32_t done = 0;
  std::uint32_t failed = 0;
  std::uint32_t may_have_run = 0;
  Duration waited{0};                // to the start of the first task
  std::vector<std::string> answers;  // by task, of the ended ones; at most 100
  auto operator<=>(const WorkStatus&) const = default;
};

// The policy document in force: the text of the key config/current.
struct ConfigView {
  Revision revision = 0;
  std::string document;
  auto operator<=>(const ConfigView&) const = default;
};

struct ConfigStored {
  Revision revision = 0;
  auto operator<=>(const ConfigStored&) const = default;
};

// Another operator's change came first.
struct ConfigConflict {
  Revision revision = 0;
  std::string author;
  auto operator<=>(const ConfigConflict&) const = default;
};

struct DrainStarted {
  auto operator<=>(const DrainStarted&) const = default;
};

// Errors of a refused document, one line each.
struct InvalidInput {
  std::vector<std::string> errors;
  auto operator<=>(const InvalidInput&) const = default;
};

using CallerAnswer = std::variant<WorkAnswer,
                                  WorkStatus,
                                  ConfigView,
                                  ConfigStored,
                                  ConfigConflict,
                                  DrainStarted,
                                  InvalidInput>;

}  // namespace burdockrock

#endif  // BURDOCKROCK_MODEL_CALLER_MESSAGE_H_
