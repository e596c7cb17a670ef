// Unresponsive members: those that do not answer offers. Their registration
// outlasts a network cut by seconds, and a task that is offered to them
// meanwhile can't be started elsewhere before it is known whether it runs.
#ifndef BURDOCKROCK_ENGINE_MEMBERS_UNRESPONSIVE_MEMBERS_H_
#define BURDOCKROCK_ENGINE_MEMBERS_UNRESPONSIVE_MEMBERS_H_

#include <string>

#include "engine/context.h"

namespace burdockrock::engine {

// Records that an offer is sent to the member.
void NoteOfferSent(Context& context, const std::string& member);

// Records that a message of any kind arrived from the member.
void NoteMessageReceived(Context& context, const std::string& member);

// Marks members as unresponsive whose answer is overdue. They get no offers
// until their next message.
void DriveUnresponsiveMembers(Context& context);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_MEMBERS_UNRESPONSIVE_MEMBERS_H_
