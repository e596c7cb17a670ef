#include "cli/flag_parser.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <set>
#include <string_view>
#include <utility>

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <gflags/gflags.h>

#include "cli/command_table.h"

namespace burdockrock {

namespace {

// One word that names a flag, split.
struct FlagWord {
  std::string name;
  std::optional<std::string> value;
};

bool IsFlagWord(const std::string& word) {
  return word.size() > 1 && word[0] == '-';
}

FlagWord SplitFlagWord(const std::string& word) {
  const std::size_t dashes = word.starts_with("--") ? 2 : 1;
  const std::size_t equals = word.find('=');
  if (equals == std::string::npos) {
    return {.name = word.substr(dashes), .value = std::nullopt};
  }
  return {.name = word.substr(dashes, equals - dashes),
          .value = word.substr(equals + 1)};
}

const FlagRule* FindRule(const Command& command, std::string_view name) {
  const auto it =
      std::find_if(command.flags.begin(), command.flags.end(),
                   [name](const FlagRule& rule) { return rule.name == name; });
  return it == command.flags.end() ? nullptr : &*it;
}

gflags::CommandLineFlagInfo FlagInfo(const FlagRule& rule) {
  return gflags::GetCommandLineFlagInfoOrDie(rule.name.c_str());
}

bool IsBool(const FlagRule& rule) {
  return FlagInfo(rule).type == "bool";
}

bool IsInteger(const FlagRule& rule) {
  return FlagInfo(rule).type == "int64";
}

// The first command that takes the flag; empty when none does.
std::string TakerOf(const std::string& name) {
  for (const Command& command : CommandTable()) {
    if (FindRule(command, name) != nullptr) {
      return command.name;
    }
  }
  return "";
}

UsageError UnknownFlag(const std::string& name) {
  const std::string taker = TakerOf(name);
  if (taker.empty()) {
    return {fmt::format("--{}: unknown flag", name)};
  }
  return {
      fmt::format("--{}: not a flag of this command but of '{}'", name, taker)};
}

UsageError WrongValue(const FlagRule& rule, std::string_view problem) {
  return {fmt::format("--{}: {}; allowed: {}", rule.name, problem,
                      AllowedValues(rule))};
}

bool IsWholeNumber(std::string_view text) {
  if (text.starts_with('-') || text.starts_with('+')) {
    text.remove_prefix(1);
  }
  return !text.empty() &&
         text.find_first_not_of("0123456789") == std::string_view::npos;
}

std::optional<UsageError> CheckInteger(const FlagRule& rule,
                                       const std::string& value) {
  if (!IsWholeNumber(value)) {
    return WrongValue(rule, fmt::format("'{}' is not a whole number", value));
  }
  std::int64_t number = 0;
  const char* begin = value.data() + (value.starts_with('+') ? 1 : 0);
  const auto parsed =
      std::from_chars(begin, value.data() + value.size(), number);
  if (parsed.ec != std::errc() || number < rule.min || number > rule.max) {
    return WrongValue(rule, fmt::format("{} is out of range", value));
  }
  return std::nullopt;
}

std::optional<UsageError> CheckValue(const FlagRule& rule,
                                     const std::string& value) {
  if (IsInteger(rule)) {
    return CheckInteger(rule, value);
  }
  if (value.empty() && rule.required) {
    return WrongValue(rule, "the value is empty");
  }
  if (rule.check) {
    const auto problem = rule.check(value);
    return problem ? std::optional(WrongValue(rule, *problem)) : std::nullopt;
  }
  if (rule.choices.empty()) {
    return std::nullopt;
  }
  if (std::find(rule.choices.begin(), rule.choices.end(), value) ==
      rule.choices.end()) {
    return WrongValue(rule, fmt::format("'{}' is unknown", value));
  }
  return std::nullopt;
}

// The value to set: what was given, after earlier values of the same flag.
std::string Joined(const FlagRule& rule, const std::string& value) {
  if (!rule.repeatable || !IsFlagGiven(rule.name)) {
    return value;
  }
  return FlagInfo(rule).current_value + "," + value;
}

std::optional<UsageError> SetFlag(const FlagRule& rule,
                                  const std::string& value) {
  if (auto error = CheckValue(rule, value)) {
    return error;
  }
  const std::string joined = Joined(rule, value);
  if (gflags::SetCommandLineOption(rule.name.c_str(), joined.c_str()).empty()) {
    return WrongValue(rule, fmt::format("'{}' is not allowed", value));
  }
  return std::nullopt;
}

// Reads the words of one command from left to right.
class WordReader {
 public:
  WordReader(const Command& command, std::span<const std::string> words)
      : command_(command), words_(words) {}

