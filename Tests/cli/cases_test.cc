#include <algorithm>

#include <doctest/doctest.h>

#include "cli/case_runner.h"
#include "cli/command_table.h"

namespace burdockrock {

namespace {

bool RunsCommand(const CommandLineCase& test, const std::string& command) {
  std::string words;
  for (const std::string& word : test.arguments) {
    words += word + " ";
  }
  return words.starts_with(command + " ");
}

}  // namespace

TEST_CASE("each case exits and prints as its file says") {
  for (const std::string& file : CaseFiles()) {
    INFO("file: " << file);
    for (const CommandLineCase& test : ReadCaseFile(file)) {
      RunCase(test);
    }
  }
}

TEST_CASE("each command has a case that ends well and one of wrong usage") {
  std::vector<CommandLineCase> cases;
  for (const std::string& file : CaseFiles()) {
    const auto more = ReadCaseFile(file);
    cases.insert(cases.end(), more.begin(), more.end());
  }
  for (const Command& command : CommandTable()) {
    INFO("command: " << command.name);
    const auto has_exit = [&](int exit) {
      return std::any_of(
          cases.begin(), cases.end(), [&](const CommandLineCase& test) {
            return test.exit == exit && RunsCommand(test, command.name);
          });
    };
    CHECK(has_exit(2));
    // Only a whole process can serve; Tests/process does.
    const bool serves = command.name == "serve" || command.name == "platform";
    CHECK((has_exit(0) || serves));
  }
}

}  // namespace burdockrock
