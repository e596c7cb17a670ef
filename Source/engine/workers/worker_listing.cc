#include "engine/workers/worker_listing.h"

#include <algorithm>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "engine/records/catalog.h"
#include "engine/workers/pacing.h"
#include "engine/workers/run_ends.h"
#include "engine/workers/run_handover.h"
#include "engine/workers/run_progress.h"
#include "engine/workers/worker_owner.h"
#include "engine/workers/worker_restarts.h"
#include "engine/workers/worker_runs.h"

namespace burdockrock::engine {

namespace {

// Adds a run that a former owner of the worker started. At an incarnation that
// follows another one it is reported at once: its start may have been meant for
// the former one, whose owner would start the task elsewhere.
void AddFoundRun(Context& context,
                 OwnedWorker& worker,
                 const RunningRow& row,
                 const TaskName& name) {
  LocalRun& run = worker.runs[row.task];
  run = LocalRun{
      .run = row.run,
      .phase = RunPhase::kRunning,
      .described = false,
      .last_queried = FollowsAnother(context.state, worker.info.id)
                          ? Time::min()
                          : context.now,
      .checkpoint = row.checkpoint,
      .since = context.now,
      .lasted_before = LastedBefore(context, worker.info.id, row.task, row.run),
      .seen_at_process = true,
      .found = true,
      .confirmed = context.now,
      .progress = BeginProgress(context.now, row.percent)};
  const auto job = context.state.jobs.find(name.job);
  if (job != context.state.jobs.end()) {
    DescribeRuns(context, name.job, job->second.spec);
  } else {
    RequestSpec(context, name.job);
  }
  context.state.known[name.job].last_update = context.now;
  RequestRecord(context, name.job);
}

void ApplyRunning(Context& context,
                  const std::string& id,
                  OwnedWorker& worker,
                  const RunningRow& row) {
  auto it = worker.runs.find(row.task);
  if (it == worker.runs.end() || it->second.run < row.run) {
    const auto name = ParseTaskName(row.task);
    if (!name) {
      context.Log(EventNumber::kWorkerMalformed,
                  {{"worker", id}, {"problem", "task name " + row.task}});
      return;
    }
    AddFoundRun(context, worker, row, *name);
    it = worker.runs.find(row.task);
  }
  LocalRun& run = it->second;
  if (run.run != row.run) {
    return;
  }
  run.checkpoint = row.checkpoint.empty() ? run.checkpoint : row.checkpoint;
  const bool first = run.progress.first_at < run.since;
  run.progress = first ? BeginProgress(context.now, row.percent)
                       : AddProgress(run.progress, context.now, row.percent);
  run.figure = row.figure;
  run.seen_at_process = true;
  ConfirmRun(context, id, row.task, run);
}

// The run has ended, and the worker does not list its end.
void OnRunDisappeared(Context& context,
                      const std::string& id,
                      const OwnedWorker& worker,
                      const std::string& task,
                      LocalRun& run) {
  if (run.offer_unanswered) {
    AnswerPendingOffer(context, id, task, run, OfferOutcome::kStopped);
  } else if (!HasEndOf(worker, task, run.run)) {
    ReportLostRun(context, id, task, run);
  }
}

// Removes runs that the worker had and no longer lists: they have ended. Their
// ends are in this listing, were acknowledged, or come after those listed. A
// listing that was requested before the run was confirmed need not contain it.
void RemoveUnlisted(Context& context,
                    const std::string& id,
                    OwnedWorker& worker,
                    const WorkerDone& listing,
                    Time requested_at) {
  std::set<std::string> listed;
  for (const RunningRow& it : listing.running) {
    listed.insert(it.task);
  }
  std::vector<std::string> missing;
  for (const auto& [task, run] : worker.runs) {
    const bool was_there =
        run.confirmed != Time::min() && run.confirmed < requested_at;
    const bool commands_done =
        run.phase == RunPhase::kRunning ||
        (run.phase == RunPhase::kStopping && run.stop_answered);
    if (was_there && commands_done && !listed.contains(task)) {
      missing.push_back(task);
    }
  }
  for (const std::string& it : missing) {
    auto node = worker.runs.extract(it);
    if (listing.more_ends && !HasEndOf(worker, it, node.mapped().run)) {
      worker.unread.insert_or_assign(
          it, UnreadRun{.run = std::move(node.mapped()), .since = context.now});
    } else {
      OnRunDisappeared(context, id, worker, it, node.mapped());
    }
  }
  if (!missing.empty()) {
    RoomChanged(context, id);
  }
}

// Takes note of whether the listing has all ends of the worker. If so, the runs
// that had ended before it was requested and whose ends it lacks are lost.
void ApplyEndsBound(Context& context,
                    const std::string& id,
                    OwnedWorker& worker,
                    const WorkerDone& listing,
                    Time requested_at) {
  if (worker.ends_cut != listing.more_ends) {
    worker.ends_cut = listing.more_ends;
    context.Log(worker.ends_cut ? EventNumber::kWorkerEndsCut
                                : EventNumber::kWorkerEndsRead,
                {{"worker", id},
                 {"acknowledged", std::to_string(worker.acknowledged)},
                 {"listed", std::to_string(listing.ended.size())},
                 {"unread", std::to_string(worker.unread.size())}});
  }
  if (listing.more_ends) {
    return;
  }
  worker.ends_complete_as_of =
      std::max(worker.ends_complete_as_of, requested_at);
  if (!worker.ends_known) {
    worker.ends_known = true;
    worker.ends_at_claim = worker.highest_end;
  }
  std::vector<std::string> lost;
  for (const auto& [task, it] : worker.unread) {
    if (it.since < requested_at) {
      lost.push_back(task);
    }
  }
  for (const std::string& it : lost) {
    auto node = worker.unread.extract(it);
    OnRunDisappeared(context, id, worker, it, node.mapped().run);
  }
}

}  // namespace

void ApplyListing(Context& context,
                  const std::string& id,
                  OwnedWorker& worker,
                  const WorkerDone& listing,
                  Time requested_at) {
  bool ended = false;
  for (const EndedRow& it : listing.ended) {
    ended = ApplyEnd(context, id, worker, it) || ended;
  }
  for (LogLine& it : context.state.end_log.TakeOthers()) {
    context.Log(it.number, std::move(it.fields));
  }
  for (const RunningRow& it : listing.running) {
    ApplyRunning(context, id, worker, it);
  }
  RemoveUnlisted(context, id, worker, listing, requested_at);
  ApplyEndsBound(context, id, worker, listing, requested_at);
  if (ended) {
    RoomChanged(context, id);
  }
  AdjustPace(context, id, worker);
  CheckProgress(context, id, worker);
}

void DescribeRuns(Context& context,
                  const std::string& job,
                  const JobSpec& spec) {
  for (auto& [id, worker] : context.state.owned) {
    bool changed = false;
    for (auto& [task, run] : worker.runs) {
      const auto name = ParseTaskName(task);
      const bool known = !run.described && name && name->job == job &&
                         name->step < spec.steps.size();
      if (known) {
        run.spec = spec.steps[name->step];
        run.described = true;
        changed = true;
      }
    }
    if (changed) {
      RoomChanged(context, id);
    }
  }
}

}  // namespace burdockrock::engine
