// Calls to the store, and the record of whether they succeed.
#ifndef BURDOCKROCK_ENGINE_RECORDS_STORE_CALLS_H_
#define BURDOCKROCK_ENGINE_RECORDS_STORE_CALLS_H_

#include "engine/context.h"

namespace burdockrock::engine {

// Sends a request. Its answer is dispatched by `purpose`.
void SendStoreRequest(Context& context,
                      StoreRequest request,
                      StorePurpose purpose,
                      Duration timeout = kStoreTimeout);

// Removes the call from the state, records whether the store answered, and
// returns the call's purpose; nullopt for an unknown call.
std::optional<StorePurpose> TakeStoreCall(Context& context,
                                          const StoreAnswered& event);

// Whether the store recently refused a call or left one unanswered.
bool StoreIsUnsteady(const Context& context);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_RECORDS_STORE_CALLS_H_
