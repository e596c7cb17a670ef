#include "observe/log.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <system_error>
#include <utility>

#include <fmt/chrono.h>
#include <fmt/format.h>

#include "observe/event_catalogue.h"

namespace burdockrock {

namespace {

constexpr std::int64_t kWindowMs = 1000;

// Printing throws when standard error is a closed pipe or a full disk. The
// exception would end the process with its requests in progress over a lost
// log line, so the line is dropped instead.
void PrintToStandardError(std::string_view line) {
  try {
    fmt::print(stderr, "{}\n", line);
  } catch (const std::system_error&) {
    return;
  }
}

std::string TimestampNow() {
  using std::chrono::floor;
  using std::chrono::milliseconds;
  using std::chrono::seconds;
  const auto now = floor<milliseconds>(std::chrono::system_clock::now());
  const auto whole = floor<seconds>(now);
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z", fmt::gmtime(whole),
                     (now - whole).count());
}

std::int64_t SteadyMilliseconds() {
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

LoggerOptions WithDefaults(LoggerOptions options) {
  if (!options.sink) {
    options.sink = PrintToStandardError;
  }
  if (!options.timestamp) {
    options.timestamp = TimestampNow;
  }
  if (!options.clock_ms) {
    options.clock_ms = SteadyMilliseconds;
  }
  return options;
}

Level LevelOf(EventNumber number) {
  const EventInfo* info = FindEvent(number);
  return info == nullptr ? Level::kError : info->level;
}

}  // namespace

Logger::Logger(LoggerOptions options)
    : options_(WithDefaults(std::move(options))),
      window_start_ms_(options_.clock_ms()),
      allowance_(options_.burst_bytes),
      allowed_at_ms_(window_start_ms_) {}

Logger::~Logger() {
  Flush();
}

void Logger::Write(const LogLine& line) {
  const Level level = LevelOf(line.number);
  if (level < options_.minimum || !Admit(line.number)) {
    return;
  }
  std::string text = Format(line);
  if (level >= Level::kWarning || AdmitBytes(text.size() + 1)) {
    options_.sink(text);
  } else {
    ++bursts_[line.number].suppressed;
  }
}

void Logger::Flush() {
  for (auto& [number, burst] : bursts_) {
    const std::uint64_t n = std::exchange(burst.suppressed, 0);
    if (n > 0) {
      options_.sink(Format(
          {.number = number,
           .fields = {{.key = "suppressed", .value = std::to_string(n)}}}));
    }
  }
}

// A fault that repeats for each request would otherwise write thousands of
// lines a second: the log's disk fills and the one thread waits for standard
// error while callers wait for it.
bool Logger::Admit(EventNumber number) {
  if (options_.burst_per_second == 0) {
    return true;
  }
  const std::int64_t now = options_.clock_ms();
  if (now - window_start_ms_ >= kWindowMs) {
    Flush();
    bursts_.clear();
    window_start_ms_ = now;
  }
  Burst& burst = bursts_[number];
  if (burst.written >= options_.burst_per_second) {
    ++burst.suppressed;
    return false;
  }
  ++burst.written;
  return true;
}

// Collectors keep a part of what a process writes, and the last of it: a log
// that grows with the load is cut off at its start, and with it go the lines
// that tell the cause. What warns is few and always passes.
bool Logger::AdmitBytes(std::size_t n) {
  if (options_.bytes_per_second == 0) {
    return true;
  }
  const std::int64_t now = options_.clock_ms();
  const double earned = static_cast<double>(now - allowed_at_ms_) *
                        options_.bytes_per_second / kWindowMs;
  allowance_ = std::min<double>(allowance_ + earned, options_.burst_bytes);
  allowed_at_ms_ = now;
  if (allowance_ < static_cast<double>(n)) {
    return false;
  }
  allowance_ -= static_cast<double>(n);
  return true;
}

std::string Logger::Format(const LogLine& line) const {
  const LogHeader prefix = {.time = options_.timestamp(),
                            .instance = options_.instance};
  return FormatLogLine(options_.format, prefix, line);
}

}  // namespace burdockrock
