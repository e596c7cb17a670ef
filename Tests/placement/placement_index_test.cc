// The policies and the books on small fleets.
#include "placement/placement_index.h"

#include <set>
#include <string>

#include <doctest/doctest.h>
#include <fmt/format.h>

namespace burdockrock {
namespace {

constexpr Resources kWorker{.processors_milli = 16'000, .memory_mb = 65'536};
constexpr Resources kTask{.processors_milli = 4'000, .memory_mb = 4'096};
// As much of the worker's processors as of its memory.
constexpr Resources kEvenTask{.processors_milli = 4'000, .memory_mb = 16'384};

TargetInfo Worker(int number, const Resources& capacity = kWorker) {
  return {.id = fmt::format("w{}", number),
          .rack = fmt::format("r{}", number / 8),
          .capacity = capacity};
}

TargetInfo Minion(int number, std::int64_t slots) {
  return {.id = fmt::format("m{}", number),
          .service = "permit-desk",
          .rack = fmt::format("r{}", number / 2),
          .capacity = {.slots = slots}};
}

Resources WithAccelerators(std::int64_t count) {
  Resources capacity = kWorker;
  capacity.accelerators = count;
  return capacity;
}

TEST_CASE("Take gives exactly the room there is") {
  PlacementIndex index;
  const TargetIndex worker = index.Add(Worker(0));
  for (int it = 0; it < 4; ++it) {
    CHECK(index.Take(worker, kTask));
  }
  CHECK_FALSE(index.Take(worker, kTask));
  CHECK(index.free(worker).processors_milli == 0);
  CHECK(index.free(worker).memory_mb == 65'536 - 4 * 4'096);
  CHECK(index.total_free() == index.free(worker));
  index.Give(worker, kTask);
  CHECK(index.CountFitting(kTask) == 1);
  index.Give(worker, kWorker);
  CHECK(index.free(worker) == kWorker);
}

TEST_CASE("Remove forgets bookings and its handle serves the next target") {
  PlacementIndex index;
  const TargetIndex worker = index.Add(Worker(0));
  REQUIRE(index.Take(worker, kTask));
  CHECK(index.Add(Worker(0)) == worker);
  CHECK(index.free(worker) == kWorker - kTask);
  index.Remove(worker);
  CHECK_FALSE(index.Find("w0"));
  CHECK(index.size() == 0);
  CHECK(index.total_capacity() == Resources{});
  CHECK(index.Add(Worker(1)) == worker);
  CHECK(index.free(worker) == kWorker);
}

// Symptom: a worker that runs more than it has is given still more.
// Events: its owner dies, two others have started tasks on it, the successor
// claims it and books both reports.
// Cause: a sum of room in which the overbooked dimension is left out.
TEST_CASE("An overbooked worker is given nothing until room is back") {
  PlacementIndex index;
  const TargetIndex worker = index.Add(Worker(0));
  index.ForceTake(worker, {.memory_mb = 70'000});
  CHECK(index.free(worker).memory_mb < 0);
  const Resources processors_only{.processors_milli = 1};
  CHECK_FALSE(index.PickWorker(processors_only, WorkerPolicy::kPack));
  CHECK_FALSE(index.PickWorker({}, WorkerPolicy::kSpread));
  CHECK_FALSE(index.Take(worker, processors_only));
  CHECK(index.total_free() == Resources{});
  index.Give(worker, {.memory_mb = 70'000});
  CHECK(index.PickWorker(processors_only, WorkerPolicy::kPack) == worker);
}

TEST_CASE("A closed target is not picked and still returns its room") {
  PlacementIndex index;
  const TargetIndex worker = index.Add(Worker(0));
  REQUIRE(index.Take(worker, kTask));
  index.SetOpen(worker, false);
  CHECK_FALSE(index.PickWorker(kTask, WorkerPolicy::kSpread));
  CHECK(index.PickGang(kTask, 1).empty());
  CHECK(index.total_capacity() == Resources{});
  CHECK(index.FitsEmpty(kTask));
  index.Give(worker, kTask);
  index.SetOpen(worker, true);
  CHECK(index.total_free() == kWorker);
}

TEST_CASE("Spread goes round the racks before it doubles up") {
  PlacementIndex index;
  for (int it = 0; it < 24; ++it) {
    index.Add(Worker(it));
  }
  std::set<TargetIndex> used;
  for (int round = 0; round < 8; ++round) {
    std::set<std::string> racks;
    for (int it = 0; it < 3; ++it) {
      const auto worker = index.PickWorker(kTask, WorkerPolicy::kSpread);
      REQUIRE(worker);
      REQUIRE(index.Take(*worker, kTask));
      racks.insert(index.info(*worker).rack);
      used.insert(*worker);
    }
    CHECK(racks.size() == 3);
  }
  CHECK(used.size() == 24);
}

// Symptom: a task waits although a worker has room for it.
// Events: hundreds of idle workers each lack one of two dimensions; the only
// one with both is busier than all of them.
// Cause: the search by load ends after a bounded number of steps.
TEST_CASE("Spread finds the only worker with room behind many without") {
  PlacementIndex index;
  for (int it = 0; it < 400; ++it) {
    const bool little_memory = it / 8 % 2 == 0;
    const Resources room{.processors_milli = little_memory ? 16'000 : 2'000,
                         .memory_mb = little_memory ? 8'192 : 65'536};
    index.Add(Worker(it, room));
  }
  const TargetIndex roomy = index.Add(Worker(400));
  REQUIRE(index.Take(roomy, kEvenTask));
  CHECK(index.PickWorker(kEvenTask, WorkerPolicy::kSpread) == roomy);
}

TEST_CASE("Minions are picked by free slots, ties over the racks") {
  PlacementIndex index;
  for (int it = 0; it < 4; ++it) {
    index.Add(Minion(it, 2));
  }
  std::string order;
  while (const auto minion = index.PickMinion("permit-desk")) {
    REQUIRE(index.Take(*minion, {.slots = 1}));
    order += index.info(*minion).id;
  }
  CHECK(order == "m0m2m1m3m0m2m1m3");
  CHECK(index.free_slots("permit-desk") == 0);
  CHECK(index.total_slots("permit-desk") == 8);
  CHECK_FALSE(index.PickMinion("grantdesk"));
  CHECK(index.total_slots("grantdesk") == 0);
}

TEST_CASE("Packing keeps accelerators for the tasks that need them") {
  PlacementIndex index;
  const TargetIndex two = index.Add(Worker(0, WithAccelerators(2)));
  const TargetIndex one = index.Add(Worker(1, WithAccelerators(1)));
  const TargetIndex plain = index.Add(Worker(2));
  Resources trained = kTask;
  trained.accelerators = 1;
  CHECK(index.PickWorker(trained, WorkerPolicy::kPack) == one);
  for (int it = 0; it < 4; ++it) {
    CHECK(index.PickWorker(kTask, WorkerPolicy::kPack) == plain);
    REQUIRE(index.Take(plain, kTask));
  }
  CHECK(index.PickWorker(kTask, WorkerPolicy::kSpread) == one);
  trained.accelerators = 2;
  CHECK(index.PickWorker(trained, WorkerPolicy::kSpread) == two);
}

// Symptom: memory stays free beside workers whose processors are all used.
// Events: a batch that needs processors comes before one that needs memory.
// Cause: tasks are packed by the room that is left and not by its shape.
TEST_CASE("Tasks that need different dimensions share a worker") {
  PlacementIndex index;
  const TargetIndex first = index.Add(Worker(0));
  const TargetIndex second = index.Add(Worker(1));
  REQUIRE(index.Take(first, {.processors_milli = 8'000, .memory_mb = 4'096}));
  REQUIRE(index.Take(second, {.processors_milli = 1'000, .memory_mb = 24'576}));
  const Resources large_memory{.processors_milli = 500, .memory_mb = 16'384};
  CHECK(index.PickWorker(large_memory, WorkerPolicy::kPack) == first);
  const Resources processors{.processors_milli = 4'000, .memory_mb = 1'024};
  CHECK(index.PickWorker(processors, WorkerPolicy::kPack) == second);
}

// Symptom: two gangs wait for ever, each with half of its tasks started.
// Events: both need most of the room, and each is given what is left.
// Cause: a gang that is placed task by task.
TEST_CASE("A gang has all its places or none") {
  PlacementIndex index;
  const TargetIndex first = index.Add(Worker(0));
  index.Add(Worker(1));
  REQUIRE(index.Take(first, kEvenTask));
  CHECK(index.PickGang(kTask, 8).empty());
  const auto whole = index.PickGang(kTask, 7);
  CHECK(whole.size() == 7);
  const auto dense = index.PickGang(kEvenTask, 3);
  CHECK(dense == std::vector<TargetIndex>(3, first));
}

TEST_CASE("A task that could never run is told what does not fit") {
  PlacementIndex index;
  CHECK(index.DescribeMisfitEverywhere(kTask) == "no worker is known");
  index.Add(Worker(0));
  index.Add(Worker(1, {.processors_milli = 2'000, .memory_mb = 131'072}));
  CHECK(index.DescribeMisfitEverywhere(kTask).empty());
  const Resources wide{.processors_milli = 32'000, .memory_mb = 1};
  CHECK_FALSE(index.FitsEmpty(wide));
  CHECK(index.DescribeMisfitEverywhere(wide) ==
        "processors_milli 32000 over 16000");
  const Resources both{.processors_milli = 4'000, .memory_mb = 100'000};
  CHECK_FALSE(index.FitsEmpty(both));
  CHECK(index.DescribeMisfitEverywhere(both).starts_with(
      "no worker offers all at once, the nearest lacks "));
}

}  // namespace
}  // namespace burdockrock
