// Queries the advice service which workers may run a step, before the step is
// ready. The service serves one call at a time for each entry instance, and
// calls of some queues take long. Calls are therefore spread over all
// instances, and short calls do not wait behind long ones. Steps wait in the
// line of their owner until a member can make their call soon: only then are
// the workers chosen, and a query that is given up or declined keeps its place.
#ifndef BURDOCKROCK_ENGINE_ADVICE_ADVICE_H_
#define BURDOCKROCK_ENGINE_ADVICE_ADVICE_H_

#include <string>

#include "engine/context.h"

namespace burdockrock::engine {

// Does what is due by now: requests advice for steps of this instance's jobs
// and gives up overdue queries.
void DriveAdvice(Context& context);

// Reply of the member that made the call to the service.
void OnAdviceReply(Context& context,
                   const std::string& from,
                   const AdviceReply& reply);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_ADVICE_ADVICE_H_
