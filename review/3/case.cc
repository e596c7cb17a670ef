// A second wave of upkeep is requested while the first one is under way, and
// one machine belongs to both.
#include <cstdio>
#include <set>
#include <string>

#include "stand/deployment.h"

using namespace review;

namespace {

constexpr int kMachines = 8;
constexpr std::int64_t kLimitMs = 70'000;
const std::set<std::string> kFirst = {"m-100", "m-101", "m-102"};
const std::set<std::string> kSecond = {"m-102", "m-103", "m-104"};

bool Await(Deployment& deployment,
           World& world,
           std::uint64_t wave,
           const char* state) {
  while (world.Now() < kLimitMs) {
    {
      const std::lock_guard lock(world.mutex);
      if (deployment.StateOfWave(wave) == state) {
        world.Record("wave " + std::to_string(wave) + " is said to be " +
                     state);
        return true;
      }
    }
    deployment.Sleep(20);
  }
  return false;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) {
    return kCouldNotRun;
  }
  World world(argv[1]);
  try {
    Deployment deployment(world, {.folder = argv[2], .machines = kMachines});
    deployment.StartAll();
    if (!deployment.AwaitReady(20'000)) {
      world.Record("the entries did not become ready");
      Finish(deployment, kCouldNotRun);
    }
    deployment.Sleep(3000);
    {
      const std::lock_guard lock(world.mutex);
      deployment.RequestWave(1, kFirst, 1);
    }
    // Without the disruption the second wave follows the first one.
    bool ran = Await(deployment, world, 1, HasTrouble() ? "running" : "completed");
    {
      const std::lock_guard lock(world.mutex);
      deployment.RequestWave(2, kSecond, 1);
    }
    ran = Await(deployment, world, 1, "completed") && ran;
    ran = Await(deployment, world, 2, "completed") && ran;
    std::string missed;
    const std::lock_guard lock(world.mutex);
    for (const std::string& it : kSecond) {
      if (deployment.StateOfWave(2) == "completed" &&
          !deployment.HadUpkeep(it, 2)) {
        missed += " " + it;
        world.Record("MIXED wave 2 is said to be completed, and the upkeep of " +
                     it + " for it has not begun");
      }
    }
    for (const std::string& it : kFirst) {
      if (deployment.StateOfWave(1) == "completed" &&
          !deployment.HadUpkeep(it, 1)) {
        missed += " " + it;
        world.Record("MIXED wave 1 is said to be completed, and the upkeep of " +
                     it + " for it has not begun");
      }
    }
    const std::string verdict =
        missed.empty() ? "all machines of both waves have begun their upkeep"
                       : "completed without the upkeep of" + missed;
    world.Record(verdict);
    std::printf("%s\n", verdict.c_str());
    Finish(deployment, !missed.empty() ? kBroken : ran ? kHeld : kCouldNotRun);
  } catch (const std::exception& error) {
    world.Record(error.what());
    return kCouldNotRun;
  }
}
