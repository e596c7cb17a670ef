// Caps of teams, checked from the workers' side after each start.
// QUOTA_SEED sets the first seed of a manual run and QUOTA_SEEDS their number.
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <random>
#include <set>
#include <string>

#include <doctest/doctest.h>
#include <fmt/format.h>

#include "engine/fleet.h"
#include "engine/teams/team_members.h"

namespace burdockrock::engine {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kKey = "key";
constexpr std::int64_t kTask = 1000;  // thousandths of a processor
// A start may bring a team above its cap by this share, and by one task.
constexpr double kOverage = 0.1;
// A step with room that is under half of its team's cap starts within this.
constexpr Duration kStartBound = seconds(3);
// From the end of a cut to the arrival of messages that were sent during it.
constexpr Duration kHeldAfterCut = milliseconds(700);

// Above what the tests send, so that all of it is within the entitlement.
constexpr double kAmpleWeight = 1000;

TeamPolicy TeamWithCap(std::int64_t tasks) {
  return {.name = "team",
          .keys = {DigestOf(kKey)},
          .weight = kAmpleWeight,
          .cap = {.processors_milli = tasks * kTask}};
}

FleetOptions Cell(std::uint64_t seed = 1) {
  return {.instances = 9, .workers = 30, .seed = seed, .teams = true};
}

void SubmitJobs(Fleet& fleet,
                const std::string& prefix,
                int jobs,
                std::uint32_t tasks) {
  const auto nodes = fleet.nodes();
  for (int it = 0; it < jobs; ++it) {
    fleet.SubmitWithKey(nodes[static_cast<std::size_t>(it) % nodes.size()],
                        fmt::format("{}{}", prefix, it), OneStep(tasks), kKey);
  }
}

std::int64_t MostAllowed(std::int64_t cap) {
  return static_cast<std::int64_t>(static_cast<double>(cap) * (1 + kOverage)) +
         1;
}

std::string Accountant(const Fleet& fleet) {
  for (const std::string& it : fleet.nodes()) {
    if (fleet.IsUp(it) && fleet.state(it).quota.accounts.contains("team")) {
      return it;
    }
  }
  return {};
}

bool AllDone(const Fleet& fleet, std::size_t tasks) {
  return CountEnds(fleet, RunEnd::kDone) >= tasks;
}

// Plays random faults. With `late_lists`, a third of the answers to watches is
// late, and messages that a cut holds up arrive after it.
void CheckCapUnderFaults(bool late_lists) {
  constexpr std::int64_t kCap = 24;
  const char* chosen = std::getenv("QUOTA_SEED");
  const std::uint64_t first = chosen == nullptr ? 1 : std::stoull(chosen);
  const char* many = std::getenv("QUOTA_SEEDS");
  const std::uint64_t n = many == nullptr ? 12 : std::stoull(many);
  for (std::uint64_t seed = first; seed < first + n; ++seed) {
    CAPTURE(seed);
    FleetOptions cell = Cell(seed);
    cell.batches = late_lists;
    cell.held_after_cut = late_lists ? kHeldAfterCut : kForever;
    Fleet fleet(cell);
    fleet.SetTeams({TeamWithCap(kCap)});
    fleet.Settle();
    PlanAll(fleet, {.takes = milliseconds(1500)});
    std::mt19937_64 random(seed);
    const auto draw = [&](std::uint64_t n) { return random() % n; };
    const auto nodes = fleet.nodes();
    if (late_lists) {
      fleet.watch_delay = [&](const std::string&) {
        return draw(3) == 0 ? milliseconds(700) : Duration(0);
      };
    }
    std::set<std::string> cut;
    std::set<std::string> refused;
    fleet.is_cut = [&](const std::string& from, const std::string& to) {
      return cut.contains(from) != cut.contains(to);
    };
    fleet.store_fault = [&](const std::string& node, const StoreRequest&) {
      return refused.contains(node) ? StoreFault::kNoReply : StoreFault::kNone;
    };
    bool late = false;
    fleet.command_fault = [&](const std::string& node,
                              const std::string& worker,
                              const WorkerRequest& request) {
      // A worker is on the side of the members of its domain.
      const bool apart = cut.contains(node) && (worker.back() - '0') % 3 != 0;
      if (apart) {
        return CommandFault::kUnreached;
      }
      const bool start = std::holds_alternative<StartRun>(request);
      return start && late && draw(10) == 0 ? CommandFault::kLate
                                            : CommandFault::kNone;
    };
    for (int round = 0; round < 10; ++round) {
      SubmitJobs(fleet, fmt::format("r{}-", round), 9, 6);
      const std::string& node = nodes[draw(nodes.size())];
      switch (draw(6)) {
        case 0:
          fleet.Kill(node);
          fleet.RunLater(milliseconds(draw(4000)),
                         [&fleet, node] { fleet.Start(node); });
          break;
        case 1:
          fleet.Freeze(node, milliseconds(draw(5000)));
          break;
        case 2:
          // The instances of one domain are cut off from the others and from
          // the store.
          cut = {"n0", "n3", "n6"};
          refused = cut;
          fleet.RunLater(milliseconds(1000 + draw(5000)), [&] {
            cut.clear();
            refused.clear();
          });
          break;
        case 3:
          refused.insert(node);
          fleet.RunLater(milliseconds(draw(5000)), [&] { refused.clear(); });
          break;
        case 4:
          for (const std::string& it : nodes) {
            fleet.Kill(it);
            fleet.RunLater(milliseconds(draw(1500)),
                           [&fleet, it] { fleet.Start(it); });
          }
          break;
        default:
          late = !late;
          break;
      }
      fleet.Run(milliseconds(500 + draw(3000)));
      for (const std::string& it : nodes) {
        if (!fleet.IsUp(it)) {
          fleet.Run(milliseconds(1600));
        }
      }
    }
    CHECK(MostRunning(fleet) <= MostAllowed(kCap));
  }
}

}  // namespace

