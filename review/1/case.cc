// Many short tasks end on a few minions while the store is down.
#include <cstdio>
#include <set>

#include "stand/checks.h"
#include "stand/deployment.h"

using namespace review;

namespace {

constexpr int kJobs = 48;
constexpr int kTasksPerJob = 100;
constexpr int kTaskCpu = 250;
constexpr int kTaskMs = 1000;
constexpr std::int64_t kDownAfterMs = 3000;
constexpr std::int64_t kDownMs = 6500;
constexpr std::int64_t kLimitMs = 70'000;

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) {
    return kCouldNotRun;
  }
  World world(argv[1]);
  try {
    Deployment deployment(world, {.folder = argv[2]});
    deployment.StartAll();
    if (!deployment.AwaitReady(20'000)) {
      world.Record("the entries did not become ready");
      Finish(deployment, kCouldNotRun);
    }
    deployment.Sleep(2000);
    Json::Value body;
    body["spec"] = "ms=" + std::to_string(kTaskMs);
    body["steps"].append(StepOf(kTasksPerJob, kTaskCpu, kTaskMs));
    const std::int64_t began = world.Now();
    std::vector<JobRecord> jobs;
    for (int it = 0; it < kJobs; ++it) {
      jobs.push_back(deployment.Submit(JobId(it), it % 3, body));
    }
    deployment.SleepUntil(began + kDownAfterMs);
    if (HasTrouble()) {
      {
        const std::lock_guard lock(world.mutex);
        deployment.store().SetDown(true);
      }
      world.Record("the store is down (503)");
      deployment.Sleep(kDownMs);
      {
        const std::lock_guard lock(world.mutex);
        deployment.store().SetDown(false);
      }
      world.Record("the store is back");
    }
    std::set<std::string> open;
    for (const JobRecord& it : jobs) {
      if (it.accepted) {
        open.insert(it.id);
      }
    }
    const std::size_t accepted = open.size();
    while (!open.empty() && world.Now() < began + kLimitMs) {
      deployment.Sleep(1000);
      std::erase_if(open, [&](const std::string& it) {
        return deployment.StateOf(it, 0) == "completed";
      });
    }
    deployment.Sleep(2500);  // the last ends are taken note of
    if (!deployment.AllAlive()) {
      world.Record("an entry ended by itself");
    }
    const std::lock_guard lock(world.mutex);
    for (const RunRecord& it : deployment.runs()) {
      world.Record("run " + it.task + " " + std::to_string(it.run) + " at " +
                   it.minion + ": started " + std::to_string(it.started) +
                   ", ended " + std::to_string(it.ended) + " " + it.how +
                   ", noted " + std::to_string(it.noted));
    }
    std::size_t most = 0;
    for (const auto& it : deployment.minions()) {
      most = std::max(most, it->most_unnoted());
    }
    const auto repeated = FindStartsAfterDone(deployment.runs());
    for (const Repeated& it : repeated) {
      world.Record("TWICE " + it.done.task + ": run " +
                   std::to_string(it.done.run) + " ended done at " +
                   std::to_string(it.done.ended) + " on " + it.done.minion +
                   ", noted at " + std::to_string(it.done.noted) + "; run " +
                   std::to_string(it.later.run) + " started at " +
                   std::to_string(it.later.started) + " on " + it.later.minion);
    }
    const std::string verdict =
        std::to_string(repeated.size()) + " tasks of " +
        std::to_string(kJobs * kTasksPerJob) +
        " started again after a run that had ended done; " +
        std::to_string(accepted) + " jobs accepted, " +
        std::to_string(accepted - open.size()) +
        " completed; most ends that one minion kept: " + std::to_string(most);
    world.Record(verdict);
    std::printf("%s\n", verdict.c_str());
    const bool ran = accepted == jobs.size();
    Finish(deployment, !repeated.empty() ? kBroken
                       : ran             ? kHeld
                                         : kCouldNotRun);
  } catch (const std::exception& error) {
    world.Record(error.what());
    return kCouldNotRun;
  }
}
