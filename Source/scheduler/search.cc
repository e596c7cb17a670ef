#include "scheduler/search.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "scheduler/attempt_updates.h"
#include "scheduler/context.h"
#include "scheduler/gangs.h"

namespace burdockrock {

namespace {

constexpr Duration kFirstRounds = std::chrono::milliseconds(250);
constexpr Duration kLaterRounds = std::chrono::seconds(2);
constexpr std::uint64_t kFirstRoundCount = 20;
// A round's number carries its search's generation, so that the answer to an
// earlier search, before offers were fenced off, does not count for this one.
constexpr std::uint64_t kRoundBits = 20;
constexpr std::uint64_t kRoundMask = (std::uint64_t{1} << kRoundBits) - 1;

bool IsOurs(const WorkerRecord& worker) {
  return worker.state == OwnerState::kOwned ||
         worker.state == OwnerState::kHandingOver;
}

// All answers that count for a round come within this time, and leases must
// have lapsed by so much more: else one member's word could be overtaken by
// another's renewal.
constexpr Duration kRoundWindow = std::chrono::seconds(2);

Duration LeaseBound(const Context& context) {
  const LeasePolicy& lease = context.policy().lease;
  return lease.task_lease + lease.drift;
}

// This process is known to have owned the worker at some time after `since`.
bool IsProven(const WorkerRecord& worker, Time since) {
  return IsOurs(worker) && !worker.removed && !worker.claim_in_flight &&
         worker.proven >= since;
}

bool HasLapsed(const Context& context, const WorkerRecord& worker) {
  const bool may_renew = IsOurs(worker) && !worker.silent;
  return !may_renew &&
         context.now() > worker.lease_sent + LeaseBound(context) + kRoundWindow;
}

// The platform has dropped the worker, and whoever still renewed it has had
// time to see that.
bool IsGone(const Context& context, const WorkerRecord& worker) {
  return worker.removed &&
         context.now() > worker.removed_at + kListLag + LeaseBound(context);
}

// Notes a search at its first round, and asks the owned workers to show that
// they still are.
Time NoteSearch(Context& context, const AttemptSearch& search) {
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

void GatherFound(const WorkerRecord& worker,
                 bool is_proven,
                 AttemptSearchAnswer& answer) {
  for (const auto& [attempt, booking] : worker.bookings) {
    const bool is_known = is_proven || booking.state == AttemptState::kEnded;
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

AttemptSearchAnswer Gather(Context& context, const AttemptSearch& search) {
  const Time since = NoteSearch(context, search);
  AttemptSearchAnswer answer{.log = search.log, .round = search.round};
  for (const auto& [id, worker] : context.state().ownership.workers) {
    if (worker.info.role != InstanceRole::kWorker) {
      continue;
    }
    const bool is_proven = IsProven(worker, since);
    GatherFound(worker, is_proven, answer);
    if (is_proven) {
      answer.covered.push_back(id);
    } else if (HasLapsed(context, worker)) {
      answer.lapsed.push_back(id);
    }
  }
  std::sort(answer.found.begin(), answer.found.end());
  return answer;
}

// The members whose word is needed that nobody gives a worker leases.
bool AllLapsed(const Context& context,
               const Search& search,
               const std::string& worker) {
  const auto said = search.lapsed.find(worker);
  if (said == search.lapsed.end()) {
    return false;
  }
  const State& state = context.state();
  if (!said->second.contains(state.self.instance)) {
    return false;
  }
  const auto is_said = [&](const std::string& id) {
    return id == state.self.instance || said->second.contains(id);
  };
  for (const InstanceInfo& it : state.membership.instances.instances) {
    const bool is_member =
        it.role == InstanceRole::kEntry && it.domain == state.self.domain;
    if (is_member && !is_said(it.id)) {
      return false;
    }
  }
  const auto& peers = state.membership.peers;
  return std::all_of(peers.begin(), peers.end(), [&](const auto& it) {
    return !IsDomainPeer(context, it.second) || is_said(it.first);
  });
}

void TakeFound(Context& context,
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
           search.covered.contains(id) || IsGone(context, worker) ||
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

void LoseCovered(Context& context, const std::string& log) {
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
    if (job != nullptr && job->tasks[it.task].state == TaskState::kOrphaned) {
      OnAttemptLost(context, *job, it.task);
    }
  }
}

bool HasOrphans(const Job& job) {
  return std::any_of(job.tasks.begin(), job.tasks.end(), [](const Task& it) {
    return it.state == TaskState::kOrphaned;
  });
}

// Adopted jobs whose attempts are all accounted for go on.
bool SettleJobs(Context& context, const std::string& log) {
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

void TakeAnswer(Context& context,
                const std::string& from,
                const AttemptSearchAnswer& answer) {
  State& state = context.state();
  for (const TaskUpdate& it : answer.found) {
    TakeFound(context, from, it);
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
  LoseCovered(context, answer.log);
  if (SettleJobs(context, answer.log)) {
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
  context.At(context.now(), TimerKind::kSearch, log);
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
  const AttemptSearch ask{.log = log,
                          .generation = search.generation,
                          .round = (search.generation << kRoundBits) + round};
  for (const auto& [id, peer] : state.membership.peers) {
    if (IsDomainPeer(context, peer)) {
      context.Send(id, ask);
    }
  }
  search.next_round =
      context.now() + (round < kFirstRoundCount ? kFirstRounds : kLaterRounds);
  context.At(search.next_round, TimerKind::kSearch, log);
  TakeAnswer(context, context.self(), Gather(context, ask));
}

void OnAttemptSearch(Context& context,
                     const std::string& from,
                     const AttemptSearch& search) {
  State& state = context.state();
  std::uint64_t& fence = state.jobs.fences[search.log];
  if (search.generation < fence) {
    return;  // of a writer that has been replaced
  }
  fence = search.generation;
  const auto own = state.jobs.journals.find(search.log);
  if (own != state.jobs.journals.end() &&
      own->second.generation < search.generation) {
    context.Log(EventNumber::kLogFenced, {{"log", search.log}, {"by", from}});
    ForgetJournal(context, search.log);
  }
  context.Send(from, Gather(context, search));
}

void OnAttemptSearchAnswer(Context& context,
                           const std::string& from,
                           const AttemptSearchAnswer& answer) {
  if (context.state().jobs.journals.contains(answer.log)) {
    TakeAnswer(context, from, answer);
  }
}

}  // namespace burdockrock
