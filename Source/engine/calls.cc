#include "engine/calls.h"

#include <array>

namespace burdockrock::engine {

const char* WorkerRefusalName(WorkerRefusalKind kind) {
  static constexpr std::array<const char*, 8> kNames = {
      "fenced",     "old_run", "late",      "no_room",
      "bad_ticket", "invalid", "unhealthy", "replaced"};
  return kNames.at(static_cast<std::size_t>(kind));
}

}  // namespace burdockrock::engine
