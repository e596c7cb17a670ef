#include "scheduler/worker_answers.h"

#include <algorithm>
#include <unordered_set>
#include <utility>
#include <variant>

#include "scheduler/attempt_updates.h"
#include "scheduler/context.h"
#include "scheduler/journal_check.h"
#include "scheduler/request_runs.h"

namespace burdockrock {

namespace {

constexpr Duration kRetryRenew = std::chrono::milliseconds(500);
constexpr Duration kQuiet = std::chrono::seconds(5);
constexpr std::uint32_t kMaxDeposedShift = 6;

using AttemptSet = std::unordered_set<AttemptId, AttemptIdHash>;

bool IsOurs(const WorkerRecord& worker) {
  return worker.state == OwnerState::kOwned ||
         worker.state == OwnerState::kHandingOver;
}

std::string OwnName(const Context& context) {
  const StateOptions& self = context.state().self;
  return OwnerName(self.instance, self.incarnation);
}

void NoteAnswer(Context& context, WorkerRecord& worker) {
  worker.last_answer = context.now();
  const bool was_shut = worker.silent || worker.suspect;
  worker.silent = false;
  worker.suspect = false;
  if (was_shut) {
    UpdateOpen(context, worker);
  }
  // The renewals stopped when the worker fell silent; any answer starts them
  // again.
  if (IsOurs(worker) && worker.poll == 0) {
    context.At(context.now(), TimerKind::kRenew, worker.info.id);
  }
}

// Books what the worker has and this process did not know: attempts that an
// earlier owner started.
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
  const bool news = booking.state != report.state;
  if (booking.confirmed == Time(0)) {
    booking.confirmed = context.now();
  }
  booking.state = report.state;
  if (booking.uncertain && !booking.is_request) {
    booking.uncertain = false;
    OnStartAccepted(context, worker, report.attempt);
  } else if (news && !booking.is_request) {
    ReportToWriter(context, worker, booking);
  }
}

// Attempts that are booked, were there to be seen, and are not reported.
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
    // A start that the worker confirmed before this renewal was sent was there
    // when the renewal arrived. One that was confirmed later may have passed
    // it on another connection: taking that one as ended would run it twice.
    // Once the worker has accepted a higher epoch, all that it accepted before
    // is in its report, and what is still under way will be refused.
    const bool is_confirmed = booking.confirmed != Time(0);
    const bool was_there = is_confirmed && booking.confirmed < seen_from;
    const bool is_settled = definite && (booking.uncertain || is_confirmed);
    if (was_there || is_settled) {
      missing.push_back(attempt);
    }
  }
  return missing;
}

void HandleMissing(Context& context,
                   WorkerRecord& worker,
                   const AttemptId& attempt) {
  const Booking& booking = worker.bookings.at(attempt);
  if (booking.is_request) {
    // A run whose call is still open gets its answer there.
    const bool uncertain = booking.uncertain;
    if (uncertain || !IsOpenRequest(context, attempt)) {
      EraseBooking(context, worker, attempt);
    }
    if (uncertain) {
      OnRunVanished(context, attempt);
    }
    return;
  }
  OnEndReported(context, worker,
                {.attempt = attempt,
                 .resources = booking.resources,
                 .state = AttemptState::kEnded,
                 .outcome = Outcome::kLeaseLapsed});
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
      {{"worker", worker.info.id}, {"epoch", std::to_string(worker.epoch)}});
}

void OnClaimAccepted(Context& context,
                     WorkerRecord& worker,
                     const ClaimPurpose& purpose,
                     const ClaimAccepted& accepted) {
  if (accepted.epoch < worker.epoch) {
    return;  // a claim that a later one has overtaken
  }
  worker.epoch = accepted.epoch;
  worker.owner = OwnName(context);
  worker.claim_refusals = 0;
  worker.wanted_since = Time(0);
  worker.proven = purpose.sent;
  ++context.state().counters.claims;
  TakeOwnership(context, worker, accepted.capacity);
  NoteAnswer(context, worker);
  ApplyReports(context, worker, accepted.attempts, context.now(), true);
  UpdateOpen(context, worker);
  context.At(context.now(), TimerKind::kRenew, worker.info.id);
  context.state().ownership.pending.insert(worker.info.id);
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
    worker.deposed = std::min(worker.deposed + 1, kMaxDeposedShift);
    worker.quiet_until = context.now() + kQuiet * (1U << worker.deposed);
  }
  ReleaseWorker(context, worker);
}

// The worker has accepted a higher epoch than the command carried.
void OnStaleEpoch(Context& context,
                  WorkerRecord& worker,
                  const StaleEpoch& stale) {
  const bool is_own_claim =
      worker.claim_in_flight && stale.owner == OwnName(context);
  if (stale.epoch <= worker.epoch || is_own_claim) {
    return;  // this process itself has claimed it again since
  }
  if (IsOurs(worker)) {
    LoseOwnership(context, worker, stale);
  } else {
    worker.epoch = stale.epoch;
    worker.owner = stale.owner;
  }
  context.state().ownership.pending.insert(worker.info.id);
}

