// Workers whose process has ended and that answer under the same id as another
// one, without any memory.
#ifndef BURDOCKROCK_ENGINE_WORKERS_WORKER_RESTARTS_H_
#define BURDOCKROCK_ENGINE_WORKERS_WORKER_RESTARTS_H_

#include <cstdint>
#include <optional>
#include <string>

#include "engine/context.h"

namespace burdockrock::engine {

// Called when a process that started at `born` (Unix ms) answers in place of
// the owned incarnation `name`. What the worker had listed has ended. A start
// that it had not listed yet, or that may still take effect, can have reached
// the new process: if there may be any, the incarnation is declared lost only
// when it is known what became of it.
void OnWorkerRestarted(Context& context,
                       const std::string& name,
                       std::int64_t born);

// Declares incarnations lost whose runs in doubt are known, and stops those
// that are found at the next incarnation.
void DriveRestarts(Context& context);

// Called when the store lists an incarnation that started at `born`, later than
// `name` did.
void OnLaterIncarnationListed(Context& context,
                              const std::string& name,
                              std::int64_t born);

// Called when the worker has refused the fence of a claim that it had accepted:
// another member owns it, or it answers as a later incarnation.
void OnFenced(Context& context, const std::string& name);

// A later incarnation of the worker that a member has claimed.
std::optional<std::string> ClaimedSuccessor(const State& state,
                                            const std::string& name);

// Whether an earlier incarnation of the worker is known.
bool FollowsAnother(const State& state, const std::string& name);

// Whether another process answers under the worker's id. The worker accepts
// nothing and gets no commands.
bool HasRestarted(const OwnedWorker& worker);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_WORKERS_WORKER_RESTARTS_H_
