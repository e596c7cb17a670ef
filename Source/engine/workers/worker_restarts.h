// Workers whose process has ended and that answer under the same id as another
// one, without any memory.
#ifndef BURDOCKROCK_ENGINE_WORKERS_WORKER_RESTARTS_H_
#define BURDOCKROCK_ENGINE_WORKERS_WORKER_RESTARTS_H_

#include <cstdint>
#include <string>

#include "engine/context.h"

namespace burdockrock::engine {

// Called when a process that started at `born` (Unix ms) answers in place of
// the owned incarnation `name`. What the worker had listed has ended. A start
// that it had not listed yet, or that may still take effect, can have reached
// the new process: if there is any, the incarnation is declared lost only when
// it is known what became of it.
void OnWorkerRestarted(Context& context,
                       const std::string& name,
                       std::int64_t born);

// Declares incarnations lost whose runs in doubt are known, and stops those
// that are found at the next incarnation.
void DriveRestarts(Context& context);

// Whether the store lists another incarnation of the worker that a member has
// claimed later than this one: with a higher fence.
bool HasClaimedSuccessor(const State& state, const std::string& name);

// Whether another process answers under the worker's id. The worker accepts
// nothing and gets no commands.
bool HasRestarted(const OwnedWorker& worker);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_WORKERS_WORKER_RESTARTS_H_
