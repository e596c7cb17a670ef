// Steps that wait for their team's cap although it has room for them.
#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include <doctest/doctest.h>
#include <fmt/format.h>

#include "engine/fleet.h"
#include "engine/lasting_job.h"

namespace burdockrock::engine {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kKey = "key";
constexpr std::int64_t kTask = 1000;  // thousandths of a processor
constexpr std::uint32_t kWorkers = 60;
// A step with room that is under half of its team's cap starts within this.
constexpr Duration kStartBound = seconds(3);

// Six instances and a team with a cap; advice for all steps. Jobs in "/q/" are
// of the most urgent priority, those in "/long/" are not.
class CappedFleet {
 public:
  explicit CappedFleet(std::int64_t cap, bool advice = true)
      : fleet({.instances = 6,
               .workers = kWorkers,
               .advice = advice,
               .teams = true}) {
    fleet.AddQueue("long", 2);
    SetCap(cap);
    fleet.Settle();
  }

  void SetCap(std::int64_t cap) {
    fleet.SetTeams({{.name = "team",
                     .keys = {DigestOf(kKey)},
                     .weight = 1000,
                     .cap = {.processors_milli = cap * kTask}}});
  }

  void Submit(const std::string& node,
              const std::string& queue,
              const std::string& job,
              JobSpec spec) {
    fleet.SendRequest(node, {.query = CallerQuery::kSubmit,
                             .host = "h",
                             .path = fmt::format("/{}/{}", queue, job),
                             .key = DigestOf(kKey),
                             .spec = std::move(spec)});
  }

  std::vector<std::string> LivingNodes() const {
    std::vector<std::string> nodes = fleet.nodes();
    std::erase_if(nodes, [this](const auto& it) { return !fleet.IsUp(it); });
    return nodes;
  }

  // Tasks that run now.
  std::int64_t CountRunning() const {
    return std::count_if(
        fleet.seen.begin(), fleet.seen.end(),
        [](const SeenRun& it) { return it.ended == kForever; });
  }

  Fleet fleet;
};

JobSpec Gang(std::uint32_t count, std::int64_t processors_milli = kTask) {
  JobSpec spec = OneStep(count, processors_milli);
  spec.steps[0].gang = true;
  return spec;
}

// One lasting task at each worker.
JobSpec Everywhere(std::int64_t processors_milli) {
  JobSpec spec = Lasting(kWorkers);
  spec.steps[0].each.processors_milli = processors_milli;
  spec.steps[0].spread = 1;
  return spec;
}

enum class Loss { kRestartOfAll, kKillOfHalf };

// Lets other members adopt jobs with runs that continue, and submits a short
// job to each of them. Returns whether these start.
bool StartsBesideAdoptedRuns(Loss loss,
                             const std::string& queue,
                             const std::string& adopted_queue,
                             bool lasting) {
  CappedFleet cell(200);
  Fleet& fleet = cell.fleet;
  PlanAll(fleet, {.takes = seconds(40), .endless = lasting});
  for (const std::string& it : fleet.nodes()) {
    cell.Submit(it, adopted_queue, "long-" + it,
                lasting ? Lasting(2) : OneStep(2));
  }
  fleet.Run(seconds(2));
  REQUIRE(cell.CountRunning() == 12);
  const std::vector<std::string> nodes = fleet.nodes();
  const std::size_t lost =
      loss == Loss::kKillOfHalf ? nodes.size() / 2 : nodes.size();
  for (std::size_t it = 0; it < lost; ++it) {
    fleet.Kill(nodes[it]);
    if (loss == Loss::kRestartOfAll) {
      fleet.Start(nodes[it]);
    }
  }
  fleet.Run(seconds(8));
  for (const std::string& it : cell.LivingNodes()) {
    cell.Submit(it, queue, "short-" + it, OneStep(4));
  }
  return fleet.RunUntil(
      [&] {
        const auto living = cell.LivingNodes();
        return std::all_of(living.begin(), living.end(),
                           [&](const std::string& it) {
                             return CountRuns(fleet, "short-" + it) == 4;
                           });
      },
      kStartBound);
}

}  // namespace

// Guards against steps that wait until the runs of adopted jobs of their team
// have ended: those count at the adopter, which holds nothing for them.
TEST_CASE("Steps start beside adopted runs of their team") {
  for (const Loss loss : {Loss::kRestartOfAll, Loss::kKillOfHalf}) {
    for (const bool lasting : {false, true}) {
      for (const char* queue : {"q", "long"}) {
        for (const char* adopted_queue : {"q", "long"}) {
          CAPTURE(loss == Loss::kRestartOfAll);
          CAPTURE(lasting);
          CAPTURE(queue);
          CAPTURE(adopted_queue);
          CHECK(StartsBesideAdoptedRuns(loss, queue, adopted_queue, lasting));
        }
      }
    }
  }
}

