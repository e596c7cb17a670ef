#include "runtime/engine_edges.h"

namespace burdockrock {

EngineEdges JoinEdges(EngineClients& clients, EngineCallers& callers) {
  return {
      .call_store =
          [&clients](const engine::CallStore& it) { clients.CallStore(it); },
      .call_worker =
          [&clients](const engine::CallWorker& it) { clients.CallWorker(it); },
      .call_advice =
          [&clients](const engine::CallAdvice& it) { clients.CallAdvice(it); },
      .call_machines =
          [&clients](const engine::CallMachines& it) {
            clients.CallMachines(it);
          },
      .answer_caller =
          [&callers](const engine::AnswerCaller& it) { callers.Answer(it); },
  };
}

}  // namespace burdockrock
