// The texts that `help` prints, made from the command table and gflags.
#ifndef BURDOCKROCK_CLI_HELP_TEXT_H_
#define BURDOCKROCK_CLI_HELP_TEXT_H_

#include <string>

#include "cli/command.h"

namespace burdockrock {

// All commands, one line each.
std::string Overview();

// The commands whose first word is `group`.
std::string GroupHelp(const std::string& group);

// One command: its usage, purpose and flags.
std::string CommandHelp(const Command& command);

}  // namespace burdockrock

#endif  // BURDOCKROCK_CLI_HELP_TEXT_H_
