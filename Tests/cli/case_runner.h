// Runs one case of the command line in this process.
#ifndef BURDOCKROCK_TESTS_CLI_CASE_RUNNER_H_
#define BURDOCKROCK_TESTS_CLI_CASE_RUNNER_H_

#include "cli/case_file.h"

namespace burdockrock {

// Checks exit code, output and what the scripted entry instances received.
void RunCase(const CommandLineCase& test);

}  // namespace burdockrock

#endif  // BURDOCKROCK_TESTS_CLI_CASE_RUNNER_H_
