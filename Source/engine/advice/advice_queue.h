// Queue of the calls that this instance makes to the advice service, for its
// own steps and for those of other members. The service serves one call at a
// time for each entry instance.
#ifndef BURDOCKROCK_ENGINE_ADVICE_ADVICE_QUEUE_H_
#define BURDOCKROCK_ENGINE_ADVICE_ADVICE_QUEUE_H_

#include <cstdint>
#include <string>
#include <tuple>

#include "engine/context.h"
#include "engine/jobs/objective_rule.h"

namespace burdockrock::engine {

// Place of a call in the line; lower ranks come first. Calls for deferred work
// come last. The most urgent calls come first, the others roughly in the order
// in which their steps began to wait: with strict priorities, the steps of the
// last queue would get no tickets. `precedes`: as in PeerAdviceRequest.
using AdviceRank = std::tuple<bool, bool, Standing, Time>;
AdviceRank RankOfCall(std::uint32_t priority,
                      Standing standing,
                      bool precedes,
                      Time since);

// Starts the next call when none is in flight.
void DriveAdviceQueue(Context& context);

// Queues the call. Declines those that would wait too long, which are the last
// ones in the line.
void OnPeerAdviceRequest(Context& context,
                         const std::string& from,
                         const PeerAdviceRequest& request);
// The service answered the call in flight, or the call failed.
void OnAdviceAnswered(Context& context, const AdviceAnswered& event);

// Expected wait of one more call here, behind all queued calls, and for the
// most urgent work.
Duration AdviceWait(const State& state, Time now);
Duration UrgentAdviceWait(const State& state, Time now);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_ADVICE_ADVICE_QUEUE_H_
