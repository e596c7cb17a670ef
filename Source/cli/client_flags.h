// The flags that all client commands take.
#ifndef BURDOCKROCK_CLI_CLIENT_FLAGS_H_
#define BURDOCKROCK_CLI_CLIENT_FLAGS_H_

#include <string>
#include <vector>

#include "cli/command.h"

namespace burdockrock {

// --entry and --output, then `own`.
std::vector<FlagRule> ClientFlags(std::vector<FlagRule> own = {});

// --output alone, for commands that ask no entry instance.
FlagRule OutputFlag();

// The entry instances of --entry, each "HOST:PORT".
std::vector<std::string> EntriesFromFlag();

// True for --output json.
bool IsJsonOutput();

}  // namespace burdockrock

#endif  // BURDOCKROCK_CLI_CLIENT_FLAGS_H_
