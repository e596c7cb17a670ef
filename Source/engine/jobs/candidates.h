// The workers to which tasks of a service may be offered.
#ifndef BURDOCKROCK_ENGINE_JOBS_CANDIDATES_H_
#define BURDOCKROCK_ENGINE_JOBS_CANDIDATES_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "engine/context.h"
#include "engine/jobs/placement_rule.h"

namespace burdockrock::engine {

// The known room of the worker; null if it accepts no tasks now, or its owner
// is unresponsive or not a member.
const RoomView* UsableView(State& state,
                           const std::string& id,
                           ListedWorker& listed);

// The service's workers that accept tasks, with their room.
std::vector<Candidate> CandidatesOf(const Context& context,
                                    const std::string& service);

// Returns whether to go on.
using CandidateVisitor = std::function<bool(const Candidate&)>;

// The order of a visit, which ends where the visitor does not go on.
struct VisitOrder {
  std::uint64_t start = 0;  // selects the first worker
  // So many in a row are spread evenly over all, in the order of their room.
  std::size_t sample = 1;
};

// Visits the service's workers that accept tasks: those with at least so many
// free processors, and some with a little less, or the others.
void VisitWithProcessors(const Context& context,
                         const std::string& service,
                         std::int64_t processors_milli,
                         const VisitOrder& order,
                         const CandidateVisitor& visit);
void VisitWithoutProcessors(const Context& context,
                            const std::string& service,
                            std::int64_t processors_milli,
                            const VisitOrder& order,
                            const CandidateVisitor& visit);

// The worker, if it accepts tasks.
std::optional<Candidate> CandidateAt(const Context& context,
                                     const std::string& worker);

// Processors of the service's workers that accept tasks.
ServiceRoom RoomOfService(const Context& context, const std::string& service);

// Whether more than half of the processors of the service's workers that accept
// tasks would be free beside such tasks.
bool IsHalfFreeBeside(const Context& context,
                      const std::string& service,
                      std::int64_t processors_milli);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_JOBS_CANDIDATES_H_
