// The order in which steps get advice, and tickets that are valid when they are
// used.
#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include <doctest/doctest.h>
#include <fmt/format.h>

#include "engine/fleet.h"

namespace burdockrock::engine {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Number of starts that were refused because their ticket had expired.
std::size_t CountBadTickets(const Fleet& fleet) {
  const std::string cause = WorkerRefusalName(WorkerRefusalKind::kBadTicket);
  return static_cast<std::size_t>(
      std::count_if(fleet.log.begin(), fleet.log.end(), [&](const LogLine& it) {
        return it.number == EventNumber::kStartRefused &&
               std::any_of(it.fields.begin(), it.fields.end(),
                           [&](const auto& f) { return f.value == cause; });
      }));
}

// The third run of jobs `bad...` is done, the first two crash their workers.
// The others take `takes`.
void PlanTwoCrashes(Fleet& fleet, Duration takes) {
  for (const std::string& it : fleet.worker_names()) {
    fleet.worker(it).plan = [&fleet, takes](const std::string& task,
                                            std::uint64_t) {
      if (!task.starts_with("bad")) {
        return RunPlan{.takes = takes};
      }
      const auto runs =
          std::count_if(fleet.seen.begin(), fleet.seen.end(),
                        [&](const SeenRun& run) { return run.task == task; });
      return RunPlan{.takes = milliseconds(300), .crashes = runs < 2};
    };
  }
}

void RestartAll(Fleet& fleet) {
  const auto nodes = fleet.nodes();
  for (const std::string& it : nodes) {
    fleet.Kill(it);
  }
  for (const std::string& it : nodes) {
    fleet.Start(it);
  }
}

}  // namespace

// Guards against a task that is to run alone and whose ticket expires while its
// worker is emptied: it is refused and starts over.
TEST_CASE("A task waits with a valid ticket for its worker to be emptied") {
  Fleet fleet({.workers = 4, .advice = true});
  fleet.Settle();
  PlanTwoCrashes(fleet, seconds(5));
  fleet.Submit("n0", "bad", OneStep(1));
  for (int it = 0; it < 60; ++it) {
    fleet.Submit(fmt::format("n{}", it % 3), fmt::format("j{}", it),
                 OneStep(4));
    fleet.Run(milliseconds(300));
  }
  fleet.Run(seconds(20));
  CHECK(CountRuns(fleet, "bad") == 3);
  CHECK(CountBadTickets(fleet) == 0);
  CheckInvariants(fleet);
}

// Guards against tickets that expire before a task may start, as the runs of an
// adopted job are not known yet.
TEST_CASE("No query for advice is sent while a job recovers") {
  Fleet fleet({.workers = 9, .advice = true});
  fleet.Settle();
  PlanAll(fleet, {.takes = seconds(8)});
  for (int it = 0; it < 40; ++it) {
    fleet.Submit(fmt::format("n{}", it % 3), fmt::format("j{}", it),
                 OneStep(4));
  }
  fleet.Run(seconds(2));
  std::set<std::string> early;
  std::size_t queries = 0;
  fleet.step = [&](const std::string&, State& state, const Event& event) {
    Effects effects = Step(state, event);
    for (const auto& [call, it] : state.advice.queries) {
      ++queries;
      if (state.jobs.at(it.step.job).recovering) {
        early.insert(it.step.job);
      }
    }
    return effects;
  };
  RestartAll(fleet);
  fleet.Run(seconds(20));
  CHECK(queries > 0);
  CHECK(early.size() == 0);
  CHECK(CountEnds(fleet, RunEnd::kDone) >= 80);
  CheckInvariants(fleet);
}

}  // namespace burdockrock::engine
