#include "engine/workers/upkeep.h"

#include <algorithm>
#include <map>
#include <utility>

#include "engine/jobs/job_runs.h"
#include "engine/jobs/unseen_workers.h"
#include "engine/members/membership.h"
#include "engine/records/store_calls.h"
#include "engine/workers/lost_workers.h"
#include "engine/workers/pools.h"
#include "engine/workers/run_ends.h"
#include "engine/workers/run_progress.h"
#include "engine/workers/upkeep_rule.h"
#include "engine/workers/worker_list.h"
#include "engine/workers/worker_owner.h"
#include "model/worker_incarnation.h"

namespace burdockrock::engine {

namespace {

constexpr const char* kDuty = "upkeep";
// Listings are charged for, and a machine is down for at least two seconds.
constexpr Duration kListInterval = milliseconds(1000);
constexpr Duration kMachineTimeout = milliseconds(1000);
constexpr Duration kCallRetry = milliseconds(200);
// Between two requests to a worker's owner to empty the worker.
constexpr Duration kPrepareRepeat = milliseconds(500);
// A machine that is not empty after this time is put back, so that others can
// go first. Longer than most runs.
constexpr Duration kPrepareTime = milliseconds(20'000);
// A worker accepts no tasks for this long after the last request to empty it.
constexpr Duration kLeavingTime = milliseconds(1500);

// At most one member may command machines. It must be registered, and must have
// been chosen for longer than another member may act on an old list of members.
bool HoldsDuty(Context& context) {
  UpkeepState& upkeep = context.state.upkeep;
  const bool chosen = IsRegistrationCurrent(context) &&
                      !context.state.stop.requested &&
                      ChooseMember(context.state, kDuty, {}) == context.self();
  if (!chosen) {
    upkeep.duty_since = kForever;
    return false;
  }
  upkeep.duty_since = std::min(upkeep.duty_since, context.now);
  return HasPassed(context.now, upkeep.duty_since,
                   context.state.options.bounds.duty_lease);
}

void Call(Context& context, MachineRequest request) {
  UpkeepState& upkeep = context.state.upkeep;
  upkeep.in_flight = true;
  upkeep.called_at = context.now;
  context.Emit(CallMachines{.holder = context.state.options.self.node,
                            .request = std::move(request),
                            .timeout = kMachineTimeout});
}

void StoreWaveStatus(Context& context, std::uint64_t number, bool completed) {
  const StoreDocuments& documents = context.state.options.documents;
  UpkeepState& upkeep = context.state.upkeep;
  upkeep.writing_status = true;
  SendStoreRequest(
      context,
      StoreTransaction{
          .conditions = {{.key = MemberKey(context.self()),
                          .revision = context.state.members.fence}},
          .puts = {{.key =
                        documents.wave_status_prefix + std::to_string(number),
                    .value = documents.encode_wave_status(number, completed)}}},
      ForWaveStatus{.wave = number, .completed = completed});
}

void DriveStatus(Context& context, WaveProgress& progress) {
  if (context.state.upkeep.writing_status ||
      context.now < progress.status_after) {
    return;
  }
  if (!progress.running_stored) {
    StoreWaveStatus(context, progress.wave.number, false);
  } else if (!progress.completed_stored && IsComplete(progress)) {
    StoreWaveStatus(context, progress.wave.number, true);
  }
}

void Prepare(Context& context,
             const std::string& name,
             MachineProgress& machine) {
  if (!HasPassed(context.now, machine.prepare_requested, kPrepareRepeat)) {
    return;
  }
  machine.prepare_requested = context.now;
  machine.worker =
      ListedIncarnation(context.state, std::string(WorkerIdOf(machine.worker)));
  const std::string owner = OwnerOfWorker(context, machine.worker);
  if (owner.empty()) {
    context.Log(EventNumber::kUpkeepWaits,
                {{"machine", name}, {"cause", "its worker has no owner"}});
    return;
  }
  Send(context, owner, PrepareWorker{.worker = machine.worker});
}

// Returns true when a command was sent.
bool DriveMachine(Context& context,
                  const WaveProgress& progress,
                  const std::string& name,
                  MachineProgress& machine) {
  if (machine.phase != MachinePhase::kPreparing) {
    return false;
  }
  if (HasPassed(context.now, machine.since, kPrepareTime)) {
    context.Log(EventNumber::kUpkeepWaits,
                {{"machine", name}, {"cause", "not emptied in time"}});
    machine.phase = MachinePhase::kWaiting;
    machine.since = context.now;
    return false;
  }
  const std::string present =
      ListedIncarnation(context.state, std::string(WorkerIdOf(machine.worker)));
  if (!machine.empty || present != machine.worker) {
    machine.empty = false;
    Prepare(context, name, machine);
    return false;
  }
  machine.phase = MachinePhase::kCommanded;
  machine.since = context.now;
  machine.accepted = false;
  context.Log(EventNumber::kUpkeepOrdered,
              {{"machine", name},
               {"wave", std::to_string(progress.wave.number)},
               {"fence", std::to_string(context.state.members.fence)}});
  Call(context, BeginUpkeep{.machine = name,
                            .wave = progress.wave.number,
                            .fence = context.state.members.fence});
  return true;
}

void DriveWave(Context& context, WaveProgress& progress) {
  const MachineList& list = context.state.upkeep.machines;
  for (const std::string& it : NextMachines(progress, list)) {
    progress.machines[it] = {.phase = MachinePhase::kPreparing,
                             .since = context.now,
                             .prepare_requested = Time::min(),
                             .worker = list.at(it).worker};
  }
  for (auto& [name, machine] : progress.machines) {
    if (!context.state.upkeep.in_flight &&
        DriveMachine(context, progress, name, machine)) {
      return;
    }
  }
}

void AddPage(Context& context, const MachinePage& page) {
  UpkeepState& upkeep = context.state.upkeep;
  for (const Machine& it : page.machines) {
    upkeep.reading[it.name] = it;
  }
  if (!page.unreadable.empty()) {
    upkeep.reading_lacks_rows = true;
    context.Log(EventNumber::kPlatformMalformed,
                {{"key", "machines"},
                 {"rows", std::to_string(page.unreadable.size())},
                 {"problem", page.unreadable.front()}});
  }
  if (!page.next.empty()) {
    return Call(context, ListMachines{.page = page.next});
  }
  upkeep.machines = std::exchange(upkeep.reading, {});
  for (auto& [name, machine] : upkeep.machines) {
    machine.worker = ListedIncarnation(context.state, machine.worker);
  }
  upkeep.listed = true;
  // A machine that is missing from a list with unreadable rows may be in one of
  // them, up and with its worker.
  if (!upkeep.reading_lacks_rows) {
    for (auto& [number, wave] : upkeep.waves) {
      ApplyMachineListing(wave, upkeep.machines, upkeep.list_requested_at);
    }
    DeclareLostWorkers(context, upkeep.machines, upkeep.list_requested_at);
  }
  CompareMachines(context, upkeep.machines, upkeep.list_requested_at);
}

void RequestListing(Context& context) {
  UpkeepState& upkeep = context.state.upkeep;
  upkeep.list_requested_at = context.now;
  upkeep.reading.clear();
  upkeep.reading_lacks_rows = false;
  Call(context, ListMachines{});
}

MachineProgress* FindMachine(Context& context, const BeginUpkeep& command) {
  const auto wave = context.state.upkeep.waves.find(command.wave);
  if (wave == context.state.upkeep.waves.end()) {
    return nullptr;
  }
  const auto it = wave->second.machines.find(command.machine);
  return it == wave->second.machines.end() ? nullptr : &it->second;
}

void OnUpkeepAnswer(Context& context,
                    const BeginUpkeep& command,
                    const MachineAnswer& answer) {
  MachineProgress* machine = FindMachine(context, command);
  if (machine == nullptr) {
    return;
  }
  if (std::holds_alternative<MachineTaken>(answer)) {
    machine->accepted = true;
    machine->since = context.now;
    return;
  }
  const auto* refused = std::get_if<MachineRefused>(&answer);
  if (refused == nullptr) {
    return;  // it may still be executed; the listings will show it
  }
  context.Log(EventNumber::kUpkeepWaits,
              {{"machine", command.machine},
               {"cause", MachineRefusalName(refused->kind)}});
  machine->phase = MachinePhase::kWaiting;
  machine->since = context.now;
  if (refused->kind == MachineRefusalKind::kFenced) {
    RequestFenceAdvance(context);
  }
}

}  // namespace

void OnWaveItem(Context& context, const StoreItem& item) {
  const StoreDocuments& documents = context.state.options.documents;
  if (!documents.decode_wave) {
    return;
  }
  auto decoded = documents.decode_wave(item.value);
  if (const auto* fault = std::get_if<DocumentFault>(&decoded)) {
    context.Log(EventNumber::kPlatformMalformed,
                {{"key", item.key}, {"problem", fault->problem}});
    return;
  }
  auto& wave = std::get<Wave>(decoded);
  const std::uint64_t number = wave.number;
  if (context.state.upkeep.waves.contains(number)) {
    return;
  }
  context.Log(EventNumber::kWaveSeen,
              {{"wave", std::to_string(number)},
               {"machines", std::to_string(wave.machines.size())},
               {"cap", std::to_string(wave.cap)}});
  context.state.upkeep.waves.emplace(number, BeginWave(std::move(wave)));
}

void DriveUpkeep(Context& context) {
  UpkeepState& upkeep = context.state.upkeep;
  const bool open =
      std::any_of(upkeep.waves.begin(), upkeep.waves.end(),
                  [](const auto& it) { return !it.second.completed_stored; });
  const bool standby = HasStandby(context.state);
  if (standby) {
    UpdatePressure(context);
  }
  const bool on_duty = (open || standby) && HoldsDuty(context);
  const bool may_list = !upkeep.in_flight && context.now >= upkeep.retry_at;
  const bool list_due =
      on_duty &&
      HasPassed(context.now, upkeep.list_requested_at, kListInterval);
  if (may_list && (list_due || NeedsMachineListing(context) ||
                   NeedsMachinesForUnseen(context))) {
    RequestListing(context);
  }
  upkeep.listed = upkeep.listed && on_duty;
  if (!upkeep.listed) {
    return;
  }
  for (auto& [number, wave] : upkeep.waves) {
    if (!wave.completed_stored) {
      DriveWave(context, wave);
      DriveStatus(context, wave);
    }
  }
  if (standby && !upkeep.in_flight) {
    if (const auto move = NextMove(context)) {
      Call(context, *move);
    }
  }
}

void OnMachinesAnswered(Context& context, const MachinesAnswered& event) {
  UpkeepState& upkeep = context.state.upkeep;
  upkeep.in_flight = false;
  if (const auto* command = std::get_if<BeginUpkeep>(&event.request)) {
    OnUpkeepAnswer(context, *command, event.answer);
  } else if (const auto* move = std::get_if<MoveMachine>(&event.request)) {
    OnMoveAnswer(context, *move, event.answer);
  } else if (const auto* page = std::get_if<MachinePage>(&event.answer)) {
    AddPage(context, *page);
  }
  const bool listing = std::holds_alternative<ListMachines>(event.request);
  if (listing && std::holds_alternative<MachineRefused>(event.answer)) {
    upkeep.retry_at = context.now + kListInterval;  // rate limit exceeded
    OnMachinesUnread(context, true);
  }
  const auto* none = std::get_if<MachineUnanswered>(&event.answer);
  if (none != nullptr) {
    upkeep.retry_at = context.now + kCallRetry;
    context.Log(EventNumber::kMachinesUnanswered, {{"problem", none->detail}});
    OnMachinesUnread(context, true);
  }
}

void OnWaveStatusStored(Context& context,
                        std::uint64_t wave,
                        bool completed,
                        const StoreAnswer& answer) {
  context.state.upkeep.writing_status = false;
  const auto it = context.state.upkeep.waves.find(wave);
  if (it == context.state.upkeep.waves.end()) {
    return;
  }
  if (!std::holds_alternative<StoreDone>(answer)) {
    // DriveUpkeep writes it again, and those of other waves meanwhile.
    it->second.status_after =
        context.now + (std::holds_alternative<StoreRejected>(answer)
                           ? kRejectedWritePause
                           : kStoreRetryDelay);
    return;
  }
  it->second.running_stored = true;
  it->second.completed_stored = completed;
  context.Log(EventNumber::kWaveTold,
              {{"wave", std::to_string(wave)},
               {"state", completed ? "completed" : "running"}});
}

void OnPrepareWorker(Context& context,
                     const std::string& from,
                     const PrepareWorker& message) {
  OwnedWorker* worker = FindClaimed(context.state, message.worker);
  if (worker == nullptr) {
    return;
  }
  worker->leaving_until = context.now + kLeavingTime;
  RoomChanged(context, message.worker);
  if (worker->runs.empty() && worker->ends.empty()) {
    return Send(context, from, WorkerPrepared{.worker = message.worker});
  }
  ReportUnwanted(context, message.worker, *worker);
}

void OnWorkerPrepared(Context& context, const WorkerPrepared& message) {
  context.state.pools.emptied.insert(message.worker);
  for (auto& [number, wave] : context.state.upkeep.waves) {
    for (auto& [name, machine] : wave.machines) {
      if (machine.phase == MachinePhase::kPreparing &&
          machine.worker == message.worker) {
        machine.empty = true;
      }
    }
  }
}

}  // namespace burdockrock::engine
