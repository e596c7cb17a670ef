// Waits for the end of a job that was submitted.
#ifndef BURDOCKROCK_CLI_JOB_WAIT_H_
#define BURDOCKROCK_CLI_JOB_WAIT_H_

#include <string>

#include "cli/command.h"
#include "cli/entry_client.h"

namespace burdockrock {

// Asks for the state of the job until it has ended, and prints the last one.
// Entry instances that don't answer are asked again, a limited number of times
// one after the other.
ExitCode WaitForJob(const Invocation& invocation,
                    EntryClient& client,
                    const std::string& id);

}  // namespace burdockrock

#endif  // BURDOCKROCK_CLI_JOB_WAIT_H_
