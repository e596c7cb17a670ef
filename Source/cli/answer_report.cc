#include "cli/answer_report.h"

#include <string>

#include <fmt/format.h>

#include "cli/client_flags.h"
#include "cli/diagnostics.h"
#include "cli/json_text.h"
#include "cli/submit_verdict.h"
#include "net/json.h"

namespace burdockrock {

namespace {

std::int64_t RetryAfterMs(const EntryAnswer& answer) {
  return IntegerMember(answer.body, "retry_after_ms")
      .value_or(ToMilliseconds(answer.retry_after));
}

std::string NextStep(const EntryAnswer& answer) {
  const std::int64_t retry_ms = RetryAfterMs(answer);
  if (retry_ms > 0) {
    return fmt::format("ask again in {} ms", retry_ms);
  }
  return "asking again unchanged won't help";
}

}  // namespace

ExitCode FailNoAnswer(const Invocation& invocation, const NoAnswer& loss) {
  return Fail(invocation,
              fmt::format("no entry instance answered: {}; check --entry, or "
                          "ask again",
                          loss.message));
}

ExitCode FailAnswer(const Invocation& invocation, const EntryAnswer& answer) {
  const std::string reason = StringMember(answer.body, "reason");
  const std::string detail = StringMember(answer.body, "detail");
  std::string text =
      fmt::format("{} answered with status {}: {}{}; {}", answer.entry,
                  answer.status, reason.empty() ? "no reason given" : reason,
                  detail.empty() ? "" : " (" + detail + ")", NextStep(answer));
  for (const std::string& line : ErrorLines(answer.body)) {
    text += "\n  " + line;
  }
  return Fail(invocation, text);
}

ExitCode FailNotFound(const Invocation& invocation, const EntryAnswer& answer) {
  return Fail(invocation,
              fmt::format("'{}': {} knows no such job or waiting request; "
                          "check the id",
                          invocation.arguments[0], answer.entry));
}

void PrintAnswer(const Invocation& invocation,
                 const Json::Value& body,
                 const std::string& text) {
  invocation.output.out << (IsJsonOutput() ? WriteJson(body) + "\n" : text);
}

}  // namespace burdockrock
