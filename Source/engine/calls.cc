#include "engine/calls.h"

#include <array>

namespace burdockrock::engine {

const char* WorkerRefusalName(WorkerRefusalKind kind) {
  static constexpr std::array<const char*, 8> kNames = {
      "fenced",     "old_run", "late",      "no_room",
      "bad_ticket", "invalid", "unhealthy", "replaced"};
  return kNames.at(static_cast<std::size_t>(kind));
}

const char* RefusalText(RefusalCause cause) {
  switch (cause) {
    case RefusalCause::kStoreUnavailable:
      return "the store can't be reached";
    case RefusalCause::kStopping:
      return "this entry instance stops";
    case RefusalCause::kNotReady:
      return "no configuration yet";
    case RefusalCause::kOverloaded:
      return "its team's waiting work exceeds what can end in time";
  }
  return "";
}

const char* MachineStateName(MachineState state) {
  switch (state) {
    case MachineState::kUp:
      return "up";
    case MachineState::kMoving:
      return "moving";
    case MachineState::kUpkeep:
      return "upkeep";
    case MachineState::kDown:
      return "down";
  }
  return "";
}

const char* MachineRefusalName(MachineRefusalKind kind) {
  switch (kind) {
    case MachineRefusalKind::kFenced:
      return "fenced";
    case MachineRefusalKind::kBusy:
      return "busy";
    case MachineRefusalKind::kNotOfWave:
      return "not_of_wave";
    case MachineRefusalKind::kInvalid:
      return "invalid";
    case MachineRefusalKind::kTooMany:
      return "too_many";
  }
  return "";
}

}  // namespace burdockrock::engine
