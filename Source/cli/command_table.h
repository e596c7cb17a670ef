// The table from command names to what they do. Each command stands in its own
// source file.
#ifndef BURDOCKROCK_CLI_COMMAND_TABLE_H_
#define BURDOCKROCK_CLI_COMMAND_TABLE_H_

#include <string_view>
#include <vector>

#include "cli/command.h"

namespace burdockrock {

// In the order of the help.
const std::vector<Command>& CommandTable();

// Null when there is no command of this whole name.
const Command* FindCommand(std::string_view name);

// True for the first word of commands of two words, such as "config".
bool IsCommandGroup(std::string_view word);

// The commands' own entries, each from the file of its name.
Command CancelCommand();
Command ConfigCheckCommand();
Command ConfigDiffCommand();
Command ConfigGetCommand();
Command ConfigPutCommand();
Command DrainCommand();
Command DumpCommand();
Command ExplainCommand();
Command HelpCommand();
Command PlatformCommand();
Command QueuesGetCommand();
Command QueuesPutCommand();
Command ServeCommand();
Command StatusCommand();
Command SubmitCommand();
Command VersionCommand();

}  // namespace burdockrock

#endif  // BURDOCKROCK_CLI_COMMAND_TABLE_H_
