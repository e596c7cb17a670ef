#include "engine/jobs/task_crashes.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include <fmt/format.h>

#include "engine/jobs/job_table.h"
#include "engine/workers/group_failures.h"
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

std::size_t AllowedCrashes(const TaskCrashes& crashes) {
  return kMaxCrashes + (crashes.lost_starts > 0 ? 1 : 0);
}

// Crashes that are held against the task, unless they turn out to be excused.
std::size_t CountHeldAgainst(const TaskCrashes& crashes) {
  return crashes.runs.size() - crashes.excused.size();
}

// Of a task that is a suspect already, no more crashes than this are excused or
// held against it in all: those that meet a group failure could be its own.
constexpr std::size_t kMaxCrashesOfSuspect = 5;

// Former owners of a job can lose so many crashes under a task: that of its
// first run, whose start is not stored, and that of a stored start.
constexpr std::size_t kMaxUntoldCrashes = 2;

// Whether the task is given up, unless crashes turn out to be excused.
bool IsExhausted(const TaskCrashes& crashes) {
  const std::size_t held = CountHeldAgainst(crashes);
  return held >= AllowedCrashes(crashes) ||
         (held >= kCrashesBeforeIsolation && !crashes.excused.empty() &&
          crashes.runs.size() + crashes.untold >= kMaxCrashesOfSuspect);
}

// Between two reviews of the crashes under a job's tasks.
constexpr Duration kReviewInterval = milliseconds(100);

enum class Verdict { kHeldAgainst, kDoubtful, kExcused };

// What a group failure proves against the tasks of a job.
class FailureReview {
 public:
  FailureReview(const Context& context, Job& job)
      : context_(context), job_(job) {
    ForEachTask(job, [&](const TaskName&, const Task& task) {
      for (const auto& [run, worker] : task.crashes.runs) {
        hit_.insert(worker);
      }
    });
  }

  Verdict Of(const GroupFailure* failure) {
    if (failure == nullptr) {
      return Verdict::kHeldAgainst;
    }
    const auto [it, is_first] = verdicts_.try_emplace(failure);
    if (is_first) {
      it->second = Judge(*failure);
    }
    return it->second;
  }

 private:
  Verdict Judge(const GroupFailure& failure) const {
    const auto covered = static_cast<std::size_t>(std::count_if(
        failure.workers.begin(), failure.workers.end(),
        [&](const std::string& it) { return hit_.contains(it); }));
    // Tasks of the job may have crashed most of the workers at once.
    if (2 * covered >= failure.workers.size() &&
        !SurvivedElsewhere(failure, covered)) {
      return Verdict::kHeldAgainst;
    }
    return HasPassed(context_.now, failure.since, kGroupFailureSettled)
               ? Verdict::kExcused
               : Verdict::kDoubtful;
  }

  // Whether the job's runs ended in the group and nowhere else, so that it was
  // the group that failed.
  bool SurvivedElsewhere(const GroupFailure& failure,
                         std::size_t covered) const {
    std::size_t outside = 0;
    std::size_t inside = 0;
    ForEachTask(job_, [&](const TaskName&, const Task& task) {
      const ListedWorker* listed = FindWorker(context_.state, task.worker);
      if (task.phase != TaskPhase::kRunning || task.since > failure.moment ||
          listed == nullptr ||
          context_.state.group_failures.crashes.contains(task.worker)) {
        return;
      }
      ++(IsInGroup(failure, listed->info) ? inside : outside);
    });
    return inside == 0 && outside >= covered;
  }

  const Context& context_;
  Job& job_;
  std::set<std::string> hit_{};  // workers that crashed under the job
  std::map<const GroupFailure*, Verdict> verdicts_{};
};

// What one review excuses of a job.
struct ExcusedCrashes {
  std::size_t count = 0;
  std::string first{};  // the task of the first crash, and where it failed
  std::string group{};
  std::size_t workers = 0;

  void Add(const TaskName& name, const GroupFailure& failure) {
    if (++count == 1) {
      first = ToString(name);
      group = failure.group;
      workers = failure.workers.size();
    }
  }

