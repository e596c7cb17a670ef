#include "engine/workers/upkeep_rule.h"

#include <algorithm>

#include "model/worker_incarnation.h"

namespace burdockrock::engine {

namespace {

// A command without a reply may be executed up to this much later.
constexpr Duration kMaxCommandDelay = std::chrono::milliseconds(13'000);
// A listing requested this much later than the reply to a command reflects the
// command.
constexpr Duration kMinListingAge = std::chrono::milliseconds(500);

void Enter(MachineProgress& machine, MachinePhase phase, Time now) {
  machine.phase = phase;
  machine.since = now;
}

// The start of a process is not known while its worker is not listed.
bool IsAnotherProcess(std::string_view name, std::string_view before) {
  return WorkerIdOf(name) != WorkerIdOf(before) ||
         (BornOf(before) != 0 && IsOtherIncarnation(name, BornOf(before)));
}

// The machine is listed as up: again, or because it has not gone down yet.
void ApplyUp(MachineProgress& machine,
             const Machine& listed,
             Time requested_at) {
  if (machine.phase != MachinePhase::kCommanded) {
    return;
  }
  const bool renewed = !machine.worker.empty() &&
                       IsAnotherProcess(listed.worker, machine.worker);
  const bool settled =
      machine.accepted && requested_at >= machine.since + kMinListingAge;
  if (renewed || settled) {
    Enter(machine, MachinePhase::kDone, requested_at);
  } else if (!machine.accepted &&
             requested_at >= machine.since + kMaxCommandDelay) {
    Enter(machine, MachinePhase::kWaiting, requested_at);
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
                         Time requested_at) {
  for (auto& [name, machine] : progress.machines) {
    const auto listed = list.find(name);
    if (listed == list.end()) {
      // The machine was removed from the service.
      Enter(machine, MachinePhase::kDone, requested_at);
      continue;
    }
    const bool begun = machine.phase == MachinePhase::kCommanded ||
                       machine.phase == MachinePhase::kDone;
    switch (listed->second.state) {
      case MachineState::kUp:
        ApplyUp(machine, listed->second, requested_at);
        break;
      case MachineState::kUpkeep:
        // A previous holder of the duty has commanded it.
        if (!begun) {
          Enter(machine, MachinePhase::kCommanded, requested_at);
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
