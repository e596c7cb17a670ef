// The state machine of a wave of upkeep. Pure functions of the listings of
// machines and the replies to commands.
#ifndef BURDOCKROCK_ENGINE_WORKERS_UPKEEP_RULE_H_
#define BURDOCKROCK_ENGINE_WORKERS_UPKEEP_RULE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "engine/calls.h"
#include "engine/configuration.h"
#include "model/time.h"

namespace burdockrock::engine {

enum class MachinePhase {
  kWaiting,
  kPreparing,  // its runs are being moved
  kCommanded,  // it is going down or down, or may still go down
  kDone,
};

struct MachineProgress {
  MachinePhase phase = MachinePhase::kWaiting;
  Time since{0};              // start of the phase
  Time prepare_requested{0};  // last request to the worker's owner to empty it
  bool empty = false;         // no runs are left
  bool accepted = false;      // the machine service has accepted the command
  std::string worker{};       // id of its worker when preparation began
};

struct WaveProgress {
  Wave wave{};
  std::map<std::string, MachineProgress> machines{};
  bool running_stored = false;
  bool completed_stored = false;
  Time status_after{
      0};  // no write of the status before, as the last one failed
};

using MachineList = std::map<std::string, Machine>;  // by name

// Starts with all machines of the wave waiting.
WaveProgress BeginWave(Wave wave);

// Updates the wave's machines from a listing that was requested at
// `requested_at`.
void ApplyMachineListing(WaveProgress& progress,
                         const MachineList& list,
                         Time requested_at);

// Machines that may be prepared now. At most the wave's cap of them are being
// prepared, going down or down at once.
std::vector<std::string> NextMachines(const WaveProgress& progress,
                                      const MachineList& list);

// Whether each machine that is still listed has had its upkeep.
bool IsComplete(const WaveProgress& progress);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_WORKERS_UPKEEP_RULE_H_
