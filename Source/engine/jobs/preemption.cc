#include "engine/jobs/preemption.h"

#include <algorithm>
#include <vector>

#include "engine/workers/run_progress.h"
#include "engine/workers/worker_owner.h"
#include "engine/workers/worker_runs.h"

namespace burdockrock::engine {

namespace {

// Between two requests to move the other runs away from a worker that is to be
// emptied.
constexpr Duration kMoveInterval = milliseconds(500);

bool IsPreemptible(const LocalRun& run) {
  return run.phase == RunPhase::kRunning && run.described && run.priority > 0 &&
         run.spec.checkpointing && !run.spec.gang && !run.spec.lasting &&
         !run.spec.filling;
}

// Room that is only reserved: nothing is lost with it.
bool IsYieldingReservation(const LocalRun& run) {
  return run.phase == RunPhase::kBooked && run.priority > kMostUrgent &&
         !run.spec.gang;
}

struct Victim {
  const std::string* task = nullptr;
  LocalRun* run = nullptr;
};

// Lowest priority first; within a priority, the shortest time in its phase
// first.
std::vector<Victim> VictimsOf(OwnedWorker& worker) {
  std::vector<Victim> victims;
  for (auto& [task, run] : worker.runs) {
    if (IsPreemptible(run)) {
      victims.push_back({.task = &task, .run = &run});
    }
  }
  std::sort(victims.begin(), victims.end(),
            [](const Victim& left, const Victim& right) {
              return std::tuple(right.run->priority, right.run->since) <
                     std::tuple(left.run->priority, left.run->since);
            });
  return victims;
}

// Room that will be free when all runs that are being stopped have ended.
Resources RoomAfterStops(const OwnedWorker& worker) {
  Resources free = FreeRoom(worker);
  for (const auto& [task, run] : worker.runs) {
    if (run.phase == RunPhase::kStopping) {
      free += RoomOf(run.spec);
    }
  }
  return free;
}

// Room that is free now: runs that wait for room do not use theirs yet.
Resources CurrentRoom(const OwnedWorker& worker) {
  Resources free = FreeRoom(worker);
  for (const auto& [task, run] : worker.runs) {
    if (run.phase == RunPhase::kAwaitingRoom) {
      free += RoomOf(run.spec);
    }
  }
  return free;
}

// Whether a run that waits for room can be started now.
bool MayStart(const Context& context,
              const OwnedWorker& worker,
              const std::string& task,
              const LocalRun& run) {
  return Fits(RoomOf(run.spec), CurrentRoom(worker)) &&
         (run.alone_for == Duration(0) ||
          OthersHaveLasted(context, worker, task));
}

Duration WaitLimit(const LocalRun& run) {
  return run.alone_for > Duration(0) ? kEmptyTimeout : kStartTimeout;
}

}  // namespace

bool OthersHaveLasted(const Context& context,
                      const OwnedWorker& worker,
                      const std::string& task) {
  return std::all_of(worker.runs.begin(), worker.runs.end(),
                     [&](const auto& it) {
                       const LocalRun& run = it.second;
                       return it.first == task ||
                              (run.phase == RunPhase::kRunning &&
                               HasPassed(context.now, run.since,
                                         kMinIsolation - run.lasted_before));
                     });
}

Resources PreemptibleRoom(const OwnedWorker& worker) {
  Resources room;
  for (const auto& [task, run] : worker.runs) {
    if (IsPreemptible(run) || IsYieldingReservation(run)) {
      room += RoomOf(run.spec);
    }
  }
  return room;
}

bool MakeRoom(Context& context,
              const std::string& id,
              OwnedWorker& worker,
              const Resources& room) {
  Resources free = RoomAfterStops(worker);
  std::vector<std::string> given_up;
  for (const auto& [task, run] : worker.runs) {
    if (IsYieldingReservation(run) && !Fits(room, free)) {
      free += RoomOf(run.spec);
      given_up.push_back(task);
    }
  }
  std::vector<Victim> chosen;
  for (const Victim& it : VictimsOf(worker)) {
    if (Fits(room, free)) {
      break;
    }
    free += RoomOf(it.run->spec);
    chosen.push_back(it);
  }
  if (!Fits(room, free)) {
    return false;
  }
  for (const Victim& it : chosen) {
    context.Log(EventNumber::kPreempted,
                {{"task", *it.task},
                 {"run", std::to_string(it.run->run)},
                 {"worker", id},
                 {"percent", std::to_string(it.run->progress.percent)}});
    BeginRunStop(context, id, worker, *it.task, *it.run);
  }
  for (const std::string& it : given_up) {
    const LocalRun& run = worker.runs.at(it);
    AnswerOffer(context, run.owner, id, it, run.run, OfferOutcome::kNoRoom);
    RemoveRun(context, id, worker, it);
  }
  return true;
}

void DriveRunsAwaitingRoom(Context& context,
                           const std::string& id,
                           OwnedWorker& worker) {
  std::vector<std::string> late;
  bool move_others = false;
  for (auto& [task, run] : worker.runs) {
    if (run.phase != RunPhase::kAwaitingRoom) {
      continue;
    }
    if (MayStart(context, worker, task, run)) {
      EnterPhase(context, run, RunPhase::kStarting);
      SendStart(context, id, worker, task, run);
    } else if (HasPassed(context.now, run.since, WaitLimit(run))) {
      late.push_back(task);
    } else if (run.alone_for > Duration(0) &&
               HasPassed(context.now, run.move_requested, kMoveInterval)) {
      run.move_requested = context.now;
      move_others = true;
    }
  }
  if (move_others) {
    ReportUnwanted(context, id, worker);
  }
  for (const std::string& it : late) {
    AnswerPendingOffer(context, id, it, worker.runs.at(it),
                       OfferOutcome::kNoRoom);
    RemoveRun(context, id, worker, it);
  }
}

}  // namespace burdockrock::engine
