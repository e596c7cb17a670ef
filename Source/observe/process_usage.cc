#include "observe/process_usage.h"

#include <sys/resource.h>
#include <sys/time.h>
#include <unistd.h>

#include <fstream>

namespace burdockrock {

namespace {

constexpr double kMicrosecondsPerSecond = 1e6;

double ToSeconds(const timeval& time) {
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_usec) / kMicrosecondsPerSecond;
}

std::optional<double> ReadProcessorSeconds() {
  rusage usage{};
  if (getrusage(RUSAGE_SELF, &usage) != 0) {
    return std::nullopt;
  }
  return ToSeconds(usage.ru_utime) + ToSeconds(usage.ru_stime);
}

// The second number of statm counts resident pages.
std::optional<std::int64_t> ReadResidentBytes() {
  std::ifstream file("/proc/self/statm");
  std::int64_t total_pages = 0;
  std::int64_t resident_pages = 0;
  if (!(file >> total_pages >> resident_pages)) {
    return std::nullopt;
  }
  return resident_pages * sysconf(_SC_PAGESIZE);
}

}  // namespace

std::optional<ProcessUsage> ReadProcessUsage() {
  const auto seconds = ReadProcessorSeconds();
  const auto bytes = ReadResidentBytes();
  if (!seconds || !bytes) {
    return std::nullopt;
  }
  return ProcessUsage{.resident_bytes = *bytes, .processor_seconds = *seconds};
}

}  // namespace burdockrock
