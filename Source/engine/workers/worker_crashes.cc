#include "engine/workers/worker_crashes.h"

#include <algorithm>
#include <map>
#include <utility>

#include "engine/members/membership.h"
#include "engine/records/catalog.h"
#include "engine/workers/group_failures.h"
#include "engine/workers/run_ends.h"
#include "engine/workers/worker_list.h"

namespace burdockrock::engine {

namespace {

// Between two looks for evidence that silent workers have crashed.
constexpr Duration kEvidenceInterval = milliseconds(500);
// A worker that was prepared for its machine to be taken down ends within this
// time of the last request to empty it.
constexpr Duration kTakeDownTime = milliseconds(10'000);
// A member is told the same crashes again after this long, in case the message
// got lost. While it is on its way, it arrives before what is sent later.
constexpr Duration kCrashRepeatInterval = milliseconds(1000);

std::string JobOf(const std::string& task) {
  const auto name = ParseTaskName(task);
  return name ? name->job : std::string();
}

// Whether the worker may have begun the run: its start was sent.
bool MayHaveBegun(const LocalRun& run) {
  return run.phase != RunPhase::kBooked &&
         run.phase != RunPhase::kAwaitingRoom &&
         (run.phase != RunPhase::kStarting ||
          run.command_sent_at != Time::min());
}

// Whether an isolated run may have caused the worker's end.
bool HasBegunIsolatedRun(const OwnedWorker& worker) {
  const auto is_isolated = [](const auto& it) {
    return it.second.alone_for > Duration(0) && MayHaveBegun(it.second);
  };
  return std::any_of(worker.runs.begin(), worker.runs.end(), is_isolated) ||
         std::any_of(worker.reported_lost.begin(), worker.reported_lost.end(),
                     is_isolated);
}

// Whether the worker's end was announced.
bool IsPlannedEnd(const Context& context, const OwnedWorker& worker) {
  const ListedWorker* listed = FindWorker(context.state, worker.info.id);
  const bool draining =
      worker.info.draining || (listed != nullptr && listed->info.draining);
  const bool leaving =
      worker.leaving_until != Time::min() &&
      !HasPassed(context.now, worker.leaving_until, kTakeDownTime);
  // Without its entry it is not known whether it has announced its end.
  const bool has_entry = listed != nullptr && !listed->info.address.empty();
  return draining || leaving || !has_entry;
}

// The owners of jobs count a crash for each run that they believe to be at the
// worker. Where an isolated run was there, only what is reported of it counts.
void DeclareCrashed(Context& context, const std::string& id, LostWorker& lost) {
  lost.crashed = true;
  lost.undecided = false;
  WorkersCrashed message{.sites = {CrashSiteToTell(context, id, lost.crash)}};
  AddCrash(context, id, lost.crash);
  if (!lost.had_isolated_run) {
    context.state.crashed_workers[id] = context.now;
    message.workers.push_back(id);
  }
  for (const std::string& it : OtherMembers(context)) {
    Send(context, it, message);
  }
}

// Whether another process has been claimed at the lost worker's address. An
// entry alone is no evidence: it may be that of a former process, delayed.
bool IsReplaced(const State& state,
                const std::string& id,
                const LostWorker& lost) {
  return std::any_of(
      state.workers.begin(), state.workers.end(), [&](const auto& it) {
        if (it.first == id || it.second.info.address != lost.address) {
          return false;
        }
        const auto view = state.view.find(it.first);
        return view != state.view.end() && !view->second.owner.empty() &&
               !view->second.lost;
      });
}

bool IsSettled(const LostWorker& lost) {
  return !lost.undecided &&
         (!lost.crashed ||
          std::all_of(lost.runs.begin(), lost.runs.end(),
                      [](const LostRun& it) { return it.stored; }));
}

using Reports = std::map<std::string, EndReports>;  // by the jobs' owners

void AddReports(Context& context, LostWorker& lost, Reports& reports) {
  for (LostRun& it : lost.runs) {
    if (it.stored ||
        !HasPassed(context.now, it.reported_at, kEndReportInterval)) {
      continue;
    }
    const std::string job = JobOf(it.report.task);
    it.reported_at = context.now;
    it.stored = job.empty() || context.state.known[job].ended;
    if (it.stored) {
      continue;
    }
    const std::string owner = OwnerOfJob(context.state, job);
    if (owner.empty()) {
      RequestRecord(context, job);
    } else {
      reports[owner].ends.push_back(it.report);
    }
  }
}

void ForgetTold(State& state) {
  std::erase_if(state.crashes_told, [&](const auto& it) {
    return FindMember(state, it.first) == nullptr;
  });
  for (auto& [member, crashes] : state.crashes_told) {
    std::erase_if(crashes, [&](const auto& it) {
      return !state.crashed_workers.contains(it.first) &&
             !state.group_failures.crashes.contains(it.first);
    });
  }
}

}  // namespace

bool IsCrash(const Context& context, const OwnedWorker& worker, LossKind kind) {
  return kind == LossKind::kEnded && !IsPlannedEnd(context, worker);
}

void AnnounceCrashSite(Context& context, const OwnedWorker& worker) {
  const KnownCrash crash = CrashOf(worker, context.now);
  AddCrash(context, worker.info.id, crash);
  for (const std::string& it : OtherMembers(context)) {
    Send(context, it,
         WorkersCrashed{
             .sites = {CrashSiteToTell(context, worker.info.id, crash)}});
  }
}

bool IsReportedAsCrashed(const Context& context,
                         const OwnedWorker& worker,
                         const LocalRun& run) {
  const bool excused = run.phase == RunPhase::kRunning &&
                       HasPassed(context.now, run.since, kMaxCrashDelay);
  const bool beside_isolated =
      run.alone_for == Duration(0) && HasBegunIsolatedRun(worker);
  return MayHaveBegun(run) && !excused && !beside_isolated;
}

void AddLostWorker(Context& context, const OwnedWorker& worker, LossKind kind) {
  const std::string& id = worker.info.id;
  LostWorker& lost = context.state.lost_workers[id];
  lost = LostWorker{
      .fence = worker.fence,
      .since = context.now,
      .address = worker.info.address,
      .had_isolated_run = HasBegunIsolatedRun(worker),
      .undecided = kind == LossKind::kSilent && !IsPlannedEnd(context, worker),
      .crash = CrashOf(worker, context.now)};
  std::uint64_t sequence = worker.highest_end;
  const auto add = [&](const std::string& task, const LocalRun& run) {
    if (IsReportedAsCrashed(context, worker, run)) {
      lost.runs.push_back({.report = {.worker = id,
                                      .sequence = ++sequence,
                                      .task = task,
                                      .run = run.run,
                                      .how = RunEnd::kCrashed,
                                      .checkpoint = run.checkpoint}});
    }
  };
  for (const auto& [task, run] : worker.runs) {
    add(task, run);
  }
  for (const auto& [task, run] : worker.reported_lost) {
    add(task, run);
  }
  if (IsCrash(context, worker, kind)) {
    DeclareCrashed(context, id, lost);
    DriveCrashes(context);
  }
}

void DriveCrashes(Context& context) {
  State& state = context.state;
  const bool look =
      HasPassed(context.now, state.crashes_checked_at, kEvidenceInterval);
  state.crashes_checked_at = look ? context.now : state.crashes_checked_at;
  Reports reports;
  for (auto& [id, lost] : state.lost_workers) {
    if (look && lost.undecided && IsReplaced(state, id, lost)) {
      DeclareCrashed(context, id, lost);
    }
    if (lost.crashed) {
      AddReports(context, lost, reports);
    }
  }
  for (auto& [owner, it] : reports) {
    Send(context, owner, std::move(it));
  }
  std::erase_if(state.lost_workers, [&](const auto& it) {
    return HasPassed(
        context.now, it.second.since,
        IsSettled(it.second) ? kLostWorkerAnnouncedFor : kCrashReportedFor);
  });
  std::erase_if(state.crashed_workers, [&](const auto& it) {
    return HasPassed(context.now, it.second, kCrashReportedFor);
  });
  if (look) {
    ForgetTold(state);
  }
  DriveGroupFailures(context);
}

void AddCrashedRuns(const State& state,
                    const std::set<std::string>& jobs,
                    std::vector<EndReport>& out) {
  for (const auto& [id, lost] : state.lost_workers) {
    for (const LostRun& it : lost.runs) {
      if (lost.crashed && jobs.contains(JobOf(it.report.task))) {
        out.push_back(it.report);
      }
    }
  }
}

void OnCrashStored(State& state, const StoredEnd& stored) {
  const auto lost = state.lost_workers.find(stored.worker);
  if (lost == state.lost_workers.end()) {
    return;
  }
  for (LostRun& it : lost->second.runs) {
    it.stored = it.stored || it.report.sequence == stored.sequence;
  }
}

void SendCrashedWorkers(Context& context, const std::string& to) {
  WorkersCrashed message;
  auto& told = context.state.crashes_told[to];
  std::set<std::string> due;
  const auto add = [&](const std::string& id) {
    const auto it = told.try_emplace(id, Time::min()).first;
    if (HasPassed(context.now, it->second, kCrashRepeatInterval)) {
      it->second = context.now;
      due.insert(id);
    }
  };
  const auto& crashes = context.state.group_failures.crashes;
  for (const auto& [id, since] : context.state.crashed_workers) {
    add(id);
  }
  for (const auto& [id, crash] : crashes) {
    add(id);
  }
  for (const std::string& it : due) {
    if (context.state.crashed_workers.contains(it)) {
      message.workers.push_back(it);
    }
    if (const auto crash = crashes.find(it); crash != crashes.end()) {
      message.sites.push_back(CrashSiteToTell(context, it, crash->second));
    }
  }
  if (!due.empty()) {
    Send(context, to, std::move(message));
  }
}

void OnWorkersCrashed(Context& context, const WorkersCrashed& message) {
  for (const std::string& it : message.workers) {
    context.state.crashed_workers.try_emplace(it, context.now);
  }
  for (const CrashSite& it : message.sites) {
    AddCrashSite(context, it);
  }
}

}  // namespace burdockrock::engine
