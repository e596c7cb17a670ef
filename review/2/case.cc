// The owner of a job with many repetitions is killed.
#include <cstdio>
#include <set>
#include <string>

#include "stand/checks.h"
#include "stand/deployment.h"

using namespace review;

namespace {

constexpr int kRepetitions = 40'000;
constexpr int kIntervalMs = 5000;  // so the job takes 55 hours
constexpr int kTimedTaskMs = 400;

// Jobs of the ordinary kind, which keep the minions busy.
constexpr int kOrdinaryJobs = 24;
constexpr int kTasksPerJob = 6;
constexpr int kTaskCpu = 2500;
constexpr int kTaskMs = 1000;
constexpr std::int64_t kMinionCpu = 8000;

constexpr std::int64_t kJobsAfterMs = 3000;
constexpr std::int64_t kKillAfterMs = 3700;
constexpr std::int64_t kRestartAfterMs = 700;
constexpr std::int64_t kTrafficMs = 30'000;
constexpr std::int64_t kFinishMs = 14'000;  // finish_s
constexpr std::int64_t kStuckMs = 3000;
constexpr std::int64_t kWatchMs = 8000;

// The tasks of ordinary jobs that have no run that ended done.
std::set<std::string> OpenTasks(const std::vector<JobRecord>& jobs,
                                const std::deque<RunRecord>& runs) {
  std::set<std::string> open;
  for (const JobRecord& job : jobs) {
    for (int it = 0; job.accepted && it < job.tasks; ++it) {
      open.insert(job.id + ".0.0." + std::to_string(it));
    }
  }
  for (const RunRecord& it : runs) {
    if (it.how == "done") {
      open.erase(it.task);
    }
  }
  return open;
}

// An upper bound: tasks of the job with repetitions are smaller.
std::int64_t CpuInUse(Deployment& deployment) {
  std::int64_t cpu = 0;
  for (const auto& it : deployment.minions()) {
    cpu += kTaskCpu * static_cast<std::int64_t>(it->CountRuns());
  }
  return cpu;
}

std::string JobOf(const std::string& task) {
  return task.substr(0, task.find('.'));
}

std::set<std::string> RunningJobs(const std::deque<RunRecord>& runs) {
  std::set<std::string> jobs;
  for (const RunRecord& it : runs) {
    if (it.ended < 0) {
      jobs.insert(JobOf(it.task));
    }
  }
  return jobs;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) {
    return kCouldNotRun;
  }
  World world(argv[1]);
  try {
    Deployment deployment(world, {.folder = argv[2], .cpu = kMinionCpu});
    deployment.StartAll();
    if (!deployment.AwaitReady(20'000)) {
      world.Record("the entries did not become ready");
      Finish(deployment, kCouldNotRun);
    }
    deployment.Sleep(2000);
    const std::int64_t began = world.Now();

    Json::Value timed;
    timed["spec"] = "ms=" + std::to_string(kTimedTaskMs);
    timed["steps"].append(StepOf(1, 500, kTimedTaskMs));
    timed["repetitions"] = kRepetitions;
    timed["start_at_ms"] = Json::Int64(World::WallMs() + 1000);
    timed["interval_ms"] = kIntervalMs;
    const JobRecord repeated = deployment.Submit(JobId(1), 0, timed);

    Json::Value ordinary;
    ordinary["spec"] = "ms=" + std::to_string(kTaskMs);
    ordinary["steps"].append(StepOf(kTasksPerJob, kTaskCpu, kTaskMs));
    deployment.SleepUntil(began + kJobsAfterMs);
    std::vector<JobRecord> jobs;
    for (int it = 0; it < kOrdinaryJobs; ++it) {
      jobs.push_back(
          deployment.Submit(JobId(100 + it), repeated.entry, ordinary));
    }
    deployment.SleepUntil(began + kKillAfterMs);
    if (HasTrouble()) {
      deployment.KillEntry(static_cast<std::size_t>(repeated.entry));
      deployment.Sleep(kRestartAfterMs);
      deployment.StartEntry(static_cast<std::size_t>(repeated.entry));
    }
    // Requesters go on, one job a second at each entry in turn.
    int number = 200;
    while (world.Now() < began + kTrafficMs) {
      jobs.push_back(deployment.Submit(JobId(static_cast<unsigned>(number)),
                                       number % 3, ordinary));
      ++number;
      deployment.Sleep(2500);
    }
    deployment.Sleep(kFinishMs);  // from the answer to the last request

    // Does a job have nothing running for 3 s on end, though tasks of it are to
    // run and under half of the service's capacity is in use?
    std::map<std::string, std::int64_t> idle_since;
    std::set<std::string> stuck;
    std::int64_t least_cpu = kMinionCpu * 3;
    const std::int64_t until = world.Now() + kWatchMs;
    while (world.Now() < until) {
      deployment.Sleep(20);
      const std::lock_guard lock(world.mutex);
      const std::int64_t cpu = CpuInUse(deployment);
      least_cpu = std::min(least_cpu, cpu);
      const std::set<std::string> running = RunningJobs(deployment.runs());
      std::set<std::string> waiting;
      for (const std::string& it : OpenTasks(jobs, deployment.runs())) {
        waiting.insert(JobOf(it));
      }
      std::erase_if(idle_since, [&](const auto& it) {
        return cpu * 2 >= kMinionCpu * 3 || running.contains(it.first) ||
               !waiting.contains(it.first);
      });
      for (const std::string& it : waiting) {
        if (cpu * 2 < kMinionCpu * 3 && !running.contains(it)) {
          const std::int64_t since =
              idle_since.try_emplace(it, world.Now()).first->second;
          if (world.Now() - since >= kStuckMs) {
            stuck.insert(it);
          }
        }
      }
    }
    // What requesters see of it.
    std::size_t shown_open = 0;
    for (const JobRecord& it : jobs) {
      if (it.accepted) {
        const std::string state = deployment.StateOf(it.id, (it.entry + 1) % 3);
        shown_open += state == "completed" ? 0 : 1;
        if (state != "completed") {
          world.Record("job " + it.id + " is shown as " + state);
        }
      }
    }
    if (!deployment.AllAlive()) {
      world.Record("an entry ended by itself");
    }
    const std::lock_guard lock(world.mutex);
    std::size_t unnoted = 0;
    std::size_t ended = 0;
    for (const RunRecord& it : deployment.runs()) {
      world.Record("run " + it.task + " " + std::to_string(it.run) + " at " +
                   it.minion + ": started " + std::to_string(it.started) +
                   ", ended " + std::to_string(it.ended) + " " + it.how +
                   ", noted " + std::to_string(it.noted));
      const bool old_enough =
          it.ended >= 0 && it.ended < world.Now() - 4000 && it.how != "crashed";
      ended += old_enough ? 1 : 0;
      unnoted += old_enough && it.noted < 0 ? 1 : 0;
    }
    for (const std::string& it : stuck) {
      world.Record("LOST " + it + ": for " + std::to_string(kStuckMs) +
                   " ms nothing of it ran, though tasks of it are to run");
    }
    std::size_t accepted = 0;
    for (const JobRecord& it : jobs) {
      accepted += it.accepted ? 1 : 0;
    }
    const std::string verdict =
        std::to_string(stuck.size()) + " of " + std::to_string(accepted) +
        " accepted jobs stand still (" + std::to_string(jobs.size()) +
        " sent), " + std::to_string(shown_open) +
        " are not shown as completed; " + std::to_string(unnoted) + " of " +
        std::to_string(ended) + " ends not taken note of; " +
        std::to_string(least_cpu) + " of " + std::to_string(3 * kMinionCpu) +
        " cpu in use then; " + std::to_string(deployment.store().oversized) +
        " writes above value_bytes";
    world.Record(verdict);
    std::printf("%s\n", verdict.c_str());
    const bool ran = repeated.accepted && accepted > kOrdinaryJobs / 2;
    Finish(deployment, !stuck.empty() ? kBroken : ran ? kHeld : kCouldNotRun);
  } catch (const std::exception& error) {
    world.Record(error.what());
    return kCouldNotRun;
  }
}
