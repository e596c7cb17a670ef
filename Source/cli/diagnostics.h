// How the command line reports what went wrong.
#ifndef BURDOCKROCK_CLI_DIAGNOSTICS_H_
#define BURDOCKROCK_CLI_DIAGNOSTICS_H_

#include <string>
#include <string_view>

#include "cli/command.h"
#include "cli/output.h"

namespace burdockrock {

// Writes "burdockrock COMMAND: TEXT" as one line; `command` may be empty.
void Diagnose(const Output& output,
              std::string_view command,
              std::string_view text);

// Writes the diagnostic and points to the command's help; for wrong flags and
// arguments.
ExitCode FailUsage(const Output& output,
                   std::string_view command,
                   std::string_view text);

// Writes the diagnostic; for commands that were understood and failed.
ExitCode Fail(const Invocation& invocation, std::string_view text);

}  // namespace burdockrock

#endif  // BURDOCKROCK_CLI_DIAGNOSTICS_H_
