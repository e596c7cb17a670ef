#include "cli/setting_report.h"

#include <fmt/format.h>

#include "cli/diagnostics.h"

namespace burdockrock {

ExitCode FailSettings(const Invocation& invocation,
                      const SettingErrors& errors) {
  for (const SettingError& error : errors) {
    invocation.output.err << ToString(error) << "\n";
  }
  return Fail(
      invocation,
      fmt::format("{} {} in the settings; mend the files and check "
                  "them again",
                  errors.size(), errors.size() == 1 ? "error" : "errors"));
}

}  // namespace burdockrock
