// The calls that this instance makes to the advice service, for its own steps
// and for those of other members. The service serves one call at a time for
// each entry instance.
#ifndef BURDOCKROCK_ENGINE_ADVICE_ADVICE_QUEUE_H_
#define BURDOCKROCK_ENGINE_ADVICE_ADVICE_QUEUE_H_

#include <string>

#include "engine/context.h"

namespace burdockrock::engine {

// Makes the next call to the service.
void DriveAdviceQueue(Context& context);

void OnPeerAdviceRequest(Context& context,
                         const std::string& from,
                         const PeerAdviceRequest& request);
void OnAdviceAnswered(Context& context, const AdviceAnswered& event);

// How long one more call would wait here: one of any priority, and one of the
// most urgent work.
Duration AdviceWait(const State& state, Time now);
Duration UrgentAdviceWait(const State& state, Time now);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_ADVICE_ADVICE_QUEUE_H_
