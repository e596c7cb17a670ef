#include "scheduler/ownership.h"

#include <algorithm>
#include <utility>

#include "scheduler/context.h"
#include "scheduler/worker_answers.h"

namespace burdockrock {

namespace {

constexpr Duration kClaimTimeout = std::chrono::seconds(2);
constexpr Duration kCommandTimeout = std::chrono::seconds(2);
constexpr Duration kPollGrace = std::chrono::seconds(2);
constexpr Duration kHandoverTimeout = std::chrono::seconds(8);
// A run may take until the deadline of its caller, which is bounded.
constexpr Duration kRunTimeout = std::chrono::hours(1);

bool IsOurs(const WorkerRecord& worker) {
  return worker.state == OwnerState::kOwned ||
         worker.state == OwnerState::kHandingOver;
}

// Whether the process that last claimed the worker is alive, as seen by this
// one. If so, this process waits for a handover instead of claiming.
bool OwnerIsAlive(const Context& context, const WorkerRecord& worker) {
  const std::size_t split = worker.owner.find('~');
  if (split == std::string::npos) {
    return false;
  }
  const auto& peers = context.state().membership.peers;
  const auto it = peers.find(worker.owner.substr(0, split));
  return it != peers.end() && it->second.alive &&
         it->second.incarnation == worker.owner.substr(split + 1);
}

// Two members that can't reach each other, but both reach the worker, would
// take it from each other endlessly, as each considers the other lost.
// Therefore a worker that another member took is claimed again only after an
// exponential backoff, and one whose owner is alive but doesn't hand it over
// only after kHandoverTimeout.
bool MayClaim(Context& context, WorkerRecord& worker) {
  if (context.now() < worker.claim_after ||
      context.now() < worker.claim_backoff_until) {
    return false;
  }
  if (!OwnerIsAlive(context, worker)) {
    return true;
  }
  if (worker.desired_since == Time(0)) {
    worker.desired_since = context.now();
  }
  return context.now() - worker.desired_since > kHandoverTimeout;
}

void SendClaim(Context& context, WorkerRecord& worker) {
  const State& state = context.state();
  worker.claim_in_flight = true;
  const Epoch epoch = worker.epoch + 1;
  context.CallWorker(worker.info.id, worker.info.address,
                     ClaimCommand{.epoch = epoch,
                                  .owner = OwnerName(state.self.instance,
                                                     state.self.incarnation),
                                  .incarnation = state.self.incarnation,
                                  .born = worker.born},
                     kClaimTimeout,
                     {.worker = worker.info.id,
                      .epoch = epoch,
                      .born = worker.born,
                      .body = ClaimPurpose{.sent = context.now()}});
}

void OfferWorker(Context& context, WorkerRecord& worker) {
  worker.state = OwnerState::kHandingOver;
  UpdateOpen(context, worker);
  context.Send(worker.desired,
               Handover{.worker = worker.info.id, .epoch = worker.epoch});
}

// Claims or offers the worker according to its assignment; true if it needs no
// further check.
bool CheckWorker(Context& context, WorkerRecord& worker) {
  State& state = context.state();
  if (worker.claim_in_flight) {
    return false;
  }
  const bool is_ours = IsOurs(worker);
  if (worker.desired == state.self.instance) {
    if (worker.state == OwnerState::kHandingOver) {
      worker.state = OwnerState::kOwned;
      UpdateOpen(context, worker);
    }
    if (is_ours) {
      return true;
    }
    if (worker.removed) {
      return true;
    }
    if (MayClaim(context, worker)) {
      SendClaim(context, worker);
    }
    return false;
  }
  if (is_ours && !worker.desired.empty() && !worker.removed) {
    OfferWorker(context, worker);
    return false;
  }
  return true;
}

bool HasLiveBooking(const WorkerRecord& worker) {
  return std::any_of(
      worker.bookings.begin(), worker.bookings.end(),
      [](const auto& it) { return it.second.state != AttemptState::kEnded; });
}

}  // namespace

std::string OwnerName(const std::string& instance,
                      const std::string& incarnation) {
  return instance + "~" + incarnation;
}

void ReassignOwners(Context& context) {
  State& state = context.state();
  std::vector<InstanceInfo> workers;
  workers.reserve(state.ownership.workers.size());
  for (const auto& [id, worker] : state.ownership.workers) {
    if (!worker.removed) {
      workers.push_back(worker.info);
    }
  }
  const auto owners = AssignOwners(workers, state.membership.members);
  for (auto& [id, worker] : state.ownership.workers) {
    const auto it = owners.find(id);
    worker.desired = it == owners.end() ? "" : it->second;
    state.ownership.pending_checks.insert(id);
  }
}

void CheckOwnership(Context& context) {
  State& state = context.state();
  if (!IsServing(context)) {
    return;
  }
  std::set<std::string> pending;
  pending.swap(state.ownership.pending_checks);
  for (const std::string& id : pending) {
    const auto it = state.ownership.workers.find(id);
    if (it != state.ownership.workers.end() &&
        !CheckWorker(context, it->second)) {
      state.ownership.pending_checks.insert(id);
    }
  }
}

void OnClaimTimer(Context& context, const std::string& worker) {
  State& state = context.state();
  const auto it = state.ownership.workers.find(worker);
  if (it == state.ownership.workers.end()) {
    return;
  }
  WorkerRecord& record = it->second;
  const bool must_claim = record.unresponsive || record.reclaiming;
  if (must_claim && IsOurs(record) && !record.claim_in_flight) {
    Reclaim(context, record);
    return;
  }
  if (!CheckWorker(context, record)) {
    state.ownership.pending_checks.insert(worker);
  }
}

void OnHandover(Context& context,
                const std::string& from,
                const Handover& handover) {
  State& state = context.state();
  const auto it = state.ownership.workers.find(handover.worker);
  // A late or duplicate handover has an outdated epoch.
  if (it == state.ownership.workers.end() ||
      handover.epoch < it->second.epoch || state.drain.draining) {
    return;
  }
  WorkerRecord& worker = it->second;
  // The handover is accepted only if the worker is assigned to this process
  // here, too: members with different views would pass it back and forth.
  const bool is_wanted = worker.desired == state.self.instance;
  if (IsOurs(worker) || worker.claim_in_flight || !is_wanted) {
    return;
  }
  worker.epoch = handover.epoch;
  worker.owner.clear();
  worker.claim_backoff_until = Time(0);
  context.Log(EventNumber::kHandedOver,
              {{"worker", handover.worker}, {"from", from}});
  SendClaim(context, worker);
}

// A worker that is being handed over stays open until the other member has
// claimed it: a start in the meantime is either executed or refused, and a
// handover that is not accepted leaves no worker idle.
const char* WhyClosed(const State& state, const WorkerRecord& worker) {
  if (!IsOurs(worker)) {
    return "not_owned";
  }
  if (worker.info.leaving) {
    return "leaving";
  }
  if (worker.removed) {
    return "removed";
  }
  if (worker.unresponsive) {
    return "silent";
  }
  if (worker.suspect) {
    return "suspect";
  }
  if (worker.claim_in_flight || worker.reclaiming) {
    return "claimed_again";
  }
  if (!worker.unchecked_journals.empty()) {
    return "journals_unchecked";
  }
  if (worker.health.quarantined) {
    return "quarantined";
  }
  if (worker.health.probing && HasLiveBooking(worker)) {
    return "probed";
  }
  return state.drain.draining ? "draining" : "";
}

void OnRoomFreed(Context& context) {
  context.state().tasks.pass_needed = true;
  context.state().requests.pump_needed = true;
}

void UpdateOpen(Context& context, WorkerRecord& worker) {
  if (!worker.index) {
    return;
  }
  const bool is_open = *WhyClosed(context.state(), worker) == '\0';
  const bool was_open = context.state().placement.open(*worker.index);
  context.state().placement.SetOpen(*worker.index, is_open);
  if (is_open && !was_open) {
    OnRoomFreed(context);
  }
}

bool BookAttempt(Context& context, WorkerRecord& worker, Booking booking) {
  if (!worker.index ||
      !context.state().placement.Take(*worker.index, booking.resources)) {
    return false;
  }
  AddBooking(context, worker, std::move(booking));
  return true;
}

void OnBookingsChanged(Context& context, WorkerRecord& worker) {
  if (worker.health.probing) {
    UpdateOpen(context, worker);
  }
}

Booking& AddBooking(Context& context, WorkerRecord& worker, Booking booking) {
  const AttemptId attempt = booking.attempt;
  if (!booking.is_request) {
    context.state().ownership.attempt_workers[attempt] = worker.info.id;
  }
  Booking& added =
      worker.bookings.emplace(attempt, std::move(booking)).first->second;
  OnBookingsChanged(context, worker);
  return added;
}

void EraseBooking(Context& context,
                  WorkerRecord& worker,
                  const AttemptId& attempt) {
  const auto it = worker.bookings.find(attempt);
  if (it == worker.bookings.end()) {
    return;
  }
  if (it->second.holds_room && worker.index) {
    context.state().placement.Give(*worker.index, it->second.resources);
    OnRoomFreed(context);
  }
  context.state().ownership.attempt_workers.erase(attempt);
  worker.bookings.erase(it);
  OnBookingsChanged(context, worker);
}

CallId CommandWorker(Context& context,
                     WorkerRecord& worker,
                     WorkerCommand command,
                     WorkerPurposeBody purpose) {
  Duration timeout = kCommandTimeout;
  if (const auto* renew = std::get_if<RenewCommand>(&command)) {
    timeout = renew->wait + kPollGrace;
    worker.lease_sent = context.now();
  }
  if (std::holds_alternative<RunCommand>(command)) {
    timeout = kRunTimeout;
    worker.lease_sent = context.now();
  }
  if (std::holds_alternative<StartCommand>(command)) {
    worker.lease_sent = context.now();
  }
  std::visit([&](auto& it) { it.born = worker.born; }, command);
  return context.CallWorker(worker.info.id, worker.info.address,
                            std::move(command), timeout,
                            {.worker = worker.info.id,
                             .epoch = worker.epoch,
                             .born = worker.born,
                             .body = std::move(purpose)});
}

void RenewNow(Context& context, WorkerRecord& worker) {
  if (!IsOurs(worker) || worker.unresponsive || worker.removed) {
    return;
  }
  RenewCommand renew{.epoch = worker.epoch,
                     .lease = context.policy().lease.task_lease,
                     .wait = Duration(0),
                     .version = worker.version,
                     .acknowledge = std::move(worker.acknowledge),
                     .go = worker.go};
  worker.acknowledge.clear();
  CommandWorker(context, worker, std::move(renew),
                RenewPurpose{.sent = context.now()});
}

void OnRenewTimer(Context& context, const std::string& id) {
  const auto it = context.state().ownership.workers.find(id);
  if (it == context.state().ownership.workers.end()) {
    return;
  }
  WorkerRecord& worker = it->second;
  // The leases of a worker removed from the list are no longer renewed: its
  // attempts then end at a known time, even if the list is wrong.
  if (!IsOurs(worker) || worker.poll != 0 || worker.unresponsive ||
      worker.removed) {
    return;
  }
  const LeasePolicy& lease = context.policy().lease;
  // A suspect worker is closed until it answers.
  RenewCommand renew{.epoch = worker.epoch,
                     .lease = lease.task_lease,
                     .wait = worker.suspect ? Duration(0) : lease.renew,
                     .version = worker.version,
                     .acknowledge = std::move(worker.acknowledge),
                     .go = worker.go};
  worker.acknowledge.clear();
  worker.poll =
      CommandWorker(context, worker, std::move(renew),
                    RenewPurpose{.sent = context.now(), .is_poll = true});
}

void ResizeWorker(Context& context,
                  WorkerRecord& worker,
                  const Resources& capacity) {
  PlacementIndex& placement = context.state().placement;
  if (!worker.index || placement.info(*worker.index).capacity == capacity) {
    return;
  }
  TargetInfo info = placement.info(*worker.index);
  info.capacity = capacity;
  placement.Remove(*worker.index);
  worker.index = placement.Add(std::move(info));
  for (const auto& [attempt, booking] : worker.bookings) {
    if (booking.holds_room) {
      placement.ForceTake(*worker.index, booking.resources);
    }
  }
  UpdateOpen(context, worker);
  OnRoomFreed(context);
}

void Reclaim(Context& context, WorkerRecord& worker) {
  if (!IsOurs(worker) || worker.claim_in_flight) {
    return;
  }
  worker.reclaiming = true;
  SendClaim(context, worker);
  UpdateOpen(context, worker);
}

bool IsOwnedAndResponsive(const Context& context, const WorkerRecord& worker) {
  static_cast<void>(context);
  return IsOurs(worker) && !worker.unresponsive && !worker.claim_in_flight &&
         !worker.removed;
}

void OnLeaseBoundTimer(Context& context, const std::string& id) {
  State& state = context.state();
  const auto it = state.ownership.workers.find(id);
  if (it == state.ownership.workers.end()) {
    return;
  }
  WorkerRecord& worker = it->second;
  const LeasePolicy& lease = context.policy().lease;
  const Duration bound = lease.task_lease + lease.drift;
  if (worker.removed) {
    const Time lapsed_at = worker.removed_at + kListLag + bound;
    if (context.now() < lapsed_at) {
      context.ScheduleAt(lapsed_at, TimerKind::kLeaseBound, id);
      return;
    }
    // It answers nothing and the platform no longer lists it.
    EndAllAttempts(context, worker, worker.unresponsive);
    if (IsOurs(worker)) {
      ReleaseWorker(context, worker);
    }
    return;
  }
  // The attempts may still be running although all leases of this process have
  // lapsed: another member may have claimed the worker while this process was
  // paused. They are searched for instead of being declared ended.
  if (worker.unresponsive && context.now() >= worker.lease_sent + bound) {
    OrphanLiveAttempts(context, worker);
  }
}

void OnWorkerAnswered(Context& context, const WorkerAnswered& answered) {
  State& state = context.state();
  const auto it = state.calls.workers.find(answered.call);
  if (it == state.calls.workers.end()) {
    return;  // late or duplicate
  }
  const WorkerPurpose purpose = std::move(it->second);
  state.calls.workers.erase(it);
  const auto worker = state.ownership.workers.find(purpose.worker);
  if (worker == state.ownership.workers.end()) {
    return;
  }
  if (worker->second.poll == answered.call) {
    worker->second.poll = 0;
  }
  HandleWorkerAnswer(context, worker->second, purpose, answered.result);
}

}  // namespace burdockrock
