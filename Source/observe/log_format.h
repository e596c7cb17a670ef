// Writes one event as one line of text that nothing in a field's value can
// break up or forge.
#ifndef BURDOCKROCK_OBSERVE_LOG_FORMAT_H_
#define BURDOCKROCK_OBSERVE_LOG_FORMAT_H_

#include <compare>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "observe/event_number.h"

namespace burdockrock {

enum class LogFormat { kKeyValue, kJsonLines };

// A longer value is cut and then ends with "...".
inline constexpr std::size_t kMaxLogValueBytes = 512;

struct LogField {
  std::string key;  // unique in its line; [A-Za-z0-9_.-]
  std::string value;

  auto operator<=>(const LogField&) const = default;
};

// One event with its own fields.
struct LogLine {
  EventNumber number = EventNumber::kStarted;
  std::vector<LogField> fields = {};

  auto operator<=>(const LogLine&) const = default;
};

// What stands before the event's own fields.
struct LogHeader {
  std::string time;
  std::string instance;

  auto operator<=>(const LogHeader&) const = default;
};

// Without a newline at the end. An own field that takes the key of the prefix
// (time, level, event, name, instance) gets a `_` after its key.
std::string FormatLogLine(LogFormat format,
                          const LogHeader& prefix,
                          const LogLine& line);

}  // namespace burdockrock

#endif  // BURDOCKROCK_OBSERVE_LOG_FORMAT_H_