  void Log(Context& context, const Job& job) const {
    context.Log(EventNumber::kCrashesExcused,
                {{"job", job.id},
                 {"crashes", std::to_string(count)},
                 {"task", first},
                 {"group", group},
                 {"workers", std::to_string(workers)}});
  }
};

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
  crashes.runs.emplace(crashed.run, crashed.worker);
  job.has_crashes = true;
  crashes.lost_starts += crashed.lost_start ? 1 : 0;
  crashes.longest = std::max(crashes.longest, crashed.lasted);
  crashes.last = context.now;
  ++context.state.totals.crashes;
  context.Log(EventNumber::kTaskCrashed,
              {{"task", ToString(name)},
               {"run", std::to_string(crashed.run)},
               {"worker", crashed.worker},
               {"crashes", std::to_string(crashes.runs.size())},
               {"allowed", std::to_string(AllowedCrashes(crashes))}});
  MarkChanged(context, job, true);
}

void ReviewCrashes(Context& context, Job& job) {
  if (!job.has_crashes || IsFinal(job.state) ||
      !HasPassed(context.now, job.crashes_reviewed, kReviewInterval)) {
    return;
  }
  job.crashes_reviewed = context.now;
  job.has_crashes = false;
  ExcusedCrashes excused;
  std::string cause;
  FailureReview review(context, job);
  ForEachTask(job, [&](const TaskName& name, Task& task) {
    TaskCrashes& crashes = task.crashes;
    if (crashes.runs.empty() || task.phase == TaskPhase::kDone) {
      return;
    }
    job.has_crashes = true;
    crashes.doubtful.clear();
    for (const auto& [run, worker] : crashes.runs) {
      if (crashes.excused.contains(run)) {
        continue;
      }
      const GroupFailure* failure = FindGroupFailure(context.state, worker);
      const Verdict verdict = review.Of(failure);
      if (verdict == Verdict::kExcused) {
        crashes.excused.insert(run);
        excused.Add(name, *failure);
      } else if (verdict == Verdict::kDoubtful) {
        crashes.doubtful.insert(run);
      }
    }
    if (IsExhausted(crashes) && crashes.doubtful.empty() &&
        HasPassed(context.now, crashes.last, kLastCrashHold)) {
      cause = fmt::format("{} workers crashed under task {}",
                          crashes.runs.size(), ToString(name));
    }
  });
  if (excused.count > 0) {
    excused.Log(context, job);
    MarkChanged(context, job, false);
    context.state.placement_due = true;
  }
  if (!cause.empty()) {
    EndJob(context, job, JobState::kFailed, cause);
  }
}

bool IsHeldForCrashes(const Context& context, const Task& task) {
  const std::size_t held = CountHeldAgainst(task.crashes);
  return IsExhausted(task.crashes) ||
         (held >= kCrashesBeforeIsolation &&
          !HasPassed(context.now, task.crashes.last, kCrashHold));
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
  const std::size_t certain =
      CountHeldAgainst(crashes) - crashes.doubtful.size();
  // One more crash could give the task up, so that it must be its own.
  const bool last_run =
      certain > 0 && !crashes.excused.empty() &&
      crashes.runs.size() + crashes.untold + 1 >= kMaxCrashesOfSuspect;
  const bool isolated =
      (certain >= kCrashesBeforeIsolation || last_run) &&
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
  task.crashes = TaskCrashes{.excused_run = task.crashes.runs.rbegin()->first};
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

void NoteUntoldCrashes(Task& task) {
  const std::size_t told = task.crashes.runs.size();
  task.crashes.untold =
      task.may_have_crashed
          ? kMaxUntoldCrashes - std::min(told, kMaxUntoldCrashes)
          : 0;
}

bool IsOfFormerProcess(const Task& task, const EndReport& report) {
  const bool placed =
      task.phase == TaskPhase::kOffered || task.phase == TaskPhase::kRunning;
  return (report.how == RunEnd::kLapsed || report.how == RunEnd::kCrashed) &&
         report.run == task.run && placed &&
         IsLaterIncarnation(task.worker, report.worker);
}

}  // namespace burdockrock::engine
