// Writes numbered events to the process's log.
#ifndef BURDOCKROCK_OBSERVE_LOG_H_
#define BURDOCKROCK_OBSERVE_LOG_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "observe/event_number.h"
#include "observe/log_format.h"

namespace burdockrock {

struct LoggerOptions {
  LogFormat format = LogFormat::kKeyValue;
  Level minimum = Level::kInfo;  // events below it are left out
  std::string instance = {};     // this process's name

  // Takes one line without its newline. Default: standard error.
  std::function<void(std::string_view)> sink = nullptr;

  // Default: UTC in RFC 3339 form with milliseconds.
  std::function<std::string()> timestamp = nullptr;

  // Monotonic milliseconds. Default: the steady clock.
  std::function<std::int64_t()> clock_ms = nullptr;

  // Most lines a second of one event number; 0: no limit.
  std::uint32_t burst_per_second = 50;

  // Bytes a second that lines below the level of warning may take in the long
  // run; 0: no limit.
  std::uint32_t bytes_per_second = 4096;

  // Such bytes that a process which wrote little before may write at once.
  std::uint32_t burst_bytes = 65'536;
};

// Not safe for use from several threads.
class Logger {
 public:
  explicit Logger(LoggerOptions options = {});
  ~Logger();
  Logger(const Logger&) = delete;
  Logger& operator=(const Logger&) = delete;

  // Past a limit the line is only counted. The counts are written as one
  // line for each number with the field `suppressed`, by the first Write after
  // the second is over, by Flush, or at the end.
  void Write(const LogLine& line);

  // Writes the counts of suppressed lines now. Call it from a timer, so that
  // they show even when no further event comes.
  void Flush();

 private:
  struct Burst {
    std::uint32_t written = 0;
    std::uint64_t suppressed = 0;
  };

  bool Admit(EventNumber number);
  bool AdmitBytes(std::size_t n);
  std::string Format(const LogLine& line) const;

  LoggerOptions options_;
  std::int64_t window_start_ms_ = 0;
  double allowance_ = 0;  // bytes
  std::int64_t allowed_at_ms_ = 0;
  std::map<EventNumber, Burst> bursts_;
};

}  // namespace burdockrock

#endif  // BURDOCKROCK_OBSERVE_LOG_H_
