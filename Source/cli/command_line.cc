#include "cli/command_line.h"

#include <variant>
#include <vector>

#include <fmt/format.h>
#include <gflags/gflags.h>

#include "cli/command_table.h"
#include "cli/diagnostics.h"
#include "cli/flag_parser.h"
#include "cli/help_text.h"

namespace burdockrock {

namespace {

// A command and the words that follow its name.
struct FoundCommand {
  const Command* command = nullptr;
  std::span<const std::string> words;
};

FoundCommand Find(std::span<const std::string> words) {
  if (words.size() >= 2) {
    if (const Command* command = FindCommand(words[0] + " " + words[1])) {
      return {.command = command, .words = words.subspan(2)};
    }
  }
  return {.command = FindCommand(words[0]), .words = words.subspan(1)};
}

ExitCode FailUnknown(std::span<const std::string> words, const Output& output) {
  const std::string& name = words[0];
  if (!IsCommandGroup(name)) {
    return FailUsage(output, "", fmt::format("'{}' is not a command", name));
  }
  if (words.size() < 2) {
    return FailUsage(output, name, "its second word is missing");
  }
  return FailUsage(output, name,
                   fmt::format("'{} {}' is not a command", name, words[1]));
}

// `help` and `version` are also understood in the form of flags.
bool IsFlagForm(const std::string& word, const std::string& name) {
  return word == "--" + name || word == "-" + name;
}

ExitCode RunFound(const FoundCommand& found,
                  Output& output,
                  boost::asio::io_context& io,
                  Duration poll_interval) {
  const Command& command = *found.command;
  const ParseResult parsed = ParseFlags(command, found.words);
  if (const auto* error = std::get_if<UsageError>(&parsed)) {
    return FailUsage(output, command.name, error->text);
  }
  const auto& result = std::get<ParsedWords>(parsed);
  if (result.help) {
    output.out << CommandHelp(command);
    return ExitCode::kOk;
  }
  return command.run({.command = command.name,
                      .arguments = result.arguments,
                      .output = output,
                      .io = io,
                      .poll_interval = poll_interval});
}

}  // namespace

ExitCode RunCommandLine(std::span<const std::string> words,
                        Output& output,
                        boost::asio::io_context& io,
                        Duration poll_interval) {
  const gflags::FlagSaver saver;
  if (words.empty()) {
    return FailUsage(output, "", "the command is missing");
  }
  for (const char* name : {"help", "version"}) {
    if (IsFlagForm(words[0], name)) {
      const std::vector<std::string> command = {name};
      return RunFound(Find(command), output, io, poll_interval);
    }
  }
  const FoundCommand found = Find(words);
  if (found.command == nullptr) {
    return FailUnknown(words, output);
  }
  return RunFound(found, output, io, poll_interval);
}

}  // namespace burdockrock
