#include <limits>

#include <fmt/format.h>

#include "cli/command_table.h"
#include "cli/diagnostics.h"
#include "cli/setting_report.h"
#include "config/check.h"

namespace burdockrock {

namespace {

ExitCode ConfigCheck(const Invocation& invocation) {
  const SettingErrors errors = CheckFiles(invocation.arguments);
  if (!errors.empty()) {
    return FailSettings(invocation, errors);
  }
  for (const std::string& file : invocation.arguments) {
    invocation.output.out << fmt::format("{}: ok\n", file);
  }
  return ExitCode::kOk;
}

}  // namespace

Command ConfigCheckCommand() {
  return {.name = "config check",
          .arguments = "FILE...",
          .summary = "Checks settings files: base, overlays, processes' own",
          .flags = {},
          .min_arguments = 1,
          .max_arguments = std::numeric_limits<std::size_t>::max(),
          .run = ConfigCheck};
}

}  // namespace burdockrock
