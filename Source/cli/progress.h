// Tells a waiting user on a terminal what the command waits for.
#ifndef BURDOCKROCK_CLI_PROGRESS_H_
#define BURDOCKROCK_CLI_PROGRESS_H_

#include <string>

#include <boost/asio/io_context.hpp>

#include "cli/output.h"
#include "model/time.h"
#include "net/tcp.h"

namespace burdockrock {

// One line, rewritten in place at each interval while `io` runs and taken away
// at the end. Prints nothing when the output is no terminal.
class Progress {
 public:
  Progress(boost::asio::io_context& io, const Output& output);
  Progress(const Progress&) = delete;
  Progress& operator=(const Progress&) = delete;
  ~Progress();

  void SetText(const std::string& text);

 private:
  void Print();
  void Tick();

  const Output& output_;
  SteadyTimer timer_;
  std::string text_;
  Duration elapsed_{0};
};

}  // namespace burdockrock

#endif  // BURDOCKROCK_CLI_PROGRESS_H_
