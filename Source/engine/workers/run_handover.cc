#include "engine/workers/run_handover.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <utility>
#include <vector>

#include "engine/members/member_features.h"
#include "engine/members/membership.h"

namespace burdockrock::engine {

namespace {

// The claim may be late, as while the worker is unreachable.
constexpr Duration kHandoverKeptFor = std::chrono::seconds(30);

HandedWorker WorkerToHandOver(const Context& context,
                              const std::string& id,
                              const OwnedWorker& worker) {
  HandedWorker handed{.worker = id};
  for (const auto& [task, run] : worker.runs) {
    if (run.phase == RunPhase::kRunning) {
      handed.runs.push_back(
          {.task = task,
           .run = run.run,
           .lasted = context.now - run.since + run.lasted_before});
    }
  }
  return handed;
}

}  // namespace

void HandOverRuns(Context& context) {
  std::map<std::string, RunsHandedOver> messages;
  for (const auto& [id, worker] : context.state.owned) {
    if (!worker.claimed) {
      continue;
    }
    HandedWorker handed = WorkerToHandOver(context, id, worker);
    std::string owner = ChooseMember(context.state, id, worker.info.domain);
    if (!handed.runs.empty() && KnowsHandovers(owner)) {
      messages[std::move(owner)].workers.push_back(std::move(handed));
    }
  }
  for (auto& [owner, message] : messages) {
    Send(context, owner, std::move(message));
  }
}

void HandOverRunsOf(Context& context,
                    const std::string& id,
                    const OwnedWorker& worker) {
  const std::string owner = ChooseMember(context.state, id, worker.info.domain);
  if (owner == context.self() || !KnowsHandovers(owner) ||
      context.state.stop.released || !worker.claimed) {
    return;
  }
  HandedWorker handed = WorkerToHandOver(context, id, worker);
  if (!handed.runs.empty()) {
    Send(context, owner, RunsHandedOver{.workers = {std::move(handed)}});
  }
}

void OnRunsHandedOver(Context& context, const RunsHandedOver& handed) {
  auto& received = context.state.handed_runs;
  std::erase_if(received, [&](const auto& it) {
    return HasPassed(context.now, it.second.received_at, kHandoverKeptFor);
  });
  for (const HandedWorker& it : handed.workers) {
    received[it.worker] = {.runs = it.runs, .received_at = context.now};
    const auto owned = context.state.owned.find(it.worker);
    if (owned == context.state.owned.end()) {
      continue;
    }
    for (auto& [task, run] : owned->second.runs) {
      if (run.found && run.lasted_before == Duration(0)) {
        run.lasted_before = LastedBefore(context, it.worker, task, run.run) -
                            (context.now - run.since);
        run.lasted_before = std::max(run.lasted_before, Duration(0));
      }
    }
  }
}

Duration LastedBefore(const Context& context,
                      const std::string& worker,
                      const std::string& task,
                      std::uint64_t run) {
  const auto received = context.state.handed_runs.find(worker);
  if (received == context.state.handed_runs.end()) {
    return Duration(0);
  }
  const std::vector<HandedRun>& runs = received->second.runs;
  const auto it =
      std::find_if(runs.begin(), runs.end(), [&](const HandedRun& handed) {
        return handed.task == task && handed.run == run;
      });
  return it == runs.end()
             ? Duration(0)
             : it->lasted + (context.now - received->second.received_at);
}

}  // namespace burdockrock::engine
