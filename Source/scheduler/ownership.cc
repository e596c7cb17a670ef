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
constexpr Duration kHandoverPatience = std::chrono::seconds(8);
// A run may take as long as its caller waits; a caller's deadline is bounded.
constexpr Duration kRunTimeout = std::chrono::hours(1);

bool IsOurs(const WorkerRecord& worker) {
  return worker.state == OwnerState::kOwned ||
         worker.state == OwnerState::kHandingOver;
}

// The process that last claimed the worker is alive by this one's view. While
// it is, the worker is left to it until it hands it over.
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

// Two members that can't hear each other, but both reach the worker, would
// take it from each other without end: each sees the other as dead. So a
// worker that was taken away is left alone for a while, twice as long each
// time, and one whose owner is alive but doesn't hand it over is claimed only
// after kHandoverPatience.
bool MayClaim(Context& context, WorkerRecord& worker) {
  if (context.now() < worker.claim_after ||
      context.now() < worker.quiet_until) {
    return false;
  }
  if (!OwnerIsAlive(context, worker)) {
    return true;
  }
  if (worker.wanted_since == Time(0)) {
    worker.wanted_since = context.now();
  }
  return context.now() - worker.wanted_since > kHandoverPatience;
}

void SendClaim(Context& context, WorkerRecord& worker) {
  const State& state = context.state();
  worker.claim_in_flight = true;
  const Epoch epoch = worker.epoch + 1;
  context.CallWorker(worker.info.id, worker.info.address,
                     ClaimCommand{.epoch = epoch,
                                  .owner = OwnerName(state.self.instance,
                                                     state.self.incarnation),
                                  .incarnation = state.self.incarnation},
                     kClaimTimeout,
                     {.worker = worker.info.id,
                      .epoch = epoch,
                      .body = ClaimPurpose{.sent = context.now()}});
}

void OfferWorker(Context& context, WorkerRecord& worker) {
  worker.state = OwnerState::kHandingOver;
  UpdateOpen(context, worker);
  context.Send(worker.desired,
               Handover{.worker = worker.info.id, .epoch = worker.epoch});
}

// True when the review is done with the worker.
bool ReviewWorker(Context& context, WorkerRecord& worker) {
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
    state.ownership.pending.insert(id);
  }
}

