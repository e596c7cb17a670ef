#include "engine/workers/worker_restarts.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "engine/jobs/recovery.h"
#include "engine/workers/lease_bounds.h"
#include "engine/workers/run_ends.h"
#include "engine/workers/service_workers.h"
#include "engine/workers/stray_calls.h"
#include "engine/workers/worker_crashes.h"
#include "engine/workers/worker_list.h"
#include "engine/workers/worker_owner.h"
#include "engine/workers/worker_runs.h"
#include "model/worker_incarnation.h"

namespace burdockrock::engine {

namespace {

constexpr const char* kCause = "another process answers under its id";

// Makes the incarnation known before the store lists it. It accepts no tasks
// until then, as its room and labels may differ.
void AddIncarnation(Context& context, WorkerInfo info) {
  const std::string name = info.id;
  const bool added =
      context.state.workers
          .try_emplace(name, ListedWorker{.info = std::move(info),
                                          .listed = false,
                                          .remembered_only = true,
                                          .unlisted_at = context.now})
          .second;
  if (added) {
    OnWorkerEntryChanged(context.state, name);
    ++context.state.unlisted_version;
    OnWorkerListed(context, name);
  }
}

// By then the owner of the next incarnation has reported the runs that its
// claim found.
constexpr Duration kFoundRunsReported = milliseconds(1500);

// Until then a run in doubt may be at the next incarnation, which this instance
// does not own.
Time LeasesInDoubtEnd(const Context& context, const OwnedWorker& worker) {
  Time end =
      std::max({worker.lease_bound, worker.restarted_at + LeaseSpan(context),
                StrayLeasesEnd(context, worker),
                ReleasedLeaseEnd(context, worker.successor)});
  if (!worker.claimed) {
    end = std::max(end, ForeignLeasesEnd(context, worker));
  }
  return worker.successor_claimed_at == Time::min()
             ? end
             : std::max(end, worker.successor_claimed_at + kFoundRunsReported);
}

void NoteClaimOfSuccessor(Context& context,
                          const std::string& name,
                          OwnedWorker& worker) {
  if (worker.successor_claimed_at == Time::min() &&
      ClaimedSuccessor(context.state, name)) {
    worker.successor_claimed_at = context.now;
  }
}

// Stops the runs that the claim of the next incarnation has listed. The former
// owner of the one before may have sent their starts to it.
bool FoundRunsAreOver(Context& context,
                      const std::string& name,
                      OwnedWorker& next) {
  bool over = next.ends_known && next.acknowledged >= next.ends_at_claim;
  for (auto& [task, run] : next.runs) {
    if (run.found) {
      over = false;
      BeginRunStop(context, name, next, task, run);
    }
  }
  return over &&
         std::none_of(next.unread.begin(), next.unread.end(),
                      [](const auto& it) { return it.second.run.found; });
}

// Whether it is known of all runs in doubt whether they began at the next
// incarnation, and those that did have ended and their ends are stored.
bool IsSettled(Context& context, OwnedWorker& worker) {
  OwnedWorker* next = FindClaimed(context.state, worker.successor);
  if (next == nullptr) {
    return context.now >= LeasesInDoubtEnd(context, worker);
  }
  if (!worker.claimed) {
    return FoundRunsAreOver(context, worker.successor, *next);
  }
  // Until all ends of the next incarnation are known, a run that is not listed
  // there may have ended there.
  bool settled = next->ends_known;
  const auto check = [&](const std::string& task, LocalRun& run) {
    if (!IsInDoubt(worker, run)) {
      return;
    }
    const auto found = next->runs.find(task);
    if (found != next->runs.end() && found->second.run == run.run) {
      run.at_successor = true;
      settled = false;
      BeginRunStop(context, worker.successor, *next, task, found->second);
    } else if (HasEndOf(*next, task, run.run) || next->unread.contains(task)) {
      run.at_successor = true;
      settled = false;
    }
  };
  for (auto& [task, run] : worker.runs) {
    check(task, run);
  }
  for (auto& [task, it] : worker.unread) {
    check(task, it.run);
  }
  return settled;
}

}  // namespace

void OnWorkerRestarted(Context& context,
                       const std::string& name,
                       std::int64_t born) {
  OwnedWorker& worker = context.state.owned.at(name);
  WorkerInfo info = worker.info;
  info.born = born;
  info.id = IncarnationName(WorkerIdOf(name), born);
  info.draining = false;
  AddIncarnation(context, info);
  ScheduleOwnershipCheck(context);
  context.Log(EventNumber::kWorkerRestarted,
              {{"worker", name},
               {"next", info.id},
               {"runs", std::to_string(worker.runs.size())}});
  // What a former owner has sent to an incarnation that this instance had not
  // claimed is not known here.
  if (worker.claimed && !HasRunInDoubt(worker)) {
    return DeclareWorkerLost(context, name, LossKind::kEnded, kCause);
  }
  worker.successor = info.id;
  worker.restarted_at = context.now;
  if (worker.claimed && IsCrash(context, worker, LossKind::kEnded)) {
    AnnounceCrashSite(context, worker);
  }
  RoomChanged(context, name);
}

void DriveRestarts(Context& context) {
  std::vector<std::string> settled;
  for (auto& [name, worker] : context.state.owned) {
    if (!HasRestarted(worker)) {
      continue;
    }
    NoteClaimOfSuccessor(context, name, worker);
    if (IsSettled(context, worker)) {
      std::erase_if(worker.runs,
                    [](const auto& it) { return it.second.at_successor; });
      std::erase_if(worker.unread,
                    [](const auto& it) { return it.second.run.at_successor; });
      settled.push_back(name);
    } else if (worker.claimed) {
      ReportCertainLosses(context, name, worker);
    }
  }
  for (const std::string& it : settled) {
    DeclareWorkerLost(context, it, LossKind::kEnded, kCause);
  }
}

std::optional<std::string> ClaimedSuccessor(const State& state,
                                            const std::string& name) {
  const std::string_view id = WorkerIdOf(name);
  for (auto it = state.view.lower_bound(std::string(id));
       it != state.view.end() && it->first.starts_with(id); ++it) {
    if (IsLaterIncarnation(it->first, name) && !it->second.owner.empty() &&
        !it->second.lost) {
      return it->first;
    }
  }
  return std::nullopt;
}

bool FollowsAnother(const State& state, const std::string& name) {
  const std::string_view id = WorkerIdOf(name);
  for (auto it = state.view.lower_bound(std::string(id));
       it != state.view.end() && it->first.starts_with(id); ++it) {
    if (IsLaterIncarnation(name, it->first)) {
      return true;
    }
  }
  return false;
}

void OnFenced(Context& context, const std::string& name) {
  const std::string listed =
      ListedIncarnation(context.state, std::string(WorkerIdOf(name)));
  if (IsLaterIncarnation(listed, name)) {
    return OnWorkerRestarted(context, name, BornOf(listed));
  }
  ReleaseWorker(context, name);
}

void OnLaterIncarnationListed(Context& context,
                              const std::string& name,
                              std::int64_t born) {
  const auto it = context.state.owned.find(name);
  if (it != context.state.owned.end() && !HasRestarted(it->second)) {
    OnWorkerRestarted(context, name, born);
  }
}

bool HasRestarted(const OwnedWorker& worker) {
  return !worker.successor.empty();
}

}  // namespace burdockrock::engine
