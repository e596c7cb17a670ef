#include <limits>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "cli/command_table.h"
#include "cli/diagnostics.h"
#include "cli/setting_report.h"
#include "cli/settings_kinds.h"
#include "config/check.h"

namespace burdockrock {

namespace {

ExitCode ConfigCheck(const Invocation& invocation) {
  SettingErrors errors;
  std::vector<std::string> files;  // of the kinds that belong together
  for (const std::string& file : invocation.arguments) {
    if (const auto found = CheckOtherKind(file)) {
      errors.insert(errors.end(), found->begin(), found->end());
    } else {
      files.push_back(file);
    }
  }
  if (!files.empty()) {
    const SettingErrors found = CheckFiles(files);
    errors.insert(errors.end(), found.begin(), found.end());
  }
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
          .summary = "Checks settings files of all kinds",
          .flags = {},
          .min_arguments = 1,
          .max_arguments = std::numeric_limits<std::size_t>::max(),
          .run = ConfigCheck};
}

}  // namespace burdockrock
