// Carries out waves of upkeep: one member at a time empties machines, sends
// them down and tells how far the wave is.
#ifndef BURDOCKROCK_ENGINE_WORKERS_UPKEEP_H_
#define BURDOCKROCK_ENGINE_WORKERS_UPKEEP_H_

#include <string>

#include "engine/context.h"

namespace burdockrock::engine {

void OnWaveItem(Context& context, const StoreItem& item);

void DriveUpkeep(Context& context);

void OnMachinesAnswered(Context& context, const MachinesAnswered& event);
void OnWaveStatusStored(Context& context,
                        std::uint64_t wave,
                        bool completed,
                        const StoreAnswer& answer);

// The worker's owner moves away what runs there, as far as the steps' budgets
// allow, and says when it is empty.
void OnPrepareWorker(Context& context,
                     const std::string& from,
                     const PrepareWorker& message);
void OnWorkerPrepared(Context& context, const WorkerPrepared& message);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_WORKERS_UPKEEP_H_
