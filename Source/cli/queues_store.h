// Reads and writes the configuration of queues in the store of jobs of steps.
#ifndef BURDOCKROCK_CLI_QUEUES_STORE_H_
#define BURDOCKROCK_CLI_QUEUES_STORE_H_

#include <string>
#include <variant>
#include <vector>

#include "cli/command.h"
#include "cli/entry_client.h"
#include "engine/calls.h"

namespace burdockrock {

// The flag --store.
FlagRule StoreFlag();

// One call to the store that the flag names.
engine::StoreAnswer CallStoreOfFlag(const Invocation& invocation,
                                    const engine::StoreRequest& request);

// What to tell an operator of an answer that is not the one hoped for.
std::string StoreProblem(const engine::StoreAnswer& answer);

}  // namespace burdockrock

#endif  // BURDOCKROCK_CLI_QUEUES_STORE_H_
