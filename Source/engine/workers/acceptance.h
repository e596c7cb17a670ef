// Whether an owned worker accepts new tasks, and why not.
#ifndef BURDOCKROCK_ENGINE_WORKERS_ACCEPTANCE_H_
#define BURDOCKROCK_ENGINE_WORKERS_ACCEPTANCE_H_

#include <array>
#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "engine/context.h"
#include "model/time.h"

namespace burdockrock::engine {

// Why a worker accepts no new tasks. Of several causes, the first one here is
// given.
enum class CloseCause {
  kRestarted,     // another process answers under its id
  kUnlisted,      // it has left the store's list
  kDraining,      // it has announced its end
  kUnclaimed,     // it has not answered the claim, or has no lease yet
  kUnresponsive,  // it does not answer polls
  kUndescribed,   // what some of its runs need is not known yet
  kUnhealthy,     // it refused a start for its health; for a time
  kQuarantined,   // tasks of several jobs failed there; for a time
  kStalled,       // a run made no progress; for a time
  kLeaving,       // its machine is about to be taken down; for a time
  kIsolated,      // it is kept for one run
};

inline constexpr auto kAllCloseCauses = std::to_array<CloseCause>(
    {CloseCause::kRestarted, CloseCause::kUnlisted, CloseCause::kDraining,
     CloseCause::kUnclaimed, CloseCause::kUnresponsive,
     CloseCause::kUndescribed, CloseCause::kUnhealthy, CloseCause::kQuarantined,
     CloseCause::kStalled, CloseCause::kLeaving, CloseCause::kIsolated});

// The name in the log and in metrics.
const char* CloseCauseName(CloseCause cause);

// Nothing when new tasks may start at the worker. Several causes end by time
// alone, so the result can change without an event.
std::optional<CloseCause> CloseCauseOf(const State& state,
                                       const OwnedWorker& worker,
                                       Time now);

// Whether new tasks may start at the worker.
bool Accepts(const Context& context, const OwnedWorker& worker);

// Whether the worker is kept for one run that has to be there alone.
bool HasIsolatedRun(const OwnedWorker& worker);

// Logs that a claimed worker has closed, or has opened again, since the last
// call.
void LogAcceptance(Context& context,
                   const std::string& id,
                   OwnedWorker& worker);

// The number of owned workers that accept no tasks, by cause.
std::map<CloseCause, std::size_t> CountClosed(const State& state, Time now);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_WORKERS_ACCEPTANCE_H_
