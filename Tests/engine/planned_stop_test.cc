// A planned stop answers every request that the instance has read.
#include <algorithm>
#include <set>
#include <string>

#include <doctest/doctest.h>
#include <fmt/format.h>

#include "engine/fleet.h"

namespace burdockrock::engine {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kBetweenRequests = milliseconds(7);

// Sends requests of all kinds to one node until it has stopped.
class Callers {
 public:
  Callers(Fleet& fleet, std::string node)
      : fleet_(fleet), node_(std::move(node)) {}

  void SendRequests(Duration span) {
    const Time end = fleet_.now() + span;
    while (fleet_.now() < end && fleet_.IsUp(node_)) {
      if (fleet_.TakesCalls(node_)) {
        SendNext();
      }
      fleet_.Run(kBetweenRequests);
    }
  }

  std::size_t Unanswered() const {
    return static_cast<std::size_t>(std::count_if(
        calls_.begin(), calls_.end(),
        [this](std::uint64_t it) { return !fleet_.answers.contains(it); }));
  }

 private:
  void SendNext() {
    const std::string job = fmt::format("{}-{}", node_, sent_ / 4);
    switch (sent_++ % 4) {
      case 0:
        calls_.insert(fleet_.Submit(node_, job, OneStep(1)));
        break;
      case 1:
        calls_.insert(fleet_.QueryState(node_, job));
        break;
      case 2:
        calls_.insert(fleet_.Cancel(node_, job));
        break;
      case 3:
        calls_.insert(fleet_.QueryState(node_, "others"));
        break;
    }
  }

  Fleet& fleet_;
  std::string node_;
  std::set<std::uint64_t> calls_;
  std::uint64_t sent_ = 0;
};

void BreakStore(Fleet& fleet, StoreFault fault) {
  fleet.store_fault = [fault](const std::string&, const StoreRequest&) {
    return fault;
  };
}

// n0 starts a planned stop and hands over job j1, whose tasks run until they
// are stopped.
void StopAfterStart(Fleet& fleet) {
  fleet.Settle();
  PlanAll(fleet, {.endless = true});
  fleet.Submit("n0", "j1", OneStep(4));
  fleet.Run(seconds(1));
  fleet.StopPlanned("n0");
  REQUIRE(fleet.RunUntil([&] { return fleet.state("n0").stop.released; },
                         seconds(2)));
}

}  // namespace

// Guards against requests that are lost when the process ends.
TEST_CASE("A planned stop answers all requests, whatever the store does") {
  for (const StoreFault fault :
       {StoreFault::kNone, StoreFault::kRefuse, StoreFault::kNoReply,
        StoreFault::kLoseAnswer}) {
    for (const int lead_ms : {0, 400}) {
      CAPTURE(static_cast<int>(fault));
      CAPTURE(lead_ms);
      Fleet fleet;
      fleet.Settle();
      fleet.Submit("n1", "others", OneStep(4));
      Callers callers(fleet, "n0");
      callers.SendRequests(milliseconds(500));
      BreakStore(fleet, fault);
      callers.SendRequests(milliseconds(lead_ms));
      fleet.StopPlanned("n0");
      callers.SendRequests(seconds(7));
      CHECK_FALSE(fleet.IsUp("n0"));
      CHECK(callers.Unanswered() == 0);
    }
  }
}

// Guards against two stopping instances that wait for each other.
TEST_CASE("Planned stops of two instances answer all requests") {
  for (const int apart_ms : {0, 500, 1200, 1900}) {
    CAPTURE(apart_ms);
    Fleet fleet;
    fleet.Settle();
    fleet.Submit("n1", "others", OneStep(4));
    Callers first(fleet, "n0");
    Callers second(fleet, "n1");
    first.SendRequests(milliseconds(300));
    second.SendRequests(milliseconds(300));
    fleet.StopPlanned("n0");
    first.SendRequests(milliseconds(apart_ms));
    fleet.StopPlanned("n1");
    while (fleet.IsUp("n0") || fleet.IsUp("n1")) {
      first.SendRequests(milliseconds(20));
      second.SendRequests(milliseconds(20));
    }
    CHECK(first.Unanswered() == 0);
    CHECK(second.Unanswered() == 0);
  }
}

