// What the stand-in workers read from an attempt's payload.
#ifndef BURDOCKROCK_STANDIN_PAYLOAD_H_
#define BURDOCKROCK_STANDIN_PAYLOAD_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "model/time.h"

namespace burdockrock::standin {

struct Payload {
  std::optional<Duration> sleep;  // absent: see WorkerModel
  bool fail = false;
  std::string answer;  // "ok:" and the payload when none is given
  std::optional<std::int64_t> use_processors_milli;
  std::optional<std::int64_t> use_memory_mb;
  // The worker's process ends this long after the start.
  std::optional<Duration> crash;
  std::string key;  // of work that may be executed only once; may be empty

  auto operator<=>(const Payload&) const = default;
};

// Reads `sleep_ms=N;fail=0|1;answer=TEXT;use_processors_milli=N;
// use_memory_mb=N;crash_ms=N;key=TEXT`. Anything else in the text is passed
// over, so that every text is a payload.
Payload ParsePayload(std::string_view text);

}  // namespace burdockrock::standin

#endif  // BURDOCKROCK_STANDIN_PAYLOAD_H_
