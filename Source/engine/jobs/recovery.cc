#include "engine/jobs/recovery.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "engine/condition_log.h"
#include "engine/jobs/job_runs.h"
#include "engine/jobs/job_table.h"
#include "engine/members/membership.h"
#include "engine/records/record_writer.h"
#include "engine/records/watches.h"
#include "engine/workers/worker_list.h"

namespace burdockrock::engine {

namespace {

// A worker whose entry lapsed in an outage of the store is listed again within
// about two seconds. Until then a process that has just started can't know of
// it, nor of what runs there.
constexpr Duration kListSettled = milliseconds(2300);

// All members are asked this often, should the owner that is known of a worker
// be a former one.
constexpr Duration kAskAll = milliseconds(1000);

// Repeats the list of unlisted workers that recovery waits for, as a message
// may get lost. Those that a member is to claim go with each question to all.
constexpr Duration kTellAgain = milliseconds(5000);

// Everything that can run the job was heard of.
void FinishRecovery(Context& context, Job& job) {
  job.recovering = false;
  LogRecovered(context, job);
  ForEachTask(job, [&](const TaskName&, Task& task) {
    if (task.phase == TaskPhase::kUnknown) {
      task.phase = TaskPhase::kWaiting;
      task.since = context.now;
    }
  });
  context.state.placement_due = true;
  CompleteIfDone(context, job);
}

// Reports count from the last registration on: before it this instance may have
// missed workers that came and left.
UnseenWorkers& UnseenNow(Context& context) {
  UnseenWorkers& unseen = context.state.unseen_workers;
  const Time registered_at = context.state.members.registered_at;
  if (unseen.registered_at != registered_at) {
    unseen = UnseenWorkers{.registered_at = registered_at};
  }
  return unseen;
}

// Workers that this instance never saw may run tasks.
bool MayMissWorkers(Context& context) {
  return !UnseenNow(context).all_reported &&
         !HasPassed(context.now, context.state.members.registered_at,
                    kUnlistedWorkerKeptFor);
}

// No worker is missed that may run an adopted job's tasks. The list alone is
// not enough: workers of a domain that is cut off lapse from it and run on, so
// that members that have followed the list are asked.
bool KnowsWorkers(Context& context) {
  if (!ListsAreRead(context.state)) {
    return false;
  }
  if (!MayMissWorkers(context)) {
    return true;
  }
  const auto others = OtherMembers(context);
  return HasPassed(context.now, context.state.members.registered_at,
                   kListSettled) &&
         std::all_of(others.begin(), others.end(), [&](const std::string& it) {
           return UnseenNow(context).reported_by.contains(it);
         });
}

bool HasToAsk(const Job& job) {
  return !job.uncovered.empty() || !job.unheard.empty();
}

// One round of questions for all jobs that are recovering.
struct Round {
  bool all = false;       // every member is asked
  bool unseen = false;    // workers are asked for that were never seen
  WorkerSet uncovered{};  // by any of the jobs asked about
  std::map<std::string, AdoptQuery> queries{};
  // Who can speak for a worker, as far as it was looked up.
  std::map<std::uint32_t, std::string> speakers{};
};

// The owner that has claimed the worker; empty: none yet. A member that has not
// claimed it is not asked: it knows nothing of it, and announces its claim.
const std::string& SpeakerFor(const Context& context,
                              std::uint32_t worker,
                              Round& round) {
  const auto [it, is_new] = round.speakers.try_emplace(worker);
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

std::set<std::string> AskedNow(const Context& context,
                               const Job& job,
                               Round& round) {
  std::set<std::string> members = job.unheard;
  if (round.unseen) {
    const std::set<std::string>& reported_by =
        context.state.unseen_workers.reported_by;
    for (const std::string& it : OtherMembers(context)) {
      if (!reported_by.contains(it)) {
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
  for (const std::uint32_t it : job.uncovered.Numbers()) {
    const std::string& speaker = SpeakerFor(context, it, round);
    if (!speaker.empty()) {
      members.insert(speaker);
    }
  }
  return members;
}

void AskAbout(Context& context, Job& job, Round& round) {
  if (job.version == job.stored_version &&
      HasPassed(context.now, job.confirmed_at, kOwnershipVerifyDelay)) {
    // Nobody answers a former owner's questions.
    job.confirmed_at = context.now;
    MarkChanged(context, job, true);
  }
  job.asked = true;
  job.uncovered.EraseIf([&](std::uint32_t it) {
    return !MayRunTasks(context.state,
                        context.state.recovery.numbers.NameOf(it));
  });
  if (!HasToAsk(job) && !round.unseen) {
    return;
  }
  round.uncovered.InsertAll(job.uncovered);
  for (const std::string& it : AskedNow(context, job, round)) {
    round.queries[it].jobs.push_back(
        {.job = job.id, .generation = job.generation});
  }
}

// Workers that left the store's list and that their present owner may never
// have seen there. It would not claim them, and recovery would wait for them.
struct Forgettable {
  RememberedWorker worker{};
  std::string owner{};  // that is to claim it
};

std::vector<Forgettable> Remembered(const Context& context,
                                    const WorkerSet& uncovered) {
  std::vector<Forgettable> remembered;
  for (const std::uint32_t it : uncovered.Numbers()) {
    const std::string& id = context.state.recovery.numbers.NameOf(it);
    if (auto worker = RememberedFor(context.state, id)) {
      std::string owner = ChooseMember(context.state, id, worker->domain);
      remembered.push_back(
          {.worker = std::move(*worker), .owner = std::move(owner)});
    }
  }
  return remembered;
}

void SendRound(Context& context, Round& round) {
  RecoveryState& recovery = context.state.recovery;
  const std::vector<Forgettable> remembered =
      Remembered(context, round.uncovered);
  for (auto& [member, query] : round.queries) {
    Time& told =
        recovery.announced_at.try_emplace(member, Time::min()).first->second;
    const bool tell_all = HasPassed(context.now, told, kTellAgain);
    for (const Forgettable& it : remembered) {
      if (tell_all || (round.all && it.owner == member)) {
        query.remembered.push_back(it.worker);
      }
    }
    told = tell_all ? context.now : told;
    query.wants_workers =
        round.unseen &&
        !context.state.unseen_workers.reported_by.contains(member);
    Send(context, member, std::move(query));
  }
}

bool SpeaksFor(const Context& context,
               const std::string& from,
               const CoveredWorker& covered) {
  const auto view = context.state.view.find(covered.worker);
  const bool newest =
      view == context.state.view.end() || covered.fence >= view->second.fence;
  const ListedWorker* worker = FindWorker(context.state, covered.worker);
  const bool expected =
      worker == nullptr ||
      ChooseMember(context.state, covered.worker, worker->info.domain) == from;
  return newest && (covered.gone || expected);
}

}  // namespace

void BeginRecovery(Context& context, Job& job) {
  job.recovering = true;
  for (const auto& [worker, it] : context.state.workers) {
    if (MayRunTasks(context.state, worker)) {
      job.uncovered.Insert(context.state.recovery.numbers.NumberOf(worker));
    }
  }
  // Each may own workers that this instance has never seen in the list.
  for (const std::string& it : OtherMembers(context)) {
    job.unheard.insert(it);
  }
  job.unheard.insert(context.self());
}

void DriveRecovery(Context& context) {
  RecoveryState& recovery = context.state.recovery;
  std::optional<bool> knows_workers;  // looked up once, if any job needs it
  const bool ask =
      HasPassed(context.now, recovery.queried_at, kAdoptQueryInterval);
  Round round{.all = HasPassed(context.now, recovery.queried_all_at, kAskAll),
              .unseen = MayMissWorkers(context)};
  bool recovering = false;
  for (const std::string& id : context.state.active) {
    Job& job = context.state.jobs.at(id);
    if (!job.recovering) {
      continue;
    }
    std::erase_if(job.unheard, [&](const std::string& member) {
      return FindMember(context.state, member) == nullptr;
    });
    if (!HasToAsk(job)) {
      if (!knows_workers) {
        knows_workers = KnowsWorkers(context);
      }
      if (*knows_workers) {
        FinishRecovery(context, job);
        continue;
      }
    }
    recovering = true;
    if (ask || !job.asked) {
      AskAbout(context, job, round);
    }
  }
  if (!recovering) {
    recovery = RecoveryState();
    return;
  }
  if (ask) {
    recovery.queried_at = context.now;
    recovery.queried_all_at = round.all ? context.now : recovery.queried_all_at;
  }
  SendRound(context, round);
}

void OnAdoptReport(Context& context,
                   const std::string& from,
                   const AdoptReport& report) {
  // First: a report of them does not make its sender cover them.
  OnWorkersRemembered(context, report.remembered);
  // Each question since the registration asked for them, if need was.
  UnseenWorkers& unseen = UnseenNow(context);
  unseen.reported_by.insert(from);
  unseen.all_reported = unseen.all_reported || report.all_remembered;
  for (const RunReport& it : report.runs) {
    OnRunReport(context, it);
  }
  for (const EndReport& it : report.ends) {
    OnEndReport(context, from, it);
  }
  std::vector<std::uint32_t> covered;
  for (const CoveredWorker& it : report.covered) {
    const auto number = context.state.recovery.numbers.Find(it.worker);
    if (number && SpeaksFor(context, from, it)) {
      covered.push_back(*number);
    }
  }
  for (const std::string& id : report.jobs) {
    Job* job = FindJob(context.state, id);
    if (job == nullptr || !job->recovering) {
      continue;
    }
    job->unheard.erase(from);
    for (const std::uint32_t it : covered) {
      job->uncovered.Erase(it);
    }
  }
}

void OnWorkerFound(Context& context, const std::string& worker) {
  if (!MayRunTasks(context.state, worker)) {
    return;
  }
  for (const std::string& id : context.state.active) {
    Job& job = context.state.jobs.at(id);
    if (job.recovering) {
      job.uncovered.Insert(context.state.recovery.numbers.NumberOf(worker));
    }
  }
}

void OnWorkerEnded(Context& context, const std::string& worker) {
  const auto number = context.state.recovery.numbers.Find(worker);
  if (!number) {
    return;
  }
  for (const std::string& id : context.state.active) {
    context.state.jobs.at(id).uncovered.Erase(*number);
  }
}

}  // namespace burdockrock::engine