// Guards against cancels that wait for a write which is never made.
TEST_CASE("The new owner takes a cancel that arrives after the hand-over") {
  Fleet fleet;
  StopAfterStart(fleet);
  CancelNow(fleet, "n0", "j1");
  CHECK(fleet.StateOf("n1", "j1") == JobState::kCancelled);
  fleet.Run(seconds(3));
  CheckInvariants(fleet);
  CHECK(std::all_of(fleet.seen.begin(), fleet.seen.end(),
                    [](const SeenRun& it) { return it.ended != kForever; }));
}

// Guards against replies with the state from before the hand-over.
TEST_CASE("A status after the hand-over shows a cancel of another instance") {
  Fleet fleet;
  StopAfterStart(fleet);
  CancelNow(fleet, "n1", "j1");
  REQUIRE(fleet.IsUp("n0"));
  const std::uint64_t call = fleet.QueryState("n0", "j1");
  REQUIRE(
      fleet.RunUntil([&] { return fleet.answers.contains(call); }, seconds(2)));
  CHECK(fleet.answers[call] ==
        CallerAnswer(JobStateFound{.state = JobState::kCancelled}));
}

// Guards against replies with states that were read before the jobs' owner
// stopped.
TEST_CASE("A stopping instance shows no state older than an acknowledged end") {
  constexpr int kJobs = 60;
  Fleet fleet;
  fleet.Settle();
  PlanAll(fleet, {.endless = true});
  const auto name = [](int it) { return fmt::format("j{}", it); };
  for (int it = 0; it < kJobs; ++it) {
    fleet.Submit("n0", name(it), OneStep(1, 100));
  }
  fleet.Run(seconds(2));
  for (int it = 0; it < kJobs; ++it) {
    REQUIRE(fleet.StateOf("n2", name(it)).has_value());
  }
  fleet.StopPlanned("n0");
  REQUIRE(fleet.RunUntil([&] { return !fleet.IsUp("n0"); }, seconds(7)));
  fleet.Run(seconds(4));
  for (int it = 0; it < kJobs; ++it) {
    const std::uint64_t cancel = fleet.Cancel("n1", name(it));
    REQUIRE(fleet.RunUntil([&] { return fleet.answers.contains(cancel); },
                           seconds(3)));
    REQUIRE(std::holds_alternative<CancelAccepted>(fleet.answers[cancel]));
  }
  fleet.Run(seconds(1));
  fleet.StopPlanned("n2");
  fleet.Run(milliseconds(5));
  REQUIRE(fleet.state("n2").stop.requested);
  int queried = 0;
  int stale = 0;
  for (int it = 0; it < kJobs && fleet.TakesCalls("n2"); ++it) {
    const std::uint64_t call = fleet.QueryState("n2", name(it));
    fleet.RunUntil([&] { return fleet.answers.contains(call); }, seconds(2));
    ++queried;
    const auto* shown = std::get_if<JobStateFound>(&fleet.answers[call]);
    if (shown != nullptr && shown->state != JobState::kCancelled) {
      ++stale;
    }
  }
  CAPTURE(queried);
  CHECK(stale == 0);
}

// Guards against replies from memory about jobs whose ownership was given up.
TEST_CASE("A cut off instance shows no state of a job that it gave up") {
  Fleet fleet;
  StopAfterStart(fleet);
  fleet.Run(milliseconds(20));
  fleet.store_fault = [](const std::string& node, const StoreRequest&) {
    return node == "n0" ? StoreFault::kNoReply : StoreFault::kNone;
  };
  fleet.is_cut = [](const std::string& from, const std::string& to) {
    return from == "n0" || to == "n0";
  };
  const std::uint64_t call = fleet.QueryState("n0", "j1");
  CancelNow(fleet, "n1", "j1");
  REQUIRE_FALSE(fleet.answers.contains(call));
  REQUIRE(
      fleet.RunUntil([&] { return fleet.answers.contains(call); }, seconds(3)));
  CHECK(fleet.answers[call] !=
        CallerAnswer(JobStateFound{.state = JobState::kRunning}));
}

}  // namespace burdockrock::engine
