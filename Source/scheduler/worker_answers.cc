#include "scheduler/worker_answers.h"

#include <algorithm>
#include <unordered_set>
#include <utility>
#include <variant>

#include "model/worker_incarnation.h"
#include "scheduler/attempt_updates.h"
#include "scheduler/context.h"
#include "scheduler/journal_check.h"
#include "scheduler/request_runs.h"
#include "scheduler/worker_restarts.h"

namespace burdockrock {

namespace {

constexpr Duration kRenewRetryDelay = std::chrono::milliseconds(500);
// Base and cap of the exponential backoff before a lost worker is claimed
// again.
constexpr Duration kClaimBackoff = std::chrono::seconds(5);
constexpr std::uint32_t kMaxClaimBackoffShift = 6;

using AttemptSet = std::unordered_set<AttemptId, AttemptIdHash>;

bool IsOurs(const WorkerRecord& worker) {
  return worker.state == OwnerState::kOwned ||
         worker.state == OwnerState::kHandingOver;
}

std::string NameOf(const WorkerRecord& worker) {
  return IncarnationName(worker.info.id, worker.born);
}

std::string OwnName(const Context& context) {
  const StateOptions& self = context.state().self;
  return OwnerName(self.instance, self.incarnation);
}

void RecordAnswer(Context& context, WorkerRecord& worker) {
  worker.last_answer = context.now();
  const bool was_closed = worker.unresponsive || worker.suspect;
  worker.unresponsive = false;
  worker.suspect = false;
  if (was_closed) {
    UpdateOpen(context, worker);
  }
  // Renewals stop when the worker becomes unresponsive; any answer resumes
  // them.
  if (IsOurs(worker) && worker.poll == 0) {
    context.ScheduleAt(context.now(), TimerKind::kRenew, worker.info.id);
  }
}

// Books an attempt that the worker reports and this process doesn't know, as an
// earlier owner started it.
void BookReported(Context& context,
                  WorkerRecord& worker,
                  const AttemptReport& report) {
  Booking booking{.attempt = report.attempt,
                  .resources = report.resources,
                  .state = report.state,
                  .is_request = IsRequestAttempt(report.attempt),
                  .confirmed = context.now(),
                  .sent = context.now()};
  context.state().placement.ForceTake(*worker.index, report.resources);
  Booking& added = AddBooking(context, worker, std::move(booking));
  if (!added.is_request) {
    ReportToWriter(context, worker, added);
  }
}

void ApplyReport(Context& context,
                 WorkerRecord& worker,
                 const AttemptReport& report) {
  const auto it = worker.bookings.find(report.attempt);
  if (report.state == AttemptState::kEnded) {
    OnEndReported(context, worker, report);
    return;
  }
  if (it == worker.bookings.end()) {
    BookReported(context, worker, report);
    return;
  }
  Booking& booking = it->second;
  const bool has_changed = booking.state != report.state;
  if (booking.confirmed == Time(0)) {
    booking.confirmed = context.now();
  }
  booking.state = report.state;
  if (booking.unverified && !booking.is_request) {
    booking.unverified = false;
    OnStartAccepted(context, worker, report.attempt);
  } else if (has_changed && !booking.is_request) {
    ReportToWriter(context, worker, booking);
  }
}

// Booked attempts that the reports should contain but don't. `seen_from` is
// when the renewal was sent; `definite` is true for the report of a claim.
std::vector<AttemptId> Missing(const WorkerRecord& worker,
                               const std::vector<AttemptReport>& reports,
                               Time seen_from,
                               bool definite) {
  AttemptSet reported;
  for (const AttemptReport& it : reports) {
    reported.insert(it.attempt);
  }
  std::vector<AttemptId> missing;
  for (const auto& [attempt, booking] : worker.bookings) {
    if (booking.state == AttemptState::kEnded || reported.contains(attempt)) {
      continue;
    }
    // A start that was confirmed before this renewal was sent had taken effect
    // when the renewal arrived. A start confirmed later may have overtaken the
    // report on another connection: if it were declared ended, it would run
    // twice. After the worker has accepted a higher epoch, its report contains
    // all starts accepted before, and it refuses those still in flight.
    const bool is_confirmed = booking.confirmed != Time(0);
    const bool was_there = is_confirmed && booking.confirmed < seen_from;
    const bool is_settled = definite && (booking.unverified || is_confirmed);
    if (was_there || is_settled) {
      missing.push_back(attempt);
    }
  }
  return missing;
}

bool WasAtWork(const Booking& booking) {
  return booking.confirmed != Time(0) &&
         booking.state == AttemptState::kRunning;
}

void HandleMissing(Context& context,
                   WorkerRecord& worker,
                   const AttemptId& attempt) {
  const Booking& booking = worker.bookings.at(attempt);
  if (booking.is_request) {
    // A run with an outstanding call is completed by the answer to that call.
    const bool was_unverified = booking.unverified;
    if (was_unverified || !IsOpenRequest(context, attempt)) {
      EraseBooking(context, worker, attempt);
    }
    if (was_unverified) {
      OnRunLost(context, attempt);
    }
    return;
  }
  // A worker reports an end until it is acknowledged: one that has forgotten an
  // attempt has lost its memory.
  const bool crashed = WasAtWork(booking) && !worker.info.leaving;
  OnEndReported(
      context, worker,
      {.attempt = attempt,
       .resources = booking.resources,
       .state = AttemptState::kEnded,
       .outcome = crashed ? Outcome::kWorkerCrashed : Outcome::kLeaseLapsed});
}

void ApplyReports(Context& context,
                  WorkerRecord& worker,
                  const std::vector<AttemptReport>& reports,
                  Time seen_from,
                  bool definite) {
  for (const AttemptReport& it : reports) {
    ApplyReport(context, worker, it);
  }
  for (const AttemptId& it : Missing(worker, reports, seen_from, definite)) {
    HandleMissing(context, worker, it);
  }
}

void TakeOwnership(Context& context,
                   WorkerRecord& worker,
                   const Resources& capacity) {
  State& state = context.state();
  if (worker.state != OwnerState::kHandingOver) {
    worker.state = OwnerState::kOwned;
  }
  if (worker.index) {
    ResizeWorker(context, worker, capacity);
    return;
  }
  worker.index = state.placement.Add({.id = worker.info.id,
                                      .service = worker.info.service,
                                      .rack = worker.info.rack,
                                      .capacity = capacity});
  ++state.ownership.owned;
  worker.version = 0;
  worker.go.clear();
  CheckJournals(context, worker);
  context.Log(
      EventNumber::kWorkerClaimed,
      {{"worker", NameOf(worker)}, {"epoch", std::to_string(worker.epoch)}});
}

void OnClaimAccepted(Context& context,
                     WorkerRecord& worker,
                     const ClaimPurpose& purpose,
                     const ClaimAccepted& accepted) {
  if (accepted.epoch < worker.epoch) {
    return;  // superseded by a later claim
  }
  worker.epoch = accepted.epoch;
  worker.owner = OwnName(context);
  worker.claim_refusals = 0;
  worker.reclaiming = false;
  worker.desired_since = Time(0);
  worker.ownership_verified_at = purpose.sent;
  ++context.state().counters.claims;
  TakeOwnership(context, worker, accepted.capacity);
  RecordAnswer(context, worker);
  ApplyReports(context, worker, accepted.attempts, context.now(), true);
  UpdateOpen(context, worker);
  context.ScheduleAt(context.now(), TimerKind::kRenew, worker.info.id);
  context.state().ownership.pending_checks.insert(worker.info.id);
}

void LoseOwnership(Context& context,
                   WorkerRecord& worker,
                   const StaleEpoch& stale) {
  const bool was_offered = worker.state == OwnerState::kHandingOver;
  context.Log(was_offered ? EventNumber::kWorkerHandedOver
                          : EventNumber::kOwnershipLost,
              {{"worker", worker.info.id},
               {"epoch", std::to_string(stale.epoch)},
               {"owner", stale.owner}});
  worker.epoch = stale.epoch;
  worker.owner = stale.owner;
  if (!was_offered) {
    worker.ownership_losses =
        std::min(worker.ownership_losses + 1, kMaxClaimBackoffShift);
    worker.claim_backoff_until =
        context.now() + kClaimBackoff * (1U << worker.ownership_losses);
  }
  ReleaseWorker(context, worker);
}

// The worker has accepted a higher epoch than the command carried.
void OnStaleEpoch(Context& context,
                  WorkerRecord& worker,
                  const StaleEpoch& stale) {
  // The answer to a claim of this process may be late or lost.
  const bool is_own_claim = (worker.claim_in_flight || worker.reclaiming) &&
                            stale.owner == OwnName(context);
  if (stale.epoch <= worker.epoch || is_own_claim) {
    return;  // this process has itself claimed the worker again
  }
  if (IsOurs(worker)) {
    LoseOwnership(context, worker, stale);
  } else {
    worker.epoch = stale.epoch;
    worker.owner = stale.owner;
  }
  context.state().ownership.pending_checks.insert(worker.info.id);
}

void OnClaimRefused(Context& context,
                    WorkerRecord& worker,
                    const StaleEpoch& stale) {
  ++worker.claim_refusals;
  context.Log(EventNumber::kClaimRefused,
              {{"worker", worker.info.id}, {"owner", stale.owner}});
  OnStaleEpoch(context, worker, stale);
  // The first refusal only reveals the epoch; the next claim is sent at once.
  const Duration wait =
      worker.claim_refusals == 1
          ? Duration(0)
          : context.Jitter(std::chrono::seconds(1) * worker.claim_refusals);
  worker.claim_after = context.now() + wait;
  context.ScheduleAt(worker.claim_after, TimerKind::kClaim, worker.info.id);
}

void OnClaimAnswer(Context& context,
                   WorkerRecord& worker,
                   const ClaimPurpose& purpose,
                   const WorkerResult& result) {
  worker.claim_in_flight = false;
  if (const auto* accepted = std::get_if<ClaimAccepted>(&result)) {
    OnClaimAccepted(context, worker, purpose, *accepted);
    return;
  }
  if (const auto* stale = std::get_if<StaleEpoch>(&result)) {
    OnClaimRefused(context, worker, *stale);
    UpdateOpen(context, worker);
    return;
  }
  // The claim may have been accepted. It is repeated with the same epoch, which
  // the worker accepts again from the same owner.
  ++worker.claim_refusals;
  const Duration wait = context.Jitter(
      std::min<Duration>(std::chrono::milliseconds(500) * worker.claim_refusals,
                         std::chrono::seconds(5)));
  worker.claim_after = context.now() + wait;
  context.ScheduleAt(worker.claim_after, TimerKind::kClaim, worker.info.id);
  UpdateOpen(context, worker);
}

void OnUnresponsive(Context& context, WorkerRecord& worker) {
  worker.unresponsive = true;
  context.Log(EventNumber::kWorkerSilent, {{"worker", worker.info.id}});
  UpdateOpen(context, worker);
  // No lease is renewed from now on, so that it is known when all attempts on
  // the worker have ended. Claims, which renew no lease, probe the worker.
  const LeasePolicy& lease = context.policy().lease;
  context.ScheduleAt(worker.lease_sent + lease.task_lease + lease.drift,
                     TimerKind::kLeaseBound, worker.info.id);
  context.ScheduleAfter(kRenewRetryDelay, TimerKind::kClaim, worker.info.id);
}

void OnRenewAnswer(Context& context,
                   WorkerRecord& worker,
                   Epoch purpose_epoch,
                   const RenewPurpose& purpose,
                   const WorkerResult& result) {
  if (!IsOurs(worker)) {
    return;  // lost while the renewal was in flight
  }
  if (const auto* done = std::get_if<RenewDone>(&result)) {
    RecordAnswer(context, worker);
    if (purpose_epoch == worker.epoch) {
      worker.ownership_verified_at =
          std::max(worker.ownership_verified_at, purpose.sent);
    }
    worker.version = std::max(worker.version, done->version);
    worker.usage = done->usage;
    worker.go.clear();
    ApplyReports(context, worker, done->attempts, purpose.sent, false);
    if (purpose.is_poll) {
      context.ScheduleAt(context.now(), TimerKind::kRenew, worker.info.id);
    }
    return;
  }
  worker.suspect = true;
  UpdateOpen(context, worker);
  const Duration since_answer = context.now() - worker.last_answer;
  if (!worker.unresponsive &&
      since_answer > context.policy().lease.worker_silent) {
    OnUnresponsive(context, worker);
    return;
  }
  if (purpose.is_poll) {
    context.ScheduleAfter(context.Jitter(kRenewRetryDelay), TimerKind::kRenew,
                          worker.info.id);
  }
}

void OnStartAnswer(Context& context,
                   WorkerRecord& worker,
                   const AttemptId& attempt,
                   const WorkerResult& result) {
  const auto it = worker.bookings.find(attempt);
  if (it == worker.bookings.end()) {
    return;  // resolved by a report, or the worker is no longer owned
  }
  Booking& booking = it->second;
  if (std::holds_alternative<StartDone>(result)) {
    RecordAnswer(context, worker);
    booking.confirmed = context.now();
    OnStartAccepted(context, worker, attempt);
    return;
  }
  if (const auto* refused = std::get_if<StartRefused>(&result)) {
    OnStartRejected(context, worker, attempt, refused->reason);
    return;
  }
  if (std::holds_alternative<StaleEpoch>(result)) {
    OnStartRejected(context, worker, attempt, "stale_epoch");
    return;
  }
  const auto* lost = std::get_if<WorkerUnreachable>(&result);
  worker.suspect = true;
  if (lost != nullptr && !lost->may_have_been_received) {
    OnStartRejected(context, worker, attempt, "unreachable");
    RenewNow(context, worker);
  } else {
    booking.unverified = true;
    Reclaim(context, worker);
  }
  UpdateOpen(context, worker);
}

void OnRunAnswer(Context& context,
                 WorkerRecord& worker,
                 const RunPurpose& purpose,
                 const WorkerResult& result) {
  if (const auto* ended = std::get_if<RunEnded>(&result)) {
    EraseBooking(context, worker, purpose.attempt);
    RecordAttemptEnd(context, worker, purpose.request,
                     ended->outcome != Outcome::kDone, false);
    OnRunEnded(context, purpose.request, *ended);
    return;
  }
  const auto* lost = std::get_if<WorkerUnreachable>(&result);
  const bool not_run = lost == nullptr || !lost->may_have_been_received;
  if (not_run) {
    EraseBooking(context, worker, purpose.attempt);
    if (lost != nullptr) {
      worker.suspect = true;
      UpdateOpen(context, worker);
      RenewNow(context, worker);
    }
    OnRunNotStarted(context, purpose.request,
                    lost != nullptr ? "unreachable" : "refused");
    return;
  }
  worker.suspect = true;
  const auto it = worker.bookings.find(purpose.attempt);
  if (it != worker.bookings.end()) {
    it->second.unverified = true;
  }
  OnRunUnverified(context, purpose.request);
  Reclaim(context, worker);
  UpdateOpen(context, worker);
}

}  // namespace

void HandleWorkerAnswer(Context& context,
                        WorkerRecord& worker,
                        const WorkerPurpose& purpose,
                        const WorkerResult& result) {
  if (NoteProcess(context, worker, purpose, result) == Teller::kOther) {
    OnOtherProcess(context, worker, purpose, result);
    return;
  }
  const auto* lost = std::get_if<WorkerUnreachable>(&result);
  if (lost != nullptr && lost->garbage) {
    context.Log(EventNumber::kWorkerMalformed,
                {{"worker", worker.info.id}, {"detail", lost->message}});
  }
  if (const auto* claim = std::get_if<ClaimPurpose>(&purpose.body)) {
    OnClaimAnswer(context, worker, *claim, result);
    return;
  }
  const auto* stale = std::get_if<StaleEpoch>(&result);
  if (const auto* start = std::get_if<StartPurpose>(&purpose.body)) {
    OnStartAnswer(context, worker, start->attempt, result);
  } else if (const auto* run = std::get_if<RunPurpose>(&purpose.body)) {
    OnRunAnswer(context, worker, *run, result);
  } else if (const auto* renew = std::get_if<RenewPurpose>(&purpose.body)) {
    if (stale == nullptr) {
      OnRenewAnswer(context, worker, purpose.epoch, *renew, result);
    } else if (renew->is_poll && purpose.epoch < worker.epoch) {
      // This process advanced the epoch itself while the renewal was in flight.
      context.ScheduleAt(context.now(), TimerKind::kRenew, worker.info.id);
    }
  }
  if (stale == nullptr) {
    return;
  }
  // A worker that knows only a lower epoch than the one it has accepted has
  // lost its memory. No other process claims it while this one is its owner.
  if (purpose.epoch == worker.epoch && stale->epoch < worker.epoch) {
    Reclaim(context, worker);
  }
  OnStaleEpoch(context, worker, *stale);
}

void EndAllAttempts(Context& context, WorkerRecord& worker, bool is_gone) {
  std::vector<AttemptId> attempts;
  for (const auto& [attempt, booking] : worker.bookings) {
    if (booking.state != AttemptState::kEnded) {
      attempts.push_back(attempt);
    }
  }
  std::sort(attempts.begin(), attempts.end());
  for (const AttemptId& it : attempts) {
    const Booking& booking = worker.bookings.at(it);
    context.Log(EventNumber::kAttemptLost,
                {{"attempt", ToString(it)}, {"worker", NameOf(worker)}});
    if (booking.is_request) {
      EraseBooking(context, worker, it);
      OnRunLost(context, it);
    } else {
      // Gone without notice unless it was leaving.
      const bool crashed =
          WasAtWork(booking) && is_gone && !worker.info.leaving;
      OnEndReported(context, worker,
                    {.attempt = it,
                     .resources = booking.resources,
                     .state = AttemptState::kEnded,
                     .outcome = crashed ? Outcome::kWorkerCrashed
                                        : Outcome::kLeaseLapsed});
    }
  }
}

void OnClaimOfOtherProcess(Context& context,
                           WorkerRecord& worker,
                           const WorkerResult& result) {
  worker.claim_in_flight = false;
  const auto* stale = std::get_if<StaleEpoch>(&result);
  if (stale != nullptr && stale->born == worker.born) {
    OnClaimRefused(context, worker, *stale);
  } else {
    worker.claim_after = context.now();
    context.ScheduleAt(worker.claim_after, TimerKind::kClaim, worker.info.id);
  }
  UpdateOpen(context, worker);
}

namespace {

std::vector<Booking> LiveTasks(const WorkerRecord& worker) {
  std::vector<Booking> live;
  for (const auto& [attempt, booking] : worker.bookings) {
    if (!booking.is_request && booking.state != AttemptState::kEnded) {
      live.push_back(booking);
    }
  }
  std::sort(live.begin(), live.end(),
            [](const Booking& left, const Booking& right) {
              return left.attempt < right.attempt;
            });
  return live;
}

}  // namespace

void OrphanLiveAttempts(Context& context, WorkerRecord& worker) {
  for (const Booking& it : LiveTasks(worker)) {
    context.Log(EventNumber::kAttemptLost, {{"attempt", ToString(it.attempt)},
                                            {"worker", NameOf(worker)}});
    OnAttemptMoved(context, it);
  }
}

void ReleaseWorker(Context& context, WorkerRecord& worker) {
  State& state = context.state();
  const std::vector<Booking> moved = LiveTasks(worker);
  if (worker.index) {
    state.placement.Remove(*worker.index);
    worker.index.reset();
    --state.ownership.owned;
  }
  worker.state = OwnerState::kFree;
  worker.reclaiming = false;
  for (const auto& [attempt, booking] : worker.bookings) {
    state.ownership.attempt_workers.erase(attempt);
  }
  worker.bookings.clear();
  worker.acknowledge.clear();
  worker.go.clear();
  // The new owner reports the attempts that it finds there; the others are
  // searched for.
  for (const Booking& it : moved) {
    OnAttemptMoved(context, it);
  }
}

}  // namespace burdockrock