  ParseResult Read() {
    while (next_ < words_.size()) {
      if (auto error = ReadWord(words_[next_++])) {
        return *error;
      }
    }
    if (auto error = CheckWhole()) {
      return *error;
    }
    return result_;
  }

 private:
  std::optional<UsageError> ReadWord(const std::string& word) {
    if (only_arguments_ || !IsFlagWord(word)) {
      result_.arguments.push_back(word);
      return std::nullopt;
    }
    if (word == "--") {
      only_arguments_ = true;
      return std::nullopt;
    }
    return ReadFlag(SplitFlagWord(word));
  }

  std::optional<UsageError> ReadFlag(const FlagWord& flag) {
    if (flag.name == "help") {
      result_.help = true;
      return std::nullopt;
    }
    if (const FlagRule* rule = FindRule(command_, flag.name)) {
      return ReadValue(*rule, flag);
    }
    if (flag.name.starts_with("no") && !flag.value) {
      const FlagRule* rule = FindRule(command_, flag.name.substr(2));
      if (rule != nullptr && IsBool(*rule)) {
        return SetFlag(*rule, "false");
      }
    }
    return UnknownFlag(flag.name);
  }

  std::optional<UsageError> ReadValue(const FlagRule& rule,
                                      const FlagWord& flag) {
    if (flag.value) {
      return SetFlag(rule, *flag.value);
    }
    if (IsBool(rule)) {
      return SetFlag(rule, "true");
    }
    if (next_ == words_.size()) {
      return WrongValue(rule, "its value is missing");
    }
    return SetFlag(rule, words_[next_++]);
  }

  std::optional<UsageError> CheckWhole() const {
    if (result_.help) {
      return std::nullopt;
    }
    for (const FlagRule& rule : command_.flags) {
      if (rule.required && !IsFlagGiven(rule.name)) {
        return UsageError{fmt::format("--{} is missing; give {}", rule.name,
                                      FlagUsage(rule))};
      }
    }
    return CheckArgumentCount();
  }

  std::optional<UsageError> CheckArgumentCount() const {
    const std::size_t count = result_.arguments.size();
    if (count < command_.min_arguments) {
      return UsageError{fmt::format("{} is missing", command_.arguments)};
    }
    if (count > command_.max_arguments) {
      return UsageError{fmt::format("'{}' is one argument too many",
                                    result_.arguments[command_.max_arguments])};
    }
    return std::nullopt;
  }

  const Command& command_;
  std::span<const std::string> words_;
  std::size_t next_ = 0;
  bool only_arguments_ = false;
  ParsedWords result_;
};

}  // namespace

ParseResult ParseFlags(const Command& command,
                       std::span<const std::string> words) {
  return WordReader(command, words).Read();
}

bool IsFlagGiven(const std::string& name) {
  return !gflags::GetCommandLineFlagInfoOrDie(name.c_str()).is_default;
}

std::string FlagUsage(const FlagRule& rule) {
  if (IsBool(rule)) {
    return fmt::format("--[no]{}", rule.name);
  }
  return fmt::format("--{} {}", rule.name, rule.value);
}

std::string AllowedValues(const FlagRule& rule) {
  if (!rule.allowed.empty()) {
    return rule.allowed;
  }
  if (IsInteger(rule)) {
    return fmt::format("{} to {}", rule.min, rule.max);
  }
  if (IsBool(rule)) {
    return "true or false";
  }
  if (!rule.choices.empty()) {
    return fmt::format("{}", fmt::join(rule.choices, ", "));
  }
  return rule.value;
}

}  // namespace burdockrock
