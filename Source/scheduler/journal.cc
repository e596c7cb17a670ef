#include "scheduler/journal.h"

#include <algorithm>
#include <set>
#include <utility>

#include "scheduler/attempt_updates.h"
#include "scheduler/context.h"
#include "scheduler/job_admission.h"
#include "scheduler/job_records.h"
#include "scheduler/job_status.h"
#include "scheduler/journal_check.h"
#include "scheduler/task_crashes.h"

namespace burdockrock {

namespace {

constexpr char kLogKeyPrefix[] = "log/";
constexpr char kGenerationKey[] = "generation";
constexpr char kGenerationKind[] = "generation";
constexpr Duration kLedgerTimeout = std::chrono::seconds(3);
constexpr Duration kScanTimeout = std::chrono::seconds(10);
constexpr Duration kScanInterval = std::chrono::seconds(60);
constexpr Duration kUnlistedTimeout = std::chrono::seconds(3);
constexpr Duration kScanRetry = std::chrono::seconds(2);
constexpr Duration kEmptyJournalCheck = std::chrono::seconds(30);
// Distance between the generations of two adopters; a writer increments its own
// generation with each attempt search.
constexpr std::uint64_t kGenerationStep = std::uint64_t{1} << 20U;
// A writer numbers its attempts upwards from its first generation,
// shifted by this. The numbers exceed those of all earlier writers, as the
// generation does so by at least kGenerationStep.
constexpr std::uint64_t kAttemptsShift = 30;

SlotLogOptions JournalOptions(Context& context, const std::string& name) {
  const StateOptions& self = context.state().self;
  const JournalPolicy& policy = context.policy().journal;
  return {
      .name = name,
      .writer = OwnerName(self.instance, self.incarnation),
      .exclusive = true,
      .commit_interval = policy.commit,
      .max_batch_bytes = static_cast<std::size_t>(policy.max_batch_bytes),
      .retry = {.seed = context.state().random()},
  };
}

// Loads the jobs of an adopted journal, once its new generation is durable.
void StartAdoptedJournal(Context& context, const std::string& name) {
  State& state = context.state();
  Journal& journal = state.jobs.journals.at(name);
  if (journal.ready) {
    return;
  }
  journal.ready = true;
  state.jobs.adopting.erase(name);
  state.jobs.fences[name] = journal.generation;
  const std::size_t found =
      LoadJobs(context, name, state.logs.at(name).log->records());
  context.Log(EventNumber::kLogAdopted,
              {{"log", name}, {"jobs", std::to_string(found)}});
  StartSearch(context, name);
  context.ScheduleAfter(kEmptyJournalCheck, TimerKind::kJournal, name);
}

void NotifyAppend(Context& context,
                  const AppendPurpose& purpose,
                  AppendOutcome outcome) {
  if (const auto* job = std::get_if<JobAppend>(&purpose)) {
    OnJobRecorded(context, job->job, outcome);
  } else if (const auto* end = std::get_if<EndAppend>(&purpose)) {
    OnEndRecorded(context, end->job, end->task, outcome);
  } else if (const auto* dispatch = std::get_if<DispatchAppend>(&purpose)) {
    OnDispatchRecorded(context, dispatch->job, dispatch->task, outcome);
  } else if (const auto* start = std::get_if<StartAppend>(&purpose)) {
    OnStartRecorded(context, start->job, start->task, outcome);
  } else if (const auto* cancel = std::get_if<CancelAppend>(&purpose)) {
    OnCancelRecorded(context, cancel->job, outcome);
  } else if (const auto* claim = std::get_if<ClaimAppend>(&purpose)) {
    OnClaimAppended(context, claim->id, outcome);
  } else if (const auto* own = std::get_if<GenerationAppend>(&purpose)) {
    if (outcome == AppendOutcome::kCommitted) {
      StartAdoptedJournal(context, own->log);
    }
  } else if (const auto* check = std::get_if<CheckAppend>(&purpose)) {
    if (outcome == AppendOutcome::kCommitted) {
      OnJournalChecked(context, *check);
    }
  }
}

void OnAdopted(Context& context, const std::string& name) {
  State& state = context.state();
  const auto& records = state.logs.at(name).log->records();
  const auto it = records.find(kGenerationKey);
  const std::uint64_t before =
      it == records.end() ? 1 : ParseCount(it->second.record.body);
  Journal& journal = state.jobs.journals[name];
  journal.name = name;
  journal.adopted = true;
  journal.generation = before + kGenerationStep;
  journal.next_attempt = journal.generation << kAttemptsShift;
  // The generation must be durable before its first use: a process that adopts
  // the journal after this one must get a higher generation.
  AppendTo(context, name, RecordOfGeneration(journal), {.urgent = true},
           GenerationAppend{.log = name});
}

void ArmTimer(Context& context, const std::string& name) {
  const auto it = context.state().logs.find(name);
  if (it == context.state().logs.end()) {
    return;
  }
  const Time next = it->second.log->next_time();
  if (next != kForever && next < it->second.timer_at) {
    it->second.timer_at = next;
    context.ScheduleAt(std::max(next, context.now()), TimerKind::kLedger, name);
  }
}

// The process that created a journal, from the journal's name, which ends in
// "INSTANCE.INCARNATION-NUMBER".
struct JournalCreator {
  std::string instance;
  std::string incarnation;
};

JournalCreator CreatorOf(const std::string& name, const std::string& domain) {
  const std::size_t start = sizeof(kJournalPrefix) - 1 + domain.size() + 1;
  const std::size_t split = name.rfind('.');
  if (split == std::string::npos || split < start) {
    return {};
  }
  return {.instance = name.substr(start, split - start),
          .incarnation = name.substr(split + 1, name.rfind('-') - split - 1)};
}

bool HasLiveWriter(Context& context, const std::string& name) {
  State& state = context.state();
  if (state.jobs.journals.contains(name) ||
      state.jobs.adopting.contains(name)) {
    return true;
  }
  if (!WriterOf(context, name).empty()) {
    state.jobs.unlisted.erase(name);
    return true;
  }
  // The creator lists its journal in its digest, unless it has just created the
  // journal, or another process adopted it and was lost since.
  const JournalCreator creator = CreatorOf(name, state.self.domain);
  const auto it = state.membership.peers.find(creator.instance);
  const bool creator_is_alive = it != state.membership.peers.end() &&
                                it->second.alive &&
                                it->second.incarnation == creator.incarnation;
  if (!creator_is_alive) {
    return false;
  }
  const auto [since, inserted] =
      state.jobs.unlisted.emplace(name, context.now());
  if (inserted) {
    context.ScheduleAfter(kUnlistedTimeout, TimerKind::kOrphanScan);
  }
  return context.now() - since->second < kUnlistedTimeout;
}

bool IsChosenAdopter(Context& context, const std::string& name) {
  const std::vector<std::string> members = DomainMembers(context);
  std::string best;
  std::uint64_t best_score = 0;
  for (const std::string& it : members) {
    const std::uint64_t score = StableHash(it, name);
    if (best.empty() || score > best_score) {
      best = it;
      best_score = score;
    }
  }
  return best == context.self();
}

}  // namespace

std::string JournalName(const std::string& domain,
                        const std::string& instance,
                        const std::string& incarnation) {
  return kJournalPrefix + domain + "." + instance + "." + incarnation;
}

LogRecord RecordOfGeneration(const Journal& journal) {
  return {.key = kGenerationKey,
          .kind = kGenerationKind,
          .body = std::to_string(journal.generation)};
}

OpenLog& AddLog(Context& context, SlotLogOptions options) {
  State& state = context.state();
  const std::string name = options.name;
  OpenLog& open = state.logs[name];
  open.log = std::make_unique<SlotLog>(std::move(options), *state.write_budget);
  open.tickets.clear();
  open.timer_at = kForever;
  return open;
}

Journal& OwnJournal(Context& context) {
  State& state = context.state();
  Jobs& jobs = state.jobs;
  if (!jobs.own_journal.empty()) {
    return jobs.journals.at(jobs.own_journal);
  }
  // A name is never reused: an adopted journal belongs to its adopter.
  jobs.own_journal = JournalName(
      state.self.domain, state.self.instance,
      state.self.incarnation + "-" + std::to_string(++jobs.own_journals));
  const std::string name = jobs.own_journal;
  Journal& journal = jobs.journals[name];
  journal.name = name;
  journal.ready = true;
  journal.next_attempt = journal.generation << kAttemptsShift;
  OpenLog& open = AddLog(context, JournalOptions(context, name));
  ApplyLedgerProgress(context, name, open.log->Create(context.now()));
  return jobs.journals.at(name);
}

Ticket AppendTo(Context& context,
                const std::string& name,
                LogRecord record,
                const AppendOptions& options,
                std::optional<AppendPurpose> purpose) {
  const auto it = context.state().logs.find(name);
  if (it == context.state().logs.end()) {
    return 0;
  }
  OpenLog& open = it->second;
  const Ticket ticket =
      open.log->Append(std::move(record), options, context.now());
  if (purpose) {
    open.tickets.emplace(ticket, *std::move(purpose));
  }
  ArmTimer(context, name);
  return ticket;
}

void ApplyLedgerProgress(Context& context,
                         std::string name,
                         LedgerProgress progress) {
  State& state = context.state();
  for (LedgerCall& it : progress.calls) {
    context.CallPlatform(std::move(it.operation), kLedgerTimeout,
                         LedgerPurpose{.log = name, .ledger_call = it.call_id});
  }
  for (const TicketOutcome& it : progress.finished) {
    OpenLog& open = state.logs.at(name);
    const auto ticket = open.tickets.find(it.ticket);
    if (ticket == open.tickets.end()) {
      continue;
    }
    const AppendPurpose purpose = ticket->second;
    open.tickets.erase(ticket);
    NotifyAppend(context, purpose, it.outcome);
  }
  const SlotLog& log = *state.logs.at(name).log;
  if (IsClaimLog(name)) {
    if (log.is_open() || !log.is_reachable()) {
      OnClaimShardRead(context, name);
    }
  } else if (progress.fenced) {
    context.Log(EventNumber::kLogFenced,
                {{"log", name}, {"by", progress.fenced_by}});
    ForgetJournal(context, name);
  } else if (progress.closed) {
    context.ScheduleAfter(log.PurgeDelay(), TimerKind::kJournal, name);
  } else if (progress.opened) {
    ApplyLedgerProgress(context, name,
                        state.logs.at(name).log->Adopt(context.now()));
  }
  if (progress.adopted) {
    OnAdopted(context, name);
  }
  if (progress.purged) {
    ForgetJournal(context, name);
  }
  ArmTimer(context, name);
}

void OnLedgerTimer(Context& context, const std::string& name) {
  const auto it = context.state().logs.find(name);
  if (it == context.state().logs.end()) {
    return;
  }
  it->second.timer_at = kForever;
  ApplyLedgerProgress(context, name, it->second.log->OnTime(context.now()));
}

void AdoptJournal(Context& context, const std::string& name) {
  State& state = context.state();
  if (state.jobs.journals.contains(name) ||
      !state.jobs.adopting.insert(name).second || state.drain.draining) {
    return;
  }
  OpenLog& open = AddLog(context, JournalOptions(context, name));
  ApplyLedgerProgress(context, name, open.log->Open(context.now()));
}

void OnOrphanScanTimer(Context& context) {
  State& state = context.state();
  if (!IsServing(context) || state.drain.draining) {
    context.ScheduleAfter(kScanRetry, TimerKind::kOrphanScan);
    return;
  }
  context.CallPlatform(
      KvRange{.prefix = std::string(kLogKeyPrefix) + kJournalPrefix +
                        state.self.domain + "."},
      kScanTimeout, OrphanScanPurpose{});
}

void OnOrphanScan(Context& context, const PlatformResult& result) {
  const auto* items = std::get_if<KvItems>(&result);
  if (items == nullptr) {
    context.ScheduleAfter(context.Jitter(kScanRetry), TimerKind::kOrphanScan);
    return;
  }
  std::set<std::string> names;
  for (const KvItem& it : items->items) {
    const auto slot = ParseSlotKey(it.key);
    if (slot) {
      names.insert(slot->name);
    }
  }
  for (const std::string& it : names) {
    if (!HasLiveWriter(context, it) && IsChosenAdopter(context, it)) {
      AdoptJournal(context, it);
    }
  }
  if (IsWatcher(context)) {
    context.ScheduleAfter(context.Jitter(kScanInterval),
                          TimerKind::kOrphanScan);
  }
}

void ForgetJournal(Context& context, const std::string& name) {
  State& state = context.state();
  std::vector<std::string> ids;
  for (const auto& [id, job] : state.jobs.jobs) {
    if (job.log == name) {
      ids.push_back(id);
    }
  }
  std::sort(ids.begin(), ids.end());
  for (const std::string& it : ids) {
    DropJob(context, it);
  }
  if (state.jobs.own_journal == name) {
    state.jobs.own_journal.clear();
  }
  state.jobs.journals.erase(name);
  state.jobs.adopting.erase(name);
  state.searches.erase(name);
  state.logs_to_drop.push_back(name);
  ForgetChecks(context, name);
}

void OnJournalTimer(Context& context, const std::string& name) {
  State& state = context.state();
  const auto it = state.logs.find(name);
  if (it == state.logs.end()) {
    return;
  }
  SlotLog& log = *it->second.log;
  if (log.is_closed()) {
    context.ScheduleAfter(kEmptyJournalCheck, TimerKind::kJournal, name);
    ApplyLedgerProgress(context, name, log.Purge(context.now()));
    return;
  }
  const bool is_empty = std::all_of(
      log.records().begin(), log.records().end(),
      [](const auto& record) { return record.first == kGenerationKey; });
  const bool may_close = is_empty && name != state.jobs.own_journal &&
                         log.pending_count() == 0 && log.is_writable();
  if (may_close && !log.records().empty()) {
    AppendTo(context, name, {.key = kGenerationKey, .kind = kEraseKind}, {},
             std::nullopt);  // closed at the next check
  } else if (may_close) {
    ApplyLedgerProgress(context, name, log.Close(context.now()));
  }
  context.ScheduleAfter(kEmptyJournalCheck, TimerKind::kJournal, name);
}

}  // namespace burdockrock
