// Room that is reserved for a task whose start waits for a ticket or for the
// store.
#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include <doctest/doctest.h>

#include "engine/fleet.h"

namespace burdockrock::engine {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr AdvicePolicy kSlow = {.decision = milliseconds(600),
                                .each = milliseconds(7),
                                .valid = milliseconds(2500)};
// A task of this size fills a worker.
constexpr std::int64_t kWhole = 8000;
constexpr const char* kFill = "fill";
constexpr const char* kJob = "job";
constexpr const char* kRival = "rival";

const SeenRun* FindRun(const Fleet& fleet, const std::string& job) {
  for (const SeenRun& it : fleet.seen) {
    if (it.task.starts_with(job)) {
      return &it;
    }
  }
  return nullptr;
}

// Whether room is reserved at the worker for a task that has not started.
bool IsReserved(const Fleet& fleet) {
  const auto nodes = fleet.nodes();
  return std::any_of(nodes.begin(), nodes.end(), [&](const std::string& node) {
    if (!fleet.IsUp(node)) {
      return false;
    }
    const auto& owned = fleet.state(node).owned;
    return std::any_of(owned.begin(), owned.end(), [](const auto& worker) {
      const auto& runs = worker.second.runs;
      return std::any_of(runs.begin(), runs.end(), [](const auto& it) {
        return it.second.phase == RunPhase::kBooked;
      });
    });
  });
}

// The queue "q" does without advice; "slow" waits long for it.
void SetUp(Fleet& fleet, Duration decision = kSlow.decision) {
  fleet.SetQueue({.name = "q",
                  .host = "h",
                  .prefix = "/q/",
                  .service = "s",
                  .priority = 1,
                  .max_attempts = 3,
                  .stretch = 2.2});
  AdvicePolicy slow = kSlow;
  slow.decision = decision;
  fleet.AddQueue("slow", 1, slow);
  fleet.tickets_valid = slow.valid;
  fleet.advice_duration = [slow](const AdviceRequest& it) {
    return it.step.starts_with(kRival)
               ? Duration(milliseconds(20))
               : slow.decision +
                     slow.each * static_cast<std::int64_t>(it.workers.size());
  };
  fleet.Settle();
  fleet.worker("w0").plan = [](const std::string& task, std::uint64_t) {
    return RunPlan{.takes = task.starts_with(kFill) ? seconds(6) : seconds(30)};
  };
}

// An instance that does not own the worker, so that its offers are messages.
std::string Stranger(const Fleet& fleet) {
  const auto nodes = fleet.nodes();
  const auto it = std::find_if(
      nodes.begin(), nodes.end(),
      [&](const std::string& node) { return fleet.state(node).owned.empty(); });
  REQUIRE(it != nodes.end());
  return *it;
}

void SubmitTo(Fleet& fleet,
              const std::string& node,
              const std::string& queue,
              const std::string& job) {
  fleet.SendRequest(node, {.query = CallerQuery::kSubmit,
                           .host = "h",
                           .path = "/" + queue + "/" + job,
                           .spec = OneStep(1, kWhole)});
}

// Submits a job that fills the only worker, and then one of the queue "slow",
// whose ticket has lapsed when the first one ends. Returns when it has ended.
void WaitForRoom(Fleet& fleet, const std::string& node) {
  fleet.Submit(node, kFill, OneStep(1, kWhole));
  fleet.Run(milliseconds(500));
  REQUIRE(FindRun(fleet, kFill) != nullptr);
  SubmitTo(fleet, node, "slow", kJob);
  REQUIRE(fleet.RunUntil(
      [&] { return FindRun(fleet, kFill)->ended <= fleet.now(); }, seconds(8)));
  REQUIRE(FindRun(fleet, kJob) == nullptr);
}

}  // namespace

// Guards against a task that waits for its ticket while others take its room,
// again and again.
TEST_CASE("Room is held while the ticket of a task is requested") {
  Fleet fleet({.workers = 1, .processors_milli = kWhole});
  SetUp(fleet);
  WaitForRoom(fleet, "n0");
  fleet.Run(milliseconds(300));
  fleet.Submit("n0", kRival, OneStep(1, kWhole));
  fleet.Run(seconds(3));
  CHECK(FindRun(fleet, kJob) != nullptr);
  CHECK(FindRun(fleet, kRival) == nullptr);
  CheckInvariants(fleet);
}

