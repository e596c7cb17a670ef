// Waves of upkeep: who takes machines down, when, and what runs there.
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
  fleet.AskForWave(WaveOf({"w0", "w1", "w2", "w3"}, 2));
  CHECK(fleet.RunUntil(
      [&] { return fleet.store.ValueOf(kStatus) == "running"; }, seconds(6)));
  CHECK(fleet.RunUntil(
      [&] { return fleet.store.ValueOf(kStatus) == "completed"; },
      seconds(30)));
  CHECK(fleet.upkeeps.size() == 4);
  CHECK(fleet.most_down <= 2);
  fleet.Run(seconds(5));
  CHECK(fleet.upkeeps.size() == 4);
}

// Symptom: work is lost or thrown away because its machine goes down.
TEST_CASE("A machine goes down only when nothing runs there any more") {
  Fleet fleet;
  fleet.Settle();
  PlanAll(fleet, {.takes = milliseconds(2500)});
  for (int it = 0; it < 8; ++it) {
    fleet.Submit("n" + std::to_string(it % 3), "j" + std::to_string(it),
                 OneStep(8));
  }
  fleet.Run(milliseconds(500));
  fleet.AskForWave(WaveOf({"w0", "w1", "w2"}, 1));
  CHECK(fleet.RunUntil(
      [&] { return fleet.store.ValueOf(kStatus) == "completed"; },
      seconds(60)));
  fleet.Run(seconds(10));
  for (int it = 0; it < 8; ++it) {
    CHECK(fleet.StateOf("n0", "j" + std::to_string(it)) ==
          JobState::kCompleted);
  }
  CHECK(CountEnds(fleet, RunEnd::kDone) == fleet.seen.size());
  CheckPromises(fleet);
}

// Symptom: a service is gone from more places at once than it can bear.
// Sequence: machines on which its tasks run go down one after the other.
// Cause would be: stopping its tasks without asking what else of it is away.
TEST_CASE("No more lasting tasks are away at once than their step allows") {
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
  fleet.AskForWave(WaveOf({"w0", "w1", "w2"}, 3));
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
  CheckPromises(fleet);
}

// Symptom: two instances order machines in turn, or a machine goes down twice.
// Sequence: the one that carries out a wave dies in the middle of it.
TEST_CASE("Another instance goes on with a wave whose holder is lost") {
  Fleet fleet;
  fleet.Settle();
  fleet.AskForWave(WaveOf({"w0", "w1", "w2", "w3"}, 1));
  REQUIRE(
      fleet.RunUntil([&] { return fleet.upkeeps.size() == 2; }, seconds(20)));
  for (const std::string& it : fleet.nodes()) {
    if (fleet.state(it).upkeep.listed) {
      fleet.Kill(it);
      break;
    }
  }
  CHECK(fleet.RunUntil(
      [&] { return fleet.store.ValueOf(kStatus) == "completed"; },
      seconds(40)));
  CHECK(fleet.upkeeps.size() == 4);
  CHECK(fleet.most_down == 1);
}

// Symptom: more machines are down at once than the cap, or one goes down twice.
// Sequence: an order is carried out and its answer is lost.
TEST_CASE("A lost answer to an order to go down changes nothing") {
  Fleet fleet;
  fleet.Settle();
  fleet.lose_machine_answers = 2;
  fleet.AskForWave(WaveOf({"w0", "w1", "w2"}, 1));
  CHECK(fleet.RunUntil(
      [&] { return fleet.store.ValueOf(kStatus) == "completed"; },
      seconds(60)));
  CHECK(fleet.upkeeps.size() == 3);
  CHECK(fleet.most_down == 1);
}

// Symptom: work waits for room while machines stand by.
TEST_CASE("Machines of a standby pool come while work waits, and go again") {
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
  CheckPromises(fleet);
}

TEST_CASE(
    "An order without an answer holds its place for as long as it may "
    "come late") {
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
  renewed.erase("b");  // it has left for good
  ApplyMachineListing(wave, renewed, seconds(27));
  CHECK(IsComplete(wave));
}

}  // namespace

}  // namespace burdockrock::engine
