// Joins the engine's clients and callers to the hooks of its shell.
#ifndef BURDOCKROCK_RUNTIME_ENGINE_EDGES_H_
#define BURDOCKROCK_RUNTIME_ENGINE_EDGES_H_

#include "runtime/engine_callers.h"
#include "runtime/engine_clients.h"
#include "runtime/engine_shell.h"

namespace burdockrock {

// Both must outlive the hooks.
EngineEdges JoinEdges(EngineClients& clients, EngineCallers& callers);

}  // namespace burdockrock

#endif  // BURDOCKROCK_RUNTIME_ENGINE_EDGES_H_
