// New jobs while a failure domain is cut off from the others and from the
// store.
#include <algorithm>

#include <doctest/doctest.h>
#include <fmt/format.h>

#include "engine/fleet.h"

namespace burdockrock::engine {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

bool IsOfDomainA(const std::string& worker) {
  return worker == "w0" || worker == "w3";
}

// Cuts off domain a: n0, w0 and w3.
void CutDomainA(Fleet& fleet) {
  fleet.store_fault = [](const std::string& node, const StoreRequest&) {
    return node == "n0" ? StoreFault::kNoReply : StoreFault::kNone;
  };
  fleet.is_cut = [](const std::string& from, const std::string& to) {
    return (from == "n0") != (to == "n0");
  };
  fleet.command_fault = [](const std::string& node, const std::string& worker,
                           const WorkerRequest&) {
    return IsOfDomainA(worker) == (node == "n0") ? CommandFault::kNone
                                                 : CommandFault::kUnreached;
  };
}

void Heal(Fleet& fleet) {
  fleet.store_fault = [](const std::string&, const StoreRequest&) {
    return StoreFault::kNone;
  };
  fleet.is_cut = [](const std::string&, const std::string&) { return false; };
  fleet.command_fault = [](const std::string&, const std::string&,
                           const WorkerRequest&) {
    return CommandFault::kNone;
  };
}

// Guards against tasks that are offered to an unreachable owner of a worker
// until its registration ends: such a task waits for the end of the cut, since
// it may run there.
TEST_CASE("New jobs avoid the workers of unresponsive owners") {
  Fleet fleet;
  fleet.Settle();
  PlanAll(fleet, {.takes = milliseconds(500)});
  fleet.Submit("n1", "before", OneStep(30));
  fleet.Run(seconds(2));
  CutDomainA(fleet);
  fleet.Run(milliseconds(100));
  fleet.Submit("n1", "notice", OneStep(30));  // detects the cut
  fleet.Run(milliseconds(900));
  for (int it = 0; it < 4; ++it) {
    const std::string job = fmt::format("cut{}", it);
    fleet.Submit("n1", job, OneStep(20));
    fleet.Run(milliseconds(1200));
    CHECK(fleet.StateOf("n1", job) == JobState::kCompleted);
  }
  Heal(fleet);
  fleet.Run(seconds(8));
  const std::size_t seen = fleet.seen.size();
  fleet.Submit("n1", "after", OneStep(30));
  fleet.Run(seconds(3));
  CHECK(fleet.StateOf("n1", "after") == JobState::kCompleted);
  const bool used_again = std::any_of(
      fleet.seen.begin() + static_cast<std::ptrdiff_t>(seen), fleet.seen.end(),
      [](const SeenRun& it) { return IsOfDomainA(it.worker.substr(0, 2)); });
  CHECK(used_again);
  CheckInvariants(fleet);
}

// Guards against short jobs that are delayed by the cut of a domain that they
// did not need to use.
TEST_CASE("Tight jobs stay in their owner's domain while it has room") {
  Fleet fleet({.instances = 6, .workers = 12});
  fleet.SetQueue({.name = "q",
                  .host = "h",
                  .prefix = "/q/",
                  .service = "s",
                  .max_attempts = 3,
                  .stretch = 1.5});
  fleet.Settle();
  PlanAll(fleet, {.takes = milliseconds(500)});
  fleet.Submit("n1", "tight", OneStep(28));
  fleet.Run(milliseconds(300));
  REQUIRE(CountRuns(fleet, "tight") == 28);
  for (const SeenRun& it : fleet.seen) {
    const int number = std::stoi(it.worker.substr(1));
    CHECK(number % 3 == 1);
  }
}

// Guards against callers that the balancer sends to an instance that refuses
// all jobs while others would accept them.
TEST_CASE("An instance that can't reach the store is not ready") {
  Fleet fleet;
  fleet.Settle();
  REQUIRE(IsReady(fleet.state("n0")));
  CutDomainA(fleet);
  fleet.Run(milliseconds(2000));  // a watch in flight is still answered
  CHECK_FALSE(IsReady(fleet.state("n0")));
  CHECK(IsReady(fleet.state("n1")));
  Heal(fleet);
  CHECK(fleet.RunUntil([&] { return IsReady(fleet.state("n0")); }, seconds(2)));
}

// Guards against instances that the balancer removes in turn because single
// answers of the store are lost.
TEST_CASE("An instance that loses some of the store's answers stays ready") {
  Fleet fleet;
  fleet.Settle();
  int n = 0;
  fleet.store_fault = [&n](const std::string&, const StoreRequest&) {
    return ++n % 3 == 0 ? StoreFault::kLoseAnswer : StoreFault::kNone;
  };
  int unready = 0;
  for (int it = 0; it < 100; ++it) {
    fleet.Run(milliseconds(50));
    unready += IsReady(fleet.state("n0")) ? 0 : 1;
  }
  CHECK(unready == 0);
}

}  // namespace

}  // namespace burdockrock::engine
