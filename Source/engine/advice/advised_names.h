// Chooses the workers that a call to the advice service names for a step.
#ifndef BURDOCKROCK_ENGINE_ADVICE_ADVISED_NAMES_H_
#define BURDOCKROCK_ENGINE_ADVICE_ADVISED_NAMES_H_

#include <cstddef>
#include <cstdint>
#include <limits>
#include <set>
#include <string>
#include <vector>

#include "engine/context.h"
#include "engine/jobs/candidates.h"
#include "engine/jobs/placing.h"

namespace burdockrock::engine {

// Number of tasks of the step that need a worker.
std::size_t CountWaiting(const StepRun& step);

// Whether the ticket is valid long enough to start a task with it.
bool IsValid(const Context& context, const StepTicket& ticket);

// How many tasks of the step fit at workers with a valid ticket. Of a gang: at
// workers that are known to be allowed, whose tickets are requested once its
// room is booked. Counts no further than `enough`.
std::int64_t CountTicketed(
    const Context& context,
    const ReadyStep& ready,
    std::int64_t enough = std::numeric_limits<std::int64_t>::max());

// The same of those of `workers` that have a valid ticket.
std::int64_t CountStartsAt(const Context& context,
                           const ReadyStep& ready,
                           const std::vector<std::string>& workers);

// Workers whose tickets expire soon or have expired, and at which tasks of the
// step wait for other runs there to end or room is booked for a gang.
std::set<std::string> WorkersToRenew(const Context& context,
                                     const ReadyStep& ready);

// Service time of a call that names so many workers.
Duration ExpectedTime(const AdvicePolicy& policy, std::size_t workers);

// The workers that a call names.
struct AdvisedNames {
  std::vector<std::string> workers{};  // ids, the best first
  double starts = 0;                   // expected at those without a ticket
};

// No workers when the call is not worth its service time.
AdvisedNames ChooseWorkersForAdvice(Context& context, const ReadyStep& ready);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_ADVICE_ADVISED_NAMES_H_
