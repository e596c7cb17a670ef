#include "engine/jobs/recovery.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "engine/condition_log.h"
#include "engine/jobs/gang_bookings.h"
#include "engine/jobs/job_ends.h"
#include "engine/jobs/job_runs.h"
#include "engine/jobs/job_table.h"
#include "engine/jobs/task_crashes.h"
#include "engine/jobs/task_handover.h"
#include "engine/jobs/unseen_workers.h"
#include "engine/members/membership.h"
#include "engine/members/query_pacing.h"
#include "engine/records/record_writer.h"
#include "engine/records/watches.h"
#include "engine/workers/worker_list.h"

namespace burdockrock::engine {

namespace {

// Interval between queries to all members, in case the known owner of a worker
// is a former one.
constexpr Duration kQueryAllInterval = milliseconds(1000);

// A job whose recovery takes longer waits for a fault to end. It is queried
// less often in a large fleet: the queries of all members and their replies
// would use up the members' processor time and links.
constexpr Duration kFrequentQueriesFor = milliseconds(500);
constexpr Duration kQueryIntervalPerMember = milliseconds(20);

// Interval at which a member is sent all unlisted workers that recovery waits
// for, as a message may get lost. Those that the member is to claim go with
// each query to all members.
constexpr Duration kUnlistedRepeatInterval = milliseconds(5000);

// Stops what is left of a gang of which members are missing: they would wait
// for those in vain, and it starts again only as a whole.
void StopIncompleteGangs(Context& context, Job& job) {
  ForEachTask(job, [&](const TaskName& name, Task& task) {
    const StepRun& step = StepAt(job, name.occurrence, name.step);
    if (job.spec.steps[name.step].gang && !IsBeingBooked(job, step) &&
        std::any_of(step.tasks.begin(), step.tasks.end(), [](const Task& it) {
          return it.phase == TaskPhase::kWaiting;
        })) {
      StopTask(context, job, name, task);
    }
  });
}

// A run that was found shows that its step is allowed at its worker.
void NoteAllowedWorkers(Job& job) {
  ForEachTask(job, [&](const TaskName& name, const Task& task) {
    if (task.phase == TaskPhase::kRunning) {
      StepAt(job, name.occurrence, name.step).tickets.try_emplace(task.worker);
    }
  });
}

// Ends the recovery, as all members and workers that may run the job's tasks
// are accounted for. Tasks without a reported run wait to be placed.
void FinishRecovery(Context& context, Job& job) {
  job.recovering = false;
  LogRecovered(context, job);
  ForEachTask(job, [&](const TaskName& name, Task& task) {
    if (task.phase == TaskPhase::kUnknown) {
      BeginWait(context, job, name, task);
      CountLostStart(context, job, name, task);
      NoteUntoldCrashes(task);
    }
  });
  NoteAllowedWorkers(job);
  StopIncompleteGangs(context, job);
  context.state.placement_due = true;
  CompleteIfDone(context, job);
}

// The interval at which long recoveries are queried.
Duration LongQueryInterval(const Context& context) {
  const auto members =
      static_cast<std::int64_t>(context.state.members.present.size());
  return std::clamp<Duration>(kQueryIntervalPerMember * (members - kFewMembers),
                              kAdoptQueryInterval, kQueryAllInterval);
}

// Whether all long recoveries are due in the round that follows that of
// `queried_at`. They share their rounds, so that a member gets one query.
bool LongQueriesAreDue(const Context& context, Time queried_at) {
  const Duration interval = LongQueryInterval(context);
  return interval == kAdoptQueryInterval ||
         context.now / interval != queried_at / interval;
}

// Whether a report of a member, or one that covers a worker, is missing.
bool AwaitsReports(const Job& job) {
  return !job.unreported_workers.empty() || !job.awaited_members.empty();
}

// One round of queries for all recovering jobs.
struct QueryRound {
  bool all = false;       // queries every member
  bool unseen = false;    // requests workers that were never seen
  WorkerSet uncovered{};  // of any job in the round
  std::map<std::string, AdoptQuery> queries{};
  // Results of ClaimedOwner, by worker number.
  std::map<std::uint32_t, std::string> claimed_owners{};
};

// The owner that has claimed the worker; empty if none has yet. A member that
// has not claimed it is not queried: it knows nothing of the worker's runs, and
// announces its claim.
const std::string& ClaimedOwner(const Context& context,
                                std::uint32_t worker,
                                QueryRound& round) {
  const auto [it, is_new] = round.claimed_owners.try_emplace(worker);
  if (is_new) {
    const std::string& id = context.state.recovery.numbers.NameOf(worker);
    const auto view = context.state.view.find(id);
    const ListedWorker* listed = FindWorker(context.state, id);
    if (view != context.state.view.end() && listed != nullptr &&
        view->second.owner ==
            ChooseMember(context.state, id, listed->info.domain)) {
      it->second = view->second.owner;
    }
  }
  return it->second;
}

std::set<std::string> MembersToQuery(const Context& context,
                                     const Job& job,
                                     QueryRound& round) {
  std::set<std::string> members = job.awaited_members;
  if (round.unseen) {
    for (const std::string& it : OtherMembers(context)) {
      if (AwaitsReportOfUnseen(context, it)) {
        members.insert(it);
      }
    }
  }
  if (round.all) {
    members.insert(context.self());
    for (const std::string& it : OtherMembers(context)) {
      members.insert(it);
    }
    return members;
  }
  for (const std::uint32_t it : job.unreported_workers.Numbers()) {
    const std::string& owner = ClaimedOwner(context, it, round);
    if (!owner.empty()) {
      members.insert(owner);
    }
  }
  return members;
}

void AddToRound(Context& context, Job& job, QueryRound& round) {
  if (job.version == job.stored_version &&
      HasPassed(context.now, job.confirmed_at, kOwnershipVerifyDelay)) {
    // Queries of a former owner stay unanswered: the write of the record shows
    // whether the job has another owner by now.
    job.confirmed_at = context.now;
    MarkChanged(context, job, true);
  }
  const bool is_first = !std::exchange(job.members_queried, true);
  job.unreported_workers.EraseIf([&](std::uint32_t it) {
    return !MayRunTasks(context.state,
                        context.state.recovery.numbers.NameOf(it));
  });
  if (!AwaitsReports(job) && !round.unseen) {
    return;
  }
  round.uncovered.InsertAll(job.unreported_workers);
  for (const std::string& it : MembersToQuery(context, job, round)) {
    const bool may_query =
        is_first ? MayQuery(context, it, RepeatedQuery::kAdoption)
                 : MayRepeat(context, it, RepeatedQuery::kAdoption);
    if (!may_query) {
      continue;
    }
    round.queries[it].jobs.push_back(
        {.job = job.id, .generation = job.generation});
  }
}

// A worker that left the store's list and that its present owner may never have
// seen there. Unless it is sent to that owner, the owner does not claim it and
// recovery waits for it.
struct UnlistedWorker {
  RememberedWorker worker{};
  std::string owner{};  // the member that is to claim it
};

std::vector<UnlistedWorker> FindUnlisted(const Context& context,
                                         const WorkerSet& uncovered) {
  std::vector<UnlistedWorker> unlisted;
  for (const std::uint32_t it : uncovered.Numbers()) {
    const std::string& id = context.state.recovery.numbers.NameOf(it);
    if (auto worker = RememberedFor(context.state, id)) {
      std::string owner = ChooseMember(context.state, id, worker->domain);
      unlisted.push_back(
          {.worker = std::move(*worker), .owner = std::move(owner)});
    }
  }
  return unlisted;
}

void SendRound(Context& context, QueryRound& round) {
  RecoveryState& recovery = context.state.recovery;
  const std::vector<UnlistedWorker> unlisted =
      FindUnlisted(context, round.uncovered);
  for (auto& [member, query] : round.queries) {
    Time& sent_at =
        recovery.announced_at.try_emplace(member, Time::min()).first->second;
    const bool send_all =
        HasPassed(context.now, sent_at, kUnlistedRepeatInterval);
    for (const UnlistedWorker& it : unlisted) {
      if (send_all || (round.all && it.owner == member)) {
        query.remembered.push_back(it.worker);
      }
    }
    sent_at = send_all ? context.now : sent_at;
    // Reports of all members are awaited for each adopted job, and each of them
    // may remember a worker. One that did not know all may do so by now.
    query.wants_workers =
        !round.unseen || round.all || AwaitsReportOfUnseen(context, member);
    if (query.wants_workers) {
      query.known_workers = KnownWorkersOf(context, member);
    }
    NoteQueried(context, member, RepeatedQuery::kAdoption);
    Send(context, member, std::move(query));
  }
}

// Whether the sender's claim on the worker is the newest known, and the sender
// is the worker's owner or has declared it lost.
bool CountsAsCovered(const Context& context,
                     const std::string& from,
                     const CoveredWorker& covered) {
  const auto view = context.state.view.find(covered.worker);
  const bool newest =
      view == context.state.view.end() || covered.fence >= view->second.fence;
  const ListedWorker* worker = FindWorker(context.state, covered.worker);
  const bool expected =
      worker == nullptr ||
      ChooseMember(context.state, covered.worker, worker->info.domain) == from;
  return newest && (covered.lost || expected);
}

}  // namespace

void BeginRecovery(Context& context, Job& job) {
  job.recovering = true;
  for (const auto& [worker, it] : context.state.workers) {
    if (MayRunTasks(context.state, worker)) {
      job.unreported_workers.Insert(
          context.state.recovery.numbers.NumberOf(worker));
    }
  }
  // Each member may own workers that this instance has never seen in the list.
  for (const std::string& it : OtherMembers(context)) {
    job.awaited_members.insert(it);
  }
  job.awaited_members.insert(context.self());
}

void DriveRecovery(Context& context) {
  AnswerOpenQueries(context);
  RecoveryState& recovery = context.state.recovery;
  std::optional<bool> knows_all;  // computed once, if a job needs it
  const Duration late = DelayWhenLate(context.state);
  const bool query_due =
      HasPassed(context.now, recovery.queried_at, kAdoptQueryInterval + late);
  QueryRound round{.all = HasPassed(context.now, recovery.queried_all_at,
                                    kQueryAllInterval + late),
                   .unseen = MayMissWorkers(context)};
  const bool long_query_due =
      query_due &&
      (round.all || LongQueriesAreDue(context, recovery.queried_at));
  bool recovering = false;
  for (const std::string& id : context.state.active) {
    Job& job = context.state.jobs.at(id);
    if (!job.recovering) {
      continue;
    }
    TakeHandover(context, job);
    std::erase_if(job.awaited_members, [&](const std::string& member) {
      return FindMember(context.state, member) == nullptr;
    });
    if (!AwaitsReports(job)) {
      if (!knows_all) {
        knows_all = KnowsAllWorkers(context);
      }
      if (*knows_all) {
        FinishRecovery(context, job);
        continue;
      }
    }
    recovering = true;
    const bool is_long =
        HasPassed(context.now, job.created, kFrequentQueriesFor);
    if ((is_long ? long_query_due : query_due) || !job.members_queried) {
      AddToRound(context, job, round);
    }
  }
  if (!recovering) {
    recovery = RecoveryState();
    AskForUnseen(context);
    return;
  }
  if (query_due) {
    recovery.queried_at = context.now;
    recovery.queried_all_at = round.all ? context.now : recovery.queried_all_at;
  }
  SendRound(context, round);
}

void OnAdoptReport(Context& context,
                   const std::string& from,
                   const AdoptReport& report) {
  NoteAnswered(context, from, RepeatedQuery::kAdoption);
  // Processed before the covered workers: reporting a worker doesn't cover it.
  OnWorkersRemembered(context, report.remembered);
  // Each query since the registration has requested them, if needed.
  NoteReportOfUnseen(context, from, report);
  for (const RunReport& it : report.runs) {
    OnRunReport(context, it);
  }
  for (const EndReport& it : report.ends) {
    OnEndReport(context, from, it);
  }
  std::vector<std::uint32_t> covered;
  for (const CoveredWorker& it : report.covered) {
    const auto number = context.state.recovery.numbers.Find(it.worker);
    if (number && CountsAsCovered(context, from, it)) {
      covered.push_back(*number);
    }
  }
  for (const std::string& id : report.jobs) {
    Job* job = FindJob(context.state, id);
    if (job == nullptr || !job->recovering) {
      continue;
    }
    job->awaited_members.erase(from);
    for (const std::uint32_t it : covered) {
      job->unreported_workers.Erase(it);
    }
  }
}

void OnWorkerListed(Context& context, const std::string& worker) {
  if (!MayRunTasks(context.state, worker)) {
    return;
  }
  for (const std::string& id : context.state.active) {
    Job& job = context.state.jobs.at(id);
    if (job.recovering) {
      job.unreported_workers.Insert(
          context.state.recovery.numbers.NumberOf(worker));
    }
  }
}

void OnWorkerCleared(Context& context, const std::string& worker) {
  const auto number = context.state.recovery.numbers.Find(worker);
  if (!number) {
    return;
  }
  for (const std::string& id : context.state.active) {
    context.state.jobs.at(id).unreported_workers.Erase(*number);
  }
}

}  // namespace burdockrock::engine
