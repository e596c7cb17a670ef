// Tests that the tasks of a lost worker run again, whoever owned it last and
// whatever its runs were commanded to do.
#include <algorithm>
#include <string>
#include <vector>

#include <doctest/doctest.h>
#include <fmt/format.h>

#include "engine/fleet.h"

namespace burdockrock::engine {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kInstances = 9;
constexpr std::size_t kWorkers = 36;
constexpr std::size_t kGangs = 16;
constexpr std::int64_t kCapacity = 8000;
// From the end of the longest lease, of a former owner that may have renewed
// without the store, to a gang's next start.
constexpr Duration kRestartBound = seconds(25);

// Longer than a lost worker is announced.
constexpr Duration kLongCut = seconds(30);

struct Variant {
  bool gang = false;
  bool owner_restarts = false;  // and knows nothing of the lost worker
};
constexpr Variant kVariants[] = {{.gang = false},
                                 {.gang = true},
                                 {.gang = false, .owner_restarts = true},
                                 {.gang = true, .owner_restarts = true}};

std::string AddressOf(const std::string& worker) {
  return worker.substr(0, worker.find('-'));
}

JobSpec Gang() {
  JobSpec spec = OneStep(2, kCapacity);
  spec.steps[0].gang = true;
  spec.steps[0].estimate = seconds(60);
  return spec;
}

const SeenRun* FindRun(const Fleet& fleet, const std::string& task) {
  const auto it =
      std::find_if(fleet.seen.begin(), fleet.seen.end(),
                   [&](const SeenRun& run) { return run.task == task; });
  return it == fleet.seen.end() ? nullptr : &*it;
}

}  // namespace

// Guards against a gang that never starts again. A member's worker does not
// answer any more, the other member ends, and the worker's owner is lost before
// it has declared the worker lost. The next owner has a lower fence.
TEST_CASE("A gang starts again after a worker and then its owner are lost") {
  std::size_t played = 0;
  for (std::size_t it = 0; it < kGangs; ++it) {
    CAPTURE(it);
    Fleet fleet({.instances = kInstances,
                 .workers = kWorkers,
                 .processors_milli = kCapacity});
    fleet.Settle();
    PlanAll(fleet, {.takes = seconds(90)});
    for (std::size_t gang = 0; gang < kGangs; ++gang) {
      fleet.Submit("n0", fmt::format("gang{}", gang), Gang());
    }
    fleet.Run(seconds(2));
    const SeenRun* first = FindRun(fleet, fmt::format("gang{}.0.0.0", it));
    const SeenRun* second = FindRun(fleet, fmt::format("gang{}.0.0.1", it));
    REQUIRE(first != nullptr);
    REQUIRE(second != nullptr);
    const std::string owner =
        AddressOf(fleet.state("n0").view.at(first->worker).owner);
    const std::string dark = AddressOf(first->worker);
    if (owner == "n0") {
      continue;
    }
    ++played;
    const std::string id = first->worker;
    const std::string partner = AddressOf(second->worker);
    const std::string task = second->task;
    fleet.command_fault = [dark](const std::string&, const std::string& worker,
                                 const WorkerRequest&) {
      return worker == dark ? CommandFault::kUnreached : CommandFault::kNone;
    };
    fleet.Run(milliseconds(2500));
    fleet.worker(partner).EndRun(fleet.now(), task, RunEnd::kBroken);
    fleet.store.Remove("worker/" + id);
    fleet.Run(seconds(1));
    fleet.Kill(owner);
    fleet.Run(kRestartBound);
    CHECK(CountRuns(fleet, fmt::format("gang{}", it)) == 4);
    CheckInvariants(fleet);
  }
  CHECK(played > 0);
}

