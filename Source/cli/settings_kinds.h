// Files of settings that the config library does not know: the queues of jobs
// of steps, and the file that the users' platform fills in.
#ifndef BURDOCKROCK_CLI_SETTINGS_KINDS_H_
#define BURDOCKROCK_CLI_SETTINGS_KINDS_H_

#include <optional>
#include <string>
#include <variant>

#include "config/setting_error.h"
#include "engine/configuration.h"

namespace burdockrock {

// A file of kind "queues".
std::variant<engine::Configuration, SettingErrors> LoadQueuesFile(
    const std::string& file);

// The faults of such a file; nothing if it is of another kind.
std::optional<SettingErrors> CheckOtherKind(const std::string& file);

}  // namespace burdockrock

#endif  // BURDOCKROCK_CLI_SETTINGS_KINDS_H_
