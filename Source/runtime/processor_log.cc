#include "runtime/processor_log.h"

#include <algorithm>
#include <chrono>
#include <string>

namespace burdockrock {

namespace {

constexpr Duration kInterval = std::chrono::seconds(5);
// Half of the shortest time for which a message between instances is of use.
constexpr Duration kLongWait = std::chrono::milliseconds(250);

std::string Milliseconds(Duration span) {
  return std::to_string(ToMilliseconds(span));
}

}  // namespace

void ProcessorLog::NoteStep(Duration took, bool drove) {
  ++window_.steps;
  window_.steps_took += took;
  if (drove) {
    ++window_.drives;
    window_.drives_took += took;
  }
}

void ProcessorLog::NoteWait(Duration wait) {
  window_.longest_wait = std::max(window_.longest_wait, wait);
}

void ProcessorLog::WriteLine(Time now, const ProcessTotals& totals) {
  if (begun_ != Time::min() && now < begun_ + kInterval) {
    return;
  }
  if (begun_ != Time::min() && window_.longest_wait >= kLongWait) {
    log_({.number = EventNumber::kProcessorShort,
          .fields = {
              {"span_ms", Milliseconds(now - begun_)},
              {"longest_wait_ms", Milliseconds(window_.longest_wait)},
              {"processor_ms",
               Milliseconds(totals.processor - before_.processor)},
              {"steps", std::to_string(window_.steps)},
              {"steps_ms", Milliseconds(window_.steps_took)},
              {"drives", std::to_string(window_.drives)},
              {"drives_ms", Milliseconds(window_.drives_took)},
              {"peers_received",
               std::to_string(totals.peers_received - before_.peers_received)},
              {"peers_sent",
               std::to_string(totals.peers_sent - before_.peers_sent)},
              {"peers_resent",
               std::to_string(totals.peers_resent - before_.peers_resent)},
              {"peers_given_up", std::to_string(totals.peers_given_up -
                                                before_.peers_given_up)}}});
  }
  window_ = {};
  begun_ = now;
  before_ = totals;
}

}  // namespace burdockrock
