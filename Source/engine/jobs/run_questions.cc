#include "engine/jobs/run_questions.h"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

#include "engine/members/membership.h"
#include "engine/records/catalog.h"
#include "engine/workers/run_ends.h"
#include "engine/workers/worker_list.h"
#include "engine/workers/worker_owner.h"

namespace burdockrock::engine {

namespace {

// Between two reads of one job's record because of questions about it: the
// store is asked once for each two of them.
constexpr Duration kReviewAgain = milliseconds(1000);

// A later offer of the run, should it have been overtaken, is refused.
void SayAbsent(Context& context, const std::string& to, const RunQuery& query) {
  if (const auto name = ParseTaskName(query.task)) {
    std::uint64_t& refused =
        context.state.known[name->job].refused_runs[query.task];
    refused = std::max(refused, query.run);
  }
  Send(context, to,
       RunReports{.runs = {{.task = query.task,
                            .run = query.run,
                            .worker = query.worker,
                            .state = RunState::kAbsent}}});
}

// A former owner of the job that does not know yet that it is one must not hear
// that a run is not here: the present owner has stored its end, and the former
// one would start the task again on a worker that it still holds.
bool HasOtherOwner(const State& state,
                   const std::string& asker,
                   const std::string& task) {
  const auto name = ParseTaskName(task);
  const auto known = name ? state.known.find(name->job) : state.known.end();
  return known != state.known.end() && !known->second.owner.empty() &&
         known->second.owner != asker;
}

// The asker may be the present owner, whose first question and offer were both
// lost. Answering none of its further ones would leave the task offered for
// ever. The record names the job's owner, and the question comes again.
void ReviewOwner(Context& context, const std::string& task) {
  const auto name = ParseTaskName(task);
  if (!name) {
    return;
  }
  KnownJob& known = context.state.known[name->job];
  if (HasPassed(context.now, known.last_checked, kReviewAgain)) {
    known.last_checked = context.now;
    WantRecord(context, name->job);
  }
}

// What runs at a worker that can't be reached, its owner knows: it accepts
// nothing from others with a lower fence. Another owner with a higher one would
// have registered before `asked` and be known by now, as all changes of the
// members up to then are. So no adopted job has to wait for the worker's lease.
bool IsKnownThoughSilent(const Context& context,
                         const OwnedWorker& worker,
                         Time asked) {
  const Watch& members =
      context.state.watches[static_cast<std::size_t>(WatchedList::kMembers)];
  return IsUnresponsive(worker) && !worker.unverified &&
         members.known_to >= asked && IsSurelyRegistered(context) &&
         ChooseMember(context.state, worker.info.id, worker.info.domain) ==
             context.self();
}

}  // namespace

void ReportRun(Context& context, const std::string& to, const RunQuery& query) {
  if (HasOtherOwner(context.state, to, query.task)) {
    ReviewOwner(context, query.task);
    return;
  }
  OwnedWorker* worker = FindClaimed(context.state, query.worker);
  if (worker == nullptr) {
    if (context.state.gone.contains(query.worker)) {
      SayAbsent(context, to, query);
    }
    return;
  }
  const auto it = worker->runs.find(query.task);
  if (it != worker->runs.end() && it->second.run == query.run) {
    it->second.owner = to;
    it->second.last_queried = context.now;
    const bool runs = it->second.phase == RunPhase::kRunning;
    return Send(context, to,
                RunReports{.runs = {{.task = query.task,
                                     .run = query.run,
                                     .worker = query.worker,
                                     .state = runs ? RunState::kRunning
                                                   : RunState::kPending,
                                     .checkpoint = it->second.checkpoint}}});
  }
  if (RepeatEndReports(*worker, query.task)) {
    return;  // the end itself says more
  }
  worker->ownership_check_due = true;
  worker->pending_run_queries.push_back({.from = to,
                                         .task = query.task,
                                         .run = query.run,
                                         .received_at = context.now});
}

void AnswerQuestions(Context& context,
                     const std::string& id,
                     OwnedWorker& worker) {
  std::vector<PendingRunQuery> open;
  for (const PendingRunQuery& it :
       std::exchange(worker.pending_run_queries, {})) {
    if (it.received_at > worker.owned_as_of) {
      open.push_back(it);
      continue;
    }
    const auto run = worker.runs.find(it.task);
    const bool here = run != worker.runs.end() && run->second.run == it.run;
    if (!here && !RepeatEndReports(worker, it.task)) {
      SayAbsent(context, it.from,
                {.task = it.task, .run = it.run, .worker = id});
    }
  }
  worker.ownership_check_due = worker.ownership_check_due || !open.empty();
  worker.pending_run_queries = std::move(open);
}

void OnRunQueries(Context& context,
                  const std::string& from,
                  const RunQueries& queries) {
  OnWorkersRemembered(context, queries.remembered);
  for (const RunQuery& it : queries.runs) {
    ReportRun(context, from, it);
  }
}

void OnAdoptQuery(Context& context,
                  const std::string& from,
                  const AdoptQuery& query) {
  OnWorkersRemembered(context, query.remembered);
  AdoptReport report;
  std::set<std::string> jobs;
  Time asked{0};
  for (const JobGeneration& it : query.jobs) {
    KnownJob& known = context.state.known[it.job];
    if (it.generation < known.generation) {
      continue;
    }
    NoteOwner(known, from, it.generation);
    if (known.adopted == Time(0)) {
      known.adopted = context.now;
    }
    known.last_update = context.now;
    asked = std::max(asked, known.adopted);
    jobs.insert(it.job);
    report.jobs.push_back(it.job);
  }
  for (auto& [id, worker] : context.state.owned) {
    if (!worker.claimed) {
      continue;
    }
    // Only a worker that is surely owned since the question first came.
    if (worker.owned_as_of >= asked ||
        IsKnownThoughSilent(context, worker, asked)) {
      report.covered.push_back({.worker = id, .fence = worker.fence});
    } else {
      worker.ownership_check_due = true;
    }
    for (auto& [task, run] : worker.runs) {
      const auto name = ParseTaskName(task);
      if (!name || !jobs.contains(name->job)) {
        continue;
      }
      run.owner = from;
      run.last_queried = context.now;
      report.runs.push_back({.task = task,
                             .run = run.run,
                             .worker = id,
                             .state = run.phase == RunPhase::kRunning
                                          ? RunState::kRunning
                                          : RunState::kPending,
                             .checkpoint = run.checkpoint});
    }
    AddEndsOfJobs(id, worker, jobs, report.ends);
  }
  for (const auto& [id, it] : context.state.gone) {
    report.covered.push_back({.worker = id, .fence = it.fence, .gone = true});
  }
  if (query.wants_workers) {
    report.remembered = AllRemembered(context.state);
    report.all_remembered = RemembersAll(context);
  }
  Send(context, from, std::move(report));
}

}  // namespace burdockrock::engine
