// What a caller may conclude about its request from the answer.
#ifndef BURDOCKROCK_MODEL_VERDICT_H_
#define BURDOCKROCK_MODEL_VERDICT_H_

#include <compare>
#include <string>
#include <variant>
#include <vector>

#include "model/time.h"

namespace burdockrock {

// Why a request was not run or its end is not known.
enum class Reason {
  kNone,
  kInvalid,         // malformed or contradictory; asking again won't help
  kNeverFits,       // no worker anywhere has the room even when empty
  kUnknownService,  // no minion serves it
  kOverloaded,      // the queue is full or the deadline can't be met
  kQuota,           // the team's share is used up
  kDeadline,        // the deadline passed while it waited
  kCancelled,       // the caller cancelled it
  kDraining,        // this entry instance is stopping
  kPlatformDown,    // durable work can't be recorded now
  kNotReady,        // no configuration or no owned worker yet
  kDuplicateKey,    // the key is in use by an unfinished request
  kConnectionLost,  // the minion's answer was lost
  kLeaseLapsed,     // the run's lease lapsed at the worker
  kOwnerLost,       // the entry instance that ran it died
  kNotFound,        // no such job or request
};

// The name on the wire: "never_fits".
const char* ReasonName(Reason reason);

// The request ran; `answer` is whole.
struct Ran {
  bool failed = false;  // it ran and said that it failed
  std::string answer;
  auto operator<=>(const Ran&) const = default;
};

// The request did not run and will not: nothing was dispatched, or what was
// dispatched was refused.
struct NotRun {
  Reason reason = Reason::kNone;
  std::string detail;
  Duration retry_after{0};  // 0: asking again won't help
  auto operator<=>(const NotRun&) const = default;
};

// The request was dispatched and its outcome is not known.
struct MayHaveRun {
  Reason reason = Reason::kNone;
  std::string detail;
  auto operator<=>(const MayHaveRun&) const = default;
};

// Durable work was recorded and will be run.
struct Accepted {
  auto operator<=>(const Accepted&) const = default;
};

using Verdict = std::variant<Ran, NotRun, MayHaveRun, Accepted>;

// The name on the wire: "ran", "not_run", "may_have_run", "accepted".
const char* VerdictName(const Verdict& verdict);

}  // namespace burdockrock

#endif  // BURDOCKROCK_MODEL_VERDICT_H_
