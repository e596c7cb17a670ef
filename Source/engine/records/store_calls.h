// Calls to the store, and whether it is well.
#ifndef BURDOCKROCK_ENGINE_RECORDS_STORE_CALLS_H_
#define BURDOCKROCK_ENGINE_RECORDS_STORE_CALLS_H_

#include "engine/context.h"

namespace burdockrock::engine {

void SendStoreRequest(Context& context,
                      StoreRequest request,
                      StorePurpose purpose,
                      Duration timeout = kStoreTimeout);

// Takes the call's purpose out of the state and notes how the store is.
// Nothing when the call is not known.
std::optional<StorePurpose> TakeStoreCall(Context& context,
                                          const StoreAnswered& event);

// The store refused or left unanswered a call not long ago.
bool StoreIsUnsteady(const Context& context);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_RECORDS_STORE_CALLS_H_