void OnClaimRefused(Context& context,
                    WorkerRecord& worker,
                    const StaleEpoch& stale) {
  ++worker.claim_refusals;
  context.Log(EventNumber::kClaimRefused,
              {{"worker", worker.info.id}, {"owner", stale.owner}});
  OnStaleEpoch(context, worker, stale);
  // The first refusal only tells the epoch; the next claim goes out at once.
  const Duration wait =
      worker.claim_refusals == 1
          ? Duration(0)
          : context.Jitter(std::chrono::seconds(1) * worker.claim_refusals);
  worker.claim_after = context.now() + wait;
  context.At(worker.claim_after, TimerKind::kClaim, worker.info.id);
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
  // The claim may have been accepted. Claiming again with the same epoch
  // settles that, as the worker accepts it from the same owner once more.
  ++worker.claim_refusals;
  const Duration wait = context.Jitter(
      std::min<Duration>(std::chrono::milliseconds(500) * worker.claim_refusals,
                         std::chrono::seconds(5)));
  worker.claim_after = context.now() + wait;
  context.At(worker.claim_after, TimerKind::kClaim, worker.info.id);
  UpdateOpen(context, worker);
}

void OnSilence(Context& context, WorkerRecord& worker) {
  worker.silent = true;
  context.Log(EventNumber::kWorkerSilent, {{"worker", worker.info.id}});
  UpdateOpen(context, worker);
  // From here on no lease is renewed, so that the time is known by which all
  // that runs there has ended. Claims, which renew nothing, probe for it.
  const LeasePolicy& lease = context.policy().lease;
  context.At(worker.lease_sent + lease.task_lease + lease.drift,
             TimerKind::kLeaseBound, worker.info.id);
  context.After(kRetryRenew, TimerKind::kClaim, worker.info.id);
}

void OnRenewAnswer(Context& context,
                   WorkerRecord& worker,
                   Epoch purpose_epoch,
                   const RenewPurpose& purpose,
                   const WorkerResult& result) {
  if (const auto* done = std::get_if<RenewDone>(&result)) {
    NoteAnswer(context, worker);
    if (purpose_epoch == worker.epoch) {
      worker.proven = std::max(worker.proven, purpose.sent);
    }
    worker.version = std::max(worker.version, done->version);
    worker.usage = done->usage;
    worker.go.clear();
    ApplyReports(context, worker, done->attempts, purpose.sent, false);
    if (purpose.is_poll) {
      context.At(context.now(), TimerKind::kRenew, worker.info.id);
    }
    return;
  }
  if (!IsOurs(worker)) {
    return;
  }
  worker.suspect = true;
  UpdateOpen(context, worker);
  const Duration quiet = context.now() - worker.last_answer;
  if (!worker.silent && quiet > context.policy().lease.worker_silent) {
    OnSilence(context, worker);
    return;
  }
  if (purpose.is_poll) {
    context.After(context.Jitter(kRetryRenew), TimerKind::kRenew,
                  worker.info.id);
  }
}

void OnStartAnswer(Context& context,
                   WorkerRecord& worker,
                   const AttemptId& attempt,
                   const WorkerResult& result) {
  const auto it = worker.bookings.find(attempt);
  if (it == worker.bookings.end()) {
    return;  // settled by a report, or the worker is another's now
  }
  Booking& booking = it->second;
  if (std::holds_alternative<StartDone>(result)) {
    NoteAnswer(context, worker);
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
    booking.uncertain = true;
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
    NoteEnd(context, worker, purpose.request, ended->outcome != Outcome::kDone,
            false);
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
    it->second.uncertain = true;
  }
  OnRunUncertain(context, purpose.request);
  Reclaim(context, worker);
  UpdateOpen(context, worker);
}

}  // namespace

void HandleWorkerAnswer(Context& context,
                        WorkerRecord& worker,
                        const WorkerPurpose& purpose,
                        const WorkerResult& result) {
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
      // This process raised the epoch itself while the renewal was under way.
      context.At(context.now(), TimerKind::kRenew, worker.info.id);
    }
  }
  if (stale != nullptr) {
    OnStaleEpoch(context, worker, *stale);
  }
}

void EndAllAttempts(Context& context, WorkerRecord& worker) {
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
                {{"attempt", ToString(it)}, {"worker", worker.info.id}});
    if (booking.is_request) {
      EraseBooking(context, worker, it);
      OnRunVanished(context, it);
    } else {
      OnEndReported(context, worker,
                    {.attempt = it,
                     .resources = booking.resources,
                     .state = AttemptState::kEnded,
                     .outcome = Outcome::kLeaseLapsed});
    }
  }
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

void LoseSight(Context& context, WorkerRecord& worker) {
  for (const Booking& it : LiveTasks(worker)) {
    context.Log(EventNumber::kAttemptLost, {{"attempt", ToString(it.attempt)},
                                            {"worker", worker.info.id}});
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
  for (const auto& [attempt, booking] : worker.bookings) {
    state.ownership.holders.erase(attempt);
  }
  worker.bookings.clear();
  worker.acknowledge.clear();
  worker.go.clear();
  // The new owner reports what it found there; what it did not find is looked
  // for.
  for (const Booking& it : moved) {
    OnAttemptMoved(context, it);
  }
}

}  // namespace burdockrock
