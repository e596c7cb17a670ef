// Tests workers with more unacknowledged ends than a reply to a poll lists.
#include <algorithm>
#include <string>
#include <variant>

#include <doctest/doctest.h>
#include <fmt/format.h>

#include "engine/context.h"
#include "engine/fleet.h"
#include "engine/workers/worker_restarts.h"

namespace burdockrock::engine {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::int64_t kTaskProcessors = 250;  // thousandths
constexpr std::uint32_t kTasksPerJob = 100;
constexpr std::uint32_t kJobs = 45;
// Long enough for each worker to end more runs than it lists.
constexpr Duration kOutage = seconds(5);
// Two runs for each processor and second.
constexpr Duration kRunTime = milliseconds(500);

Fleet MakeFleet() {
  return Fleet({.workers = 3, .processors_milli = 32'000});
}

// Submits all jobs and lets the store refuse all writes while they run.
void RunThroughOutage(Fleet& fleet) {
  fleet.Settle();
  PlanAll(fleet, {.takes = kRunTime});
  for (const std::string& it : fleet.worker_names()) {
    fleet.worker(it).processors = [](const std::string&) {
      return kTaskProcessors;
    };
  }
  for (std::uint32_t it = 0; it < kJobs; ++it) {
    fleet.Submit(fmt::format("n{}", it % 3), fmt::format("j{}", it),
                 OneStep(kTasksPerJob, kTaskProcessors));
  }
  fleet.Run(milliseconds(500));
  fleet.store_fault = [](const std::string&, const StoreRequest& request) {
    return std::holds_alternative<StoreTransaction>(request)
               ? StoreFault::kRefuse
               : StoreFault::kNone;
  };
  fleet.Run(kOutage);
  for (const std::string& it : fleet.worker_names()) {
    CHECK(fleet.worker(it).kept_ends() > FakeWorker::kMaxListedEnds);
  }
}

void EndOutage(Fleet& fleet) {
  fleet.store_fault = [](const std::string&, const StoreRequest&) {
    return StoreFault::kNone;
  };
}

void CheckAllCompleted(Fleet& fleet) {
  for (std::uint32_t it = 0; it < kJobs; ++it) {
    CHECK(fleet.StateOf("n1", fmt::format("j{}", it)) == JobState::kCompleted);
  }
}

void CheckAllRanOnce(Fleet& fleet) {
  CheckAllCompleted(fleet);
  CHECK(fleet.seen.size() == kJobs * kTasksPerJob);
  CheckInvariants(fleet);
}

std::size_t UnreadRuns(const Fleet& fleet, const std::string& node) {
  std::size_t n = 0;
  for (const auto& [id, worker] : fleet.state(node).owned) {
    n += worker.unread.size();
  }
  return n;
}

// The instance that has claimed the worker; empty: none.
std::string OwnerOf(const Fleet& fleet, const std::string& worker) {
  for (const std::string& node : fleet.nodes()) {
    if (!fleet.IsUp(node)) {
      continue;
    }
    for (const auto& [id, it] : fleet.state(node).owned) {
      if (it.claimed && id.starts_with(worker)) {
        return node;
      }
    }
  }
  return {};
}

// The run at the worker that ended last.
SeenRun LastEndOf(const Fleet& fleet, const std::string& worker) {
  SeenRun last;
  for (const SeenRun& it : fleet.seen) {
    const bool ended = it.how == RunEnd::kDone && it.worker.starts_with(worker);
    if (ended && it.ended >= last.began) {
      last = it;
      last.began = it.ended;
    }
  }
  return last;
}

}  // namespace

// Guards against a second start of tasks that ended `done`. Without the store
// no end is acknowledged, and a run whose end came after those listed counted
// as lost.
TEST_CASE("Runs whose ends are not listed yet are not started again") {
  Fleet fleet = MakeFleet();
  RunThroughOutage(fleet);
  EndOutage(fleet);
  fleet.Run(seconds(15));
  CheckAllRanOnce(fleet);
}

// Guards against the same by an instance that claims a worker and has seen none
// of its runs: the adopters of the jobs were told that it had no others.
TEST_CASE("A new owner's workers are not covered before all ends are listed") {
  Fleet fleet = MakeFleet();
  RunThroughOutage(fleet);
  SUBCASE("one owner is lost") {
    fleet.Kill("n0");
    fleet.Run(seconds(2));
    EndOutage(fleet);
  }
  SUBCASE("all instances are lost") {
    for (const std::string& it : fleet.nodes()) {
      fleet.Kill(it);
    }
    EndOutage(fleet);
    for (const std::string& it : fleet.nodes()) {
      fleet.Start(it);
    }
  }
  fleet.Run(seconds(25));
  CheckAllRanOnce(fleet);
}

// Guards against a query that is answered as if the run had never been at the
// worker. The worker's owner has claimed it after the run ended.
TEST_CASE("Queries about runs whose ends are not listed yet stay open") {
  Fleet fleet = MakeFleet();
  RunThroughOutage(fleet);
  fleet.Kill("n0");
  REQUIRE(fleet.RunUntil([&] { return !OwnerOf(fleet, "w0").empty(); },
                         seconds(10)));
  const std::string owner = OwnerOf(fleet, "w0");
  const std::string asker = owner == "n1" ? "n2" : "n1";
  const SeenRun run = LastEndOf(fleet, "w0");
  const std::string job = run.task.substr(0, run.task.find('.'));
  const auto ask = [&] {
    RunQueries queries;
    queries.runs.push_back(
        {.task = run.task, .run = run.run, .worker = run.worker});
    fleet.DeliverPeerMessage(owner, fleet.state(asker).options.self.incarnation,
                             queries);
  };
  ask();
  fleet.Run(milliseconds(700));
  ask();
  fleet.Run(seconds(1));
  const auto& known = fleet.state(owner).known;
  const auto it = known.find(job);
  CHECK((it == known.end() || !it->second.refused_runs.contains(run.task)));
  EndOutage(fleet);
  fleet.Run(seconds(20));
  CheckAllRanOnce(fleet);
}

// Guards against tasks that wait for ends which are gone with their worker.
TEST_CASE("Runs whose ends a lost worker did not list are started again") {
  Fleet fleet = MakeFleet();
  RunThroughOutage(fleet);
  REQUIRE(!OwnerOf(fleet, "w0").empty());
  fleet.CrashWorker("w0", seconds(1));
  EndOutage(fleet);
  fleet.Run(seconds(20));
  CheckAllCompleted(fleet);
  CheckInvariants(fleet);
}

// Guards against a run in doubt that counts as not begun at the worker's next
// process, as its end comes after those that this one lists.
TEST_CASE("A restart is settled once all ends of the next process are known") {
  State state;
  Effects effects;
  Context context{.state = state, .effects = effects, .now = seconds(100)};
  OwnedWorker& ended = state.owned["w#1"];
  ended.claimed = true;
  ended.successor = "w#2";
  ended.runs["j.0.0.0"] = {.run = 1, .command_sent_at = seconds(99)};
  state.owned["w#2"].claimed = true;
  DriveRestarts(context);
  CHECK(state.owned.contains("w#1"));
  state.owned["w#2"].ends_known = true;
  DriveRestarts(context);
  CHECK_FALSE(state.owned.contains("w#1"));
}

// Guards against room that stays blocked by runs that have ended.
TEST_CASE("Runs whose ends are not listed yet take no room") {
  Fleet fleet = MakeFleet();
  RunThroughOutage(fleet);
  CHECK(UnreadRuns(fleet, "n0") > 0);
  CHECK(fleet.seen.size() > 3 * FakeWorker::kMaxListedEnds);
  EndOutage(fleet);
  fleet.Run(seconds(15));
  CHECK(UnreadRuns(fleet, "n0") == 0);
  CheckAllRanOnce(fleet);
}

}  // namespace burdockrock::engine
