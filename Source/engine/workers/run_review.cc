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
constexpr Duration kReviewInterval = milliseconds(250);
// A job's owner queries each run every kRunCheck; a slow one is a second late.
constexpr Duration kUnaskedFor = kRunCheck + milliseconds(1000);
// Between two reads of the same job's record.
constexpr Duration kAskAgain = milliseconds(1000);

struct Review {
  std::set<std::string> ended{};                // jobs
  std::set<std::string> unsure{};               // jobs
  std::map<std::string, RunReports> reports{};  // by the jobs' owners
};

void ReviewRun(Context& context,
               const std::string& id,
               const std::string& task,
               const LocalRun& run,
               Review& review) {
  const auto name = ParseTaskName(task);
  if (!name || run.phase == RunPhase::kStopping) {
    return;
  }
  const KnownJob& known = context.state.known[name->job];
  const Job* own = FindJob(context.state, name->job);
  const bool ended = own != nullptr ? IsFinal(own->stored_state) : known.ended;
  if (ended) {
    review.ended.insert(name->job);
    return;
  }
  const std::string owner = OwnerOfJob(context.state, name->job);
  const bool unasked = HasPassed(context.now, run.asked_for, kUnaskedFor);
  if ((!owner.empty() && !unasked) ||
      !HasPassed(context.now, known.reviewed, kAskAgain)) {
    return;
  }
  review.unsure.insert(name->job);
  if (!owner.empty()) {
    const bool runs = run.phase == RunPhase::kRunning;
    review.reports[owner].runs.push_back(
        {.task = task,
         .run = run.run,
         .worker = id,
         .state = runs ? RunState::kRunning : RunState::kPending,
         .checkpoint = run.checkpoint});
  }
}

}  // namespace

void ReviewRuns(Context& context) {
  if (!HasPassed(context.now, context.state.runs_reviewed, kReviewInterval)) {
    return;
  }
  context.state.runs_reviewed = context.now;
  Review review;
  for (const auto& [id, worker] : context.state.owned) {
    if (!worker.claimed) {
      continue;
    }
    for (const auto& [task, run] : worker.runs) {
      ReviewRun(context, id, task, run, review);
    }
  }
  for (const std::string& it : review.ended) {
    StopRunsOf(context, it);
  }
  for (const std::string& it : review.unsure) {
    context.state.known[it].reviewed = context.now;
    if (FindJob(context.state, it) == nullptr) {
      WantRecord(context, it);
    }
  }
  for (auto& [owner, reports] : review.reports) {
    Send(context, owner, std::move(reports));
  }
}

}  // namespace burdockrock::engine