// Guards against work that waits until urgent runs have ended: those took the
// part of the cap that was granted for it, and nobody asks for another one.
TEST_CASE("Urgent work takes the part of other work, which gets another one") {
  CappedFleet cell(100, false);
  Fleet& fleet = cell.fleet;
  PlanAll(fleet, {.takes = seconds(1)});
  cell.Submit("n0", "long", "first", OneStep(10));
  REQUIRE(fleet.RunUntil([&] { return CountEnds(fleet, RunEnd::kDone) == 10; },
                         seconds(5)));
  PlanAll(fleet, {.takes = seconds(60)});
  cell.Submit("n0", "q", "urgent", OneStep(10));
  cell.Submit("n0", "long", "other", OneStep(10));
  CHECK(fleet.RunUntil([&] { return CountRuns(fleet, "other") == 10; },
                       kStartBound));
  CHECK(CountRuns(fleet, "urgent") == 10);
}

// Guards against steps that ask for no advice, and so never for the cap, while
// a gang at the same member waits for more of it than is left.
TEST_CASE("A small step starts beside a gang that waits for the cap") {
  for (const char* queue : {"q", "long"}) {
    CAPTURE(queue);
    CappedFleet cell(40);
    Fleet& fleet = cell.fleet;
    PlanAll(fleet, {.takes = seconds(60)});
    cell.Submit("n1", queue, "long-runs", OneStep(10));
    fleet.Run(seconds(2));
    REQUIRE(cell.CountRunning() == 10);
    cell.Submit("n0", queue, "gang", Gang(35));
    fleet.Run(seconds(2));
    REQUIRE(CountRuns(fleet, "gang") == 0);
    cell.Submit("n0", queue, "small", OneStep(2));
    CHECK(fleet.RunUntil([&] { return CountRuns(fleet, "small") == 2; },
                         kStartBound));
  }
}

// Guards against a step that waits as long as a gang does, since its tasks take
// more of the memory, which the cap does not limit.
TEST_CASE(
    "A step with more memory starts beside a gang that waits for the cap") {
  for (const char* queue : {"q", "long"}) {
    CAPTURE(queue);
    CappedFleet cell(40);
    Fleet& fleet = cell.fleet;
    PlanAll(fleet, {.takes = seconds(60)});
    cell.Submit("n1", queue, "long-runs", OneStep(10));
    fleet.Run(seconds(2));
    REQUIRE(cell.CountRunning() == 10);
    JobSpec gang = Gang(35);
    gang.steps[0].each.memory_mb = 100;
    cell.Submit("n0", queue, "gang", gang);
    fleet.Run(seconds(2));
    REQUIRE(CountRuns(fleet, "gang") == 0);
    JobSpec small = OneStep(2);
    small.steps[0].each.memory_mb = 18'992;
    cell.Submit("n0", queue, "small", small);
    CHECK(fleet.RunUntil([&] { return CountRuns(fleet, "small") == 2; },
                         kStartBound));
  }
}

// Guards against steps that wait until runs from before the cap was lowered
// have ended, though the lower cap has room.
TEST_CASE("Steps start within a lowered cap beside earlier runs") {
  CappedFleet cell(60);
  Fleet& fleet = cell.fleet;
  PlanAll(fleet, {.takes = seconds(60)});
  cell.Submit("n0", "q", "long-runs", OneStep(20));
  fleet.Run(seconds(2));
  REQUIRE(cell.CountRunning() == 20);
  cell.SetCap(50);
  fleet.Run(seconds(1));
  cell.Submit("n0", "q", "small", OneStep(2));
  CHECK(fleet.RunUntil([&] { return CountRuns(fleet, "small") == 2; },
                       kStartBound));
}

// Guards against a copy that never starts, as only first runs are counted in
// what is asked of the cap.
TEST_CASE("A copy of a task gets its part of the cap") {
  for (const bool advice : {false, true}) {
    CAPTURE(advice);
    CappedFleet cell(40, advice);
    Fleet& fleet = cell.fleet;
    PlanAll(fleet, {.takes = seconds(60)});
    JobSpec spec = OneStep(1);
    spec.steps[0].concurrent = true;
    cell.Submit("n0", "q", "job", spec);
    fleet.Run(seconds(2));
    REQUIRE(fleet.seen.size() == 1);
    const SeenRun first = fleet.seen.front();
    fleet.DeliverPeerMessage(
        "n0", fleet.state("n0").view.at(first.worker).owner,
        RunReports{.runs = {{.task = first.task,
                             .run = first.run,
                             .worker = first.worker,
                             .state = RunState::kUnreachable}}});
    CHECK(fleet.RunUntil([&] { return fleet.seen.size() == 2; }, kStartBound));
  }
}

