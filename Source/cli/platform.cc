#include <gflags/gflags.h>

#include "cli/command_table.h"
#include "platform/serve.h"

DEFINE_string(platform_settings,
              "",
              "The settings file that the platform fills in; the environment "
              "names it if it is not given");
DEFINE_int64(metrics_port, 9464, "The port of metrics and state dumps");

namespace burdockrock {

namespace {

constexpr std::int64_t kMaxPort = 65'535;

ExitCode RunPlatform(const Invocation& /*invocation*/) {
  const int code = platform::Serve(
      {.settings_file = FLAGS_platform_settings,
       .metrics_port = static_cast<std::uint16_t>(FLAGS_metrics_port)});
  return code == 0 ? ExitCode::kOk : ExitCode::kFailed;
}

}  // namespace

Command PlatformCommand() {
  return {.name = "platform",
          .summary = "Runs an entry instance on the users' platform",
          .flags = {{.name = "platform_settings", .value = "FILE"},
                    {.name = "metrics_port",
                     .value = "N",
                     .min = 1,
                     .max = kMaxPort}},
          .run = RunPlatform};
}

}  // namespace burdockrock
