#include "engine/members/peer_message.h"

#include <array>

namespace burdockrock::engine {

const char* OfferOutcomeName(OfferOutcome outcome) {
  static constexpr std::array<const char*, 10> kNames = {
      "started",    "booked",  "no_room",   "not_owner", "not_serving",
      "bad_ticket", "old_run", "old_owner", "invalid",   "stopped"};
  return kNames.at(static_cast<std::size_t>(outcome));
}

const char* RunStateName(RunState state) {
  static constexpr std::array<const char*, 6> kNames = {
      "running", "pending", "absent", "still", "unwanted", "unreached"};
  return kNames.at(static_cast<std::size_t>(state));
}

const char* JobQueryKindName(JobQueryKind kind) {
  return kind == JobQueryKind::kState ? "state" : "cancel";
}

}  // namespace burdockrock::engine
