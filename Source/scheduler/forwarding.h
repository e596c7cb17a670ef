// Forwards requests to peers with free slots, each request at most once.
#ifndef BURDOCKROCK_SCHEDULER_FORWARDING_H_
#define BURDOCKROCK_SCHEDULER_FORWARDING_H_

#include <string>

#include "scheduler/membership.h"
#include "scheduler/requests.h"

namespace burdockrock {

class Context;

// Whether work may be sent to the peer: it is alive and serving, its digest is
// recent enough to rely on, and it has not refused work since that digest.
// Both checks follow the related paper on staleness gating; see
// docs/design/0005-forwarding.md.
bool IsUsable(const Context& context, const Peer& peer);

// The one with more free slots of two random peers with free slots; empty if no
// peer has any.
std::string ChoosePeerForRequest(Context& context, const std::string& service);

// Forwards the request; false if it was forwarded before or too little time is
// left.
bool ForwardToPeer(Context& context,
                   RequestEntry& entry,
                   const std::string& peer);

}  // namespace burdockrock

#endif  // BURDOCKROCK_SCHEDULER_FORWARDING_H_
