// Tests waves of upkeep: that machines go down once, empty and within the cap;
// and moves of machines from standby pools.
#include <algorithm>

#include <doctest/doctest.h>

#include "engine/fleet.h"
#include "engine/workers/upkeep_rule.h"

namespace burdockrock::engine {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kStatus = "status/wave/1";

Wave WaveOf(std::vector<std::string> machines, std::uint32_t cap) {
  return {.number = 1,
          .machines = std::move(machines),
          .time = seconds(30),
          .cap = cap};
}

TEST_CASE("Each machine of a wave goes down once, at most the cap at a time") {
  Fleet fleet;
  fleet.Settle();
  fleet.RequestWave(WaveOf({"w0", "w1", "w2", "w3"}, 2));
  CHECK(fleet.RunUntil(
      [&] { return fleet.store.ValueOf(kStatus) == "running"; }, seconds(6)));
  CHECK(fleet.RunUntil(
      [&] { return fleet.store.ValueOf(kStatus) == "completed"; },
      seconds(30)));
  CHECK(fleet.taken_down.size() == 4);
  CHECK(fleet.most_down <= 2);
  fleet.Run(seconds(5));
  CHECK(fleet.taken_down.size() == 4);
}

// Guards against runs that are lost or cut short because their machine goes
// down.
TEST_CASE("A machine goes down only when it has no runs") {
  Fleet fleet;
  fleet.Settle();
  PlanAll(fleet, {.takes = milliseconds(2500)});
  for (int it = 0; it < 8; ++it) {
    fleet.Submit("n" + std::to_string(it % 3), "j" + std::to_string(it),
                 OneStep(8));
  }
  fleet.Run(milliseconds(500));
  fleet.RequestWave(WaveOf({"w0", "w1", "w2"}, 1));
  CHECK(fleet.RunUntil(
      [&] { return fleet.store.ValueOf(kStatus) == "completed"; },
      seconds(60)));
  fleet.Run(seconds(10));
  for (int it = 0; it < 8; ++it) {
    CHECK(fleet.StateOf("n0", "j" + std::to_string(it)) ==
          JobState::kCompleted);
  }
  CHECK(CountEnds(fleet, RunEnd::kDone) == fleet.seen.size());
  CheckInvariants(fleet);
}

// Guards against a service with more tasks down at once than its step allows.
// Machines with its tasks go down one after the other, and a task must not stop
// regardless of how many others are down.
TEST_CASE("No more lasting tasks are down at once than their step allows") {
  Fleet fleet({.workers = 8});
  fleet.Settle();
  PlanAll(fleet, {.endless = true});
  JobSpec spec = OneStep(6, 4000);
  spec.steps[0].lasting = true;
  spec.steps[0].spread = 1;
  spec.steps[0].may_miss = 1;
  fleet.Submit("n0", "j1", spec);
  fleet.Run(seconds(8));
  REQUIRE(CountRuns(fleet, "j1") == 6);
  fleet.RequestWave(WaveOf({"w0", "w1", "w2"}, 3));
  std::size_t fewest = 6;
  CHECK(fleet.RunUntil(
      [&] {
        std::size_t running = 0;
        for (const SeenRun& it : fleet.seen) {
          running += it.ended == kForever ? 1 : 0;
        }
        fewest = std::min(fewest, running);
        return fleet.store.ValueOf(kStatus) == "completed";
      },
      seconds(90)));
  CHECK(fewest >= 5);
  CheckInvariants(fleet);
}

// Guards against two instances that command machines in turn, and a machine
// that goes down twice, when the holder of the duty dies during a wave.
TEST_CASE("Another instance continues a wave whose holder is lost") {
  Fleet fleet;
  fleet.Settle();
  fleet.RequestWave(WaveOf({"w0", "w1", "w2", "w3"}, 1));
  REQUIRE(fleet.RunUntil([&] { return fleet.taken_down.size() == 2; },
                         seconds(20)));
  for (const std::string& it : fleet.nodes()) {
    if (fleet.state(it).upkeep.listed) {
      fleet.Kill(it);
      break;
    }
  }
  CHECK(fleet.RunUntil(
      [&] { return fleet.store.ValueOf(kStatus) == "completed"; },
      seconds(40)));
  CHECK(fleet.taken_down.size() == 4);
  CHECK(fleet.most_down == 1);
}

// Guards against more machines down at once than the cap, and a machine that
// goes down twice, when a command is executed and its reply is lost.
TEST_CASE("A lost reply to a command to go down changes nothing") {
  Fleet fleet;
  fleet.Settle();
  fleet.lost_machine_replies = 2;
  fleet.RequestWave(WaveOf({"w0", "w1", "w2"}, 1));
  CHECK(fleet.RunUntil(
      [&] { return fleet.store.ValueOf(kStatus) == "completed"; },
      seconds(60)));
  CHECK(fleet.taken_down.size() == 3);
  CHECK(fleet.most_down == 1);
}

// Guards against jobs that wait for room while machines are on standby.
TEST_CASE("Standby machines move in while jobs wait, and return afterwards") {
  Fleet fleet({.workers = 3, .processors_milli = 4000});
  fleet.Settle();
  fleet.AddStandby(2);
  fleet.Run(seconds(5));
  CHECK(fleet.moves == 0);
  PlanAll(fleet, {.takes = seconds(2)});
  for (int it = 0; it < 20; ++it) {
    fleet.Submit("n0", "j" + std::to_string(it), OneStep(6));
  }
  fleet.Run(seconds(14));
  CHECK(fleet.moves == 2);
  fleet.Run(seconds(70));
  CHECK(fleet.moves == 4);
  for (int it = 0; it < 20; ++it) {
    CHECK(fleet.StateOf("n0", "j" + std::to_string(it)) ==
          JobState::kCompleted);
  }
  const auto cut =
      std::count_if(fleet.seen.begin(), fleet.seen.end(),
                    [](const SeenRun& it) { return it.how != RunEnd::kDone; });
  CHECK(cut == 0);
  CheckInvariants(fleet);
}

TEST_CASE(
    "A command without a reply counts against the cap while it may be "
    "executed late") {
  WaveProgress wave = BeginWave(WaveOf({"a", "b"}, 1));
  const MachineList up = {{"a", {.name = "a", .worker = "a1"}},
                          {"b", {.name = "b", .worker = "b1"}}};
  CHECK(NextMachines(wave, up) == std::vector<std::string>{"a"});
  wave.machines["a"] = {
      .phase = MachinePhase::kCommanded, .since = seconds(10), .worker = "a1"};
  CHECK(NextMachines(wave, up).empty());
  ApplyMachineListing(wave, up, seconds(20));
  CHECK(wave.machines["a"].phase == MachinePhase::kCommanded);
  ApplyMachineListing(wave, up, seconds(23));
  CHECK(wave.machines["a"].phase == MachinePhase::kWaiting);
  MachineList down = up;
  down["a"].state = MachineState::kUpkeep;
  ApplyMachineListing(wave, down, seconds(24));
  CHECK(wave.machines["a"].phase == MachinePhase::kCommanded);
  MachineList renewed = up;
  renewed["a"].worker = "a2";
  ApplyMachineListing(wave, renewed, seconds(26));
  CHECK(wave.machines["a"].phase == MachinePhase::kDone);
  CHECK_FALSE(IsComplete(wave));
  renewed.erase("b");  // it was removed from the service
  ApplyMachineListing(wave, renewed, seconds(27));
  CHECK(IsComplete(wave));
}

}  // namespace

}  // namespace burdockrock::engine
