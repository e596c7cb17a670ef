// Sends digests to failure domains with many members through one member there,
// which passes them on. The messages of an instance then grow with its own
// failure domain and the number of others, not with the whole cell.
#ifndef BURDOCKROCK_ENGINE_MEMBERS_DIGEST_RELAY_H_
#define BURDOCKROCK_ENGINE_MEMBERS_DIGEST_RELAY_H_

#include <string>
#include <vector>

#include "engine/context.h"

namespace burdockrock::engine {

// The members to which an instance sends a digest.
struct DigestReceivers {
  std::vector<std::string> direct{};
  std::vector<std::string> relays{};  // these pass it on

  bool operator==(const DigestReceivers&) const = default;
};

// The receivers of this instance's next digest.
DigestReceivers ReceiversOf(const Context& context);

// Keeps a digest to pass it on. Must be called before its rooms are taken over.
void KeepForOthers(Context& context,
                   const std::string& from,
                   const RoomDigest& digest);

// Passes on what is due by now, and all that waits when this instance sends a
// digest of its own: the messages to one member share a request.
void PassOnDigests(Context& context, bool sent_own);

void OnRelayedDigests(Context& context, const RelayedDigests& relayed);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_MEMBERS_DIGEST_RELAY_H_
