#include "engine/workers/run_progress.h"

#include <map>

#include "engine/workers/progress_rule.h"
#include "engine/workers/run_ends.h"
#include "engine/workers/worker_owner.h"

namespace burdockrock::engine {

namespace {

// A stalled worker accepts new tasks again after this long. Stalls last five to
// eight seconds, and each early try delays the tasks placed there by a second
// or two.
constexpr Duration kStallPause = milliseconds(3000);
// A stalled run is reported again after this long, in case the report or the
// command that follows is lost.
constexpr Duration kStallReportRepeat = milliseconds(1000);
// The most work that stopping a checkpointing run discards.
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

// Whether a lack of progress means that the run is stalled. It does not before
// a listing has shown the run, as the reply to a poll may have been written
// before the start. Filling tasks may legitimately get no processor at all,
// lasting tasks have no progress, and gang members first wait for each other.
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
    AddReport(context, id, task, run, RunState::kStalled, reports);
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
      AddReport(context, id, task, run, RunState::kUnreachable, reports);
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