// Guards against a team that takes more than its cap when its callers send to
// all instances at once.
TEST_CASE("A team that sends too much runs within its cap, and uses it") {
  Fleet fleet(Cell());
  fleet.SetTeams({TeamWithCap(20)});
  fleet.Settle();
  SubmitJobs(fleet, "j", 18, 10);
  CHECK(fleet.RunUntil([&] { return AllDone(fleet, 180); }, seconds(20)));
  CHECK(MostRunning(fleet) <= MostAllowed(20));
  CHECK(MostRunning(fleet) >= 18);
  CheckInvariants(fleet);
}

// Guards against a step that waits for a cap that is free.
TEST_CASE("A step under half of its team's cap starts at once") {
  Fleet fleet(Cell());
  fleet.SetTeams({TeamWithCap(40)});
  fleet.Settle();
  SubmitJobs(fleet, "j", 2, 8);
  CHECK(fleet.RunUntil([&] { return fleet.seen.size() >= 16; },
                       milliseconds(200)));
}

// Guards against starts on holdings of the cap before it was lowered.
TEST_CASE("A lowered cap holds for the starts after it, without a message") {
  Fleet fleet(Cell());
  fleet.SetTeams({TeamWithCap(60)});
  fleet.Settle();
  SubmitJobs(fleet, "j", 18, 10);
  fleet.Run(seconds(1));
  fleet.on_peer = [](const std::string&, const SendPeer&) {};
  fleet.SetTeams({TeamWithCap(10)});
  fleet.Run(milliseconds(100));
  const Time lowered = fleet.now();
  fleet.Run(seconds(1));
  const Time drained = fleet.now();
  CHECK(fleet.RunUntil([&] { return AllDone(fleet, 180); }, seconds(40)));
  CHECK(MostRunning(fleet, drained) <= MostAllowed(10));
  CHECK(lowered < drained);
}

// Guards against members of gangs that hold a part of the cap and wait for the
// rest.
TEST_CASE("Gangs of a team run one after the other within its cap") {
  Fleet fleet(Cell());
  fleet.SetTeams({TeamWithCap(12)});
  fleet.Settle();
  JobSpec gang = OneStep(8);
  gang.steps[0].gang = true;
  for (int it = 0; it < 4; ++it) {
    fleet.SubmitWithKey(fmt::format("n{}", it), fmt::format("g{}", it), gang,
                        kKey);
  }
  CHECK(fleet.RunUntil([&] { return AllDone(fleet, 32); }, seconds(20)));
  CHECK(MostRunning(fleet) <= MostAllowed(12));
}

// Guards against a team that stands still after the loss of its accountant.
TEST_CASE("A lost accountant is replaced, and the cap holds throughout") {
  Fleet fleet(Cell());
  fleet.SetTeams({TeamWithCap(40)});
  fleet.Settle();
  SubmitJobs(fleet, "before", 18, 10);
  fleet.Run(milliseconds(700));
  const std::string lost = Accountant(fleet);
  REQUIRE_FALSE(lost.empty());
  fleet.Kill(lost);
  // A member is lost once its registration has lapsed.
  fleet.Run(kMemberTtl + milliseconds(500));
  CHECK(fleet.RunUntil(
      [&] {
        const std::string it = Accountant(fleet);
        return !it.empty() &&
               fleet.state(it).quota.accounts.at("team").ledger.settled;
      },
      kStartBound));
  CHECK(fleet.RunUntil([&] { return AllDone(fleet, 180); }, seconds(30)));
  CHECK(MostRunning(fleet) <= MostAllowed(40));
}

