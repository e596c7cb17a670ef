#include "observe/standard_output.h"

#include <fcntl.h>
#include <unistd.h>

namespace burdockrock {

namespace {

constexpr std::size_t kMaxWaitingBytes = 262'144;

}  // namespace

StandardOutput::StandardOutput() {
  const int flags = fcntl(STDOUT_FILENO, F_GETFL);
  if (flags >= 0) {
    fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  }
}

void StandardOutput::Write(std::string_view line) {
  if (waiting_.size() + line.size() > kMaxWaitingBytes) {
    Flush();
  }
  if (waiting_.size() + line.size() > kMaxWaitingBytes) {
    ++dropped_;
    return;
  }
  waiting_ += line;
  waiting_ += '\n';
  Flush();
}

// What is left after an error stays for the next line: a closed output must not
// end the process.
void StandardOutput::Flush() {
  const ssize_t n = write(STDOUT_FILENO, waiting_.data(), waiting_.size());
  if (n > 0) {
    waiting_.erase(0, static_cast<std::size_t>(n));
  }
}

}  // namespace burdockrock
