// Machines of entry instances that were ever registered: an instance that has
// just started learns of which processes it can know nothing.
#ifndef BURDOCKROCK_ENGINE_MEMBERS_NODE_RECORDS_H_
#define BURDOCKROCK_ENGINE_MEMBERS_NODE_RECORDS_H_

#include <string>

#include "engine/context.h"

namespace burdockrock::engine {

// Reads the records once, and removes those of machines that are gone for long.
void DriveNodes(Context& context);

void OnNodePage(Context& context, bool forget, const StoreAnswer& answer);

// A process has registered from there.
void OnNodeSeen(Context& context, const std::string& node);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_MEMBERS_NODE_RECORDS_H_
