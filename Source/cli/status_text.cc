#include "cli/status_text.h"

#include <array>
#include <optional>
#include <string_view>

#include <fmt/format.h>

#include "cli/json_text.h"
#include "model/caller_message.h"
#include "net/json.h"
#include "net/json_read.h"

namespace burdockrock {

namespace {

constexpr std::array kTextFields = {"id", "kind", "state"};
constexpr std::array kCountFields = {"queued", "starting", "running",
                                     "done",   "failed",   "may_have_run"};
constexpr std::array kEndStates = {WorkState::kFinished, WorkState::kFailed,
                                   WorkState::kCancelled};
// Jobs of steps end so where flat ones are finished.
constexpr std::string_view kCompleted = "completed";

std::string AnswerText(const Json::Value& answer) {
  return ReadText(answer).value_or(WriteJson(answer));
}

std::string CountLine(const Json::Value& status, const char* name) {
  const auto count = IntegerMember(status, name);
  return count ? fmt::format("{}: {}\n", name, *count) : "";
}

}  // namespace

std::string StatusText(const Json::Value& status) {
  std::string text;
  for (const char* name : kTextFields) {
    const std::string value = StringMember(status, name);
    if (!value.empty()) {
      text += fmt::format("{}: {}\n", name, value);
    }
  }
  text += CountLine(status, "count");
  for (const char* name : kCountFields) {
    text += CountLine(status, name);
  }
  text += CountLine(status, "waited_ms");
  if (status["answers"].isArray()) {
    for (const Json::Value& answer : status["answers"]) {
      text += fmt::format("answer: {}\n", AnswerText(answer));
    }
  }
  return text;
}

std::string ProgressText(const Json::Value& status) {
  std::string text = StringMember(status, "state");
  const char* separator = ": ";
  for (const char* name : kCountFields) {
    const auto count = IntegerMember(status, name);
    if (count.value_or(0) > 0) {
      text += fmt::format("{}{} {}", separator, name, *count);
      separator = ", ";
    }
  }
  return text;
}

bool IsEnded(const Json::Value& status) {
  const std::string state = StringMember(status, "state");
  for (const WorkState end : kEndStates) {
    if (state == WorkStateName(end)) {
      return true;
    }
  }
  return state == kCompleted;
}

bool IsFinished(const Json::Value& status) {
  const std::string state = StringMember(status, "state");
  return state == WorkStateName(WorkState::kFinished) || state == kCompleted;
}

}  // namespace burdockrock
