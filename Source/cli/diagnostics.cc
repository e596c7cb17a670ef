#include "cli/diagnostics.h"

#include <fmt/format.h>

namespace burdockrock {

void Diagnose(const Output& output,
              std::string_view command,
              std::string_view text) {
  const char* space = command.empty() ? "" : " ";
  output.err << fmt::format("burdockrock{}{}: {}\n", space, command, text);
}

ExitCode FailUsage(const Output& output,
                   std::string_view command,
                   std::string_view text) {
  const char* space = command.empty() ? "" : " ";
  Diagnose(output, command,
           fmt::format("{}; see 'burdockrock help{}{}'", text, space, command));
  return ExitCode::kUsage;
}

ExitCode Fail(const Invocation& invocation, std::string_view text) {
  Diagnose(invocation.output, invocation.command, text);
  return ExitCode::kFailed;
}

}  // namespace burdockrock
