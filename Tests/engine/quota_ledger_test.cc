// The decisions on a team's cap, as pure functions.
#include "engine/teams/quota_ledger.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include <doctest/doctest.h>

#include "engine/jobs/job_table.h"
#include "engine/teams/quota_demand.h"

namespace burdockrock::engine {

namespace {

constexpr std::int64_t kTask = 1000;  // thousandths of a processor

Resources Cores(std::int64_t n) {
  return {.processors_milli = kTask * n};
}

const Resources kCap = Cores(100);

const MayStart kAnyStep = [](std::uint32_t, std::uint32_t) { return true; };

QuotaHolder Asks(std::int64_t held,
                 std::int64_t wanted,
                 std::int64_t least,
                 int at) {
  return {.held = Cores(held),
          .shared = Cores(held),
          .wanted = Cores(wanted),
          .least = Cores(least),
          .asked_at = Time(at)};
}

QuotaLedger Settled(std::map<std::string, QuotaHolder> holders) {
  return {.claim = 1, .settled = true, .holders = std::move(holders)};
}

}  // namespace

// Guards against grants that together exceed the cap when all members ask at
// once.
TEST_CASE("The grants of a burst stay within the cap, oldest request first") {
  const QuotaLedger ledger = Settled({{"n0", Asks(0, 30, 1, 2)},
                                      {"n1", Asks(5, 45, 1, 1)},
                                      {"n2", Asks(0, 30, 1, 3)}});
  const auto grants = DecideGrants(ledger, Cores(60));
  REQUIRE(grants.size() == 2);
  CHECK(grants[0] ==
        HolderGrant{.holder = "n1", .held = Cores(45), .shared = Cores(45)});
  CHECK(grants[1].holder == "n0");
  CHECK(grants[1].held.processors_milli == 15'000);
}

// Guards against a report that has crossed a grant on its way, and that is
// taken for a refusal.
TEST_CASE(
    "Only reports in a row that tell the same earlier grant are refusals") {
  const auto at = [](std::int64_t ms) {
    return Time(std::chrono::milliseconds(ms));
  };
  QuotaHolder holder{.grant = 2};
  NoteApplied(at(1000), 1, holder);
  CHECK(holder.unapplied_since == at(1000));
  CHECK_FALSE(LeavesGrantsUnapplied(holder));
  SUBCASE("the grant is applied before the next report") {
    NoteApplied(at(6000), 2, holder);
    CHECK(holder.unapplied_since == kForever);
    CHECK_FALSE(LeavesGrantsUnapplied(holder));
  }
  SUBCASE("the next report tells that one and has crossed another") {
    holder.grant = 3;
    NoteApplied(at(6000), 2, holder);
    CHECK(holder.unapplied_since == at(6000));
    CHECK_FALSE(LeavesGrantsUnapplied(holder));
  }
  SUBCASE("further grants are not applied either") {
    NoteApplied(at(3900), 1, holder);
    CHECK_FALSE(LeavesGrantsUnapplied(holder));
    holder.grant = 5;
    NoteApplied(at(4000), 1, holder);
    CHECK(LeavesGrantsUnapplied(holder));
    CHECK(holder.unapplied_since == at(1000));
    NoteApplied(at(5000), 5, holder);
    CHECK_FALSE(LeavesGrantsUnapplied(holder));
  }
}

// Guards against a burst beyond a team's entitlement that takes the cap from
// its other work because it asked first.
TEST_CASE("What is beyond the entitlement gets what other work leaves") {
  QuotaHolder burst = Asks(0, 50, 1, 1);
  burst.excess_waiting = Cores(40);
  const QuotaLedger ledger =
      Settled({{"n0", burst}, {"n1", Asks(0, 30, 1, 2)}});
  const auto grants = DecideGrants(ledger, Cores(60));
  REQUIRE(grants.size() == 2);
  CHECK(grants[0].holder == "n0");
  CHECK(grants[0].held.processors_milli / kTask == 30);
  CHECK(grants[1].held == Cores(30));
}

// Guards against holdings that an accountant has not heard of yet.
TEST_CASE("An accountant that does not know all holdings grants nothing") {
  QuotaLedger ledger = Settled({{"n0", Asks(0, 1, 1, 1)}});
  ledger.settled = false;
  CHECK(DecideGrants(ledger, Cores(60)).empty());
}

// Guards against long work that fills the cap and keeps urgent work waiting.
TEST_CASE("Urgent work comes first, and a part of the cap is left for it") {
  const Resources reserve = ReserveOf(Cores(100), 2);
  CHECK(reserve == Resources{.processors_milli = 12'000});
  QuotaHolder urgent = Asks(0, 20, 0, 2);
  urgent.urgent_wanted = Cores(20);
  urgent.urgent_least = Cores(1);
  const QuotaLedger full = Settled(
      {{"n0", Asks(80, 200, 1, 1)}, {"n1", urgent}, {"n2", Asks(0, 50, 1, 1)}});
  const auto grants = DecideGrants(full, Cores(100), reserve);
  REQUIRE(grants.size() == 1);
  CHECK(grants[0] ==
        HolderGrant{.holder = "n1", .held = Cores(20), .shared = Cores(0)});
  const auto calm =
      DecideGrants(Settled({{"n0", Asks(80, 200, 1, 1)}}), Cores(100), reserve);
  REQUIRE(calm.size() == 1);
  CHECK(calm[0].held == Cores(88));
}

// Guards against a task that is larger than what the reserve leaves and waits
// for ever.
TEST_CASE("A large task of low priority may use the reserve") {
  const auto grants = DecideGrants(Settled({{"n0", Asks(0, 95, 95, 1)}}),
                                   Cores(100), ReserveOf(Cores(100), 2));
  REQUIRE(grants.size() == 1);
  CHECK(grants[0].held == Cores(95));
}

// Guards against gangs that hold a part of their need and block each other.
TEST_CASE("A gang gets all of its need or nothing") {
  const QuotaLedger ledger =
      Settled({{"n0", Asks(50, 50, 0, 1)}, {"n1", Asks(0, 20, 20, 1)}});
  CHECK(DecideGrants(ledger, Cores(60)).empty());
  CHECK(DecideGrants(ledger, Cores(70)).size() == 1);
}

// Guards against a task that never runs because it is larger than the cap.
TEST_CASE("A task that is larger than the cap runs when nothing else does") {
  const QuotaLedger alone = Settled({{"n0", Asks(0, 8, 8, 1)}});
  REQUIRE(DecideGrants(alone, Cores(5)).size() == 1);
  CHECK(DecideGrants(alone, Cores(5))[0].held == Cores(8));
  const QuotaLedger beside =
      Settled({{"n0", Asks(0, 8, 8, 1)}, {"n1", Asks(1, 1, 0, 1)}});
  CHECK(DecideGrants(beside, Cores(5)).empty());
}

// Guards against starts on holdings of a cap that was lowered since.
TEST_CASE("A holding follows a lower cap, and a higher one only by a grant") {
  CHECK(FollowCap(Cores(20), Cores(100), Cores(40)) == Cores(8));
  CHECK(FollowCap(Cores(20), Cores(100), Cores(200)) == Cores(20));
  CHECK(FollowCap(Cores(20), Resources(), Cores(40)) == Resources());
  CHECK(FollowCap(Cores(20), Cores(40), Resources()) == Cores(20));
}

// Guards against a small need that is taken for the larger one, since it takes
// more of what the cap does not limit.
TEST_CASE("The smallest need is the one that takes least of the cap") {
  const Resources gang{.processors_milli = 30, .memory_mb = 30};
  const Resources task{.processors_milli = 2, .memory_mb = 64};
  const Resources processors{.processors_milli = 100};
  for (const auto& [first, second] : {std::pair(gang, task), {task, gang}}) {
    Resources smallest;
    KeepSmaller(first, processors, smallest);
    KeepSmaller(second, processors, smallest);
    CHECK(smallest == task);
  }
  Resources smallest;
  KeepSmaller({.memory_mb = 64}, processors, smallest);
  CHECK(smallest == Resources());
  const Resources both{.processors_milli = 100, .memory_mb = 100};
  KeepSmaller(task, both, smallest);
  KeepSmaller(gang, both, smallest);
  CHECK(smallest == gang);
}

// Guards against runs of an adopted job that nobody counts while they are
// looked for.
TEST_CASE("Tasks of an adopted job count until it is known that none runs") {
  Job job = MakeJob("j", {.steps = {{.count = 3, .each = Cores(1)}}}, "q");
  job.occurrences[0].begun = true;
  for (Task& it : StepAt(job, 0, 0).tasks) {
    it.phase = TaskPhase::kUnknown;
  }
  CHECK(DemandOf(job, kCap, kAnyStep) == QuotaDemand{.unknown = Cores(3)});
  StepAt(job, 0, 0).tasks[0].phase = TaskPhase::kWaiting;
  StepAt(job, 0, 0).tasks[1].phase = TaskPhase::kDone;
  CHECK(DemandOf(job, kCap, kAnyStep) == QuotaDemand{.unknown = Cores(1),
                                                     .waiting = Cores(1),
                                                     .least = Cores(1)});
}

// Guards against a part of the cap that is held while its step waits for
// advice.
TEST_CASE("Tasks that could not start yet ask for nothing") {
  Job job = MakeJob("j", {.steps = {{.count = 3, .each = Cores(1)}}}, "q");
  job.occurrences[0].begun = true;
  StepAt(job, 0, 0);
  const MayStart none = [](std::uint32_t, std::uint32_t) { return false; };
  CHECK(DemandOf(job, kCap, none) == QuotaDemand());
  CHECK(DemandOf(job, kCap, kAnyStep).waiting == Cores(3));
}

TEST_CASE("Steps that follow each other count once") {
  JobSpec spec{.steps = {{.count = 2, .each = Cores(1)},
                         {.count = 5, .each = Cores(1), .after = {0}}}};
  Job job = MakeJob("j", spec, "q");
  for (std::uint32_t s = 0; s < 2; ++s) {
    for (Task& it : StepAt(job, 0, s).tasks) {
      it.phase = TaskPhase::kUnknown;
    }
  }
  CHECK(DemandOf(job, kCap, kAnyStep).unknown == Cores(5));
  for (std::uint32_t s = 0; s < 2; ++s) {
    for (Task& it : StepAt(job, 0, s).tasks) {
      it.phase = TaskPhase::kRunning;
    }
  }
  CHECK(DemandOf(job, kCap, kAnyStep).charge == Cores(5));
}

// Guards against adopted jobs whose tasks count as running, many times what
// their former owner held, and keep all others of the team waiting.
TEST_CASE("Runs of a member that left count for no more than it held") {
  QuotaLedger ledger =
      Settled({{"lost", Asks(10, 10, 1, 1)}, {"adopter", Asks(5, 45, 1, 1)}});
  MoveToLeft(ledger, "lost");
  CHECK(HeldByLeft(ledger) == Cores(10));
  ledger.holders.at("adopter").unknown = Cores(200);
  ledger.unclaimed = Cores(0);
  CHECK(HeldByLeft(ledger) == Cores(10));
  const auto grants = DecideGrants(ledger, Cores(40));
  REQUIRE(grants.size() == 1);
  CHECK(grants[0].held == Cores(30));
  ledger.holders.at("adopter").unknown = Cores(3);
  CHECK(HeldByLeft(ledger) == Cores(3));
  ledger.unclaimed = Cores(4);
  CHECK(HeldByLeft(ledger) == Cores(7));
  CHECK(HeldInAll(ledger) == Cores(12));
}

}  // namespace burdockrock::engine
