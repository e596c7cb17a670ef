// What the command line knows of one command.
#ifndef BURDOCKROCK_CLI_COMMAND_H_
#define BURDOCKROCK_CLI_COMMAND_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "cli/output.h"
#include "model/time.h"

namespace burdockrock {

// The exit codes of the program.
enum class ExitCode { kOk = 0, kFailed = 1, kUsage = 2 };

// One gflags flag as one command takes it. Its default and description stand
// at its DEFINE_ line.
struct FlagRule {
  std::string name = {};
  std::string value = {};  // placeholder in help, such as "N"; empty for a bool
  std::vector<std::string> choices = {};  // empty: any text
  std::int64_t min = std::numeric_limits<std::int64_t>::min();
  std::int64_t max = std::numeric_limits<std::int64_t>::max();
  bool required = false;
  bool repeatable = false;  // values given one by one are joined by commas
  // What is wrong with a value; null when any will do. `allowed` then says in
  // words what may stand there.
  std::function<std::optional<std::string>(const std::string&)> check = {};
  std::string allowed = {};
};

// One run of a command, after its flags were set.
struct Invocation {
  std::string command = {};  // its name
  std::vector<std::string> arguments;
  Output& output;
  boost::asio::io_context& io;
  Duration poll_interval;  // between two looks at a job that is waited for
};

struct Command {
  std::string name = {};       // "config put"
  std::string arguments = {};  // placeholder in help, such as "ID"
  std::string summary = {};
  std::vector<FlagRule> flags = {};
  std::size_t min_arguments = 0;
  std::size_t max_arguments = 0;
  std::function<ExitCode(const Invocation&)> run = {};
};

}  // namespace burdockrock

#endif  // BURDOCKROCK_CLI_COMMAND_H_
