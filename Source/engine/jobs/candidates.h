// The workers that tasks of a service may be offered to.
#ifndef BURDOCKROCK_ENGINE_JOBS_CANDIDATES_H_
#define BURDOCKROCK_ENGINE_JOBS_CANDIDATES_H_

#include <string>
#include <vector>

#include "engine/context.h"
#include "engine/jobs/placement_rule.h"

namespace burdockrock::engine {

// The room of a worker that takes tasks; null: it takes none.
const RoomView* UsableView(State& state,
                           const std::string& id,
                           ListedWorker& listed);

// The service's workers that take tasks, with their room.
std::vector<Candidate> CandidatesOf(const Context& context,
                                    const std::string& service);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_JOBS_CANDIDATES_H_
