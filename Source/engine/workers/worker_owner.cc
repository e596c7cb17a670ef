#include "engine/workers/worker_owner.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "engine/jobs/job_runs.h"
#include "engine/jobs/preemption.h"
#include "engine/jobs/run_queries.h"
#include "engine/members/membership.h"
#include "engine/records/watches.h"
#include "engine/workers/acceptance.h"
#include "engine/workers/assigned_workers.h"
#include "engine/workers/lease_bounds.h"
#include "engine/workers/ownership_check.h"
#include "engine/workers/run_ends.h"
#include "engine/workers/run_handover.h"
#include "engine/workers/run_progress.h"
#include "engine/workers/service_workers.h"
#include "engine/workers/stray_calls.h"
#include "engine/workers/worker_handover.h"
#include "engine/workers/worker_list.h"
#include "engine/workers/worker_listing.h"
#include "engine/workers/worker_restarts.h"
#include "engine/workers/worker_runs.h"
#include "model/worker_incarnation.h"

namespace burdockrock::engine {

namespace {

// Calls without a reply to this share of an instance's workers show that
// answers of the others get lost as well.
constexpr double kLossyShare = 0.25;

std::int64_t WorkerClock(const Context& context, const OwnedWorker& worker) {
  return ToMilliseconds(context.now) + worker.clock_offset_ms;
}

void BeginClaim(Context& context, const WorkerInfo& info) {
  OwnedWorker& worker = context.state.owned[info.id];
  worker.info = info;
  // The previous owner's estimate, from its digest.
  worker.speed = SpeedEstimate(context.state.view[info.id].slowness);
  worker.fence = FenceToExceed(context.state, info.id);
  worker.next_poll_at = context.now;
  if (info.address.empty()) {
    worker.missed_since = context.now;
    worker.unresponsive_since = context.now;
  }
  worker.lease_bound = ReleasedLeaseEnd(context, info.id);
  AssumeForeignLeases(context, worker);
}

// A member that registers before the last lease has expired may claim the
// worker and renew its leases. Unless all members up to that time are known, a
// worker that another member reaches could be declared lost, and its tasks
// would run twice.
bool MayDeclareLost(const Context& context, const OwnedWorker& worker) {
  const Watch& members =
      context.state.watches[static_cast<std::size_t>(WatchedList::kMembers)];
  const Time stray = StrayLeasesEnd(context, worker);
  const Time run_out =
      std::max({worker.lease_bound, ForeignLeasesEnd(context, worker),
                stray <= context.now ? stray : Time(0)});
  return members.known_to >= run_out &&
         ChooseMember(context.state, worker.info.id, worker.info.domain) ==
             context.self();
}

// All leases have expired, including those of former owners. A missing entry in
// the store proves nothing: when a failure domain is cut off, the worker and
// its former owner can be cut off together, and the owner keeps renewing.
bool LeasesHaveExpired(const Context& context, const OwnedWorker& worker) {
  return context.now >= worker.lease_bound &&
         context.now >= ForeignLeasesEnd(context, worker);
}

// One poll got no reply, and the next one has not yet shown whether the worker
// is reachable.
bool HasMissedPoll(const OwnedWorker& worker) {
  return worker.missed_since != Time(0) && !IsUnresponsive(worker);
}

bool MayRenew(const Context& context, const OwnedWorker& worker) {
  const bool unresponsive =
      worker.missed_since != Time(0) &&
      HasPassed(context.now, worker.missed_since, kMaxRenewalWithoutAnswer);
  const bool without_store = HasPassed(
      context.now, context.state.members.last_contact, kMaxRenewalWithoutStore);
  return worker.claimed && !unresponsive && !without_store &&
         !worker.later_process_answered && !context.state.stop.released;
}

// Members may have registered since the claim began. Completing the claim would
// take the worker from its rightful owner, which has a lower fence, without
// either of them detecting it.
void DropStaleClaims(Context& context) {
  std::erase_if(context.state.owned, [&](const auto& it) {
    const OwnedWorker& worker = it.second;
    if (worker.claimed || worker.poll_in_flight) {
      return false;
    }
    const std::string owner =
        ChooseMember(context.state, it.first, worker.info.domain);
    if (owner == context.self() || HasRestarted(worker)) {
      return false;
    }
    TellRightfulOwner(context, it.first);
    return true;
  });
}

bool LostAnswer(const Context& context, const OwnedWorker& worker) {
  return worker.unanswered_at != Time::min() &&
         context.now - worker.unanswered_at < kLossyPeriod;
}

// Whether answers of the worker get lost. One of many other workers that does
// not answer shows nothing of this one; several show that the loss is near this
// instance.
bool AnswersGetLost(const Context& context, const OwnedWorker& worker) {
  if (LostAnswer(context, worker)) {
    return true;
  }
  const auto& owned = context.state.owned;
  const auto lossy =
      std::count_if(owned.begin(), owned.end(), [&](const auto& it) {
        return !IsUnresponsive(it.second) && LostAnswer(context, it.second);
      });
  return lossy > 0 && static_cast<double>(lossy) >=
                          kLossyShare * static_cast<double>(owned.size());
}

// Uses the full slack for an unresponsive worker, whose replies may merely have
// become slow.
Duration PollSlack(const Context& context, const OwnedWorker& worker) {
  if (worker.claimed && !IsUnresponsive(worker) &&
      (HasMissedPoll(worker) || AnswersGetLost(context, worker))) {
    return context.state.worker_responses.response_time.Timeout(kMinPollSlack,
                                                                kPollSlack);
  }
  return kPollSlack;
}

// A poll without a wait tells a lost reply from an unresponsive worker.
Duration PollWait(const Context& context, const OwnedWorker& worker) {
  if (worker.missed_since != Time(0)) {
    return Duration(0);
  }
  return AnswersGetLost(context, worker) ? kLossyPollWait : kPollWait;
}

// Polls the worker. Leases last long enough for the next poll to get lost.
void SendPoll(Context& context, const std::string& id, OwnedWorker& worker) {
  // After a call without a reply another process may answer, whose ends must
  // not be dropped unread.
  PollWorker poll{.acknowledged =
                      worker.missed_since == Time(0) ? worker.acknowledged : 0};
  if (!worker.claimed) {
    if (context.state.members.fence <= worker.fence) {
      // The worker has refused this fence already.
      RequestFenceAdvance(context);
      worker.next_poll_at = context.now + kPollRetryDelay;
      return;
    }
    worker.fence = context.state.members.fence;
  }
  poll.fence = worker.fence;
  if (MayRenew(context, worker)) {
    const bool first = worker.lease_until_ms == 0;
    poll.lease_until_ms = NextLease(context, worker);
    poll.wait = PollWait(context, worker);
    if (first) {
      RoomChanged(context, id);  // it accepts tasks from now on
    }
  }
  worker.poll_in_flight = true;
  worker.poll_sent_at = context.now;
  ++context.state.totals.polls;
  context.Emit(CallWorker{.worker = id,
                          .address = worker.info.address,
                          .request = poll,
                          .timeout = poll.wait + PollSlack(context, worker)});
}

// Polls without a wait, beside the long poll in flight, to check whether the
// worker still accepts this instance's fence.
void SendOwnershipCheck(Context& context,
                        const std::string& id,
                        OwnedWorker& worker) {
  worker.ownership_check_due = false;
  worker.ownership_check_in_flight = true;
  worker.ownership_check_sent_at = context.now;
  ++context.state.totals.polls;
  context.Emit(CallWorker{.worker = id,
                          .address = worker.info.address,
                          .request = PollWorker{.fence = worker.fence},
                          .timeout = kPollSlack});
}

void OnPollDone(Context& context,
                const std::string& id,
                OwnedWorker& worker,
                const WorkerDone& done,
                Time requested_at) {
  worker.last_reply_at = context.now;
  worker.owned_as_of = std::max(worker.owned_as_of, requested_at);
  // The reply only rules out lower fences: a claim with a higher one may still
  // arrive, so `foreign_bound` stays.
  worker.unverified =
      worker.unverified && requested_at < worker.unverified_since;
  const bool was_unresponsive = IsUnresponsive(worker);
  if (std::exchange(worker.unresponsive_logged, false)) {
    context.Log(EventNumber::kWorkerBack,
                {{"worker", id},
                 {"after_ms", std::to_string(ToMilliseconds(
                                  context.now - worker.unresponsive_since))}});
  }
  worker.missed_since = Time(0);
  worker.unresponsive_since = Time(0);
  worker.clock_offset_ms = done.clock_ms - ToMilliseconds(context.now);
  NoteProcessAlive(context, worker, done, requested_at);
  const bool claimed_now = !worker.claimed;
  const std::uint64_t announced = context.state.view[id].fence;
  if (claimed_now && announced > worker.fence) {
    // The other members would ignore the claim.
    worker.fence = announced;
    worker.next_poll_at = context.now;
    return;
  }
  if (claimed_now) {
    worker.claimed = true;
    context.state.lost_workers.erase(id);
    worker.lease_bound = context.now + LeaseSpan(context);
    worker.foreign_bound = context.now;  // it refuses lower fences from now on
    context.Log(EventNumber::kWorkerClaimed,
                {{"worker", id},
                 {"fence", std::to_string(worker.fence)},
                 {"running", std::to_string(done.running.size())},
                 {"ended", std::to_string(done.ended.size())}});
  }
  // A poll without a lease must be followed by a renewal at once.
  const bool renew_now = claimed_now || was_unresponsive;
  worker.next_poll_at = context.now + (renew_now ? Duration(0) : kPollInterval);
  ApplyListing(context, id, worker, done, requested_at);
  AnswerRunQueries(context, id, worker);
  if (renew_now) {
    RoomChanged(context, id);
  }
}

void OnOwnershipCheckReply(Context& context, const WorkerAnswered& event) {
  OwnedWorker& worker = context.state.owned.at(event.worker);
  if (const auto* done = std::get_if<WorkerDone>(&event.answer)) {
    worker.owned_as_of = std::max(worker.owned_as_of, event.called_at);
    NoteProcessAlive(context, worker, *done, event.called_at);
    ApplyListing(context, event.worker, worker, *done, event.called_at);
    AnswerRunQueries(context, event.worker, worker);
    return;
  }
  const WorkerRefusalKind kind = std::get<WorkerRefused>(event.answer).kind;
  if (kind == WorkerRefusalKind::kFenced) {
    OnFenced(context, event.worker);
  } else if (kind == WorkerRefusalKind::kReplaced) {
    DeclareWorkerLost(context, event.worker, LossKind::kEnded,
                      "replaced by another incarnation");
  }
}

// Whether a worker accepts tasks also changes by time alone, as at the end of a
// pause, and a worker without runs has no other event.
void AnnounceAcceptance(Context& context,
                        const std::string& id,
                        const OwnedWorker& worker) {
  if (worker.claimed &&
      worker.announced_accepting != Accepts(context, worker)) {
    RoomChanged(context, id);
  }
}

// Claims the workers that the current members assign to this instance.
void ClaimOwn(Context& context) {
  const bool settled =
      HasPassed(context.now, context.state.members.registered_at, kClaimDelay);
  // An instance that the store refuses may have been removed from the list of
  // members, and its workers may belong to a successor.
  if (!IsRegistrationCurrent(context) || context.state.stop.requested ||
      !settled) {
    return;
  }
  context.state.ownership_checked_at = context.now;
  for (const std::string& id : WorkersAssigned(context)) {
    const ListedWorker* it = FindWorker(context.state, id);
    if (it != nullptr && !context.state.owned.contains(id)) {
      BeginClaim(context, it->info);
    }
  }
}

// Ends claims of incarnations that a later one has succeeded: their polls would
// reach the later one and take it from its owner.
void EndSucceededClaims(Context& context) {
  std::map<std::string, std::string> ended;
  for (const auto& [name, worker] : context.state.owned) {
    if (worker.claimed || worker.poll_in_flight || HasRestarted(worker)) {
      continue;
    }
    if (auto next = ClaimedSuccessor(context.state, name)) {
      ended.emplace(name, std::move(*next));
    }
  }
  for (const auto& [name, next] : ended) {
    OnWorkerRestarted(context, name, BornOf(next));
  }
}

}  // namespace

void ScheduleOwnershipCheck(Context& context) {
  context.state.ownership_checked_at = Time::min();
}

void DriveWorkers(Context& context) {
  DropStaleClaims(context);
  if (HasPassed(context.now, context.state.ownership_checked_at,
                kOwnershipCheckInterval)) {
    ClaimOwn(context);
  }
  EndSucceededClaims(context);
  std::vector<std::string> lost;
  // What changes by time alone is not checked in each step.
  const bool ticks = context.state.drive.ticked_at == context.now;
  for (auto& [id, worker] : context.state.owned) {
    if (HasRestarted(worker)) {
      continue;
    }
    worker.ownership_check_due =
        worker.ownership_check_due || worker.later_process_answered;
    if (MaySendOwnershipCheck(context, worker)) {
      SendOwnershipCheck(context, id, worker);
    }
    if (ticks && IsUnresponsive(worker) && IsRegistrationCurrent(context) &&
        LeasesHaveExpired(context, worker)) {
      if (!MayDeclareLost(context, worker)) {
        RequestMembers(context);
      } else if (context.now < StrayLeasesEnd(context, worker)) {
        ReportCertainLosses(context, id, worker);
      } else {
        lost.push_back(id);
        continue;
      }
    }
    if (ticks && IsUnresponsive(worker)) {
      TellOfUnreachable(context, id, worker);
    }
    const bool may_poll =
        !worker.poll_in_flight && !worker.info.address.empty();
    if (may_poll && context.now >= worker.next_poll_at) {
      SendPoll(context, id, worker);
    }
    DriveRuns(context, id, worker);
    if (ticks) {
      AnnounceAcceptance(context, id, worker);
    }
  }
  for (const std::string& it : lost) {
    DeclareWorkerLost(context, it, LossKind::kSilent, "silent past its leases");
  }
  DriveRestarts(context);
}

void OnPollReply(Context& context, const WorkerAnswered& event) {
  const auto it = context.state.owned.find(event.worker);
  const auto& poll = std::get<PollWorker>(event.request);
  if (it == context.state.owned.end() || it->second.fence != poll.fence) {
    return;
  }
  OwnedWorker& worker = it->second;
  ExtendStrayLeases(context, worker, event);
  if (HasRestarted(worker)) {
    return;
  }
  const auto* reply = std::get_if<WorkerDone>(&event.answer);
  if (reply != nullptr && IsOtherIncarnation(event.worker, reply->born)) {
    return OnWorkerRestarted(context, event.worker, reply->born);
  }
  if (worker.claimed && IsReplyToCheck(worker, poll, event.called_at)) {
    worker.ownership_check_in_flight = false;
    if (!std::holds_alternative<WorkerUnreached>(event.answer)) {
      return OnOwnershipCheckReply(context, event);
    }
    return;
  }
  worker.poll_in_flight = false;
  const bool unreached = std::holds_alternative<WorkerUnreached>(event.answer);
  if (poll.wait == Duration(0) && !unreached) {
    RecordResponseTime(context, event);
  }
  if (const auto* done = std::get_if<WorkerDone>(&event.answer)) {
    OnPollDone(context, event.worker, worker, *done, event.called_at);
    return;
  }
  worker.next_poll_at = context.now + kPollRetryDelay;
  const auto* refused = std::get_if<WorkerRefused>(&event.answer);
  const bool fenced =
      refused != nullptr && refused->kind == WorkerRefusalKind::kFenced;
  if (fenced) {
    // The worker replies, and another owner has it. If it counted as
    // unresponsive, it could be declared lost while its tasks run, and these
    // would run twice.
    worker.missed_since = Time(0);
    worker.unresponsive_since = Time(0);
  } else if (refused == nullptr && worker.claimed &&
             worker.missed_since == Time(0)) {
    worker.missed_since = worker.poll_sent_at;
    worker.next_poll_at = context.now;
    worker.unanswered_at = context.now;
    return;
  } else if (!IsUnresponsive(worker)) {
    if (worker.missed_since == Time(0)) {
      worker.missed_since = worker.poll_sent_at;
    }
    worker.unresponsive_since = worker.missed_since;
    RoomChanged(context, event.worker);
    ReportUnreached(context, event.worker, worker);
  }
  const bool is_refusal_of_owner =
      refused != nullptr && (refused->kind == WorkerRefusalKind::kReplaced ||
                             refused->kind == WorkerRefusalKind::kFenced);
  if (!is_refusal_of_owner) {
    if (!std::exchange(worker.unresponsive_logged, true)) {
      const auto* unreached = std::get_if<WorkerUnreached>(&event.answer);
      context.Log(EventNumber::kWorkerSilent,
                  {{"worker", event.worker},
                   {"problem", unreached != nullptr
                                   ? unreached->detail
                                   : WorkerRefusalName(refused->kind)}});
    }
    return;
  }
  if (refused->kind == WorkerRefusalKind::kReplaced) {
    DeclareWorkerLost(context, event.worker, LossKind::kEnded,
                      "replaced by another incarnation");
  } else if (refused->kind == WorkerRefusalKind::kFenced) {
    context.Log(
        EventNumber::kClaimRefused,
        {{"worker", event.worker}, {"fence", std::to_string(poll.fence)}});
    if (worker.claimed) {
      OnFenced(context, event.worker);
    } else {
      RequestFenceAdvance(context);
    }
  }
}

void MarkWorkersUnverified(Context& context) {
  for (auto& [id, worker] : context.state.owned) {
    worker.unverified = true;
    worker.unverified_since = context.now;
  }
}

void ExtendUnverifiedLeases(Context& context) {
  for (auto& [id, worker] : context.state.owned) {
    if (worker.unverified) {
      AssumeForeignLeases(context, worker);
    }
  }
}

void ReleaseWorker(Context& context, const std::string& id) {
  const auto node = context.state.owned.extract(id);
  if (node.empty()) {
    return;
  }
  context.Log(EventNumber::kOwnershipLost,
              {{"worker", id}, {"fence", std::to_string(node.mapped().fence)}});
  HandOverRunsOf(context, id, node.mapped());
  for (const auto& [task, run] : node.mapped().runs) {
    const bool never_ran = run.phase == RunPhase::kBooked ||
                           run.phase == RunPhase::kAwaitingRoom ||
                           (run.phase == RunPhase::kStarting &&
                            run.command_sent_at == Time::min());
    if (run.offer_unanswered && never_ran) {
      AnswerOffer(context, run.owner, id, task, run.run,
                  OfferOutcome::kNotOwner);
    }
  }
  context.state.digest.changed.erase(id);
  RememberReleasedLease(context, id,
                        std::max(node.mapped().lease_bound,
                                 StrayLeasesEnd(context, node.mapped())));
}

void DeclareWorkerLost(Context& context,
                       const std::string& id,
                       LossKind kind,
                       const char* cause) {
  auto node = context.state.owned.extract(id);
  if (!node.empty()) {
    OwnedWorker& worker = node.mapped();
    if (kind != LossKind::kSilent) {
      // The end is certain, whoever owned the worker last; with a lower fence
      // the other members would ignore it.
      worker.fence = std::max(worker.fence, context.state.view[id].fence);
    }
    const bool crashed = IsCrash(context, worker, kind);
    context.Log(EventNumber::kWorkerGone,
                {{"worker", id},
                 {"cause", cause},
                 {"crashed", crashed ? "yes" : "no"},
                 {"runs", std::to_string(worker.runs.size())}});
    ReportLostRuns(context, id, worker, crashed);
    AddLostWorker(context, worker, kind);
    context.state.digest.changed.insert(id);
    // The loss is announced with this fence, also without a claim before.
    RoomView& view = context.state.view[id];
    view.fence = std::max(view.fence, worker.fence);
  }
  // Otherwise each ownership check would claim it again until its entry in the
  // store expires.
  EraseWorker(context.state, id);
  RoomView& view = context.state.view[id];
  view.lost = true;
  view.accepting = false;
  OnRoomChanged(view);
  OnWorkerLost(context, id);
}

void RoomChanged(Context& context, const std::string& id) {
  const auto it = context.state.owned.find(id);
  if (it == context.state.owned.end() || !it->second.claimed) {
    return;
  }
  OwnedWorker& worker = it->second;
  RoomView& view = context.state.view[id];
  if (view.fence > worker.fence) {
    return;  // another owner has announced it; the worker will refuse ours
  }
  ++worker.version;
  context.state.digest.changed.insert(id);
  SetRoom(context.state, id, view,
          {.owner = context.self(),
           .fence = worker.fence,
           .version = worker.version,
           .free = FreeRoom(worker),
           .yielding = PreemptibleRoom(worker),
           .accepting = Accepts(context, worker),
           .slowness = worker.speed.slowness(),
           .updated_at = context.now});
  worker.announced_accepting = view.accepting;
  LogAcceptance(context, id, worker);
  context.state.placement_due = true;
}

Resources FreeRoom(const OwnedWorker& worker) {
  Resources free = worker.info.capacity;
  for (const auto& [task, run] : worker.runs) {
    free -= RoomOf(run.spec);
  }
  return free;
}

std::int64_t NextLease(Context& context, OwnedWorker& worker) {
  const Duration max_lease = context.state.options.bounds.max_lease;
  worker.lease_bound =
      std::max(worker.lease_bound, context.now + LeaseSpan(context));
  worker.lease_until_ms =
      WorkerClock(context, worker) + ToMilliseconds(max_lease);
  return worker.lease_until_ms;
}

bool IsUnresponsive(const OwnedWorker& worker) {
  return worker.unresponsive_since != Time(0);
}

OwnedWorker* FindClaimed(State& state, const std::string& id) {
  const auto it = state.owned.find(id);
  const bool claimed = it != state.owned.end() && it->second.claimed;
  return claimed ? &it->second : nullptr;
}

}  // namespace burdockrock::engine
