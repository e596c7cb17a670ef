#include "engine/jobs/gang_placing.h"

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "engine/jobs/gang_bookings.h"
#include "engine/jobs/job_table.h"
#include "engine/jobs/task_crashes.h"
#include "engine/teams/quota.h"
#include "engine/teams/quota_demand.h"
#include "engine/workers/worker_list.h"
#include "model/worker_incarnation.h"

namespace burdockrock::engine {

namespace {

// A gang that is faster on one rack prefers it for this long, and then starts
// on several.
constexpr Duration kMaxRackWait = milliseconds(1500);

bool AllInPhase(const StepRun& step, TaskPhase phase) {
  return std::all_of(step.tasks.begin(), step.tasks.end(),
                     [phase](const Task& it) { return it.phase == phase; });
}

// Workers for the members that wait, in the order of the tasks; empty if not
// all fit.
std::vector<Candidate*> FitWaiting(const Context& context,
                                   const ReadyStep& ready,
                                   const std::vector<Candidate*>& eligible,
                                   const std::string& rack) {
  PlacementChoice choice{
      .ready = ready, .eligible = eligible, .placed = CountPlaced(ready)};
  PlacementNeed need = NeedOf(ready);
  need.rack = rack;
  std::vector<Candidate*> chosen;
  std::vector<Resources> taken;
  bool all_fit = true;
  for (const Task& it : ready.run().tasks) {
    if (it.phase != TaskPhase::kWaiting) {
      continue;
    }
    const bool alone = IsolationOf(context, it) > Duration(0);
    Candidate* best =
        alone ? ChooseEmpty(choice, need) : ChooseWorker(choice, need);
    if (best == nullptr) {
      all_fit = false;
      break;
    }
    ++choice.placed[std::string(WorkerIdOf(best->worker->id))];
    taken.push_back(alone ? best->free : need.room);
    best->free -= taken.back();
    chosen.push_back(best);
  }
  for (std::size_t it = 0; it < chosen.size(); ++it) {
    chosen[it]->free += taken[it];
  }
  if (!all_fit) {
    chosen.clear();
  }
  return chosen;
}

// The rack in which members of the gang have room already; empty: none.
std::string BookedRack(const Context& context, const ReadyStep& ready) {
  for (const Task& it : ready.run().tasks) {
    const ListedWorker* listed = FindWorker(context.state, it.worker);
    if (it.phase == TaskPhase::kOffered && listed != nullptr) {
      return std::string(listed->info.rack());
    }
  }
  return {};
}

std::vector<Candidate*> FitInOneRack(const Context& context,
                                     const ReadyStep& ready,
                                     const std::vector<Candidate*>& eligible) {
  if (const std::string rack = BookedRack(context, ready); !rack.empty()) {
    return FitWaiting(context, ready, eligible, rack);
  }
  std::set<std::string> racks;
  for (const Candidate* it : eligible) {
    racks.insert(it->worker->rack());
  }
  for (const std::string& it : racks) {
    auto chosen = FitWaiting(context, ready, eligible, it);
    if (!chosen.empty()) {
      return chosen;
    }
  }
  return {};
}

std::vector<Candidate*> FitGang(PlacementRound& round, const ReadyStep& ready) {
  const std::vector<Candidate*> eligible =
      EligibleWorkers(round, ready, NeedOf(ready));
  if (ready.spec().same_rack) {
    auto chosen = FitInOneRack(round.context, ready, eligible);
    const bool waits_for_rack =
        !HasPassed(round.context.now, ready.run().ready_at, kMaxRackWait);
    if (!chosen.empty() || waits_for_rack) {
      return chosen;
    }
  }
  return FitWaiting(round.context, ready, eligible, {});
}

bool IsPaused(const Context& context, const StepRun& step) {
  return std::any_of(step.tasks.begin(), step.tasks.end(), [&](const Task& it) {
    return it.phase == TaskPhase::kWaiting &&
           (it.retry_at > context.now || IsHeldForCrashes(context, it));
  });
}

// What the members that wait for a worker count together.
Resources ChargeOfWaiting(const ReadyStep& ready) {
  Resources charge;
  for (const Task& it : ready.run().tasks) {
    if (it.phase == TaskPhase::kWaiting) {
      charge += ChargeOfRun(ready.spec());
    }
  }
  return charge;
}

// Books the chosen workers for the members that wait.
void BookWaiting(PlacementRound& round,
                 const ReadyStep& ready,
                 const std::vector<Candidate*>& chosen) {
  StepRun& step = ready.run();
  const Resources room = RoomOf(ready.spec());
  std::size_t next = 0;
  TakeQuota(round.context, *ready.job, ChargeOfWaiting(ready));
  for (std::uint32_t it = 0; it < step.tasks.size(); ++it) {
    Task& task = step.tasks[it];
    if (task.phase != TaskPhase::kWaiting) {
      continue;
    }
    AssignWorker(round, room, *chosen[next++], task, step.gang_run);
    AddOffer(round, ready, it, OfferOf(round.context, task),
             OfferKind::kBooking);
  }
  // The tickets for these workers are requested while their room is booked.
  step.advice_checked_at = Time::min();
}

void BeginBooking(PlacementRound& round, const ReadyStep& ready) {
  StepRun& step = ready.run();
  if (IsPaused(round.context, step) ||
      !MayPlaceAnywhere(round.context, ready) ||
      !HasQuota(round.context, *ready.job, ChargeOfWaiting(ready))) {
    return;
  }
  const auto chosen = FitGang(round, ready);
  if (chosen.empty()) {
    return;
  }
  std::uint64_t last = step.gang_run;
  for (const Task& it : step.tasks) {
    last = std::max(last, it.run);
  }
  step.gang_run = NextRun(*ready.job, last);
  step.gang_booking_since = round.context.now;
  // All members resume from the same checkpoint.
  std::string checkpoint;
  for (const Task& it : step.tasks) {
    checkpoint = std::max(checkpoint, it.checkpoint);
  }
  for (Task& it : step.tasks) {
    it.checkpoint = checkpoint;
  }
  BookWaiting(round, ready, chosen);
}

// Whether the start of the gang's present run may be sent: it is stored, if it
// has to be.
bool IsGangStored(Context& context, const ReadyStep& ready) {
  StepRun& step = ready.run();
  if (std::none_of(step.tasks.begin(), step.tasks.end(), MustStoreStart)) {
    return true;
  }
  if (step.gang_stored_run != step.gang_run) {
    MarkChanged(context, *ready.job, true);
    step.gang_stored_run = step.gang_run;
    step.gang_stored_version = ready.job->version;
  }
  return ready.job->stored_version >= step.gang_stored_version;
}

// Whether a booked worker turned out not to be allowed.
bool IsDenied(const ReadyStep& ready) {
  const StepRun& step = ready.run();
  return ready.queue->advice &&
         std::any_of(step.tasks.begin(), step.tasks.end(), [&](const Task& it) {
           return it.phase == TaskPhase::kOffered &&
                  !step.tickets.contains(it.worker);
         });
}

void GiveUpBooking(PlacementRound& round,
                   const ReadyStep& ready,
                   const char* cause) {
  ReleaseBookings(round.context, *ready.job,
                  {.job = ready.job->id,
                   .occurrence = ready.occurrence,
                   .step = ready.step},
                  cause);
}

// Repeats the bookings, so that they last until the tickets have come: a
// worker's owner releases those that are not repeated.
void RepeatBookings(PlacementRound& round, const ReadyStep& ready) {
  StepRun& step = ready.run();
  for (std::uint32_t it = 0; it < step.tasks.size(); ++it) {
    Task& task = step.tasks[it];
    if (IsOnlyBooked(*ready.job, step, task) &&
        HasPassed(round.context.now, task.offered_at, kOfferRetryDelay)) {
      task.offered_at = round.context.now;
      AddOffer(round, ready, it, OfferOf(round.context, task),
               OfferKind::kBooking);
    }
  }
}

// When the last of the members that wait began to.
Time LastRefusal(const StepRun& step) {
  Time last{0};
  for (const Task& it : step.tasks) {
    if (it.phase == TaskPhase::kWaiting) {
      last = std::max(last, it.since);
    }
  }
  return last;
}

// Books room for the members that still lack it. Gives up all of it when there
// is none, so that gangs do not wait for each other's room.
void ContinueBooking(PlacementRound& round, const ReadyStep& ready) {
  const StepRun& step = ready.run();
  if (HasPassed(round.context.now, step.gang_booking_since, kMaxBooking)) {
    return GiveUpBooking(round, ready, "late");
  }
  if (IsDenied(ready)) {
    return GiveUpBooking(round, ready, "denied");
  }
  const bool all_placed = std::none_of(
      step.tasks.begin(), step.tasks.end(),
      [](const Task& it) { return it.phase == TaskPhase::kWaiting; });
  if (all_placed || IsPaused(round.context, step)) {
    return;
  }
  if (!HasQuota(round.context, *ready.job, ChargeOfWaiting(ready))) {
    if (IsCountedSince(round.context, LastRefusal(step))) {
      GiveUpBooking(round, ready, "quota");
    }
    return;
  }
  const auto chosen = FitGang(round, ready);
  if (chosen.empty()) {
    return GiveUpBooking(round, ready, "no_room");
  }
  BookWaiting(round, ready, chosen);
}

// Starts all members together once room is booked for each of them and their
// tickets are valid: members that start early wait for the late ones, and end
// if that takes too long.
void StartIfBooked(PlacementRound& round, const ReadyStep& ready) {
  StepRun& step = ready.run();
  const bool all_booked =
      std::all_of(step.tasks.begin(), step.tasks.end(), [&](const Task& it) {
        return it.phase == TaskPhase::kOffered && it.booked && !it.stopping &&
               HasTicket(round.context, ready, it.worker);
      });
  if (!all_booked || !IsGangStored(round.context, ready)) {
    return;
  }
  step.gang_started_run = step.gang_run;
  round.context.Log(
      EventNumber::kGangStarted,
      {{"job", ready.job->id},
       {"step", std::to_string(ready.step)},
       {"run", std::to_string(step.gang_run)},
       {"tasks", std::to_string(step.tasks.size())},
       {"ready_ms",
        std::to_string(ToMilliseconds(round.context.now - step.ready_at))}});
  for (std::uint32_t it = 0; it < step.tasks.size(); ++it) {
    step.tasks[it].last_update = round.context.now;
    AddOffer(round, ready, it, OfferOf(round.context, step.tasks[it]),
             OfferKind::kStart);
  }
}

}  // namespace

void PlaceGang(PlacementRound& round, const ReadyStep& ready) {
  const StepRun& step = ready.run();
  if (IsBeingBooked(*ready.job, step)) {
    ContinueBooking(round, ready);
    RepeatBookings(round, ready);
    StartIfBooked(round, ready);
  } else if (AllInPhase(step, TaskPhase::kWaiting)) {
    BeginBooking(round, ready);
  }
}

}  // namespace burdockrock::engine
