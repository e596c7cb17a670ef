// Where a command writes.
#ifndef BURDOCKROCK_CLI_OUTPUT_H_
#define BURDOCKROCK_CLI_OUTPUT_H_

#include <chrono>
#include <ostream>

#include "model/time.h"

namespace burdockrock {

// What a command found goes to `out`; diagnostics and progress go to `err`.
struct Output {
  std::ostream& out;
  std::ostream& err;
  bool show_progress = false;  // `err` is a terminal
  Duration progress_interval = std::chrono::seconds(1);
};

}  // namespace burdockrock

#endif  // BURDOCKROCK_CLI_OUTPUT_H_
