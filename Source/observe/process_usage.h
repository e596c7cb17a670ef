// What this process takes of its instance.
#ifndef BURDOCKROCK_OBSERVE_PROCESS_USAGE_H_
#define BURDOCKROCK_OBSERVE_PROCESS_USAGE_H_

#include <compare>
#include <cstdint>
#include <optional>

namespace burdockrock {

struct ProcessUsage {
  std::int64_t resident_bytes = 0;
  double processor_seconds = 0;  // user and system time since the start

  auto operator<=>(const ProcessUsage&) const = default;
};

// Reads getrusage(2) and /proc/self/statm; nothing when either can't be read.
std::optional<ProcessUsage> ReadProcessUsage();

}  // namespace burdockrock

#endif  // BURDOCKROCK_OBSERVE_PROCESS_USAGE_H_
