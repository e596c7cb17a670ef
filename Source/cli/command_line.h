// Runs one command line: finds the command, sets its flags and calls it.
#ifndef BURDOCKROCK_CLI_COMMAND_LINE_H_
#define BURDOCKROCK_CLI_COMMAND_LINE_H_

#include <span>
#include <string>

#include <boost/asio/io_context.hpp>

#include "cli/command.h"
#include "cli/output.h"
#include "model/time.h"

namespace burdockrock {

inline constexpr Duration kDefaultPollInterval = std::chrono::milliseconds(500);

// `words` are those after the program's name. Client commands run `io` until
// their answer is there. Flags have their former values again on return.
ExitCode RunCommandLine(std::span<const std::string> words,
                        Output& output,
                        boost::asio::io_context& io,
                        Duration poll_interval = kDefaultPollInterval);

}  // namespace burdockrock

#endif  // BURDOCKROCK_CLI_COMMAND_LINE_H_
