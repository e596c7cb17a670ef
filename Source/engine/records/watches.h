// Follows the lists that live in the store: members, workers, configuration.
#ifndef BURDOCKROCK_ENGINE_RECORDS_WATCHES_H_
#define BURDOCKROCK_ENGINE_RECORDS_WATCHES_H_

#include "engine/context.h"

namespace burdockrock::engine {

// Starts what is due: the next page, the next watch, a retry.
void DriveWatches(Context& context);

void OnWatchAnswer(Context& context,
                   WatchedList list,
                   const StoreAnswer& answer);

// All lists were read whole at least once.
// Reads the members now, so that all that registered until now are known.
void RequestMembers(Context& context);
void OnMembersRead(Context& context, const StoreAnswer& answer);

bool ListsAreRead(const State& state);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_RECORDS_WATCHES_H_
