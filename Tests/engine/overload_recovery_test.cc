// Whether a fleet whose instances have little processor time comes back after a
// cut of a failure domain.
#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

#include <doctest/doctest.h>
#include <fmt/format.h>

#include "engine/fleet.h"
#include "engine/jobs/job.h"
#include "engine/lasting_job.h"

namespace burdockrock::engine {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kDomains = 3;
constexpr int kCutDomain = 2;
constexpr std::size_t kInstances = 30;
constexpr std::size_t kWorkersEach = 5;
constexpr std::int64_t kProcessorsEach = 16'000;
constexpr std::uint32_t kLastingWidth = 8;  // one job at each instance
constexpr std::uint32_t kShortWidth = 8;
constexpr Duration kShortTakes = milliseconds(640);
constexpr Duration kShortInterval = milliseconds(1000);  // of one instance
// Until all lasting tasks run, before the first short job.
constexpr Duration kStarted = seconds(5);
// Times with short jobs.
constexpr Duration kBeforeCut = seconds(2);
constexpr Duration kCut = milliseconds(5100);
constexpr Duration kAfterCut = seconds(2);

// A lasting task has a run again within 3 s that are calm and follow 4 s of
// calm.
constexpr Duration kBackWithin = seconds(3 + 4);
// From then on no message is late for its receiver.
constexpr Duration kWatched = seconds(3);
// The shortest time for which a message between instances is of use.
constexpr Duration kMaxWait = milliseconds(500);

// Instances and workers are assigned to the domains in turn.
bool IsInCutDomain(const std::string& name) {
  return std::stoi(name.substr(1)) % kDomains == kCutDomain;
}

void BeginCut(Fleet& fleet) {
  fleet.store_fault = [](const std::string& node, const StoreRequest&) {
    return IsInCutDomain(node) ? StoreFault::kNoReply : StoreFault::kNone;
  };
  fleet.is_cut = [](const std::string& from, const std::string& to) {
    return IsInCutDomain(from) != IsInCutDomain(to);
  };
  fleet.command_fault = [](const std::string& node, const std::string& worker,
                           const WorkerRequest&) {
    return IsInCutDomain(worker) == IsInCutDomain(node)
               ? CommandFault::kNone
               : CommandFault::kUnreached;
  };
}

void EndCut(Fleet& fleet) {
  fleet.store_fault = [](const std::string&, const StoreRequest&) {
    return StoreFault::kNone;
  };
  fleet.is_cut = [](const std::string&, const std::string&) { return false; };
  fleet.command_fault = [](const std::string&, const std::string&,
                           const WorkerRequest&) {
    return CommandFault::kNone;
  };
}

std::string LastingName(std::size_t number) {
  return fmt::format("l{}", number);
}

void SubmitLasting(Fleet& fleet) {
  for (std::size_t it = 0; it < kInstances; ++it) {
    fleet.Submit(fmt::format("n{}", it), LastingName(it),
                 Lasting(kLastingWidth));
  }
}

// Each instance gets its jobs at another time.
void SubmitShort(Fleet& fleet, Duration span) {
  const Duration step = kShortInterval / static_cast<int>(kInstances);
  for (int it = 0; it < span / step; ++it) {
    fleet.RunLater(step * it, [&fleet, it] {
      fleet.Submit(
          fmt::format("n{}", static_cast<std::size_t>(it) % kInstances),
          fmt::format("s{}", it), OneStep(kShortWidth));
    });
  }
}

std::size_t CountLastingWithoutRun(const Fleet& fleet) {
  std::set<std::string> running;
  for (const SeenRun& it : fleet.seen) {
    if (it.ended == kForever && it.task.starts_with("l")) {
      running.insert(it.task);
    }
  }
  return kInstances * kLastingWidth - running.size();
}

std::size_t CountRecovering(const Fleet& fleet) {
  std::size_t n = 0;
  for (const std::string& node : fleet.nodes()) {
    for (const auto& [id, job] : fleet.state(node).jobs) {
      n += job.recovering ? 1 : 0;
    }
  }
  return n;
}

// Jobs without lasting tasks that have not ended.
std::size_t CountOpenShort(const Fleet& fleet) {
  std::size_t n = 0;
  for (const std::string& node : fleet.nodes()) {
    for (const auto& [id, job] : fleet.state(node).jobs) {
      n += job.spec.steps.front().lasting || IsFinal(job.state) ? 0 : 1;
    }
  }
  return n;
}

// A fleet with lasting jobs and a steady rate of short ones, and what it
// counts.
struct LoadedFleet {
  Fleet fleet{{.instances = kInstances,
               .workers = kWorkersEach * kInstances,
               .processors_milli = kProcessorsEach,
               .advice = true,
               .timers = true,
               .teams = true,
               .batches = true}};
  std::size_t given_up = 0;  // messages between instances
  Duration longest_wait{0};  // of an event for its step

