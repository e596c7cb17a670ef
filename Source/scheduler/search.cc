#include "scheduler/search.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "scheduler/attempt_updates.h"
#include "scheduler/context.h"
#include "scheduler/gangs.h"
#include "scheduler/task_crashes.h"

namespace burdockrock {

namespace {

constexpr Duration kFirstRoundInterval = std::chrono::milliseconds(250);
constexpr Duration kLaterRoundInterval = std::chrono::seconds(2);
constexpr std::uint64_t kFirstRoundCount = 20;
// The number of a round includes the generation of its search, so that a reply
// to an earlier search, sent before offers were fenced, is not counted.
constexpr std::uint64_t kRoundBits = 20;
constexpr std::uint64_t kRoundMask = (std::uint64_t{1} << kRoundBits) - 1;

bool IsOurs(const WorkerRecord& worker) {
  return worker.state == OwnerState::kOwned ||
         worker.state == OwnerState::kHandingOver;
}

// Replies to a round are counted only within this time, and leases must have
// lapsed for at least as long: else another member could renew a lease after
// the first one has reported it as lapsed.
constexpr Duration kRoundWindow = std::chrono::seconds(2);

Duration LeaseBound(const Context& context) {
  const LeasePolicy& lease = context.policy().lease;
  return lease.task_lease + lease.drift;
}

// Whether this process is known to have owned the worker at some time after
// `since`.
bool IsOwnershipVerified(const WorkerRecord& worker, Time since) {
  return IsOurs(worker) && !worker.removed && !worker.claim_in_flight &&
         worker.ownership_verified_at >= since;
}

// Whether all leases that this instance gave the worker lapsed at least
// kRoundWindow ago. Former processes of the instance may have given some until
// this one started.
bool HasLapsed(const Context& context, const WorkerRecord& worker) {
  const bool may_renew = IsOurs(worker) && !worker.unresponsive;
  const Time given = std::max(worker.lease_sent, context.state().started);
  return !may_renew &&
         context.now() > given + LeaseBound(context) + kRoundWindow;
}

// Whether all leases that a lost peer gave have lapsed. It may have given some
// until its last message, or, if this process has none, until this one started.
bool HasLapsed(const Context& context, const Peer& peer) {
  const Time given = std::max(peer.last_received, context.state().started);
  return !peer.alive &&
         context.now() > given + LeaseBound(context) + kRoundWindow;
}

// Whether the worker was removed from the platform's list so long ago that all
// members know it and its last lease has lapsed.
bool IsRemovedAndLapsed(const Context& context, const WorkerRecord& worker) {
  return worker.removed &&
         context.now() > worker.removed_at + kListLag + LeaseBound(context);
}

// Returns when the search was first seen. If that is now, renews the leases of
// the owned workers to verify that this process still owns them.
Time RecordSearch(Context& context, const AttemptSearch& search) {
  State& state = context.state();
  SearchSeen& seen = state.searches_seen[search.log];
  if (seen.generation < search.generation) {
    seen = {.generation = search.generation, .at = context.now()};
    for (auto& [id, worker] : state.ownership.workers) {
      if (worker.info.role == InstanceRole::kWorker) {
        RenewNow(context, worker);
      }
    }
  }
  return seen.at;
}

void AddKnownAttempts(const WorkerRecord& worker,
                      bool is_verified,
                      AttemptSearchAnswer& answer) {
  for (const auto& [attempt, booking] : worker.bookings) {
    const bool is_known = is_verified || booking.state == AttemptState::kEnded;
    if (!is_known || booking.is_request ||
        LogOfJob(attempt.job) != answer.log) {
      continue;
    }
    answer.found.push_back({.report = {.attempt = attempt,
                                       .resources = booking.resources,
                                       .state = booking.state,
                                       .outcome = booking.outcome,
                                       .answer = booking.answer},
                            .worker = worker.info.id});
  }
}

AttemptSearchAnswer MakeSearchAnswer(Context& context,
                                     const AttemptSearch& search) {
  const Time since = RecordSearch(context, search);
  AttemptSearchAnswer answer{.log = search.log, .round = search.round};
  for (const auto& [id, worker] : context.state().ownership.workers) {
    if (worker.info.role != InstanceRole::kWorker) {
      continue;
    }
    const bool is_verified = IsOwnershipVerified(worker, since);
    AddKnownAttempts(worker, is_verified, answer);
    if (is_verified) {
      answer.covered.push_back(id);
    } else if (HasLapsed(context, worker)) {
      answer.lapsed.push_back(id);
    }
  }
  std::sort(answer.found.begin(), answer.found.end());
  return answer;
}

// Whether all members of the domain, listed by the platform or alive, reported
// in this round that their leases of the worker have lapsed, and those of other
// members must have.
bool AllLapsed(const Context& context,
               const Search& search,
               const std::string& worker) {
  const auto reports = search.lapsed.find(worker);
  if (reports == search.lapsed.end()) {
    return false;
  }
  const State& state = context.state();
  if (!reports->second.contains(state.self.instance)) {
    return false;
  }
  const auto has_reported = [&](const std::string& id) {
    return id == state.self.instance || reports->second.contains(id);
  };
  for (const InstanceInfo& it : state.membership.instances.instances) {
    const bool is_member =
        it.role == InstanceRole::kEntry && it.domain == state.self.domain;
    if (is_member && !has_reported(it.id)) {
      return false;
    }
  }
  const auto& peers = state.membership.peers;
  return std::all_of(peers.begin(), peers.end(), [&](const auto& it) {
    return it.second.domain != state.self.domain || has_reported(it.first) ||
           HasLapsed(context, it.second);
  });
}

void ApplyFoundAttempt(Context& context,
                       const std::string& owner,
                       const TaskUpdate& update) {
  const AttemptReport& report = update.report;
  if (report.state == AttemptState::kEnded) {
    OnAttemptEnded(context, report, update.worker, owner);
    return;
  }
  OnAttemptRunning(context, report.attempt, report.state == AttemptState::kHeld,
                   update.worker, owner);
}

bool IsCovered(const Context& context, const Search& search, const Task& task) {
  const auto covered = [&](const std::string& id, const WorkerRecord& worker) {
    return worker.info.role != InstanceRole::kWorker ||
           search.covered.contains(id) || IsRemovedAndLapsed(context, worker) ||
           AllLapsed(context, search, id);
  };
  const auto& workers = context.state().ownership.workers;
  if (!task.worker.empty()) {
    const auto it = workers.find(task.worker);
    return it == workers.end() || covered(it->first, it->second);
  }
  return std::all_of(workers.begin(), workers.end(), [&](const auto& it) {
    return covered(it.first, it.second);
  });
}

// Whether the task's attempt was at work and its worker, whose owner is known,
// has forgotten it; or it was started by a former writer, and no worker has it.
bool HasVanished(const Search& search, const Task& task) {
  if (task.worker.empty()) {
    return task.start_recorded;
  }
  return task.running_since != Time(0) && search.covered.contains(task.worker);
}

// Declares lost the attempts of orphaned tasks whose workers are all covered.
void LoseCoveredAttempts(Context& context, const std::string& log) {
  const Search search = context.state().searches.at(log);
  struct Lost {
    std::string job;
    std::uint32_t task = 0;
  };
  std::vector<Lost> lost;
  for (const auto& [id, job] : context.state().jobs.jobs) {
    if (job.log != log) {
      continue;
    }
    for (std::uint32_t it = 0; it < job.tasks.size(); ++it) {
      if (job.tasks[it].state == TaskState::kOrphaned &&
          IsCovered(context, search, job.tasks[it])) {
        lost.push_back({.job = id, .task = it});
      }
    }
  }
  for (const Lost& it : lost) {
    Job* job = FindJob(context, it.job);
    if (job == nullptr || job->tasks[it.task].state != TaskState::kOrphaned) {
      continue;
    }
    Task& task = job->tasks[it.task];
    if (HasVanished(search, task)) {
      OnAttemptCrashed(context, *job, it.task);
    } else {
      task.may_have_crashed = task.may_have_crashed || task.worker.empty();
      OnAttemptLost(context, *job, it.task);
    }
  }
}

bool HasOrphans(const Job& job) {
  return std::any_of(job.tasks.begin(), job.tasks.end(), [](const Task& it) {
    return it.state == TaskState::kOrphaned;
  });
}

// Resumes the adopted jobs without orphaned tasks. Returns whether no job of
// the journal has orphaned tasks left.
bool ResumeSettledJobs(Context& context, const std::string& log) {
  bool all_settled = true;
  std::vector<std::string> ids;
  for (const auto& [id, job] : context.state().jobs.jobs) {
    if (job.log == log) {
      ids.push_back(id);
    }
  }
  std::sort(ids.begin(), ids.end());
  for (const std::string& it : ids) {
    Job* job = FindJob(context, it);
    if (job == nullptr) {
      continue;
    }
    if (HasOrphans(*job)) {
      all_settled = false;
      continue;
    }
    if (std::exchange(job->recovering, false) && !job->finished &&
        !job->cancelled && job->spec.kind == JobKind::kGang) {
      RecoverGang(context, *job);
    }
  }
  return all_settled;
}

void ApplySearchAnswer(Context& context,
                       const std::string& from,
                       const AttemptSearchAnswer& answer) {
  State& state = context.state();
  for (const TaskUpdate& it : answer.found) {
    ApplyFoundAttempt(context, from, it);
  }
  const auto search = state.searches.find(answer.log);
  if (search == state.searches.end() ||
      answer.round >> kRoundBits != search->second.generation) {
    return;
  }
  Search& running = search->second;
  running.covered.insert(answer.covered.begin(), answer.covered.end());
  const bool is_this_round =
      (answer.round & kRoundMask) + 1 == running.round &&
      context.now() - running.round_started < kRoundWindow;
  if (is_this_round) {
    for (const std::string& it : answer.lapsed) {
      running.lapsed[it].insert(from);
    }
  }
  LoseCoveredAttempts(context, answer.log);
  if (ResumeSettledJobs(context, answer.log)) {
    state.searches.erase(answer.log);
  }
}

}  // namespace

void StartSearch(Context& context, const std::string& log) {
  State& state = context.state();
  const auto journal = state.jobs.journals.find(log);
  if (journal == state.jobs.journals.end()) {
    return;
  }
  ++journal->second.generation;
  state.jobs.fences[log] = journal->second.generation;
  state.searches[log] = {.generation = journal->second.generation,
                         .started = context.now()};
  context.ScheduleAt(context.now(), TimerKind::kSearch, log);
}

void OnSearchTimer(Context& context, const std::string& log) {
  State& state = context.state();
  const auto it = state.searches.find(log);
  if (it == state.searches.end()) {
    return;
  }
  Search& search = it->second;
  if (context.now() < search.next_round) {
    return;
  }
  const std::uint64_t round = search.round++;
  search.round_started = context.now();
  search.lapsed.clear();
  const AttemptSearch query{.log = log,
                            .generation = search.generation,
                            .round = (search.generation << kRoundBits) + round};
  for (const auto& [id, peer] : state.membership.peers) {
    if (IsDomainPeer(context, peer)) {
      context.Send(id, query);
    }
  }
  search.next_round =
      context.now() +
      (round < kFirstRoundCount ? kFirstRoundInterval : kLaterRoundInterval);
  context.ScheduleAt(search.next_round, TimerKind::kSearch, log);
  ApplySearchAnswer(context, context.self(), MakeSearchAnswer(context, query));
}

void OnAttemptSearch(Context& context,
                     const std::string& from,
                     const AttemptSearch& search) {
  State& state = context.state();
  std::uint64_t& fence = state.jobs.fences[search.log];
  if (search.generation < fence) {
    return;  // from a replaced writer
  }
  fence = search.generation;
  const auto own = state.jobs.journals.find(search.log);
  if (own != state.jobs.journals.end() &&
      own->second.generation < search.generation) {
    context.Log(EventNumber::kLogFenced, {{"log", search.log}, {"by", from}});
    ForgetJournal(context, search.log);
  }
  context.Send(from, MakeSearchAnswer(context, search));
}

void OnAttemptSearchAnswer(Context& context,
                           const std::string& from,
                           const AttemptSearchAnswer& answer) {
  if (context.state().jobs.journals.contains(answer.log)) {
    ApplySearchAnswer(context, from, answer);
  }
}

}  // namespace burdockrock
