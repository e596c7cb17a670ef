// What an entry instance answered to submitted work, checked and as text.
#ifndef BURDOCKROCK_CLI_SUBMIT_VERDICT_H_
#define BURDOCKROCK_CLI_SUBMIT_VERDICT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cli/entry_client.h"

namespace burdockrock {

enum class VerdictKind { kRan, kNotRun, kMayHaveRun, kAccepted };

// One verdict as the command prints it. Reasons stay text, so that one which
// this program does not know yet is printed too.
struct SubmitVerdict {
  VerdictKind kind = VerdictKind::kMayHaveRun;
  bool failed = false;  // it ran and failed
  std::string id = {};
  std::string answer = {};
  std::optional<std::int64_t> waited_ms = {};
  std::string reason = {};
  std::string detail = {};
  std::int64_t retry_after_ms = 0;  // 0: coming again won't help
  std::vector<std::string> errors =
      {};  // "$.count: -1 is negative; allowed: .."

  auto operator<=>(const SubmitVerdict&) const = default;
};

// What keeps the answer from being a verdict.
std::optional<std::string> FindVerdictFault(const EntryAnswer& answer);

// `answer` must be free of faults.
SubmitVerdict ReadVerdict(const EntryAnswer& answer);

// The verdict when no entry instance answered.
SubmitVerdict VerdictOfNoAnswer(const NoAnswer& loss);

// `idempotent` decides what the caller is told to do next.
std::string VerdictText(const SubmitVerdict& verdict, bool idempotent);

// The same in the form of the HTTP interface.
Json::Value VerdictJson(const SubmitVerdict& verdict);

// True when the work ran without failing, or was accepted.
bool IsSuccess(const SubmitVerdict& verdict);

// The lines of an answer's `errors`.
std::vector<std::string> ErrorLines(const Json::Value& body);

}  // namespace burdockrock

#endif  // BURDOCKROCK_CLI_SUBMIT_VERDICT_H_
