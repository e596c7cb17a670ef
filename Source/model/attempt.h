// Names of jobs' tasks and of the attempts to run them.
#ifndef BURDOCKROCK_MODEL_ATTEMPT_H_
#define BURDOCKROCK_MODEL_ATTEMPT_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "model/resources.h"

namespace burdockrock {

// One attempt to run one task of a job, or one dispatch of a request (then
// `job` is the request's id and `task` is 0). No two attempts of a task share
// a number; a later one has a higher number.
struct AttemptId {
  std::string job;
  std::uint32_t task = 0;
  std::uint64_t number = 0;

  auto operator<=>(const AttemptId&) const = default;
};

struct AttemptIdHash {
  std::size_t operator()(const AttemptId& id) const;
};

// "JOB/TASK/NUMBER"
std::string ToString(const AttemptId& id);

// Nothing when `text` is not of the form that ToString writes.
std::optional<AttemptId> ParseAttemptId(std::string_view text);

enum class AttemptState { kHeld, kRunning, kEnded };
enum class Outcome {
  kNone,
  kDone,
  kFailed,
  kStopped,
  kLeaseLapsed,
  kWorkerCrashed,  // the worker lost its memory; found by the worker's owner
};

const char* AttemptStateName(AttemptState state);
const char* OutcomeName(Outcome outcome);
std::optional<AttemptState> ParseAttemptState(std::string_view text);
std::optional<Outcome> ParseOutcome(std::string_view text);

// What a worker says of one attempt.
struct AttemptReport {
  AttemptId attempt;
  Resources resources;
  AttemptState state = AttemptState::kRunning;
  Outcome outcome = Outcome::kNone;
  std::string answer;

  auto operator<=>(const AttemptReport&) const = default;
};

}  // namespace burdockrock

#endif  // BURDOCKROCK_MODEL_ATTEMPT_H_
