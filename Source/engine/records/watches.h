// Follows the lists in the store: members, workers and the operators'
// configuration and waves. Reads a list in pages and then watches its changes.
#ifndef BURDOCKROCK_ENGINE_RECORDS_WATCHES_H_
#define BURDOCKROCK_ENGINE_RECORDS_WATCHES_H_

#include "engine/context.h"

namespace burdockrock::engine {

// Starts what is due: the next page, the next watch or a retry.
void DriveWatches(Context& context);

// Applies a page or the watched changes, and starts what follows.
void OnWatchAnswer(Context& context,
                   WatchedList list,
                   const StoreAnswer& answer);

// Reads the members beside their watch, so that all that have registered until
// now are known.
void RequestMembers(Context& context);
void OnMembersRead(Context& context, const StoreAnswer& answer);

// Whether all lists were read completely at least once.
bool ListsAreRead(const State& state);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_RECORDS_WATCHES_H_
