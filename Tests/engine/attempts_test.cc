// Tests of how often a failing task is started when its job changes owner.
#include <doctest/doctest.h>

#include "engine/fleet.h"

namespace burdockrock::engine {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::string NameOf(const SeenRun& run) {
  return run.worker.substr(0, run.worker.find('-'));
}

std::string OwnerOf(const Fleet& fleet, const std::string& worker) {
  for (const std::string& it : fleet.nodes()) {
    const auto& owned = fleet.state(it).owned;
    const auto found = owned.find(worker);
    if (found != owned.end() && found->second.claimed) {
      return it;
    }
  }
  return {};
}

// Guards against too many attempts after an adoption. A worker that listed a
// failed run of a task was unreachable when the job was adopted. Meanwhile
// another run of the task failed and the task was started again at once. The
// first failure was received (run_ended) 2.2 s after the last start that the
// queue allowed, and the task had five runs where four were allowed.
TEST_CASE("A failing task of an adopted job does not exceed its attempts") {
  Fleet fleet({.instances = 6, .workers = 12});
  fleet.Settle();
  for (const std::string& it : fleet.worker_names()) {
    fleet.worker(it).plan = [](const std::string&, std::uint64_t run) {
      return RunPlan{.takes = milliseconds(run == 2 ? 4000 : 300),
                     .how = RunEnd::kFailed};
    };
  }
  fleet.Submit("n0", "j1", OneStep(1));
  REQUIRE(
      fleet.RunUntil([&] { return CountRuns(fleet, "j1") == 2; }, seconds(3)));
  const SeenRun first = fleet.seen.front();
  fleet.command_fault = [&](const std::string&, const std::string& worker,
                            const WorkerRequest&) {
    return worker == NameOf(first) ? CommandFault::kUnreached
                                   : CommandFault::kNone;
  };
  const std::string owner = OwnerOf(fleet, first.worker);
  fleet.Kill("n0");
  if (fleet.IsUp(owner)) {
    fleet.Kill(owner);
  }
  fleet.Run(seconds(8));
  fleet.command_fault = [](const std::string&, const std::string&,
                           const WorkerRequest&) {
    return CommandFault::kNone;
  };
  fleet.Run(seconds(20));
  CHECK(CountRuns(fleet, "j1") == 3);
  CHECK(fleet.StateOf("n5", "j1") == JobState::kFailed);
}

}  // namespace

}  // namespace burdockrock::engine
