// Bounds what instances ask of workers and of each other when workers do not
// answer or many instances start at once. With many instances that adds up.
#include <string>
#include <variant>
#include <vector>

#include <doctest/doctest.h>

#include "engine/fleet.h"

namespace burdockrock::engine {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

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
