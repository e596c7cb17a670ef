// Tests that a worker whose capacity changes while it runs is given no more
// than it has, and that room it regains is used.
#include <string>
#include <variant>
#include <vector>

#include <doctest/doctest.h>

#include "engine/lasting_job.h"

namespace burdockrock::engine {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Time after which all instances know a changed entry of a worker.
constexpr Duration kListTime = milliseconds(1000);

void SetCapacity(Fleet& fleet,
                 const std::string& worker,
                 std::int64_t processors_milli) {
  fleet.worker(worker).info().capacity.processors_milli = processors_milli;
  fleet.ListAgain(worker);
}

std::size_t CountOverfullStarts(Fleet& fleet) {
  std::size_t n = 0;
  for (const std::string& it : fleet.worker_names()) {
    n += fleet.worker(it).overfull_starts();
  }
  return n;
}

std::size_t CountRunning(const Fleet& fleet) {
  std::size_t n = 0;
  for (const SeenRun& it : fleet.seen) {
    n += it.ended == kForever ? 1 : 0;
  }
  return n;
}

// Guards against starts by the room that the worker had before it shrank.
TEST_CASE("A worker that shrank gets no start over its capacity") {
  Fleet fleet;
  fleet.Settle();
  PlanAll(fleet, {.takes = seconds(3)});
  fleet.Submit("n0", "j1", OneStep(12));
  fleet.Run(milliseconds(500));
  for (const std::string& it : fleet.worker_names()) {
    SetCapacity(fleet, it, 3000);
  }
  fleet.Run(kListTime);
  fleet.Submit("n1", "j2", OneStep(40));
  fleet.Run(seconds(1));
  CHECK(CountOverfullStarts(fleet) == 0);
  fleet.Run(seconds(20));
  CHECK(CountOverfullStarts(fleet) == 0);
  CHECK(fleet.StateOf("n0", "j2") == JobState::kCompleted);
}

// Guards against a worker that shrank below what runs there and gets a start
// when one of its runs ends, or is being stopped.
TEST_CASE("A worker that is overfull gets no start until it has room") {
  Fleet fleet({.domains = {"a"}, .instances = 1, .workers = 1});
  fleet.Settle();
  for (const std::string& it : fleet.worker_names()) {
    fleet.worker(it).plan = [](const std::string& task, std::uint64_t) {
      return RunPlan{.takes = task.ends_with("0") ? seconds(2) : seconds(6)};
    };
  }
  fleet.Submit("n0", "j1", OneStep(8));
  fleet.Run(milliseconds(500));
  SetCapacity(fleet, "w0", 4000);
  fleet.Run(kListTime);
  fleet.Submit("n0", "j2", OneStep(4));
  fleet.Run(seconds(4));
  CHECK(CountRuns(fleet, "j2") == 0);
  fleet.Run(seconds(12));
  CHECK(CountOverfullStarts(fleet) == 0);
  CHECK(fleet.StateOf("n0", "j2") == JobState::kCompleted);
}

// Guards against room that stays unused after the worker has grown again.
TEST_CASE("A worker that grows again is used") {
  Fleet fleet;
  fleet.Settle();
  PlanAll(fleet, {.endless = true});
  for (const std::string& it : fleet.worker_names()) {
    SetCapacity(fleet, it, 1000);
  }
  fleet.Run(kListTime);
  fleet.Submit("n0", "j1", Lasting(40));
  fleet.Run(seconds(2));
  CHECK(CountRunning(fleet) == 6);
  for (const std::string& it : fleet.worker_names()) {
    SetCapacity(fleet, it, 8000);
  }
  fleet.Run(seconds(2));
  CHECK(CountRunning(fleet) == 40);
  CHECK(CountOverfullStarts(fleet) == 0);
}

// An offer of a gang's only member on the worker, to book its room or to start
// it.
TaskOffer OfferOfMember(const Fleet& fleet, bool book_only) {
  StepSpec step = OneStep(1, 6000).steps.front();
  step.gang = true;
  return {.job = "j1",
          .generation = 1,
          .spec = step,
          .book_only = book_only,
          .tasks = {{.run = 1,
                     .worker = "w0-1",
                     .fence = fleet.state("n0").owned.at("w0-1").fence}}};
}

// Guards against a gang's member that starts in room which was reserved for it
// before the worker shrank.
TEST_CASE("A gang's member does not start in reserved room that is gone") {
  Fleet fleet;
  fleet.Settle();
  fleet.worker("w0").processors = [](const std::string&) { return 6000; };
  std::vector<OfferAnswer> answers;
  fleet.on_peer = [&](const std::string&, const SendPeer& send) {
    if (const auto* it = std::get_if<OfferAnswers>(&send.message)) {
      answers.insert(answers.end(), it->answers.begin(), it->answers.end());
    }
  };
  fleet.DeliverPeerMessage("n0", "n1-1", OfferOfMember(fleet, true));
  SetCapacity(fleet, "w0", 4000);
  fleet.Run(kListTime);
  fleet.DeliverPeerMessage("n0", "n1-1", OfferOfMember(fleet, false));
  fleet.Run(milliseconds(500));
  CHECK(CountOverfullStarts(fleet) == 0);
  CHECK(fleet.seen.empty());
  REQUIRE(answers.size() == 2);
  CHECK(answers[0].outcome == OfferOutcome::kBooked);
  CHECK(answers[1].outcome == OfferOutcome::kNoRoom);
}

}  // namespace

}  // namespace burdockrock::engine
