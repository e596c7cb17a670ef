// Store records of all machines that ever registered an entry instance. From
// them, a newly started instance learns which machines had processes that it
// has not seen as members.
#ifndef BURDOCKROCK_ENGINE_MEMBERS_NODE_RECORDS_H_
#define BURDOCKROCK_ENGINE_MEMBERS_NODE_RECORDS_H_

#include <string>

#include "engine/context.h"

namespace burdockrock::engine {

// Reads the records once. From time to time one member removes those of
// machines that have had no process for a long time.
void DriveNodes(Context& context);

// Reply of the store with one page of the records. `forget`: read to remove old
// records, else to learn them.
void OnNodePage(Context& context, bool forget, const StoreAnswer& answer);

// Members may have registered and left without this instance having seen them.
// Until the records of the machines show that there was none, or that its
// machine has started another process since, its leases count as renewed.
void NoteUnseenMembers(Context& context);

// Reply of the store with one page of the records, read after
// NoteUnseenMembers.
void OnUnseenMembersPage(Context& context, const StoreAnswer& answer);

// A process on the machine `node` has registered.
void OnNodeSeen(Context& context, const std::string& node);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_MEMBERS_NODE_RECORDS_H_