// Guards against runs from before the restart that nobody counts.
TEST_CASE("The cap holds while all instances restart") {
  for (const std::int64_t away_ms : {0, 300, 900, 4000}) {
    CAPTURE(away_ms);
    Fleet fleet(Cell());
    fleet.SetTeams({TeamWithCap(20)});
    fleet.Settle();
    PlanAll(fleet, {.takes = seconds(3)});
    SubmitJobs(fleet, "before", 9, 10);
    fleet.Run(seconds(2));
    for (const std::string& it : fleet.nodes()) {
      fleet.Kill(it);
    }
    fleet.Run(milliseconds(away_ms));
    for (const std::string& it : fleet.nodes()) {
      fleet.Start(it);
    }
    fleet.Run(milliseconds(1500));
    SubmitJobs(fleet, "after", 9, 10);
    CHECK(fleet.RunUntil([&] { return AllDone(fleet, 90); }, seconds(60)));
    CHECK(MostRunning(fleet) <= MostAllowed(20));
    CheckInvariants(fleet);
  }
}

// Guards against short urgent steps that wait for the ends of their team's long
// tasks, which fill the cap.
TEST_CASE("An urgent step starts at once beside long ones that fill the cap") {
  constexpr int kRounds = 10;
  Fleet fleet(Cell());
  fleet.AddQueue("long", 2);
  fleet.SetTeams({TeamWithCap(100)});
  fleet.Settle();
  PlanAll(fleet, {.takes = seconds(6)});
  const auto nodes = fleet.nodes();
  for (int it = 0; it < 27; ++it) {
    fleet.SendRequest(nodes[static_cast<std::size_t>(it) % nodes.size()],
                      {.query = CallerQuery::kSubmit,
                       .host = "h",
                       .path = fmt::format("/long/l{}", it),
                       .key = DigestOf(kKey),
                       .spec = OneStep(10)});
  }
  fleet.Run(seconds(2));
  CHECK(fleet.seen.size() >= 80);
  PlanAll(fleet, {.takes = milliseconds(500)});
  for (int it = 0; it < kRounds; ++it) {
    const std::string job = fmt::format("u{}", it);
    fleet.SubmitWithKey(nodes[static_cast<std::size_t>(it) % nodes.size()], job,
                        OneStep(5), kKey);
    CHECK(fleet.RunUntil([&] { return CountRuns(fleet, job) == 5; },
                         milliseconds(250)));
    fleet.Run(milliseconds(600));
  }
  CHECK(MostRunning(fleet) <= MostAllowed(100));
  CheckInvariants(fleet);
}

// Guards against a team whose waiting jobs fill the line for advice: their
// tickets lapse before the cap has room, and they ask again and again.
TEST_CASE("A team at its cap leaves the advice service to the others") {
  Fleet fleet({.instances = 3, .workers = 30, .advice = true, .teams = true});
  TeamPolicy hot = TeamWithCap(4);
  fleet.SetTeams({hot, {.name = "calm", .keys = {DigestOf("calm")}}});
  fleet.advice_duration = [](const AdviceRequest& it) {
    return milliseconds(494) +
           milliseconds(7) * static_cast<std::int64_t>(it.workers.size());
  };
  PlanAll(fleet, {.takes = seconds(6)});
  fleet.Settle();
  SubmitJobs(fleet, "hot", 36, 2);
  fleet.Run(seconds(8));
  for (int it = 0; it < 6; ++it) {
    fleet.SubmitWithKey(fmt::format("n{}", it % 3), fmt::format("calm{}", it),
                        OneStep(2), "calm");
  }
  const auto all_started = [&] {
    for (int it = 0; it < 6; ++it) {
      if (CountRuns(fleet, fmt::format("calm{}", it)) < 2) {
        return false;
      }
    }
    return true;
  };
  CHECK(fleet.RunUntil(all_started, kStartBound));
}

// Guards against two accountants that grant the same part of a cap, and against
// runs that nobody counts, whatever faults come together.
TEST_CASE("The cap holds under random faults") {
  CheckCapUnderFaults(false);
}

// Guards against grants and claims that are applied after the registration that
// they were meant for.
TEST_CASE("The cap holds under random faults with late messages and lists") {
  CheckCapUnderFaults(true);
}

}  // namespace burdockrock::engine
