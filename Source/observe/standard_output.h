// The log's way out: standard output, bounded and without waiting.
#ifndef BURDOCKROCK_OBSERVE_STANDARD_OUTPUT_H_
#define BURDOCKROCK_OBSERVE_STANDARD_OUTPUT_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace burdockrock {

// A reader of the log that stops reading would otherwise stop the process at
// its next line. Lines that don't fit into the pipe wait in a buffer, and when
// that is full too they are dropped and counted.
class StandardOutput {
 public:
  StandardOutput();

  void Write(std::string_view line);

  std::uint64_t dropped() const { return dropped_; }

 private:
  void Flush();

  std::string waiting_;
  std::uint64_t dropped_ = 0;
};

}  // namespace burdockrock

#endif  // BURDOCKROCK_OBSERVE_STANDARD_OUTPUT_H_
