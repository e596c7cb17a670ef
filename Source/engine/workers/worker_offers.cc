#include "engine/workers/worker_offers.h"

#include <algorithm>
#include <optional>

#include "engine/jobs/preemption.h"
#include "engine/members/membership.h"
#include "engine/records/catalog.h"
#include "engine/workers/acceptance.h"
#include "engine/workers/run_ends.h"
#include "engine/workers/worker_owner.h"
#include "engine/workers/worker_restarts.h"
#include "engine/workers/worker_runs.h"

namespace burdockrock::engine {

namespace {

// Whether the sender is not a member or no longer owns the job.
bool IsStale(Context& context,
             const std::string& from,
             const TaskOffer& offer) {
  KnownJob& known = context.state.known[offer.job];
  const bool member =
      from == context.self() || FindMember(context.state, from) != nullptr;
  if (!member || offer.generation < known.generation) {
    return true;
  }
  NoteOwner(known, from, offer.generation);
  known.last_update = context.now;
  return false;
}

// Whether all runs, those that are booked included, fit into the capacity.
bool IsWithinCapacity(const OwnedWorker& worker) {
  return Fits(Resources(), FreeRoom(worker));
}

// Whether a task that does not fit now may wait at the worker for room: runs
// are stopped for it, or it is to be there alone and the others are moved away,
// end or last.
bool MayAwaitRoom(Context& context,
                  OwnedWorker& worker,
                  const TaskOffer& offer,
                  const OfferedTask& offered,
                  Duration alone_for,
                  const Resources& room) {
  if (alone_for > Duration(0)) {
    return !offer.book_only && Fits(room, worker.info.capacity);
  }
  return offer.preempts && MakeRoom(context, offered.worker, worker, room);
}

// Whether a task that is to run alone may do so at one more of the own workers.
bool MayIsolate(const State& state) {
  std::size_t claimed = 0;
  std::size_t isolated = 0;
  for (const auto& [id, worker] : state.owned) {
    claimed += worker.claimed ? 1 : 0;
    isolated += HasIsolatedRun(worker) ? 1 : 0;
  }
  const double most = kIsolatedShare * static_cast<double>(claimed);
  return claimed <= kFewOwnedWorkers ||
         static_cast<double>(isolated + 1) <= std::max(most, 1.0);
}

// Whether a task that can't run alone for kIsolatedShare is to run beside
// others.
bool MayNotWaitAlone(const TaskOffer& offer, const OfferedTask& offered) {
  return offered.waited >=
         (offer.spec.lasting ? kMaxLastingIsolationWait : kMaxIsolationWait);
}

// Handles an offer of a task that is already at the worker. Returns nothing
// when the offer is accepted and its outcome follows later.
std::optional<OfferOutcome> RepeatedOffer(Context& context,
                                          const std::string& id,
                                          OwnedWorker& worker,
                                          const std::string& task,
                                          LocalRun& run,
                                          const TaskOffer& offer,
                                          const OfferedTask& offered) {
  if (run.run > offered.run) {
    return OfferOutcome::kOldRun;
  }
  if (run.run < offered.run) {
    return OfferOutcome::kNoRoom;  // the earlier run has not ended here
  }
  run.owner = context.state.known[offer.job].owner;
  run.generation = offer.generation;
  run.last_queried = context.now;
  switch (run.phase) {
    case RunPhase::kBooked:
      if (offer.book_only) {
        run.since = context.now;
        return OfferOutcome::kBooked;
      }
      if (HasRestarted(worker)) {
        RemoveRun(context, id, worker, task);
        return OfferOutcome::kNotServing;
      }
      // The worker's capacity may have shrunk since the booking.
      if (!IsWithinCapacity(worker)) {
        RemoveRun(context, id, worker, task);
        return OfferOutcome::kNoRoom;
      }
      run.ticket = offered.ticket;
      run.checkpoint = offered.checkpoint;
      run.offer_unanswered = true;
      EnterPhase(context, run, RunPhase::kStarting);
      SendStart(context, id, worker, task, run);
      return std::nullopt;
    case RunPhase::kAwaitingRoom:
    case RunPhase::kStarting:
      run.offer_unanswered = true;
      return std::nullopt;
    case RunPhase::kRunning:
      return OfferOutcome::kStarted;
    case RunPhase::kStopping:
      run.offer_unanswered = true;
      return std::nullopt;
  }
  return std::nullopt;
}

// A run that is gone or has started needs no ticket.
void RenewTicket(Context& context,
                 const OfferedTask& offered,
                 const std::string& task) {
  OwnedWorker* worker = FindClaimed(context.state, offered.worker);
  if (worker == nullptr) {
    return;
  }
  const auto it = worker->runs.find(task);
  if (it != worker->runs.end() && it->second.run == offered.run &&
      it->second.phase == RunPhase::kAwaitingRoom) {
    it->second.ticket = offered.ticket;
  }
}

// Returns nothing when the offer is accepted and its outcome follows later.
std::optional<OfferOutcome> TakeOffered(Context& context,
                                        const std::string& from,
                                        const TaskOffer& offer,
                                        const OfferedTask& offered,
                                        const std::string& task) {
  OwnedWorker* worker = FindClaimed(context.state, offered.worker);
  if (worker == nullptr || worker->fence != offered.fence) {
    return OfferOutcome::kNotOwner;
  }
  auto there = worker->runs.find(task);
  if (there != worker->runs.end() && there->second.phase == RunPhase::kBooked &&
      there->second.run < offered.run) {
    // The stop of an earlier booking may still be under way or was lost.
    RemoveRun(context, offered.worker, *worker, task);
    there = worker->runs.end();
  }
  if (there != worker->runs.end()) {
    return RepeatedOffer(context, offered.worker, *worker, task, there->second,
                         offer, offered);
  }
  // A query for the run can overtake its offer. Once the reply was "not here",
  // the task may have a later run elsewhere. A late booking runs nothing, and
  // is released when it is not repeated.
  const auto& refused = context.state.known[offer.job].refused_runs;
  const auto last = refused.find(task);
  if (!offer.book_only && last != refused.end() &&
      offered.run <= last->second) {
    return OfferOutcome::kOldRun;
  }
  if (HasEndOf(*worker, task, offered.run)) {
    RepeatEndReports(*worker, task);
    return std::nullopt;  // the report of the end answers the offer
  }
  if (HasIsolatedRun(*worker)) {
    return OfferOutcome::kNoRoom;
  }
  if (!Accepts(context, *worker)) {
    return OfferOutcome::kNotServing;
  }
  const Resources room = RoomOf(offer.spec);
  const bool bound = offered.alone_for > Duration(0) && !offer.spec.gang &&
                     !MayIsolate(context.state);
  if (bound && !MayNotWaitAlone(offer, offered)) {
    return OfferOutcome::kNoRoom;
  }
  const Duration alone_for = bound ? Duration(0) : offered.alone_for;
  const bool alone = alone_for > Duration(0);
  const bool fits = Fits(room, FreeRoom(*worker)) &&
                    (!alone || OthersHaveLasted(context, *worker, task));
  if (!fits &&
      !MayAwaitRoom(context, *worker, offer, offered, alone_for, room)) {
    return OfferOutcome::kNoRoom;
  }
  LocalRun& run = worker->runs[task];
  run = LocalRun{
      .run = offered.run,
      .phase = offer.book_only ? RunPhase::kBooked : RunPhase::kStarting,
      .spec = offer.spec,
      .owner = from,
      .generation = offer.generation,
      .last_queried = context.now,
      .payload = offer.payload,
      .ticket = offered.ticket,
      .checkpoint = offered.checkpoint,
      .priority = offer.priority,
      .since = context.now,
      .alone_for = alone_for,
      .offer_unanswered = !offer.book_only};
  RoomChanged(context, offered.worker);
  if (offer.book_only) {
    return OfferOutcome::kBooked;
  }
  if (fits) {
    SendStart(context, offered.worker, *worker, task, run);
  } else {
    run.phase = RunPhase::kAwaitingRoom;
  }
  return std::nullopt;
}

}  // namespace

void OnTaskOffer(Context& context,
                 const std::string& from,
                 const TaskOffer& offer) {
  const bool stale = IsStale(context, from, offer);
  OfferAnswers answers;
  for (const OfferedTask& it : offer.tasks) {
    const std::string task = ToString(TaskName{.job = offer.job,
                                               .occurrence = offer.occurrence,
                                               .step = offer.step,
                                               .index = it.index});
    if (offer.renews) {
      if (!stale) {
        RenewTicket(context, it, task);
      }
      continue;
    }
    const auto outcome = stale ? OfferOutcome::kOldOwner
                               : TakeOffered(context, from, offer, it, task);
    if (outcome) {
      answers.answers.push_back({.task = task,
                                 .run = it.run,
                                 .worker = it.worker,
                                 .outcome = *outcome});
    }
  }
  if (!answers.answers.empty()) {
    SendOfferAnswers(context, from, std::move(answers));
  }
}

}  // namespace burdockrock::engine
