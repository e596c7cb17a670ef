#include "cli/command_table.h"

#include <algorithm>

namespace burdockrock {

const std::vector<Command>& CommandTable() {
  static const std::vector<Command> kTable = {
      ServeCommand(),     PlatformCommand(),  SubmitCommand(),
      StatusCommand(),    CancelCommand(),    ConfigCheckCommand(),
      ConfigPutCommand(), ConfigGetCommand(), ConfigDiffCommand(),
      QueuesPutCommand(), QueuesGetCommand(), DrainCommand(),
      DumpCommand(),      ExplainCommand(),   VersionCommand(),
      HelpCommand(),
  };
  return kTable;
}

const Command* FindCommand(std::string_view name) {
  const auto& table = CommandTable();
  const auto it = std::find_if(
      table.begin(), table.end(),
      [name](const Command& command) { return command.name == name; });
  return it == table.end() ? nullptr : &*it;
}

bool IsCommandGroup(std::string_view word) {
  const std::string prefix = std::string(word) + " ";
  const auto& table = CommandTable();
  return std::any_of(table.begin(), table.end(),
                     [&prefix](const Command& command) {
                       return command.name.starts_with(prefix);
                     });
}

}  // namespace burdockrock
