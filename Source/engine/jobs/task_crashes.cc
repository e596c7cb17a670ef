#include "engine/jobs/task_crashes.h"

#include <algorithm>
#include <optional>
#include <utility>

#include <fmt/format.h>

#include "engine/jobs/job_table.h"
#include "engine/workers/worker_list.h"
#include "model/worker_incarnation.h"

namespace burdockrock::engine {

namespace {

Duration IsolationSpan(const TaskCrashes& crashes) {
  return std::max(kMinIsolation, 2 * crashes.longest);
}

// Upper bound of the time for which the present run has been at work; 0 if it
// is not known to have begun.
Duration TimeAtWork(const Context& context, const Task& task) {
  return task.phase == TaskPhase::kRunning ? context.now - task.since
                                           : Duration(0);
}

// Whether the worker is known to no member: it ended while no instance that is
// left followed the list.
bool IsForgotten(const State& state, const std::string& worker) {
  return FindWorker(state, worker) == nullptr && !state.view.contains(worker);
}

}  // namespace

void CountCrash(Context& context,
                Job& job,
                const TaskName& name,
                Task& task,
                const CrashedRun& crashed) {
  TaskCrashes& crashes = task.crashes;
  if (IsFinal(job.state) || task.phase == TaskPhase::kDone ||
      crashed.run <= crashes.excused_run ||
      crashes.runs.contains(crashed.run)) {
    return;
  }
  if (crashed.lasted > kMaxCrashDelay) {
    crashes = TaskCrashes{.excused_run = crashed.run};
    return;
  }
  crashes.runs.insert(crashed.run);
  crashes.lost_starts += crashed.lost_start ? 1 : 0;
  const std::size_t allowed = kMaxCrashes + (crashes.lost_starts > 0 ? 1 : 0);
  crashes.longest = std::max(crashes.longest, crashed.lasted);
  crashes.last = context.now;
  ++context.state.totals.crashes;
  context.Log(EventNumber::kTaskCrashed,
              {{"task", ToString(name)},
               {"run", std::to_string(crashed.run)},
               {"worker", crashed.worker},
               {"crashes", std::to_string(crashes.runs.size())},
               {"allowed", std::to_string(allowed)}});
  MarkChanged(context, job, true);
  if (crashes.runs.size() >= allowed) {
    EndJob(context, job, JobState::kFailed,
           fmt::format("{} workers crashed under task {}", crashes.runs.size(),
                       ToString(name)));
  }
}

void CountReportedCrash(Context& context,
                        Job& job,
                        const TaskName& name,
                        Task& task,
                        const EndReport& report) {
  const bool present = report.run == task.run;
  CountCrash(context, job, name, task,
             {.run = report.run,
              .worker = report.worker,
              .lasted = present ? TimeAtWork(context, task) : Duration(0)});
}

void CountIfCrashed(Context& context,
                    Job& job,
                    const TaskName& name,
                    Task& task) {
  if (task.phase == TaskPhase::kRunning &&
      HasCrashed(context.state, task.worker)) {
    CountCrash(context, job, name, task,
               {.run = task.run,
                .worker = task.worker,
                .lasted = TimeAtWork(context, task)});
  }
}

Duration IsolationOf(const Context& context, const Task& task) {
  const TaskCrashes& crashes = task.crashes;
  const bool isolated =
      crashes.runs.size() >= kCrashesBeforeIsolation &&
      !HasPassed(context.now, crashes.last, kIsolationTimeout);
  return isolated ? IsolationSpan(crashes) : Duration(0);
}

bool MayAwaitEmptyWorker(const Context& context,
                         const StepSpec& spec,
                         const Task& task) {
  // A gang is placed on empty workers only.
  return task.phase == TaskPhase::kOffered && !spec.gang &&
         IsolationOf(context, task) > Duration(0);
}

void ClearOutlastedCrashes(Context& context, Job& job, Task& task) {
  if (task.crashes.runs.empty() || task.phase != TaskPhase::kRunning ||
      !HasPassed(context.now, task.since, IsolationSpan(task.crashes))) {
    return;
  }
  task.crashes = TaskCrashes{.excused_run = *task.crashes.runs.rbegin()};
  MarkChanged(context, job, false);
}

bool MustStoreStart(const Task& task) {
  return task.may_have_crashed || !task.crashes.runs.empty();
}

bool HasCrashed(const State& state, const std::string& worker) {
  return state.crashed_workers.contains(worker);
}

void CountLostStart(Context& context,
                    Job& job,
                    const TaskName& name,
                    Task& task) {
  const std::optional<PlannedStart> start =
      std::exchange(task.planned, std::nullopt);
  if (!start || task.ended_runs.contains(start->run)) {
    return;
  }
  if (HasCrashed(context.state, start->worker) ||
      IsForgotten(context.state, start->worker)) {
    CountCrash(
        context, job, name, task,
        {.run = start->run, .worker = start->worker, .lost_start = true});
  }
}

bool IsOfFormerProcess(const Task& task, const EndReport& report) {
  const bool placed =
      task.phase == TaskPhase::kOffered || task.phase == TaskPhase::kRunning;
  return (report.how == RunEnd::kLapsed || report.how == RunEnd::kCrashed) &&
         report.run == task.run && placed &&
         IsLaterIncarnation(task.worker, report.worker);
}

}  // namespace burdockrock::engine