// Guards against a task that its job's owner believes to be running for ever.
// Its worker leaves while the worker's owner can't be heard, and is not
// announced as lost any more when it can.
TEST_CASE("A task starts again after its worker left behind a long cut") {
  for (const Variant& variant : kVariants) {
    const bool gang = variant.gang;
    CAPTURE(gang);
    CAPTURE(variant.owner_restarts);
    Fleet fleet({.processors_milli = kCapacity});
    fleet.Settle();
    PlanAll(fleet, {.takes = seconds(90)});
    JobSpec spec = OneStep(3, kCapacity);
    spec.steps[0].gang = gang;
    fleet.Submit("n0", "job", spec);
    fleet.Run(seconds(1));
    const auto away = std::find_if(
        fleet.seen.begin(), fleet.seen.end(), [&](const SeenRun& run) {
          return fleet.state("n0").view.at(run.worker).owner != "n0-1";
        });
    REQUIRE(away != fleet.seen.end());
    const std::string id = away->worker;
    const std::string task = away->task;
    const std::string owner = AddressOf(fleet.state("n0").view.at(id).owner);
    fleet.is_cut = [owner](const std::string& from, const std::string& to) {
      return from != to && (from == owner || to == owner);
    };
    FakeWorker& worker = fleet.worker(AddressOf(id));
    worker.info().draining = true;
    fleet.ListAgain(AddressOf(id));
    fleet.Run(seconds(3));
    fleet.store.Remove("worker/" + id);
    worker.Crash(fleet.now(), id + "-next");
    // The others of a gang end with it, and its owner orders the member to
    // stop.
    for (const SeenRun& run : std::vector<SeenRun>(fleet.seen)) {
      if (gang && run.task != task) {
        fleet.worker(AddressOf(run.worker))
            .EndRun(fleet.now(), run.task, RunEnd::kBroken);
      }
    }
    fleet.Run(kLongCut);
    if (variant.owner_restarts) {
      fleet.Kill(owner);
      fleet.Start(owner);
      fleet.Run(kLongCut);
    }
    fleet.is_cut = [](const std::string&, const std::string&) { return false; };
    fleet.Run(kRestartBound);
    const auto runs =
        std::count_if(fleet.seen.begin(), fleet.seen.end(),
                      [&](const SeenRun& run) { return run.task == task; });
    CHECK(runs >= 2);
    CheckInvariants(fleet);
  }
}

// Guards against a task that its job's owner believes to be running for ever.
// Its worker leaves while the worker's rightful owner restarts: the former
// owner must not declare the loss, and the rightful one has never seen the
// worker.
TEST_CASE("A task starts again whose worker left as its owner restarted") {
  for (const bool gang : {false, true}) {
    CAPTURE(gang);
    Fleet fleet({.instances = kInstances,
                 .workers = kWorkers,
                 .processors_milli = kCapacity});
    fleet.Settle();
    PlanAll(fleet, {.takes = seconds(90)});
    JobSpec spec = OneStep(9, kCapacity);
    spec.steps[0].gang = gang;
    fleet.Submit("n0", "job", spec);
    fleet.Run(seconds(1));
    const auto away = std::find_if(
        fleet.seen.begin(), fleet.seen.end(), [&](const SeenRun& run) {
          return fleet.state("n0").view.at(run.worker).owner != "n0-1";
        });
    REQUIRE(away != fleet.seen.end());
    const std::string id = away->worker;
    const std::string task = away->task;
    const std::string owner = AddressOf(fleet.state("n0").view.at(id).owner);
    fleet.Kill(owner);
    fleet.Run(seconds(5));
    REQUIRE(AddressOf(fleet.state("n0").view.at(id).owner) != owner);
    const std::string dark = AddressOf(id);
    fleet.command_fault = [dark](const std::string&, const std::string& worker,
                                 const WorkerRequest&) {
      return worker == dark ? CommandFault::kUnreached : CommandFault::kNone;
    };
    fleet.store.Remove("worker/" + id);
    fleet.Run(milliseconds(100));
    fleet.Start(owner);
    fleet.Run(kLongCut + kRestartBound);
    const auto runs =
        std::count_if(fleet.seen.begin(), fleet.seen.end(),
                      [&](const SeenRun& run) { return run.task == task; });
    CHECK(runs >= 2);
    CheckInvariants(fleet);
  }
}

}  // namespace burdockrock::engine
