#include "engine/workers/run_progress.h"

#include <map>

#include "engine/workers/progress_rule.h"
#include "engine/workers/run_ends.h"
#include "engine/workers/worker_owner.h"

namespace burdockrock::engine {

namespace {

// A worker that stood still is tried again after this long. Such states last
// five to eight seconds; each try costs the tasks that it gets a second or two.
constexpr Duration kStallPause = milliseconds(3000);
// A run that stands still is reported again after this long, should the report
// or the order that follows be lost.
constexpr Duration kStallReportRepeat = milliseconds(1000);
// What a stop of a checkpointing run throws away at the most.
constexpr Duration kCheckpointLoss = milliseconds(100);
constexpr std::uint32_t kFullPace = 100;

using Reports = std::map<std::string, RunReports>;  // by the jobs' owners

std::string OwnerOfRun(const Context& context,
                       const std::string& task,
                       const LocalRun& run) {
  const auto name = ParseTaskName(task);
  if (!run.owner.empty() || !name) {
    return run.owner;
  }
  return OwnerOfJob(context.state, name->job);
}

// A run that no listing has shown since it started is not judged: the answer to
// a hold can have been written before the start.
// Tasks that fill may rightly get no processor at all, lasting ones have no
// progress, and the members of a gang wait for each other at first.
bool ShowsProgress(const LocalRun& run) {
  const bool waits = run.spec.gang && run.progress.percent == 0;
  const bool listed = run.progress.first_at >= run.since;
  return listed && run.phase == RunPhase::kRunning && run.described &&
         run.pace == kFullPace && !run.spec.lasting && !run.spec.filling &&
         !waits;
}

Duration LostByMoving(const LocalRun& run) {
  return run.spec.checkpointing ? kCheckpointLoss
                                : run.progress.risen_at - run.since;
}

void AddReport(const Context& context,
               const std::string& id,
               const std::string& task,
               const LocalRun& run,
               RunState state,
               Reports& reports) {
  const std::string owner = OwnerOfRun(context, task, run);
  if (!owner.empty()) {
    reports[owner].runs.push_back({.task = task,
                                   .run = run.run,
                                   .worker = id,
                                   .state = state,
                                   .checkpoint = run.checkpoint});
  }
}

void SendAll(Context& context, const Reports& reports) {
  for (const auto& [owner, it] : reports) {
    Send(context, owner, it);
  }
}

}  // namespace

void CheckProgress(Context& context,
                   const std::string& id,
                   OwnedWorker& worker) {
  Reports reports;
  bool stalled = false;
  for (auto& [task, run] : worker.runs) {
    if (!ShowsProgress(run) ||
        !IsStalled(run.progress, context.now, run.spec.estimate)) {
      continue;
    }
    stalled = true;
    const bool move =
        run.spec.concurrent ||
        IsWorthMoving(run.progress, context.now, LostByMoving(run));
    if (!move ||
        !HasPassed(context.now, run.stall_reported, kStallReportRepeat)) {
      continue;
    }
    run.stall_reported = context.now;
    context.Log(EventNumber::kRunStandsStill,
                {{"task", task},
                 {"run", std::to_string(run.run)},
                 {"worker", id},
                 {"percent", std::to_string(run.progress.percent)},
                 {"for_ms", std::to_string(ToMilliseconds(
                                context.now - run.progress.risen_at))}});
    AddReport(context, id, task, run, RunState::kStill, reports);
  }
  SendAll(context, reports);
  if (stalled) {
    worker.stalled_until = context.now + kStallPause;
    RoomChanged(context, id);
  }
}

void ReportUnreached(Context& context,
                     const std::string& id,
                     OwnedWorker& worker) {
  Reports reports;
  for (const auto& [task, run] : worker.runs) {
    if (run.spec.concurrent && run.phase == RunPhase::kRunning) {
      AddReport(context, id, task, run, RunState::kUnreached, reports);
    }
  }
  SendAll(context, reports);
}

void ReportUnwanted(Context& context,
                    const std::string& id,
                    OwnedWorker& worker) {
  Reports reports;
  for (const auto& [task, run] : worker.runs) {
    const bool movable =
        run.spec.lasting || run.spec.checkpointing || run.spec.filling;
    if (movable && run.phase == RunPhase::kRunning) {
      AddReport(context, id, task, run, RunState::kUnwanted, reports);
    }
  }
  SendAll(context, reports);
}

}  // namespace burdockrock::engine
