// Hands requests to peers with free slots, at most once each.
#ifndef BURDOCKROCK_SCHEDULER_FORWARDING_H_
#define BURDOCKROCK_SCHEDULER_FORWARDING_H_

#include <string>

#include "scheduler/membership.h"
#include "scheduler/requests.h"

namespace burdockrock {

class Context;

// A peer whose digest is fresh enough to go by and which has not refused work
// since. Both checks follow the idea of the related paper on staleness gating;
// docs/design/0005-forwarding.md gives the measurement.
bool IsUsable(const Context& context, const Peer& peer);

// The freer of two random peers with free slots; empty when there is none.
std::string ChoosePeerForRequest(Context& context, const std::string& service);

// False when the request can't be forwarded (again).
bool ForwardToPeer(Context& context,
                   RequestEntry& entry,
                   const std::string& peer);

}  // namespace burdockrock

#endif  // BURDOCKROCK_SCHEDULER_FORWARDING_H_
