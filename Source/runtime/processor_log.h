// Logs that the process is short of processor time, and what its time goes to.
#ifndef BURDOCKROCK_RUNTIME_PROCESSOR_LOG_H_
#define BURDOCKROCK_RUNTIME_PROCESSOR_LOG_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <utility>

#include "model/time.h"
#include "observe/log.h"

namespace burdockrock {

// Totals since the start.
struct ProcessTotals {
  std::uint64_t peers_received = 0;  // messages of other entry instances
  std::uint64_t peers_sent = 0;
  std::uint64_t peers_resent = 0;
  std::uint64_t peers_given_up = 0;
  Duration processor{0};  // of the whole process

  auto operator<=>(const ProcessTotals&) const = default;
};

class ProcessorLog {
 public:
  explicit ProcessorLog(std::function<void(const LogLine&)> log)
      : log_(std::move(log)) {}

  // `drove` says that the step ran the work that was due.
  void NoteStep(Duration took, bool drove);
  // How long an event waited for its step, or a timer came up late.
  void NoteWait(Duration wait);

  // Writes a line if something has waited for long since the last call with a
  // later `now` by kInterval or more.
  void WriteLine(Time now, const ProcessTotals& totals);

 private:
  // Steps since the last look.
  struct Window {
    std::uint64_t steps = 0;
    Duration steps_took{0};
    std::uint64_t drives = 0;  // of these, with the work that was due
    Duration drives_took{0};
    Duration longest_wait{0};
  };

  std::function<void(const LogLine&)> log_;
  Window window_;
  Time begun_ = Time::min();
  ProcessTotals before_;  // when the window began
};

}  // namespace burdockrock

#endif  // BURDOCKROCK_RUNTIME_PROCESSOR_LOG_H_
