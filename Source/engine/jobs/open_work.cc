#include "engine/jobs/open_work.h"

#include <algorithm>

namespace burdockrock::engine {

namespace {

void Add(OpenItems& kind, Duration age) {
  ++kind.count;
  kind.oldest = std::max(kind.oldest, age);
}

void AddTask(const TaskName& name,
             const Task& task,
             std::vector<OpenRun>& runs) {
  if (task.phase == TaskPhase::kOffered || task.phase == TaskPhase::kRunning) {
    runs.push_back({.task = name,
                    .run = task.run,
                    .worker = task.worker,
                    .stopping = task.stopping,
                    .stopping_since = task.stopping_since});
  }
  if (task.copy) {
    runs.push_back({.task = name,
                    .run = task.copy->run,
                    .worker = task.copy->worker,
                    .stopping = task.copy->stopping,
                    .stopping_since = task.copy->stopping_since});
  }
}

// When the worker became unresponsive, or else when the poll in flight was
// sent; `now` if there is neither.
Time ClaimedSince(const OwnedWorker& worker, Time now) {
  if (worker.unresponsive_since != Time(0)) {
    return worker.unresponsive_since;
  }
  return worker.poll_in_flight ? worker.poll_sent_at : now;
}

}  // namespace

OpenWork CountOpenWork(const State& state, Time now) {
  OpenWork open;
  for (const std::string& id : state.active) {
    const Job& job = state.jobs.at(id);
    if (job.recovering) {
      Add(open.recoveries, now - job.created);
    }
    for (const OpenRun& it : OpenRunsOf(job)) {
      if (it.stopping) {
        Add(open.stops_of_jobs, now - it.stopping_since);
      }
    }
  }
  for (const auto& [id, worker] : state.owned) {
    if (!worker.claimed) {
      Add(open.claims, now - ClaimedSince(worker, now));
    }
    for (const auto& [task, it] : worker.unread) {
      Add(open.unread_runs, now - it.since);
    }
    for (const auto& [task, run] : worker.runs) {
      if (run.phase == RunPhase::kStopping) {
        Add(open.stops_at_workers, now - run.since);
      }
    }
  }
  return open;
}

std::vector<OpenRun> OpenRunsOf(const Job& job) {
  std::vector<OpenRun> runs;
  for (std::uint32_t k = 0; k < job.occurrences.size(); ++k) {
    const auto& steps = job.occurrences[k].steps;
    for (std::uint32_t s = 0; s < steps.size(); ++s) {
      for (std::uint32_t i = 0; i < steps[s].tasks.size(); ++i) {
        AddTask({.job = job.id, .occurrence = k, .step = s, .index = i},
                steps[s].tasks[i], runs);
      }
    }
  }
  return runs;
}

}  // namespace burdockrock::engine
