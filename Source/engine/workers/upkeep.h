// Carries out waves of upkeep. The one member that holds the duty empties
// machines, takes them down and stores the status of the wave.
#ifndef BURDOCKROCK_ENGINE_WORKERS_UPKEEP_H_
#define BURDOCKROCK_ENGINE_WORKERS_UPKEEP_H_

#include <string>

#include "engine/context.h"

namespace burdockrock::engine {

// Takes in a wave that was read from the store.
void OnWaveItem(Context& context, const StoreItem& item);

// Lists machines, prepares them and sends commands to the machine service, as
// due.
void DriveUpkeep(Context& context);

// Handles a reply of the machine service.
void OnMachinesAnswered(Context& context, const MachinesAnswered& event);
// Handles the store's reply to a write of the wave's status.
void OnWaveStatusStored(Context& context,
                        std::uint64_t wave,
                        bool completed,
                        const StoreAnswer& answer);

// At the worker's owner: has the worker's runs moved, as far as the steps'
// budgets allow, and replies once the worker is empty.
void OnPrepareWorker(Context& context,
                     const std::string& from,
                     const PrepareWorker& message);
void OnWorkerPrepared(Context& context, const WorkerPrepared& message);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_WORKERS_UPKEEP_H_
