#include "engine/jobs/run_queries.h"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

#include "engine/jobs/unseen_workers.h"
#include "engine/members/member_features.h"
#include "engine/members/membership.h"
#include "engine/records/catalog.h"
#include "engine/workers/run_ends.h"
#include "engine/workers/stray_calls.h"
#include "engine/workers/worker_crashes.h"
#include "engine/workers/worker_list.h"
#include "engine/workers/worker_owner.h"

namespace burdockrock::engine {

namespace {

// Minimum time between two reads of a job's record that are caused by queries
// about its runs: one read for every two queries.
constexpr Duration kOwnerCheckInterval = milliseconds(1000);

// The run, also when it has ended and its end was not read. To the job's owner
// such a run goes on until the end is reported.
LocalRun* FindLocalRun(OwnedWorker& worker,
                       const std::string& task,
                       std::uint64_t run) {
  const auto it = worker.runs.find(task);
  if (it != worker.runs.end() && it->second.run == run) {
    return &it->second;
  }
  const auto unread = worker.unread.find(task);
  const bool found =
      unread != worker.unread.end() && unread->second.run.run == run;
  return found ? &unread->second.run : nullptr;
}

RunReport MakeRunReport(const std::string& worker,
                        const std::string& task,
                        const LocalRun& run) {
  return {.task = task,
          .run = run.run,
          .worker = worker,
          .state = run.phase == RunPhase::kRunning ? RunState::kRunning
                                                   : RunState::kPending,
          .checkpoint = run.checkpoint};
}

// Whether the worker was declared lost, by this or another member, and has not
// come back since: a loss removes it from the list, and its return may be known
// before a new claim is. An own loss is announced for a limited time only.
bool IsLost(const State& state, const std::string& worker) {
  if (state.lost_workers.contains(worker)) {
    return true;
  }
  const auto view = state.view.find(worker);
  return view != state.view.end() && view->second.lost &&
         !state.owned.contains(worker) && !state.workers.contains(worker);
}

// A query that is repeated keeps the time of the first one.
void AddPendingQuery(OwnedWorker& worker, PendingRunQuery query) {
  auto& pending = worker.pending_run_queries;
  const bool known =
      std::any_of(pending.begin(), pending.end(), [&](const auto& it) {
        return it.from == query.from && it.task == query.task &&
               it.run == query.run;
      });
  if (!known) {
    pending.push_back(std::move(query));
  }
}

// Reports that the run is not here, and refuses an offer of it that the query
// may have overtaken.
void ReportAbsent(Context& context,
                  const std::string& to,
                  const RunQuery& query) {
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

// Whether the job is known to belong to another member. A former owner that
// doesn't know yet that it has lost the job must not get the reply that a run
// is not here: the present owner has stored the run's end, and the former one
// would start the task again on a worker that it still owns.
bool HasOtherOwner(const State& state,
                   const std::string& sender,
                   const std::string& task) {
  const auto name = ParseTaskName(task);
  const auto known = name ? state.known.find(name->job) : state.known.end();
  return known != state.known.end() && !known->second.owner.empty() &&
         known->second.owner != sender;
}

// Reads the job's record. The sender may be the present owner whose first query
// and offer were both lost; if its later queries went unanswered, the task
// would stay offered forever. The record names the job's owner, and the query
// is repeated.
void CheckOwner(Context& context, const std::string& task) {
  const auto name = ParseTaskName(task);
  if (!name) {
    return;
  }
  KnownJob& known = context.state.known[name->job];
  if (HasPassed(context.now, known.last_checked, kOwnerCheckInterval)) {
    known.last_checked = context.now;
    RequestRecord(context, name->job);
  }
}

// The owner of an unresponsive worker knows what runs there, as the worker
// accepts nothing with a lower fence. Another owner with a higher fence would
// have registered before `queried_at` and be known by now, as all changes to
// the list of members up to then are. So adopted jobs don't wait for the end of
// the worker's lease.
bool IsOwnedThoughUnresponsive(const Context& context,
                               const OwnedWorker& worker,
                               Time queried_at) {
  const Watch& members =
      context.state.watches[static_cast<std::size_t>(WatchedList::kMembers)];
  return IsUnresponsive(worker) && !worker.unverified &&
         members.known_to >= queried_at && IsRegistrationCurrent(context) &&
         ChooseMember(context.state, worker.info.id, worker.info.domain) ==
             context.self();
}

// Adds the workers of which the sender waits to hear and that are known to be
// lost. Members that remember such a worker, as one that was down when the loss
// was announced, would wait for an owner that does not claim it any more.
void AddKnownLosses(const Context& context,
                    const std::vector<RememberedWorker>& remembered,
                    std::vector<CoveredWorker>& covered) {
  if (!FollowsWorkerList(context)) {
    return;
  }
  const State& state = context.state;
  for (const RememberedWorker& it : remembered) {
    const auto view = state.view.find(it.worker);
    // One that has come back since may run tasks, also before the claim of its
    // present owner is known here.
    const bool back =
        state.owned.contains(it.worker) || state.workers.contains(it.worker);
    if (view != state.view.end() && view->second.lost && !back) {
      covered.push_back(
          {.worker = it.worker, .fence = view->second.fence, .lost = true});
    }
  }
}

// Gives up room that a former owner of these jobs has reserved: nothing runs
// for it, and the new owner would wait until it expires. A gang's bookings are
// found, as some of its members may have started.
void DropReservations(Context& context,
                      const std::string& from,
                      const std::set<std::string>& jobs,
                      const std::string& id,
                      OwnedWorker& worker) {
  const auto n = std::erase_if(worker.runs, [&](const auto& it) {
    const LocalRun& run = it.second;
    const auto name = ParseTaskName(it.first);
    return run.phase == RunPhase::kBooked && !run.spec.gang &&
           run.owner != from && name && jobs.contains(name->job);
  });
  if (n > 0) {
    RoomChanged(context, id);
  }
}

// Adds what is complete and what runs at the own workers of the queried jobs.
void AddOwnWorkers(Context& context,
                   const std::string& from,
                   const std::set<std::string>& jobs,
                   Time queried_at,
                   AdoptReport& report) {
  for (auto& [id, worker] : context.state.owned) {
    if (!worker.claimed) {
      continue;
    }
    DropReservations(context, from, jobs, id, worker);
    // Only workers whose ownership was proven after the query first arrived,
    // and not those with ends of runs that are not known here.
    const bool owned = worker.owned_as_of >= queried_at ||
                       IsOwnedThoughUnresponsive(context, worker, queried_at);
    if (owned && worker.ends_known) {
      report.covered.push_back({.worker = id, .fence = worker.fence});
    } else {
      worker.ownership_check_due = worker.ownership_check_due || !owned;
    }
    const auto add = [&, &worker_name = id](const std::string& task,
                                            LocalRun& run) {
      const auto name = ParseTaskName(task);
      if (name && jobs.contains(name->job)) {
        run.owner = from;
        run.last_queried = context.now;
        report.runs.push_back(MakeRunReport(worker_name, task, run));
      }
    };
    for (auto& [task, run] : worker.runs) {
      add(task, run);
    }
    for (auto& [task, it] : worker.unread) {
      add(task, it.run);
    }
    AddEndsOfJobs(id, worker, jobs, report.ends);
  }
}

}  // namespace

void ReportRun(Context& context, const std::string& to, const RunQuery& query) {
  if (HasOtherOwner(context.state, to, query.task)) {
    CheckOwner(context, query.task);
    return;
  }
  OwnedWorker* worker = FindClaimed(context.state, query.worker);
  if (worker == nullptr) {
    if (IsLost(context.state, query.worker)) {
      ReportAbsent(context, to, query);
    }
    return;
  }
  if (LocalRun* run = FindLocalRun(*worker, query.task, query.run)) {
    run->owner = to;
    run->last_queried = context.now;
    return Send(
        context, to,
        RunReports{.runs = {MakeRunReport(query.worker, query.task, *run)}});
  }
  if (RepeatEndReports(*worker, query.task)) {
    return;  // the run's end serves as the reply
  }
  if (IsReportedLost(*worker, query.task, query.run)) {
    return ReportAbsent(context, to, query);
  }
  worker->ownership_check_due = true;
  AddPendingQuery(*worker, {.from = to,
                            .task = query.task,
                            .run = query.run,
                            .received_at = context.now});
}

void AnswerRunQueries(Context& context,
                      const std::string& id,
                      OwnedWorker& worker) {
  std::vector<PendingRunQuery> open;
  for (const PendingRunQuery& it :
       std::exchange(worker.pending_run_queries, {})) {
    if (it.received_at > worker.owned_as_of) {
      worker.ownership_check_due = true;
      open.push_back(it);
      continue;
    }
    if (FindLocalRun(worker, it.task, it.run) != nullptr ||
        RepeatEndReports(worker, it.task)) {
      continue;
    }
    // The run's end may come after those that the worker lists.
    if (it.received_at > worker.ends_complete_as_of) {
      open.push_back(it);
      continue;
    }
    ReportAbsent(context, it.from,
                 {.task = it.task, .run = it.run, .worker = id});
  }
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
  Time queried_at{0};
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
    queried_at = std::max(queried_at, known.adopted);
    jobs.insert(it.job);
    report.jobs.push_back(it.job);
  }
  if (!jobs.empty()) {
    AddOwnWorkers(context, from, jobs, queried_at, report);
  }
  for (const auto& [id, it] : context.state.lost_workers) {
    report.covered.push_back({.worker = id, .fence = it.fence, .lost = true});
  }
  AddKnownLosses(context, query.remembered, report.covered);
  AddCrashedRuns(context.state, jobs, report.ends);
  SendCrashedWorkers(context, from);
  if (query.wants_workers) {
    AddRememberedWorkers(context, from, query.known_workers, report);
  }
  Send(context, from, std::move(report));
}

}  // namespace burdockrock::engine
