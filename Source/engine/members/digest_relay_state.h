// What an instance remembers of digests that pass through relays.
#ifndef BURDOCKROCK_ENGINE_MEMBERS_DIGEST_RELAY_STATE_H_
#define BURDOCKROCK_ENGINE_MEMBERS_DIGEST_RELAY_STATE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "engine/members/peer_message.h"
#include "model/time.h"

namespace burdockrock::engine {

// Later digests of a sender have come, an earlier one has not. It may be on its
// way through another relay.
struct DigestGap {
  std::uint64_t up_to = 0;             // the latest sequence that was seen
  std::set<std::uint64_t> received{};  // digests after the missing one
  // By queue, the last of these that told of waiting jobs.
  std::map<std::string, std::uint64_t> queues{};
  Time request_at = kForever;  // then a whole digest is requested
  bool pass_on = false;        // the whole one is passed on

  bool operator==(const DigestGap&) const = default;
};

struct DigestRelayState {
  // Digests of members of other failure domains that this instance passes on
  // within its own.
  std::vector<RelayedDigest> waiting{};
  Time waiting_since{0};   // arrival of the first of these
  std::uint64_t sent = 0;  // own digests, which go to relays in turn
  // By the sender's incarnation.
  std::map<std::string, DigestGap> gaps{};
  // Members whose next whole digest is passed on.
  std::set<std::string> repairs{};
};

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_MEMBERS_DIGEST_RELAY_STATE_H_
