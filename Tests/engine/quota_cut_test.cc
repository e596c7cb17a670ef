// Caps of teams after a failure domain was cut off, or is lost.
#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include <doctest/doctest.h>
#include <fmt/format.h>

#include "engine/fleet.h"
#include "engine/limits.h"
#include "engine/records/record.h"
#include "engine/teams/quota_ledger.h"

namespace burdockrock::engine {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kKey = "key";
constexpr const char* kTeam = "team";
constexpr std::int64_t kTask = 1000;  // thousandths of a processor
constexpr std::int64_t kCap = 100;    // tasks
constexpr std::size_t kInstances = 9;
constexpr std::size_t kDomains = 3;
constexpr std::uint32_t kJobTasks = 5;
constexpr double kAmpleWeight = 1000;
constexpr Duration kStep = milliseconds(20);
// A step that is under half of its team's cap starts within this time.
constexpr Duration kStartBound = seconds(3);
// From the end of a cut until its members are ready and listed again.
constexpr Duration kReturnBound = seconds(8);
// From the cut until the registration of a member that was killed before it
// ends, at the latest. The accountant asks the other members at about the time
// of the cut.
constexpr Duration kLead = milliseconds(500);
// A start may bring a team above its cap by a tenth, and by one task.
constexpr std::int64_t kMostAllowed = kCap * 11 / 10 + 1;
// Without a heartbeat the store drops a worker's entry after this time.
constexpr Duration kEntryLifetime = milliseconds(4500);

// Instances and workers are assigned to the domains in turn.
std::size_t DomainOf(const std::string& name) {
  return std::stoul(name.substr(1)) % kDomains;
}

// Each member has a job that runs for long, within its part of the cap.
struct CappedCell {
  explicit CappedCell(Duration held_after_cut, Duration watch_delay)
      : fleet({.instances = kInstances,
               .workers = 30,
               .timers = true,
               .teams = true,
               .batches = true,
               .held_after_cut = held_after_cut}) {
    fleet.AddQueue("long", 2);
    fleet.SetTeams({{.name = kTeam,
                     .keys = {DigestOf(kKey)},
                     .weight = kAmpleWeight,
                     .cap = {.processors_milli = kCap * kTask}}});
    fleet.watch_delay = [watch_delay](const std::string&) {
      return watch_delay;
    };
    fleet.Settle();
    PlanAll(fleet, {.takes = seconds(90)});
    for (const std::string& it : fleet.nodes()) {
      Submit(it, "long", "first-" + it, kJobTasks);
    }
    fleet.Run(seconds(2));
    REQUIRE(fleet.seen.size() == kInstances * kJobTasks);
    for (const std::string& it : fleet.nodes()) {
      if (fleet.state(it).quota.accounts.contains(kTeam)) {
        accountant = it;
      }
    }
    REQUIRE_FALSE(accountant.empty());
  }

  std::uint64_t Submit(const std::string& node,
                       const std::string& queue,
                       const std::string& job,
                       std::uint32_t tasks) {
    return fleet.SendRequest(node, {.query = CallerQuery::kSubmit,
                                    .host = "h",
                                    .path = fmt::format("/{}/{}", queue, job),
                                    .key = DigestOf(kKey),
                                    .spec = OneStep(tasks)});
  }

  std::vector<std::string> MembersOf(std::size_t domain) const {
    std::vector<std::string> members = fleet.nodes();
    std::erase_if(members,
                  [&](const auto& it) { return DomainOf(it) != domain; });
    return members;
  }

  // Cuts the domain off from the others and from the store.
  void Cut(std::size_t domain) {
    fleet.is_cut = [domain](const std::string& from, const std::string& to) {
      return (DomainOf(from) == domain) != (DomainOf(to) == domain);
    };
    fleet.is_worker_cut = fleet.is_cut;
    fleet.store_fault = [domain](const std::string& node, const StoreRequest&) {
      return DomainOf(node) == domain ? StoreFault::kNoReply
                                      : StoreFault::kNone;
    };
  }

  void EndCut() {
    fleet.is_cut = [](const std::string&, const std::string&) { return false; };
    fleet.is_worker_cut = fleet.is_cut;
    fleet.store_fault = [](const std::string&, const StoreRequest&) {
      return StoreFault::kNone;
    };
    cut_ended = fleet.now();
  }

  // Whether the member is ready, the store has answered it since the cut and
  // has its registration, and all members have it in their lists.
  bool IsBack(const std::string& member) const {
    const State& state = fleet.state(member);
    const std::string& incarnation = state.options.self.incarnation;
    if (!IsReady(state) || !state.store.healthy ||
        state.store.last_answer <= cut_ended ||
        fleet.store.ValueOf(MemberKey(incarnation)).empty()) {
      return false;
    }
    for (const std::string& it : fleet.nodes()) {
      if (fleet.IsUp(it) &&
          !fleet.state(it).members.present.contains(incarnation)) {
        return false;
      }
    }
    return true;
  }

  std::size_t CountRunsBegunBy(const std::string& job, Time by) const {
    std::size_t count = 0;
    for (const SeenRun& it : fleet.seen) {
      count += it.task.starts_with(job + ".") && it.began <= by ? 1 : 0;
    }
    return count;
  }

