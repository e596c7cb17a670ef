#include "engine/jobs/gang_placing.h"

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "engine/jobs/job_table.h"
#include "engine/jobs/task_crashes.h"

namespace burdockrock::engine {

namespace {

bool AllInPhase(const StepRun& step, TaskPhase phase) {
  return std::all_of(step.tasks.begin(), step.tasks.end(),
                     [phase](const Task& it) { return it.phase == phase; });
}

// Workers for all members, in the order of the tasks; empty if not all fit.
std::vector<Candidate*> FitGang(const Context& context,
                                const ReadyStep& ready,
                                const std::vector<Candidate*>& eligible,
                                const std::string& rack) {
  PlacementChoice choice{.ready = ready, .eligible = eligible};
  PlacementNeed need = NeedOf(ready);
  need.rack = rack;
  std::vector<Candidate*> chosen;
  std::vector<Resources> taken;
  for (const Task& it : ready.run().tasks) {
    const bool alone = IsolationOf(context, it) > Duration(0);
    Candidate* best =
        alone ? ChooseEmpty(choice, need) : ChooseWorker(choice, need);
    if (best == nullptr) {
      break;
    }
    ++choice.placed[best->worker->id];
    taken.push_back(alone ? best->free : need.room);
    best->free -= taken.back();
    chosen.push_back(best);
  }
  for (std::size_t it = 0; it < chosen.size(); ++it) {
    chosen[it]->free += taken[it];
  }
  if (chosen.size() < ready.run().tasks.size()) {
    chosen.clear();
  }
  return chosen;
}

std::vector<Candidate*> FitGangAnywhere(const PlacementRound& round,
                                        const ReadyStep& ready,
                                        std::vector<Candidate>& candidates) {
  const std::vector<Candidate*> eligible =
      EligibleWorkers(round.context, ready, NeedOf(ready), candidates);
  if (!ready.spec().same_rack) {
    return FitGang(round.context, ready, eligible, {});
  }
  std::set<std::string> racks;
  for (const Candidate* it : eligible) {
    racks.insert(it->worker->rack());
  }
  for (const std::string& it : racks) {
    auto chosen = FitGang(round.context, ready, eligible, it);
    if (!chosen.empty()) {
      return chosen;
    }
  }
  return {};
}

void BookGang(PlacementRound& round, const ReadyStep& ready) {
  StepRun& step = ready.run();
  for (const Task& it : step.tasks) {
    if (it.retry_at > round.context.now) {
      return;
    }
  }
  if (!HasAnyTicket(round.context, ready)) {
    return;
  }
  const auto chosen = FitGangAnywhere(
      round, ready, RoundCandidates(round, ready.queue->service));
  if (chosen.empty()) {
    return;
  }
  std::uint64_t last = step.gang_run;
  for (const Task& it : step.tasks) {
    last = std::max(last, it.run);
  }
  step.gang_run = NextRun(*ready.job, last);
  // All members resume from the same checkpoint.
  std::string checkpoint;
  for (const Task& it : step.tasks) {
    checkpoint = std::max(checkpoint, it.checkpoint);
  }
  const Resources room = RoomOf(ready.spec());
  for (std::uint32_t it = 0; it < step.tasks.size(); ++it) {
    step.tasks[it].checkpoint = checkpoint;
    AssignWorker(round, room, *chosen[it], step.tasks[it], step.gang_run);
    AddOffer(round, ready, it, OfferOf(round.context, step.tasks[it]),
             OfferKind::kBooking);
  }
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

// Starts all members together once room is booked for each of them: members
// that start early wait for the late ones, and end if that takes too long.
void StartGang(PlacementRound& round, const ReadyStep& ready) {
  StepRun& step = ready.run();
  const bool all_booked = std::all_of(step.tasks.begin(), step.tasks.end(),
                                      [](const Task& it) { return it.booked; });
  if (!all_booked || step.gang_started_run == step.gang_run ||
      !IsGangStored(round.context, ready)) {
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
  if (AllInPhase(ready.run(), TaskPhase::kWaiting)) {
    BookGang(round, ready);
  } else if (AllInPhase(ready.run(), TaskPhase::kOffered)) {
    StartGang(round, ready);
  }
}

}  // namespace burdockrock::engine