// Guards against gangs of one team that each hold a part of the cap and wait
// for the rest for ever: small tasks beside them let the parts grow.
TEST_CASE("A part of the cap that starts nothing is given back") {
  CappedFleet cell(40, false);
  Fleet& fleet = cell.fleet;
  const auto submit = [&](const std::string& node, const std::string& queue,
                          std::uint32_t small, std::uint32_t wide) {
    cell.Submit(node, queue, "small-" + node, OneStep(small));
    cell.Submit(node, queue, "gang-" + node, Gang(wide));
  };
  PlanAll(fleet, {.takes = seconds(4)});
  cell.Submit("n2", "long", "first", OneStep(20));
  fleet.Run(seconds(1));
  PlanAll(fleet, {.takes = seconds(1)});
  submit("n0", "long", 2, 24);
  fleet.Run(seconds(1));
  PlanAll(fleet, {.takes = seconds(3)});
  submit("n1", "q", 20, 30);
  CHECK(fleet.RunUntil(
      [&] {
        return CountRuns(fleet, "gang-n0") == 24 &&
               CountRuns(fleet, "gang-n1") == 30;
      },
      seconds(20)));
}

// Guards against a gang that is granted a part of its need along with a small
// step of its member, and keeps it from other members for as long as it waits.
TEST_CASE("A step starts at another member beside a gang that waits") {
  for (const bool advice : {true, false}) {
    for (const char* queue : {"q", "long"}) {
      CAPTURE(advice);
      CAPTURE(queue);
      CappedFleet cell(40, advice);
      Fleet& fleet = cell.fleet;
      PlanAll(fleet, {.endless = true});
      cell.Submit("n1", queue, "lasting", Lasting(10));
      fleet.Run(seconds(2));
      REQUIRE(cell.CountRunning() == 10);
      cell.Submit("n0", queue, "gang", Gang(35));
      fleet.Run(seconds(2));
      REQUIRE(CountRuns(fleet, "gang") == 0);
      cell.Submit("n0", queue, "small", Lasting(2));
      CHECK(fleet.RunUntil([&] { return CountRuns(fleet, "small") == 2; },
                           kStartBound));
      cell.Submit("n2", queue, "other", Lasting(2));
      CHECK(fleet.RunUntil([&] { return CountRuns(fleet, "other") == 2; },
                           kStartBound));
    }
  }
}

// Guards against a step that asks for no advice because a gang is short of the
// cap, although the smallest need that waits lacks only room.
TEST_CASE("A step asks for advice where the smallest need has its part") {
  CappedFleet cell(300);
  Fleet& fleet = cell.fleet;
  PlanAll(fleet, {.endless = true});
  cell.Submit("n1", "long", "everywhere", Everywhere(2 * kTask));
  fleet.Run(seconds(3));
  REQUIRE(cell.CountRunning() == kWorkers);
  cell.Submit("n0", "long", "roomless", Gang(2, 7 * kTask));
  fleet.Run(seconds(2));
  REQUIRE(CountRuns(fleet, "roomless") == 0);
  cell.Submit("n0", "long", "wide", Gang(160));
  fleet.Run(seconds(2));
  REQUIRE(CountRuns(fleet, "wide") == 0);
  cell.Submit("n0", "long", "other", Gang(14));
  CHECK(fleet.RunUntil([&] { return CountRuns(fleet, "other") == 14; },
                       kStartBound));
}

// Guards against gangs that give up all bookings as one is refused: the task of
// the refused one still counted against the cap.
TEST_CASE("A refused booking is no shortage of the cap") {
  constexpr int kRounds = 5;
  for (const bool advice : {false, true}) {
    CAPTURE(advice);
    CappedFleet cell(1000, advice);
    Fleet& fleet = cell.fleet;
    PlanAll(fleet, {.takes = seconds(1)});
    for (int it = 0; it < kRounds; ++it) {
      for (const std::string& node : fleet.nodes()) {
        cell.Submit(node, "long", fmt::format("gang-{}-{}", it, node),
                    Gang(9, 5 * kTask));
      }
      fleet.Run(seconds(4));
    }
    const auto given_up =
        std::count_if(fleet.log.begin(), fleet.log.end(), [](const auto& it) {
          return it.number == EventNumber::kGangBackedOff &&
                 std::any_of(it.fields.begin(), it.fields.end(),
                             [](const LogField& field) {
                               return field.key == "cause" &&
                                      field.value == "quota";
                             });
        });
    CHECK(given_up == 0);
  }
}

