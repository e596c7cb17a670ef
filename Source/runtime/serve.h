// Runs an entry instance as a process.
#ifndef BURDOCKROCK_RUNTIME_SERVE_H_
#define BURDOCKROCK_RUNTIME_SERVE_H_

#include <string>

namespace burdockrock {

struct ServeOptions {
  std::string settings_file;
};

// Returns the process's exit code: 0 after a stop that was asked for, 1 if the
// settings are invalid or an address can't be had, which is reported on
// standard error. SIGTERM and SIGINT begin the planned stop, a second one ends
// it at once.
int Serve(const ServeOptions& options);

}  // namespace burdockrock

#endif  // BURDOCKROCK_RUNTIME_SERVE_H_