void ReviewOwnership(Context& context) {
  State& state = context.state();
  if (!IsServing(context)) {
    return;
  }
  std::set<std::string> pending;
  pending.swap(state.ownership.pending);
  for (const std::string& id : pending) {
    const auto it = state.ownership.workers.find(id);
    if (it != state.ownership.workers.end() &&
        !ReviewWorker(context, it->second)) {
      state.ownership.pending.insert(id);
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
  if (record.silent && IsOurs(record) && !record.claim_in_flight) {
    SendClaim(context, record);
    return;
  }
  if (!ReviewWorker(context, record)) {
    state.ownership.pending.insert(worker);
  }
}

void OnHandover(Context& context,
                const std::string& from,
                const Handover& handover) {
  State& state = context.state();
  const auto it = state.ownership.workers.find(handover.worker);
  // A late or doubled hand-over names an epoch that has passed.
  if (it == state.ownership.workers.end() ||
      handover.epoch < it->second.epoch || state.drain.draining) {
    return;
  }
  WorkerRecord& worker = it->second;
  // Members with different views would pass a worker back and forth. It moves
  // only when giver and taker agree.
  const bool is_wanted = worker.desired == state.self.instance;
  if (IsOurs(worker) || worker.claim_in_flight || !is_wanted) {
    return;
  }
  worker.epoch = handover.epoch;
  worker.owner.clear();
  worker.quiet_until = Time(0);
  context.Log(EventNumber::kHandedOver,
              {{"worker", handover.worker}, {"from", from}});
  SendClaim(context, worker);
}

void UpdateOpen(Context& context, WorkerRecord& worker) {
  if (!worker.index) {
    return;
  }
  // A worker that is being handed over stays open until the other member has
  // claimed it: what is started meanwhile runs or is refused, and a hand-over
  // that is not taken up leaves no worker idle.
  const bool is_open = IsOurs(worker) && !worker.info.leaving &&
                       !worker.removed && !worker.silent && !worker.suspect &&
                       !worker.claim_in_flight && worker.unchecked.empty() &&
                       !worker.health.quarantined &&
                       !(worker.health.probing && !worker.bookings.empty()) &&
                       !context.state().drain.draining;
  const bool was_open = context.state().placement.open(*worker.index);
  context.state().placement.SetOpen(*worker.index, is_open);
  if (is_open && !was_open) {
    context.state().tasks.pass_needed = true;
  }
}

bool BookAttempt(Context& context, WorkerRecord& worker, Booking booking) {
  if (!worker.index ||
      !context.state().placement.Take(*worker.index, booking.resources)) {
    return false;
  }
  AddBooking(context, worker, std::move(booking));
  if (worker.health.probing) {
    UpdateOpen(context, worker);
  }
  return true;
}

Booking& AddBooking(Context& context, WorkerRecord& worker, Booking booking) {
  const AttemptId attempt = booking.attempt;
  if (!booking.is_request) {
    context.state().ownership.holders[attempt] = worker.info.id;
  }
  return worker.bookings.emplace(attempt, std::move(booking)).first->second;
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
    context.state().tasks.pass_needed = true;
  }
  context.state().ownership.holders.erase(attempt);
  worker.bookings.erase(it);
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
  return context.CallWorker(worker.info.id, worker.info.address,
                            std::move(command), timeout,
                            {.worker = worker.info.id,
                             .epoch = worker.epoch,
                             .body = std::move(purpose)});
}

void RenewNow(Context& context, WorkerRecord& worker) {
  if (!IsOurs(worker) || worker.silent) {
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
  // A worker that left the list is renewed no more: its attempts then end at
  // a known time, whether it is really gone or only the list is wrong.
  if (!IsOurs(worker) || worker.poll != 0 || worker.silent || worker.removed) {
    return;
  }
  const LeasePolicy& lease = context.policy().lease;
  RenewCommand renew{.epoch = worker.epoch,
                     .lease = lease.task_lease,
                     .wait = lease.renew,
                     .version = worker.version,
                     .acknowledge = std::move(worker.acknowledge),
                     .go = worker.go};
  worker.acknowledge.clear();
  worker.poll =
      CommandWorker(context, worker, std::move(renew),
                    RenewPurpose{.sent = context.now(), .is_poll = true});
}

void Reclaim(Context& context, WorkerRecord& worker) {
  if (!IsOurs(worker) || worker.claim_in_flight) {
    return;
  }
  SendClaim(context, worker);
  UpdateOpen(context, worker);
}

bool IsSettled(const Context& context, const WorkerRecord& worker) {
  static_cast<void>(context);
  return IsOurs(worker) && !worker.silent && !worker.claim_in_flight &&
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
    const Time gone = worker.removed_at + kListLag + bound;
    if (context.now() < gone) {
      context.At(gone, TimerKind::kLeaseBound, id);
      return;
    }
    EndAllAttempts(context, worker);
    if (IsOurs(worker)) {
      ReleaseWorker(context, worker);
    }
    return;
  }
  // That no lease of this process holds does not say that the attempts have
  // ended: while this process was paused another may have claimed the worker.
  // So they are looked for, and not taken as ended.
  if (worker.silent && context.now() >= worker.lease_sent + bound) {
    LoseSight(context, worker);
  }
}

void OnWorkerAnswered(Context& context, const WorkerAnswered& answered) {
  State& state = context.state();
  const auto it = state.calls.workers.find(answered.call);
  if (it == state.calls.workers.end()) {
    return;  // late or doubled
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