// Guards against a second run of a task whose start is taken for refused, as an
// answer to its reservation was late.
TEST_CASE("A late answer to a reservation does not count for the start") {
  Fleet fleet({.workers = 1, .processors_milli = kWhole});
  SetUp(fleet);
  std::optional<SendPeer> booking;
  bool started = false;
  fleet.on_peer = [&](const std::string&, const SendPeer& sent) {
    const auto* offer = std::get_if<TaskOffer>(&sent.message);
    if (offer != nullptr && offer->job == kJob) {
      booking = offer->book_only ? std::optional(sent) : booking;
      started = started || !offer->book_only;
    }
  };
  const std::string node = Stranger(fleet);
  WaitForRoom(fleet, node);
  REQUIRE(fleet.RunUntil([&] { return started; }, seconds(3)));
  REQUIRE(booking);
  const OfferedTask task = std::get<TaskOffer>(booking->message).tasks.front();
  fleet.DeliverPeerMessage(
      node, booking->to,
      OfferAnswers{.answers = {{.task = "job.0.0.0",
                                .run = task.run,
                                .worker = task.worker,
                                .outcome = OfferOutcome::kNoRoom}}});
  fleet.AddWorkers(1);
  fleet.Run(seconds(8));
  CHECK(CountRuns(fleet, kJob) == 1);
  CheckInvariants(fleet);
}

// Guards against an adopted task that waits until its start is stored, while
// others take its room.
TEST_CASE("Room is held while the start of an adopted task is stored") {
  Fleet fleet({.instances = 1, .workers = 1, .processors_milli = kWhole});
  SetUp(fleet);
  fleet.Submit("n0", kFill, OneStep(1, kWhole));
  fleet.Run(milliseconds(500));
  fleet.Submit("n0", kJob, OneStep(1, kWhole));
  fleet.Run(milliseconds(500));
  fleet.Kill("n0");
  fleet.Start("n0");
  fleet.Run(milliseconds(4500));
  fleet.Submit("n0", kRival, OneStep(1, kWhole));
  fleet.Run(milliseconds(200));
  REQUIRE(FindRun(fleet, kFill)->ended > fleet.now());
  // Writes are slow from now on.
  Time refused_until = kForever;
  fleet.store_fault = [&](const std::string&, const StoreRequest& request) {
    const bool refused = std::holds_alternative<StoreTransaction>(request) &&
                         fleet.now() < refused_until;
    return refused ? StoreFault::kRefuse : StoreFault::kNone;
  };
  REQUIRE(fleet.RunUntil(
      [&] { return FindRun(fleet, kFill)->ended <= fleet.now(); }, seconds(8)));
  refused_until = fleet.now() + milliseconds(800);
  fleet.Run(seconds(3));
  CHECK(FindRun(fleet, kJob) != nullptr);
  CHECK(FindRun(fleet, kRival) == nullptr);
  CheckInvariants(fleet);
}

// Guards against urgent work that waits for room which nothing uses yet.
TEST_CASE("Urgent work takes room that is only reserved") {
  Fleet fleet({.workers = 1, .processors_milli = kWhole});
  SetUp(fleet, seconds(2));
  fleet.AddQueue(
      "urgent", 0,
      AdvicePolicy{.decision = milliseconds(20), .valid = seconds(20)});
  fleet.Run(seconds(1));
  WaitForRoom(fleet, "n0");
  REQUIRE(fleet.RunUntil([&] { return IsReserved(fleet); }, seconds(1)));
  SubmitTo(fleet, "n0", "urgent", kRival);
  fleet.Run(milliseconds(1500));
  CHECK(FindRun(fleet, kRival) != nullptr);
  fleet.Run(seconds(3));
  CHECK(CountRuns(fleet, kJob) == 0);
  CheckInvariants(fleet);
}

// Guards against room that a lost owner of a job keeps, while the next owner
// waits for the reports of all workers.
TEST_CASE("A reservation of a former owner ends with the adoption") {
  Fleet fleet({.workers = 1, .processors_milli = kWhole});
  SetUp(fleet, seconds(2));
  const std::string node = Stranger(fleet);
  WaitForRoom(fleet, node);
  REQUIRE(fleet.RunUntil([&] { return IsReserved(fleet); }, seconds(1)));
  fleet.StopPlanned(node);
  fleet.Run(milliseconds(1000));
  CHECK_FALSE(IsReserved(fleet));
  fleet.Run(seconds(10));
  CHECK(FindRun(fleet, kJob) != nullptr);
  CheckInvariants(fleet);
}

// Guards against a reservation that is never given up, as the service does not
// answer.
TEST_CASE("A reservation ends when its ticket does not come") {
  Fleet fleet({.workers = 1, .processors_milli = kWhole});
  SetUp(fleet, seconds(30));
  WaitForRoom(fleet, "n0");
  fleet.Submit("n0", kRival, OneStep(1, kWhole));
  fleet.Run(seconds(8));
  CHECK(FindRun(fleet, kRival) != nullptr);
  CheckInvariants(fleet);
}

}  // namespace burdockrock::engine
