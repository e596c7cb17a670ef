#include <fstream>
#include <limits>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "cli/command_table.h"
#include "cli/diagnostics.h"
#include "cli/log_story.h"

namespace burdockrock {

namespace {

// False if the file can't be read.
bool ReadLog(const std::string& file, std::vector<LoggedEvent>& records) {
  std::ifstream log(file);
  if (!log) {
    return false;
  }
  std::string line;
  while (std::getline(log, line)) {
    if (auto record = ParseLogLine(line)) {
      records.push_back(*std::move(record));
    }
  }
  return true;
}

ExitCode Explain(const Invocation& invocation) {
  const std::string& id = invocation.arguments[0];
  std::vector<LoggedEvent> records;
  for (std::size_t it = 1; it < invocation.arguments.size(); ++it) {
    const std::string& file = invocation.arguments[it];
    if (!ReadLog(file, records)) {
      return Fail(invocation,
                  fmt::format("{}: can't be read; name a readable log", file));
    }
  }
  const auto story = FindStory(records, id);
  if (story.empty()) {
    return Fail(invocation,
                fmt::format("nothing about {} in {} events; check the id, and "
                            "take the logs of all instances",
                            id, records.size()));
  }
  for (const StoryLine& it : story) {
    invocation.output.out << ToText(it) << "\n";
  }
  return ExitCode::kOk;
}

}  // namespace

Command ExplainCommand() {
  return {.name = "explain",
          .arguments = "ID LOG...",
          .summary = "Tells from logs what happened to a job or request",
          .min_arguments = 2,
          .max_arguments = std::numeric_limits<std::size_t>::max(),
          .run = Explain};
}

}  // namespace burdockrock
