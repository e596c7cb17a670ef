#include "engine/jobs/preemption.h"

#include <algorithm>
#include <vector>

#include "engine/workers/worker_owner.h"
#include "engine/workers/worker_runs.h"

namespace burdockrock::engine {

namespace {

bool CanYield(const LocalRun& run) {
  return run.phase == RunPhase::kRunning && run.described && run.priority > 0 &&
         run.spec.checkpointing && !run.spec.gang && !run.spec.lasting &&
         !run.spec.filling;
}

struct Victim {
  const std::string* task = nullptr;
  LocalRun* run = nullptr;
};

// The least urgent first, and of these the ones that have run the shortest.
std::vector<Victim> VictimsOf(OwnedWorker& worker) {
  std::vector<Victim> victims;
  for (auto& [task, run] : worker.runs) {
    if (CanYield(run)) {
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

// What will be free when all that is being stopped has ended.
Resources FutureRoom(const OwnedWorker& worker) {
  Resources free = FreeRoom(worker);
  for (const auto& [task, run] : worker.runs) {
    if (run.phase == RunPhase::kStopping) {
      free += RoomOf(run.spec);
    }
  }
  return free;
}

// What the worker has left beside everything that is there now.
Resources PresentRoom(const OwnedWorker& worker) {
  Resources free = FreeRoom(worker);
  for (const auto& [task, run] : worker.runs) {
    if (run.phase == RunPhase::kAwaitingRoom) {
      free += RoomOf(run.spec);
    }
  }
  return free;
}

}  // namespace

Resources YieldingRoom(const OwnedWorker& worker) {
  Resources room;
  for (const auto& [task, run] : worker.runs) {
    if (CanYield(run)) {
      room += RoomOf(run.spec);
    }
  }
  return room;
}

bool MakeRoom(Context& context,
              const std::string& id,
              OwnedWorker& worker,
              const Resources& room) {
  Resources free = FutureRoom(worker);
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
  return true;
}

void DriveAwaiting(Context& context,
                   const std::string& id,
                   OwnedWorker& worker) {
  std::vector<std::string> late;
  for (auto& [task, run] : worker.runs) {
    if (run.phase != RunPhase::kAwaitingRoom) {
      continue;
    }
    if (Fits(RoomOf(run.spec), PresentRoom(worker))) {
      EnterPhase(context, run, RunPhase::kStarting);
      SendStart(context, id, worker, task, run);
    } else if (HasPassed(context.now, run.since, kStartPatience)) {
      late.push_back(task);
    }
  }
  for (const std::string& it : late) {
    AnswerPendingOffer(context, id, it, worker.runs.at(it),
                       OfferOutcome::kNoRoom);
    RemoveRun(context, id, worker, it);
  }
}

}  // namespace burdockrock::engine
