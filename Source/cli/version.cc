#include "cli/command_table.h"

namespace burdockrock {

namespace {

ExitCode Version(const Invocation& invocation) {
  invocation.output.out << "burdockrock " BURDOCKROCK_VERSION "\n";
  return ExitCode::kOk;
}

}  // namespace

Command VersionCommand() {
  return {.name = "version",
          .summary = "Prints the program's version",
          .flags = {},
          .run = Version};
}

}  // namespace burdockrock
