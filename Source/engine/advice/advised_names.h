// Which workers a call for advice on a step names.
#ifndef BURDOCKROCK_ENGINE_ADVICE_ADVISED_NAMES_H_
#define BURDOCKROCK_ENGINE_ADVICE_ADVISED_NAMES_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "engine/context.h"
#include "engine/jobs/candidates.h"
#include "engine/jobs/placing.h"

namespace burdockrock::engine {

// Collected once for all steps that are asked for in one look.
using CandidatesByService = std::map<std::string, std::vector<Candidate>>;

// Tasks of the step that need a worker.
std::size_t CountWaiting(const StepRun& step);

// The ticket can still be used for a start.
bool IsValid(const Context& context, const StepTicket& ticket);

// How many tasks of the step have room at workers with a ticket.
std::int64_t CountTicketed(const Context& context, const ReadyStep& ready);

// The best first; empty when a call is not worth its turn.
std::vector<std::string> ChooseWorkersForAdvice(
    Context& context,
    const ReadyStep& ready,
    CandidatesByService& candidates);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_ADVICE_ADVISED_NAMES_H_
