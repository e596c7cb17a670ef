// How a wave of upkeep goes on. Pure functions of what the machines' listings
// and the answers to orders have told.
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
  kPreparing,  // what runs there is moved away
  kCommanded,  // it goes down, is down, or may do so
  kDone,
};

struct MachineProgress {
  MachinePhase phase = MachinePhase::kWaiting;
  Time since{0};              // in its phase
  Time prepare_requested{0};  // its worker's owner was last asked to empty it
  bool empty = false;         // nothing runs there any more
  bool accepted = false;      // the order was answered
  std::string worker{};       // its life when it was prepared
};

struct WaveProgress {
  Wave wave{};
  std::map<std::string, MachineProgress> machines{};
  bool running_stored = false;
  bool completed_stored = false;
};

using MachineList = std::map<std::string, Machine>;  // by name

// Each machine of the wave waits.
WaveProgress BeginWave(Wave wave);

// What a listing that was asked for at `asked` says of the wave's machines.
void ApplyMachineListing(WaveProgress& progress,
                         const MachineList& list,
                         Time asked);

// Machines that may be prepared now, so that at most the cap of them are on
// their way down or not back.
std::vector<std::string> NextMachines(const WaveProgress& progress,
                                      const MachineList& list);

// Each machine that stays has had its upkeep.
bool IsComplete(const WaveProgress& progress);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_WORKERS_UPKEEP_RULE_H_