  Fleet fleet;
  std::string accountant{};
  Time cut_ended{0};
};

struct CutCase {
  Duration span{0};
  Duration held_after_cut{0};
  Duration watch_delay{0};
  bool accountant_inside = false;
};

void CheckStartsAfterCut(const CutCase& it) {
  CappedCell cell(it.held_after_cut, it.watch_delay);
  Fleet& fleet = cell.fleet;
  const std::size_t home = DomainOf(cell.accountant);
  const std::size_t cut = it.accountant_inside ? home : (home + 1) % kDomains;
  fleet.Kill(cell.MembersOf((home + 2) % kDomains).front());
  fleet.Run(kMemberTtl - kLead);
  cell.Cut(cut);
  fleet.Run(it.span);
  cell.EndCut();
  std::map<std::string, std::uint64_t> calls;
  std::map<std::string, Time> submitted_at;
  const std::vector<std::string> returned = cell.MembersOf(cut);
  while (submitted_at.size() < returned.size() &&
         fleet.now() < cell.cut_ended + kReturnBound) {
    for (const std::string& member : returned) {
      if (!submitted_at.contains(member) && cell.IsBack(member)) {
        submitted_at[member] = fleet.now();
        calls[member] = cell.Submit(member, "q", "next-" + member, kJobTasks);
      }
    }
    fleet.Run(kStep);
  }
  REQUIRE(submitted_at.size() == returned.size());
  fleet.Run(kStartBound);
  for (const std::string& member : returned) {
    CAPTURE(member);
    const Time at = submitted_at.at(member);
    CHECK(std::holds_alternative<JobAccepted>(
        fleet.answers.at(calls.at(member))));
    CHECK(cell.CountRunsBegunBy("next-" + member, at + kStartBound) ==
          kJobTasks);
  }
  for (const std::string& member : fleet.nodes()) {
    if (fleet.IsUp(member)) {
      cell.Submit(member, "q", "more-" + member, kCap / 2);
    }
  }
  fleet.Run(kStartBound);
  CHECK(MostRunning(fleet) <= kMostAllowed);
}

}  // namespace

// Guards against members that get nothing of their team's cap after a cut, as
// late messages and lists leave them and their accountant with other numbers.
TEST_CASE(
    "Members that are back after a cut start work of their team at once") {
  for (const std::int64_t span_ms : {2200, 3400, 5600}) {
    for (const std::int64_t held_ms : {0, 400, 700, 800}) {
      for (const std::int64_t watch_ms : {0, 700}) {
        for (const bool inside : {false, true}) {
          CAPTURE(span_ms);
          CAPTURE(held_ms);
          CAPTURE(watch_ms);
          CAPTURE(inside);
          CheckStartsAfterCut({.span = milliseconds(span_ms),
                               .held_after_cut = milliseconds(held_ms),
                               .watch_delay = milliseconds(watch_ms),
                               .accountant_inside = inside});
        }
      }
    }
  }
}

// Guards against a cap that is blocked by more than former members held, as
// each of their jobs' runs at lost workers is counted with more than one owner.
TEST_CASE("A lost domain blocks no more of a cap than its members held") {
  constexpr int kJobs = 10;
  constexpr Duration kBetweenJobs = seconds(4);
  for (const std::int64_t watch_ms : {0, 700}) {
    CAPTURE(watch_ms);
    CappedCell cell(Duration(0), milliseconds(watch_ms));
    Fleet& fleet = cell.fleet;
    const std::size_t lost = (DomainOf(cell.accountant) + 1) % kDomains;
    Resources held;
    for (const std::string& it : cell.MembersOf(lost)) {
      held += fleet.state(it).quota.shares.at(kTeam).held;
    }
    for (const std::string& it : cell.MembersOf(lost)) {
      fleet.Kill(it);
    }
    cell.Cut(lost);
    for (const std::string& it : fleet.worker_names()) {
      if (DomainOf(it) == lost) {
        const std::string key = "worker/" + fleet.worker(it).info().id;
        fleet.RunLater(kEntryLifetime,
                       [&fleet, key] { fleet.store.Remove(key); });
      }
    }
    const auto& quota = fleet.state(cell.accountant).quota;
    for (int job = 0; job < kJobs; ++job) {
      CAPTURE(job);
      const std::string name = fmt::format("urgent{}", job);
      cell.Submit(cell.accountant, "q", name, 1);
      const Time submitted_at = fleet.now();
      std::int64_t most_blocked = 0;
      while (fleet.now() < submitted_at + kBetweenJobs) {
        fleet.Run(kStep);
        const QuotaLedger& ledger = quota.accounts.at(kTeam).ledger;
        most_blocked =
            std::max({most_blocked, HeldByLeft(ledger).processors_milli,
                      quota.shares.at(kTeam).use.blocked.processors_milli});
      }
      CHECK(most_blocked <= held.processors_milli);
      CHECK(cell.CountRunsBegunBy(name, submitted_at + kStartBound) == 1);
    }
    CHECK(MostRunning(fleet) <= kMostAllowed);
  }
}

}  // namespace burdockrock::engine
