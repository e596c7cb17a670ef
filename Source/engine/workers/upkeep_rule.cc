#include "engine/workers/upkeep_rule.h"

#include <algorithm>

namespace burdockrock::engine {

namespace {

// An order without an answer may be carried out this much later.
constexpr Duration kMaxCommandDelay = std::chrono::milliseconds(13'000);
// A listing this much younger than an order's answer shows what came of it.
constexpr Duration kMinListingAge = std::chrono::milliseconds(500);

void Enter(MachineProgress& machine, MachinePhase phase, Time now) {
  machine.phase = phase;
  machine.since = now;
}

// It is up again, or still.
void ApplyUp(MachineProgress& machine, const Machine& listed, Time asked) {
  if (machine.phase != MachinePhase::kCommanded) {
    return;
  }
  const bool renewed =
      !machine.worker.empty() && listed.worker != machine.worker;
  const bool settled =
      machine.accepted && asked >= machine.since + kMinListingAge;
  if (renewed || settled) {
    Enter(machine, MachinePhase::kDone, asked);
  } else if (!machine.accepted && asked >= machine.since + kMaxCommandDelay) {
    Enter(machine, MachinePhase::kWaiting, asked);
  }
}

}  // namespace

WaveProgress BeginWave(Wave wave) {
  WaveProgress progress{.wave = std::move(wave)};
  for (const std::string& it : progress.wave.machines) {
    progress.machines[it] = MachineProgress();
  }
  return progress;
}

void ApplyMachineListing(WaveProgress& progress,
                         const MachineList& list,
                         Time asked) {
  for (auto& [name, machine] : progress.machines) {
    const auto listed = list.find(name);
    if (listed == list.end()) {
      Enter(machine, MachinePhase::kDone, asked);  // it has left for good
      continue;
    }
    const bool begun = machine.phase == MachinePhase::kCommanded ||
                       machine.phase == MachinePhase::kDone;
    switch (listed->second.state) {
      case MachineState::kUp:
        ApplyUp(machine, listed->second, asked);
        break;
      case MachineState::kUpkeep:
        // Whoever ordered it before this instance.
        if (!begun) {
          Enter(machine, MachinePhase::kCommanded, asked);
        }
        machine.accepted = true;
        break;
      case MachineState::kMoving:
      case MachineState::kDown:
        break;
    }
  }
}

std::vector<std::string> NextMachines(const WaveProgress& progress,
                                      const MachineList& list) {
  std::size_t busy = 0;
  for (const auto& [name, machine] : progress.machines) {
    busy += machine.phase == MachinePhase::kPreparing ||
                    machine.phase == MachinePhase::kCommanded
                ? 1
                : 0;
  }
  std::vector<std::string> next;
  for (const auto& [name, machine] : progress.machines) {
    const auto listed = list.find(name);
    const bool up =
        listed != list.end() && listed->second.state == MachineState::kUp;
    if (machine.phase == MachinePhase::kWaiting && up &&
        busy + next.size() < progress.wave.cap) {
      next.push_back(name);
    }
  }
  return next;
}

bool IsComplete(const WaveProgress& progress) {
  return std::all_of(
      progress.machines.begin(), progress.machines.end(),
      [](const auto& it) { return it.second.phase == MachinePhase::kDone; });
}

}  // namespace burdockrock::engine
