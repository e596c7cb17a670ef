#include <gflags/gflags.h>

#include "cli/command_table.h"
#include "cli/diagnostics.h"

#ifdef BURDOCKROCK_HAS_RUNTIME
#include "runtime/serve.h"
#endif

DEFINE_string(settings, "", "The process's own settings, a JSON file");

namespace burdockrock {

namespace {

ExitCode RunServe(const Invocation& invocation) {
#ifdef BURDOCKROCK_HAS_RUNTIME
  static_cast<void>(invocation);
  const int code = Serve({.settings_file = FLAGS_settings});
  return code == 0 ? ExitCode::kOk : ExitCode::kFailed;
#else
  return Fail(invocation,
              "the runtime library is not built in; build the whole tree with "
              "'cmake --build build/release'");
#endif
}

}  // namespace

Command ServeCommand() {
  return {.name = "serve",
          .summary = "Runs an entry instance until it is stopped or drained",
          .flags = {{.name = "settings", .value = "FILE", .required = true}},
          .run = RunServe};
}

}  // namespace burdockrock
