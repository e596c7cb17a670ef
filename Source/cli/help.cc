#include <fmt/format.h>
#include <fmt/ranges.h>

#include "cli/command_table.h"
#include "cli/diagnostics.h"
#include "cli/help_text.h"

namespace burdockrock {

namespace {

ExitCode Help(const Invocation& invocation) {
  Output& output = invocation.output;
  if (invocation.arguments.empty()) {
    output.out << Overview();
    return ExitCode::kOk;
  }
  const std::string name =
      fmt::format("{}", fmt::join(invocation.arguments, " "));
  if (const Command* command = FindCommand(name)) {
    output.out << CommandHelp(*command);
    return ExitCode::kOk;
  }
  if (IsCommandGroup(name)) {
    output.out << GroupHelp(name);
    return ExitCode::kOk;
  }
  return FailUsage(output, "", fmt::format("'{}' is not a command", name));
}

}  // namespace

Command HelpCommand() {
  return {.name = "help",
          .arguments = "[COMMAND]",
          .summary = "Tells the commands, or the flags of one",
          .flags = {},
          .max_arguments = 2,
          .run = Help};
}

}  // namespace burdockrock