  LoadedFleet() {
    fleet.Settle();
    for (const std::string& it : fleet.worker_names()) {
      fleet.worker(it).plan = [](const std::string& task, std::uint64_t) {
        return RunPlan{.takes = kShortTakes, .endless = task.starts_with("l")};
      };
    }
    SubmitLasting(fleet);
    fleet.Run(kStarted);
    REQUIRE(CountLastingWithoutRun(fleet) == 0);
    fleet.on_dropped = [this](const char*) { ++given_up; };
    fleet.on_waited = [this](Duration it) {
      longest_wait = std::max(longest_wait, it);
    };
    SubmitShort(fleet, kBeforeCut + kCut + kAfterCut);
  }

  void Watch(Duration span) {
    given_up = 0;
    longest_wait = Duration(0);
    fleet.Run(span);
  }
};

// Cuts off a failure domain of a fleet whose steps take that long, and checks
// that the fleet carries its load before and is back in time after.
void CheckBackAfterCut(const StepCost& cost) {
  LoadedFleet loaded;
  Fleet& fleet = loaded.fleet;
  for (const std::string& it : fleet.nodes()) {
    fleet.SetCost(it, cost);
  }
  loaded.Watch(kBeforeCut);
  REQUIRE(loaded.given_up == 0);
  REQUIRE(loaded.longest_wait.count() <= kMaxWait.count());
  BeginCut(fleet);
  fleet.Run(kCut);
  EndCut(fleet);
  fleet.Run(kBackWithin);
  CHECK(CountLastingWithoutRun(fleet) == 0);
  CHECK(CountRecovering(fleet) == 0);
  CHECK(CountOpenShort(fleet) == 0);
  loaded.Watch(kWatched);
  CHECK(loaded.given_up == 0);
  CHECK(loaded.longest_wait.count() <= kMaxWait.count());
  CHECK(CountLastingWithoutRun(fleet) == 0);
  CheckInvariants(fleet);
}

}  // namespace

TEST_CASE("A fleet with enough processor time comes back after a cut") {
  CheckBackAfterCut({});
}

// Guards against instances that run all due work after each event: while more
// events arrive than before a cut, they handle fewer of them in a second.
TEST_CASE("A fleet whose due work is expensive comes back after a cut") {
  CheckBackAfterCut({.event = microseconds(1500),
                     .due_work = microseconds(6000),
                     .message = microseconds(300)});
}

// Guards against queries that are repeated at the same rate however late the
// replies are, and keep them late after a cut.
TEST_CASE("A fleet whose messages are expensive comes back after a cut") {
  CheckBackAfterCut(
      {.event = microseconds(7000), .message = microseconds(500)});
}

// Guards against reports to adopters that list all workers of a cut domain each
// time, which took most of the bytes between instances during a cut.
TEST_CASE("An instance seldom tells an adopter of the same worker") {
  // Once, and again if the report got lost.
  constexpr int kMostMentions = 2;
  LoadedFleet loaded;
  Fleet& fleet = loaded.fleet;
  // By sender, receiver and worker.
  std::map<std::tuple<std::string, std::string, std::string>, int> mentions;
  int most = 0;
  std::size_t reports = 0;
  fleet.on_peer = [&](const std::string& from, const SendPeer& send) {
    const auto* report = std::get_if<AdoptReport>(&send.message);
    if (report == nullptr) {
      return;
    }
    ++reports;
    for (const RememberedWorker& it : report->remembered) {
      most = std::max(most, ++mentions[{from, send.to, it.worker}]);
    }
  };
  BeginCut(fleet);
  fleet.Run(kCut);
  CHECK(reports > 0);
  CHECK(most >= 1);
  CHECK(most <= kMostMentions);
}

}  // namespace burdockrock::engine
