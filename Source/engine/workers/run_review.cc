#include "engine/workers/run_review.h"

#include <map>
#include <set>
#include <string>
#include <utility>

#include "engine/jobs/job_table.h"
#include "engine/members/membership.h"
#include "engine/records/catalog.h"
#include "engine/workers/run_ends.h"
#include "engine/workers/worker_runs.h"

namespace burdockrock::engine {

namespace {

// Between two checks of all runs. Short compared to the time within which the
// runs of a cancelled job must have ended.
constexpr Duration kCheckInterval = milliseconds(250);
// A job's owner queries each run every kRunQueryDelay, and a slow one is a
// second late.
constexpr Duration kUnqueriedTime = kRunQueryDelay + milliseconds(1000);
// Between two reads of the same job's record.
constexpr Duration kReadInterval = milliseconds(1000);

struct RunCheck {
  std::set<std::string> ended{};                // jobs
  std::set<std::string> unverified{};           // jobs
  std::map<std::string, RunReports> reports{};  // by the jobs' owners
};

void CheckRun(Context& context,
              const std::string& id,
              const std::string& task,
              const LocalRun& run,
              RunCheck& check) {
  const auto name = ParseTaskName(task);
  if (!name || run.phase == RunPhase::kStopping) {
    return;
  }
  const KnownJob& known = context.state.known[name->job];
  const Job* own = FindJob(context.state, name->job);
  const bool ended = own != nullptr ? IsFinal(own->stored_state) : known.ended;
  if (ended) {
    check.ended.insert(name->job);
    return;
  }
  const std::string owner = OwnerOfJob(context.state, name->job);
  const bool unqueried =
      HasPassed(context.now, run.last_queried, kUnqueriedTime);
  if ((!owner.empty() && !unqueried) ||
      !HasPassed(context.now, known.last_checked, kReadInterval)) {
    return;
  }
  check.unverified.insert(name->job);
  if (!owner.empty()) {
    const bool runs = run.phase == RunPhase::kRunning;
    check.reports[owner].runs.push_back(
        {.task = task,
         .run = run.run,
         .worker = id,
         .state = runs ? RunState::kRunning : RunState::kPending,
         .checkpoint = run.checkpoint});
  }
}

}  // namespace

void CheckRuns(Context& context) {
  if (!HasPassed(context.now, context.state.runs_checked_at, kCheckInterval)) {
    return;
  }
  context.state.runs_checked_at = context.now;
  RunCheck check;
  for (const auto& [id, worker] : context.state.owned) {
    if (!worker.claimed) {
      continue;
    }
    for (const auto& [task, run] : worker.runs) {
      CheckRun(context, id, task, run, check);
    }
  }
  for (const std::string& it : check.ended) {
    StopRunsOfJob(context, it);
  }
  for (const std::string& it : check.unverified) {
    context.state.known[it].last_checked = context.now;
    if (FindJob(context.state, it) == nullptr) {
      RequestRecord(context, it);
    }
  }
  for (auto& [owner, reports] : check.reports) {
    Send(context, owner, std::move(reports));
  }
}

}  // namespace burdockrock::engine
