// Minions that run short tasks crash and start again at once under their ids.
#include <cstdio>
#include <random>
#include <thread>

#include "stand/checks.h"
#include "stand/deployment.h"

using namespace review;

namespace {

constexpr int kMachines = 10;
constexpr int kRequesters = 6;
constexpr int kTasksPerJob = 3;
constexpr int kTaskCpu = 1000;
constexpr int kTaskMs = 20;
constexpr std::int64_t kBetweenJobsMs = 25;
constexpr std::int64_t kTrafficMs = 24'000;
constexpr std::int64_t kRestartEveryMs = 3000;
constexpr std::int64_t kAwayMs = 30;
constexpr std::int64_t kLimitMs = 75'000;

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) {
    return kCouldNotRun;
  }
  World world(argv[1]);
  try {
    Deployment deployment(
        world,
        {.folder = argv[2], .machines = kMachines, .minions_keep_ids = true});
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
    std::vector<std::vector<JobRecord>> sent(kRequesters);
    std::vector<std::thread> requesters;
    for (unsigned r = 0; r < kRequesters; ++r) {
      requesters.emplace_back([&, r] {
        for (unsigned it = 0; world.Now() < began + kTrafficMs; ++it) {
          sent[r].push_back(deployment.Submit(JobId(r << 20U | it),
                                              static_cast<int>(r % 3), body));
          deployment.Sleep(kBetweenJobsMs);
        }
      });
    }
    std::mt19937 random(1);
    int restarts = 0;
    while (world.Now() < began + kTrafficMs) {
      deployment.Sleep(kRestartEveryMs +
                       static_cast<std::int64_t>(random() % 200));
      if (!HasTrouble()) {
        continue;
      }
      const std::lock_guard lock(world.mutex);
      Minion* busiest = nullptr;
      for (const auto& it : deployment.minions()) {
        if (it->IsUp() && (busiest == nullptr ||
                           it->CountStartsSince(world.Now() - 500) >
                               busiest->CountStartsSince(world.Now() - 500))) {
          busiest = it.get();
        }
      }
      busiest->Restart(kAwayMs);
      ++restarts;
    }
    std::set<std::string> open;
    for (unsigned r = 0; r < kRequesters; ++r) {
      requesters[r].join();
      for (const JobRecord& it : sent[r]) {
        if (it.accepted) {
          open.insert(it.id);
        }
      }
    }
    const std::size_t accepted = open.size();
    while (!open.empty() && world.Now() < began + kLimitMs) {
      deployment.Sleep(500);
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
        std::to_string(accepted * kTasksPerJob) +
        " started again after a run that had ended done; " +
        std::to_string(restarts) + " restarts of minions; " +
        std::to_string(accepted) + " jobs accepted, " +
        std::to_string(accepted - open.size()) + " completed";
    world.Record(verdict);
    std::printf("%s\n", verdict.c_str());
    Finish(deployment, !repeated.empty() ? kBroken
                       : accepted > 100  ? kHeld
                                         : kCouldNotRun);
  } catch (const std::exception& error) {
    world.Record(error.what());
    return kCouldNotRun;
  }
}
