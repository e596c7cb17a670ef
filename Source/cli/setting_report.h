// Prints what is wrong with settings files.
#ifndef BURDOCKROCK_CLI_SETTING_REPORT_H_
#define BURDOCKROCK_CLI_SETTING_REPORT_H_

#include "cli/command.h"
#include "config/setting_error.h"

namespace burdockrock {

// One line for each error, and a last one with their count.
ExitCode FailSettings(const Invocation& invocation,
                      const SettingErrors& errors);

}  // namespace burdockrock

#endif  // BURDOCKROCK_CLI_SETTING_REPORT_H_
