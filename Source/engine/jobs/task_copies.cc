#include "engine/jobs/task_copies.h"

#include <utility>

#include "engine/jobs/job_runs.h"
#include "engine/jobs/job_table.h"
#include "engine/workers/worker_list.h"

namespace burdockrock::engine {

namespace {

// Delay before a refused copy is offered again.
constexpr Duration kCopyRetry = milliseconds(200);

// As for first runs, the query carries what this instance remembers of the
// worker, which its owner may never have seen.
void QueryCopy(const Context& context,
               const TaskName& name,
               const TaskCopy& copy,
               std::map<std::string, RunQueries>& queries) {
  const std::string owner = OwnerOfWorker(context, copy.worker);
  if (owner.empty()) {
    return;
  }
  RunQueries& query = queries[owner];
  query.runs.push_back(
      {.task = ToString(name), .run = copy.run, .worker = copy.worker});
  if (auto worker = RememberedFor(context.state, copy.worker)) {
    query.remembered.push_back(std::move(*worker));
  }
}

}  // namespace

void RequestCopy(Context& context, const StepSpec& spec, Task& task) {
  // A copy of a task under which workers crash would crash another one.
  if (!spec.concurrent || spec.gang || task.copy ||
      !task.crashes.runs.empty() || task.phase != TaskPhase::kRunning) {
    return;
  }
  task.copy_wanted = true;
  context.state.placement_due = true;
}

bool WaitsForCopy(const Task& task) {
  return task.copy_wanted && !task.copy && task.phase == TaskPhase::kRunning;
}

bool IsCopy(const Task& task, std::uint64_t run) {
  return task.copy && task.copy->run == run;
}

void OnCopyAnswer(Context& context, Task& task, OfferOutcome outcome) {
  if (outcome == OfferOutcome::kStarted) {
    task.copy->running = true;
    task.copy->last_update = context.now;
    return;
  }
  task.last_copy = task.copy->run;
  task.copy.reset();
  task.retry_at = context.now + kCopyRetry;
}

void OnCopyReport(Context& context, Task& task, RunState state) {
  task.copy->last_update = context.now;
  if (state == RunState::kRunning) {
    task.copy->running = true;
  } else if (state == RunState::kAbsent) {
    task.last_copy = task.copy->run;
    task.copy.reset();
  }
}

bool PromoteCopy(Context& context, Task& task) {
  if (!task.copy || task.copy->stopping) {
    return false;
  }
  const TaskCopy copy = *std::exchange(task.copy, std::nullopt);
  task.booked = false;
  task.reserved = false;
  task.phase = copy.running ? TaskPhase::kRunning : TaskPhase::kOffered;
  task.run = copy.run;
  task.worker = copy.worker;
  task.since = context.now;
  task.last_update = copy.last_update;
  task.copy_wanted = false;
  task.stopping = false;
  return true;
}

void StopOtherRun(Context& context,
                  const Job& job,
                  const TaskName& name,
                  Task& task,
                  std::uint64_t done_run) {
  if (IsCopy(task, done_run)) {
    const bool placed =
        task.phase == TaskPhase::kOffered || task.phase == TaskPhase::kRunning;
    if (!placed) {
      task.copy.reset();
      return;
    }
    task.copy = TaskCopy{
        .run = task.run, .worker = task.worker, .last_update = context.now};
  }
  StopCopy(context, job, name, task);
}

void StopCopy(Context& context,
              const Job& job,
              const TaskName& name,
              Task& task) {
  if (!task.copy) {
    return;
  }
  if (!task.copy->stopping) {
    task.copy->stopping_since = context.now;
  }
  task.copy->stopping = true;
  task.copy->stop_sent = context.now;
  task.copy->last_update = context.now;
  SendStop(context, job, name, task.copy->worker, task.copy->run);
}

void DriveCopy(Context& context,
               const Job& job,
               const TaskName& name,
               Task& task,
               std::map<std::string, RunQueries>& queries) {
  if (!task.copy) {
    return;
  }
  if (task.copy->stopping) {
    // A stop has no reply if the worker is lost; a query has.
    if (HasPassed(context.now, task.copy->stop_sent, kOfferRetryDelay)) {
      StopCopy(context, job, name, task);
      QueryCopy(context, name, *task.copy, queries);
    }
    return;
  }
  const Duration timeout =
      task.copy->running ? kRunQueryDelay : kOfferRetryDelay;
  if (!HasPassed(context.now, task.copy->last_update, timeout)) {
    return;
  }
  task.copy->last_update = context.now - timeout + kOfferRetryDelay;
  QueryCopy(context, name, *task.copy, queries);
}

}  // namespace burdockrock::engine