// Guards against tasks that no worker has room for and that keep their part of
// the cap from others of their team.
TEST_CASE("A part of the cap that is not used goes to others in turn") {
  for (const bool gang : {false, true}) {
    for (const bool advice : {true, false}) {
      CAPTURE(gang);
      CAPTURE(advice);
      CappedFleet cell(gang ? 151 : 130, advice);
      Fleet& fleet = cell.fleet;
      PlanAll(fleet, {.endless = true});
      cell.Submit("n1", "long", "everywhere", Everywhere(kTask));
      fleet.Run(seconds(3));
      REQUIRE(cell.CountRunning() == kWorkers);
      cell.Submit("n0", "long", "roomless",
                  gang ? Gang(9, 8 * kTask) : OneStep(9, 8 * kTask));
      fleet.Run(seconds(2));
      REQUIRE(CountRuns(fleet, "roomless") == 0);
      cell.Submit("n2", "long", "other", Lasting(2));
      CHECK(fleet.RunUntil([&] { return CountRuns(fleet, "other") == 2; },
                           kStartBound));
    }
  }
}

// Guards against the same where small tasks start at the member all the time.
TEST_CASE("A busy member gives back the part of the cap that it does not use") {
  for (const bool advice : {true, false}) {
    CAPTURE(advice);
    CappedFleet cell(130, advice);
    Fleet& fleet = cell.fleet;
    PlanAll(fleet, {.endless = true});
    cell.Submit("n1", "long", "everywhere", Everywhere(kTask));
    fleet.Run(seconds(3));
    REQUIRE(cell.CountRunning() == kWorkers);
    cell.Submit("n0", "long", "roomless", OneStep(9, 8 * kTask));
    fleet.Run(seconds(2));
    REQUIRE(CountRuns(fleet, "roomless") == 0);
    cell.Submit("n2", "long", "other", Lasting(2));
    bool started = false;
    for (int it = 0; it < 8 && !started; ++it) {
      cell.Submit("n0", "long", fmt::format("small-{}", it), OneStep(1));
      started = fleet.RunUntil([&] { return CountRuns(fleet, "other") == 2; },
                               kStartBound / 8);
    }
    CHECK(started);
  }
}

// Guards against grants that count what urgent runs took as free for both kinds
// of work, or as taken for good.
TEST_CASE("Other work gets again what urgent runs took, beside the reserve") {
  CappedFleet cell(100, false);
  Fleet& fleet = cell.fleet;
  PlanAll(fleet, {.takes = seconds(1)});
  cell.Submit("n0", "long", "first", OneStep(88));
  REQUIRE(fleet.RunUntil([&] { return CountEnds(fleet, RunEnd::kDone) == 88; },
                         seconds(5)));
  PlanAll(fleet, {.takes = seconds(60)});
  cell.Submit("n0", "q", "urgent", OneStep(20));
  cell.Submit("n0", "long", "other", OneStep(88));
  fleet.Run(kStartBound);
  CHECK(CountRuns(fleet, "urgent") == 20);
  CHECK(CountRuns(fleet, "other") == 80);
  CHECK(cell.CountRunning() <= 100);
}

// Guards against adopted runs that the accountant does not count as long as its
// last grant to their new owner has not arrived.
TEST_CASE("Starts stay within the cap while grants to an adopter are lost") {
  CappedFleet cell(40, false);
  Fleet& fleet = cell.fleet;
  PlanAll(fleet, {.endless = true});
  std::vector<std::string> others = fleet.nodes();
  const auto accounts = [&](const std::string& it) {
    return fleet.state(it).quota.accounts.contains("team");
  };
  const std::string accountant =
      *std::find_if(others.begin(), others.end(), accounts);
  std::erase(others, accountant);
  const std::string& adopter = others[0];
  const std::string& lost = others[1];
  const std::string job = JobAdoptedBy(fleet, adopter);
  cell.Submit(lost, "q", job, Lasting(30));
  fleet.Run(seconds(2));
  REQUIRE(cell.CountRunning() == 30);
  fleet.is_cut = [&](const std::string& from, const std::string& to) {
    return from == accountant && to == adopter;
  };
  cell.Submit(adopter, "q", "one", OneStep(1));
  fleet.Run(milliseconds(500));
  for (std::size_t it = 2; it < others.size(); ++it) {
    cell.Submit(others[it], "q", "more-" + others[it], OneStep(20));
  }
  fleet.Run(milliseconds(500));
  fleet.Kill(lost);
  fleet.Run(seconds(12));
  CHECK(MostRunning(fleet) <= 45);
}

}  // namespace burdockrock::engine
