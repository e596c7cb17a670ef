#include "cli/help_text.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include "cli/command_table.h"
#include "cli/flag_parser.h"

namespace burdockrock {

namespace {

std::string Usage(const Command& command) {
  std::string text = "burdockrock " + command.name;
  if (!command.arguments.empty()) {
    text += " " + command.arguments;
  }
  return text;
}

std::string SummaryLine(const Command& command) {
  return fmt::format("  {:<22}{}\n", command.name + " " + command.arguments,
                     command.summary);
}

std::string DefaultOf(const FlagRule& rule) {
  const auto info = gflags::GetCommandLineFlagInfoOrDie(rule.name.c_str());
  if (rule.required) {
    return "required";
  }
  // A number that may not be 0 has the default 0 while it is not given.
  const bool is_absent =
      info.default_value.empty() || (info.default_value == "0" && rule.min > 0);
  return is_absent ? "default: none" : "default: " + info.default_value;
}

bool IsLimited(const FlagRule& rule) {
  return !rule.choices.empty() || !rule.allowed.empty() ||
         rule.min != std::numeric_limits<std::int64_t>::min();
}

std::string FlagHelp(const FlagRule& rule) {
  const auto info = gflags::GetCommandLineFlagInfoOrDie(rule.name.c_str());
  const std::string allowed =
      IsLimited(rule) ? "allowed: " + AllowedValues(rule) + "; " : "";
  return fmt::format("  {}\n      {} ({}{})\n", FlagUsage(rule),
                     info.description, allowed, DefaultOf(rule));
}

}  // namespace

std::string Overview() {
  std::string text = "Usage: burdockrock COMMAND [FLAGS]\n\nCommands:\n";
  for (const Command& command : CommandTable()) {
    text += SummaryLine(command);
  }
  text +=
      "\nExit codes: 0 ok, 1 failed, 2 wrong usage.\n"
      "'burdockrock help COMMAND' tells the flags of one command.\n";
  return text;
}

std::string GroupHelp(const std::string& group) {
  std::string text = fmt::format(
      "Usage: burdockrock {} COMMAND [FLAGS]\n\nCommands:\n", group);
  for (const Command& command : CommandTable()) {
    if (command.name.starts_with(group + " ")) {
      text += SummaryLine(command);
    }
  }
  return text;
}

std::string CommandHelp(const Command& command) {
  std::string text =
      fmt::format("Usage: {}{}\n\n{}\n", Usage(command),
                  command.flags.empty() ? "" : " [FLAGS]", command.summary);
  if (!command.flags.empty()) {
    text += "\nFlags:\n";
  }
  for (const FlagRule& rule : command.flags) {
    text += FlagHelp(rule);
  }
  return text;
}

}  // namespace burdockrock
