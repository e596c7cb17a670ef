// Sends digests to failure domains with many members through a member there,
// which passes them on. The messages of an instance then grow with its own
// failure domain and the number of others, not with the whole cell. All members
// send through the same few relays of a failure domain, so that these pass on
// the digests of many members at once.
#ifndef BURDOCKROCK_ENGINE_MEMBERS_DIGEST_RELAY_H_
#define BURDOCKROCK_ENGINE_MEMBERS_DIGEST_RELAY_H_

#include <chrono>
#include <string>
#include <vector>

#include "engine/context.h"

namespace burdockrock::engine {

// Longest wait of a digest at a relay. Those of many members go together, and
// what teams send is still counted within the window of their entitlement.
inline constexpr Duration kRelayDelay = std::chrono::milliseconds(150);

// The members to which an instance sends a digest.
struct DigestReceivers {
  std::vector<std::string> direct{};
  std::vector<std::string> relays{};  // these pass it on

  bool operator==(const DigestReceivers&) const = default;
};

// The receivers of this instance's next digest.
DigestReceivers ReceiversOf(const Context& context);

// Keeps a digest that came from its sender if it is to be passed on.
void KeepForOthers(Context& context,
                   const std::string& from,
                   const RoomDigest& digest);

// Passes on all that waits when it is due, or when this instance sends a digest
// of its own: the messages to one member share a request.
void PassOnDigests(Context& context, bool sent_own);

void OnRelayedDigests(Context& context, const RelayedDigests& relayed);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_MEMBERS_DIGEST_RELAY_H_
