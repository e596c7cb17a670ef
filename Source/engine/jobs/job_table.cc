#include "engine/jobs/job_table.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "engine/jobs/job_runs.h"
#include "engine/records/record_size.h"

namespace burdockrock::engine {

namespace {

// Run numbers of a task reserved for each owner of its job; each offer uses
// one, also a refused one. More would overlap the next owner's range.
constexpr std::uint64_t kRunsPerOwner = 1000;

std::string FormatSpan(const Job& job, Time at) {
  return at == kForever ? "-"
                        : std::to_string(ToMilliseconds(at - job.created));
}

// For each step the milliseconds from the job's creation here until it was
// ready, its first advice, its first and last start, and its end; "-" if there
// was none.
std::string Timeline(const Job& job) {
  std::string text;
  for (const Occurrence& occurrence : job.occurrences) {
    for (const StepRun& it : occurrence.steps) {
      text += fmt::format(
          "{}{}/{}/{}/{}/{}", text.empty() ? "" : ";",
          FormatSpan(job, it.ready_at), FormatSpan(job, it.advised_at),
          FormatSpan(job, it.first_start), FormatSpan(job, it.last_start),
          FormatSpan(job, it.done_at));
    }
  }
  return text;
}

// Whether the job has as many open occurrences as its record can hold.
bool IsHeldBack(const Context& context, const Job& job) {
  return job.open_occurrences > 0 &&
         job.open_occurrences >=
             MaxOpenOccurrences(job.spec, context.state.options.bounds);
}

void LogHeldBack(Context& context, Job& job, bool held) {
  if (held == job.occurrences_held) {
    return;
  }
  job.occurrences_held = held;
  context.Log(
      held ? EventNumber::kOccurrencesHeld : EventNumber::kOccurrencesReleased,
      {{"job", job.id},
       {"next", std::to_string(job.next_occurrence)},
       {"open", std::to_string(job.open_occurrences)}});
}

// A former owner may have started tasks of the occurrence: what has not been
// reported yet may run.
void AwaitReports(Occurrence& occurrence) {
  for (StepRun& step : occurrence.steps) {
    for (Task& it : step.tasks) {
      it.phase =
          it.phase == TaskPhase::kWaiting ? TaskPhase::kUnknown : it.phase;
    }
  }
}

}  // namespace

Job* FindJob(State& state, const std::string& id) {
  const auto it = state.jobs.find(id);
  return it == state.jobs.end() ? nullptr : &it->second;
}

Task* FindTask(Job& job, const TaskName& name) {
  if (name.occurrence >= job.occurrences.size() ||
      name.step >= job.spec.steps.size() ||
      name.index >= job.spec.steps[name.step].count) {
    return nullptr;
  }
  return &StepAt(job, name.occurrence, name.step).tasks[name.index];
}

Job MakeJob(std::string id, JobSpec spec, std::string queue) {
  Job job{.id = std::move(id),
          .spec = std::move(spec),
          .queue = std::move(queue),
          .generation = 1};
  job.occurrences.resize(job.spec.occurrences());
  for (std::uint32_t k = 0; k < job.occurrences.size(); ++k) {
    job.occurrences[k].due_ms =
        job.spec.repetitions == 0
            ? 0
            : job.spec.first_due_ms + k * job.spec.interval_ms;
  }
  return job;
}

StepRun& StepAt(Job& job, std::uint32_t occurrence, std::uint32_t step) {
  auto& steps = job.occurrences[occurrence].steps;
  if (steps.empty()) {
    steps.resize(job.spec.steps.size());
    for (std::size_t it = 0; it < steps.size(); ++it) {
      steps[it].tasks.resize(job.spec.steps[it].count);
    }
  }
  return steps[step];
}

JobState ShownState(const Job& job) {
  if (IsFinal(job.stored_state)) {
    return job.stored_state;
  }
  return job.started ? JobState::kRunning : JobState::kQueued;
}

void MarkChanged(Context& context, Job& job, bool urgent) {
  ++job.version;
  job.changed_at = std::min(job.changed_at, context.now);
  job.urgent_write = job.urgent_write || urgent;
}

void BeginOccurrences(Context& context, Job& job) {
  while (job.next_occurrence < job.occurrences.size()) {
    const std::uint32_t k = job.next_occurrence;
    Occurrence& it = job.occurrences[k];
    const bool due = it.due_ms <= context.wall_ms;
    const bool held = due && IsHeldBack(context, job);
    LogHeldBack(context, job, held);
    if (!due || held) {
      return;
    }
    ++job.next_occurrence;
    it.begun = true;
    StepAt(job, k, 0);
    job.open_occurrences += IsOccurrenceDone(job, k) ? 0 : 1;
    if (job.recovering) {
      AwaitReports(it);
    }
    context.state.placement_due = true;
  }
}

bool IsStepDone(const Job& job, std::uint32_t occurrence, std::uint32_t step) {
  const auto& steps = job.occurrences[occurrence].steps;
  return !steps.empty() && steps[step].done == job.spec.steps[step].count;
}

bool IsOccurrenceDone(const Job& job, std::uint32_t occurrence) {
  for (std::uint32_t it = 0; it < job.spec.steps.size(); ++it) {
    if (!IsStepDone(job, occurrence, it)) {
      return false;
    }
  }
  return true;
}

void OnStepDone(Job& job, std::uint32_t occurrence) {
  if (!IsOccurrenceDone(job, occurrence)) {
    return;
  }
  ++job.done_occurrences;
  job.open_occurrences -= job.occurrences[occurrence].begun ? 1 : 0;
}

bool IsStepReady(const Job& job, std::uint32_t occurrence, std::uint32_t step) {
  const auto& after = job.spec.steps[step].after;
  return job.occurrences[occurrence].begun &&
         std::all_of(after.begin(), after.end(), [&](std::uint32_t it) {
           return IsStepDone(job, occurrence, it);
         });
}

std::uint64_t NextRun(const Job& job, std::uint64_t last) {
  return std::max(last, (job.generation - 1) * kRunsPerOwner) + 1;
}

bool IsRunOfThisOwner(const Job& job, std::uint64_t run) {
  return run > (job.generation - 1) * kRunsPerOwner;
}

void EndJob(Context& context,
            Job& job,
            JobState state,
            const std::string& cause) {
  if (IsFinal(job.state)) {
    return;
  }
  job.state = state;
  job.cause = state == JobState::kFailed ? cause : std::string();
  job.ended_at = context.now;
  job.ended_ms = context.wall_ms;
  context.state.totals.completed += state == JobState::kCompleted ? 1 : 0;
  context.state.totals.failed += state == JobState::kFailed ? 1 : 0;
  std::vector<LogField> fields = {{"job", job.id},
                                  {"state", JobStateName(state)}};
  if (state != JobState::kCompleted) {  // completion has only one cause
    fields.push_back({.key = "cause", .value = cause});
  }
  fields.push_back({.key = "timeline", .value = Timeline(job)});
  context.Log(EventNumber::kJobEnded, std::move(fields));
  MarkChanged(context, job, true);
  ForEachTask(job, [&](const TaskName& name, Task& task) {
    StopTask(context, job, name, task);
  });
}

void CompleteIfDone(Context& context, Job& job) {
  if (job.done_occurrences == job.occurrences.size()) {
    EndJob(context, job, JobState::kCompleted, "all tasks done");
  }
}

void StopTask(Context& context, Job& job, const TaskName& name, Task& task) {
  const bool is_placed =
      task.phase == TaskPhase::kOffered || task.phase == TaskPhase::kRunning;
  if (!is_placed) {
    return;
  }
  if (!task.stopping) {
    task.stopping_since = context.now;
  }
  task.stopping = true;
  task.stop_sent = context.now;
  task.last_update = context.now;
  SendStop(context, job, name, task.worker, task.run);
}

void SendStop(Context& context,
              const Job& job,
              const TaskName& name,
              const std::string& worker,
              std::uint64_t run) {
  const std::string owner = OwnerOfWorker(context, worker);
  if (!owner.empty()) {
    context.state.stops[owner].stops.push_back({.task = ToString(name),
                                                .run = run,
                                                .worker = worker,
                                                .generation = job.generation});
  }
}

void FlushStops(Context& context) {
  for (auto& [owner, it] : std::exchange(context.state.stops, {})) {
    Send(context, owner, std::move(it));
  }
}

}  // namespace burdockrock::engine
