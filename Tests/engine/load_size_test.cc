// Bounds what instances ask of workers and of each other when workers do not
// answer or many instances start at once. With many instances that adds up.
#include <set>
#include <string>
#include <variant>
#include <vector>

#include <doctest/doctest.h>

#include "engine/fleet.h"

namespace burdockrock::engine {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Counts the polls of workers from now on, as `count` is replaced or ends.
struct PollCount {
  std::size_t polls = 0;

  auto Fault(const std::string& counted_except, CommandFault of_others) {
    return [this, counted_except, of_others](const std::string&,
                                             const std::string& worker,
                                             const WorkerRequest& it) {
      if (worker == counted_except) {
        return of_others;
      }
      polls += std::holds_alternative<PollWorker>(it) ? 1 : 0;
      return CommandFault::kNone;
    };
  }
};

// Guards against one worker that does not answer and has all others of its
// instance polled six times as often for ten seconds.
TEST_CASE("A silent worker does not have the others polled more often") {
  Fleet fleet({.domains = {"a"}, .instances = 1, .workers = 6});
  fleet.Settle();
  PollCount calm;
  fleet.command_fault = calm.Fault("w0", CommandFault::kNone);
  fleet.Run(seconds(12));
  PollCount count;
  fleet.command_fault = count.Fault("w0", CommandFault::kUnreached);
  fleet.Run(seconds(12));
  REQUIRE(calm.polls > 0);
  CHECK(count.polls <= calm.polls * 3 / 2);
}

// Guards against ends that stay unknown for the wait of a long poll while the
// answers of several workers get lost.
TEST_CASE("Workers are polled more often while answers of several get lost") {
  Fleet fleet({.domains = {"a"}, .instances = 1, .workers = 6});
  fleet.Settle();
  PollCount calm;
  fleet.command_fault = calm.Fault("", CommandFault::kNone);
  fleet.Run(seconds(6));
  PollCount count;
  std::set<std::string> lost;
  fleet.command_fault = [&](const std::string&, const std::string& worker,
                            const WorkerRequest& it) {
    const bool poll = std::holds_alternative<PollWorker>(it);
    count.polls += poll ? 1 : 0;
    const bool lose = poll && (worker == "w0" || worker == "w1") &&
                      lost.insert(worker).second;
    return lose ? CommandFault::kLoseAnswer : CommandFault::kNone;
  };
  fleet.Run(seconds(6));
  REQUIRE(lost.size() == 2);
  CHECK(count.polls >= calm.polls * 2);
}

// Guards against a poll of each worker for each job that is adopted, when many
// instances are lost at once and the others adopt their jobs.
TEST_CASE("Adopters that ask at once share the polls of the workers") {
  constexpr std::size_t kWorkers = 36;
  constexpr int kJobs = 16;
  Fleet fleet({.instances = 12, .workers = kWorkers});
  fleet.Settle();
  PlanAll(fleet, {.takes = seconds(10)});
  const std::vector<std::string> nodes = fleet.nodes();
  for (int it = 0; it < kJobs; ++it) {
    for (const std::string& node : nodes) {
      fleet.Submit(node, "j" + node + std::to_string(it), OneStep(2));
    }
  }
  fleet.Run(seconds(2));
  for (std::size_t it = 0; it < nodes.size() / 2; ++it) {
    fleet.Kill(nodes[it]);
  }
  std::size_t checks = 0;
  fleet.command_fault = [&](const std::string&, const std::string&,
                            const WorkerRequest& it) {
    const auto* poll = std::get_if<PollWorker>(&it);
    checks += poll != nullptr && poll->lease_until_ms == 0 ? 1 : 0;
    return CommandFault::kNone;
  };
  fleet.Run(seconds(8));
  MESSAGE("polls without a lease: ", checks);
  CHECK(checks <= kWorkers * 4);
  for (const std::string& it : nodes) {
    CHECK(fleet.StateOf(nodes.back(), "j" + it + "0") == JobState::kCompleted);
  }
  CheckInvariants(fleet);
}

}  // namespace

}  // namespace burdockrock::engine
