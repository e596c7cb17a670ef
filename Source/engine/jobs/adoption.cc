#include "engine/jobs/adoption.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "engine/jobs/job_progress.h"
#include "engine/jobs/job_standing.h"
#include "engine/jobs/job_table.h"
#include "engine/jobs/recovery.h"
#include "engine/members/membership.h"
#include "engine/records/catalog.h"
#include "engine/records/record_size.h"
#include "engine/records/record_writer.h"
#include "engine/records/store_calls.h"
#include "engine/teams/quota_accounts.h"

namespace burdockrock::engine {

namespace {

struct OwnedName {
  std::string owner;
  std::string job;
};

std::optional<OwnedName> ParseOwnedKey(std::string_view key) {
  if (!key.starts_with(kOwnedPrefix)) {
    return std::nullopt;
  }
  key.remove_prefix(kOwnedPrefix.size());
  const std::size_t slash = key.find('/');
  if (slash == std::string_view::npos) {
    return std::nullopt;
  }
  return OwnedName{.owner = std::string(key.substr(0, slash)),
                   .job = std::string(key.substr(slash + 1))};
}

void ReadScanPage(Context& context,
                  const std::string& prefix,
                  OrphanScan& scan) {
  scan.in_flight = true;
  SendStoreRequest(context, StoreRange{.prefix = prefix, .after = scan.after},
                   ForOrphanScan{.prefix = prefix});
}

void BeginScan(Context& context, const std::string& prefix) {
  OrphanScan& scan = context.state.scans[prefix];
  if (!scan.in_flight) {
    scan = OrphanScan{.began = context.now};
    ReadScanPage(context, prefix, scan);
  }
}

void NoteOrphan(Context& context, const OwnedName& name, OwnedEntry entry) {
  const bool owned =
      name.owner == context.self() ||
      FindMember(context.state, name.owner) != nullptr ||
      context.state.jobs.contains(name.job) ||
      ChooseMember(context.state, name.job, {}) != context.self();
  if (owned || context.state.orphans.contains(name.job)) {
    return;
  }
  context.state.orphans[name.job] =
      Orphan{.owner = name.owner, .entry = std::move(entry)};
  RequestRecord(context, name.job);
  RequestSpec(context, name.job);
}

// Adds what the job may take of its team's cap.
void NoteBound(const OwnedName& name,
               const OwnedEntry& entry,
               OwnedScan& scan) {
  if (entry.team.empty()) {
    return;
  }
  QuotaBound& bound = scan.bounds[name.owner][entry.team];
  bound.most += entry.most.value_or(Resources());
  bound.unlimited = bound.unlimited || !entry.most;
}

enum class OrphanStep { kWait, kAdopt, kForget };

OrphanStep NextStep(Context& context,
                    const std::string& id,
                    const Orphan& orphan) {
  if (orphan.writing || context.now < orphan.retry_at) {
    return OrphanStep::kWait;
  }
  const CatalogEntry& entry = context.state.catalog[id];
  if (entry.reading_record || entry.want_record) {
    return OrphanStep::kWait;
  }
  const bool is_over =
      entry.absent || (entry.record && IsFinal(entry.record->state));
  if (is_over) {
    return OrphanStep::kForget;
  }
  if (!entry.record || !entry.spec) {
    RequestRecord(context, id);
    RequestSpec(context, id);
    return OrphanStep::kWait;
  }
  const bool owned = entry.record->owner == context.self() ||
                     FindMember(context.state, entry.record->owner) != nullptr;
  return owned ? OrphanStep::kForget : OrphanStep::kAdopt;
}

JobRecord AdoptedRecord(const Context& context, const CatalogEntry& entry) {
  JobRecord record = *entry.record;
  record.owner = context.self();
  ++record.generation;
  ++record.write;
  return record;
}

void WriteAdoption(Context& context, const std::string& id, Orphan& orphan) {
  orphan.writing = true;
  const CatalogEntry& entry = context.state.catalog[id];
  QueueChange(context,
              Change{.kind = ChangeKind::kAdoptJob,
                     .job = id,
                     // Fails if the former owner has registered again, which
                     // the store knows before this instance does.
                     .conditions = {{.key = JobKey(id),
                                     .revision = entry.record_revision},
                                    {.key = MemberKey(entry.record->owner),
                                     .revision = 0}},
                     .puts = {{.key = JobKey(id),
                               .value = EncodeRecord(
                                   context, id, AdoptedRecord(context, entry))},
                              {.key = OwnedKey(context.self(), id),
                               .value = EncodeOwned(orphan.entry)}},
                     .removes = {OwnedKey(entry.record->owner, id)}});
}

void RestoreStep(const std::string& marks, StepRun& step) {
  for (std::size_t it = 0; it < step.tasks.size(); ++it) {
    Task& task = step.tasks[it];
    const char mark = it < marks.size() ? marks[it] : FailureMark(0);
    if (mark == kDoneMark) {
      task.phase = TaskPhase::kDone;
      ++step.done;
    } else {
      task.phase = TaskPhase::kUnknown;
      task.failures = FailuresOf(mark);
    }
  }
}

void RestoreEnded(const OccurrenceRecord& record, Job& job) {
  for (const EndedRuns& it : record.ended) {
    Task* task = FindTask(
        job, {.occurrence = record.number, .step = it.step, .index = it.index});
    if (task == nullptr) {
      continue;
    }
    task->ended_runs.insert(it.runs.begin(), it.runs.end());
    if (job.spec.steps[it.step].gang && !it.runs.empty()) {
      StepRun& step = StepAt(job, record.number, it.step);
      step.gang_failed_run = std::max(step.gang_failed_run, it.runs.back());
    }
  }
}

void RestoreCrashes(Time now, const OccurrenceRecord& record, Job& job) {
  for (const CrashedRuns& it : record.crashed) {
    Task* task = FindTask(
        job, {.occurrence = record.number, .step = it.step, .index = it.index});
    if (task != nullptr) {
      task->crashes = {.excused = {it.excused.begin(), it.excused.end()},
                       .lost_starts = it.lost_starts,
                       .longest = it.longest,
                       .last = now};
      for (std::size_t k = 0; k < it.runs.size(); ++k) {
        task->crashes.runs.emplace(
            it.runs[k], k < it.workers.size() ? it.workers[k] : std::string());
      }
      job.has_crashes = true;
    }
  }
  for (const StoredStart& it : record.starts) {
    Task* task = FindTask(
        job, {.occurrence = record.number, .step = it.step, .index = it.index});
    if (task != nullptr) {
      task->planned = PlannedStart{.run = it.run, .worker = it.worker};
    }
  }
}

void RestoreDone(const JobRecord& record, Job& job) {
  for (const OccurrenceRange& range : record.done) {
    const std::size_t end = std::min<std::size_t>(std::size_t{range.last} + 1,
                                                  job.occurrences.size());
    for (std::uint32_t k = range.first; k < end; ++k) {
      for (std::uint32_t s = 0; s < job.spec.steps.size(); ++s) {
        RestoreStep(std::string(job.spec.steps[s].count, kDoneMark),
                    StepAt(job, k, s));
      }
      ++job.done_occurrences;
    }
  }
}

void RestoreOccurrence(const OccurrenceRecord& record, Job& job) {
  if (record.number >= job.occurrences.size()) {
    return;
  }
  for (std::uint32_t s = 0; s < job.spec.steps.size(); ++s) {
    const bool known = s < record.steps.size();
    RestoreStep(known ? record.steps[s] : std::string(),
                StepAt(job, record.number, s));
  }
  job.done_occurrences += IsOccurrenceDone(job, record.number) ? 1 : 0;
}

// Restores the occurrences that the record does not name and that may have
// begun. Those that the former owner held back are left out; if one of these
// has begun after all, BeginOccurrences() awaits the reports of its runs.
void RestoreDue(const Context& context, Job& job) {
  std::size_t open = MaxOpenOccurrences(job.spec, context.state.options.bounds);
  for (std::uint32_t k = 0; k < job.occurrences.size(); ++k) {
    const Occurrence& it = job.occurrences[k];
    if (it.due_ms > context.wall_ms || open == 0) {
      return;
    }
    if (it.steps.empty()) {
      for (std::uint32_t s = 0; s < job.spec.steps.size(); ++s) {
        RestoreStep(std::string(), StepAt(job, k, s));
      }
    }
    open -= IsOccurrenceDone(job, k) ? 0 : 1;
  }
}

Job RestoreJob(const Context& context,
               const std::string& id,
               const CatalogEntry& entry) {
  const JobRecord record = AdoptedRecord(context, entry);
  Job job = MakeJob(id, *entry.spec, record.queue);
  job.generation = record.generation;
  job.accepted_ms = record.accepted_ms;
  job.created = context.now;
  job.stored = true;
  RestoreDone(record, job);
  for (const OccurrenceRecord& it : record.occurrences) {
    RestoreOccurrence(it, job);
    RestoreEnded(it, job);
    RestoreCrashes(context.now, it, job);
  }
  RestoreDue(context, job);
  job.started = record.state == JobState::kRunning;
  return job;
}

}  // namespace

void ScanOrphansOf(Context& context, const std::string& incarnation) {
  BeginScan(context, OwnedKey(incarnation, ""));
}

void ScanAllOrphans(Context& context) {
  context.state.scanned_at = context.now;
  BeginScan(context, std::string(kOwnedPrefix));
}

void OnOrphanPage(Context& context,
                  const std::string& prefix,
                  const StoreAnswer& answer) {
  const auto it = context.state.scans.find(prefix);
  if (it == context.state.scans.end()) {
    return;
  }
  const auto* page = std::get_if<StoreDone>(&answer);
  if (page == nullptr) {
    // A scan of all orphans repeats it after the retry delay.
    context.state.scans.erase(it);
    context.state.scanned_at =
        context.now - kOrphanScanInterval + kStoreRetryDelay;
    return;
  }
  for (const StoreItem& item : page->items) {
    if (const auto name = ParseOwnedKey(item.key)) {
      OwnedEntry entry = DecodeOwned(item.value);
      NoteBound(*name, entry, it->second.owned);
      NoteOrphan(context, *name, std::move(entry));
    }
  }
  if (page->more && !page->items.empty()) {
    it->second.after = page->items.back().key;
    ReadScanPage(context, prefix, it->second);
  } else {
    if (prefix == kOwnedPrefix) {
      it->second.owned.began = it->second.began;
      OnOwnedScanned(context, std::move(it->second.owned));
    }
    context.state.scans.erase(it);
  }
}

void DriveAdoption(Context& context) {
  const bool ready =
      IsRegistered(context.state) && !context.state.stop.requested;
  if (ready &&
      HasPassed(context.now, context.state.scanned_at, kOrphanScanInterval)) {
    ScanAllOrphans(context);
  }
  std::vector<std::string> forgotten;
  for (auto& [id, orphan] : context.state.orphans) {
    const OrphanStep step = NextStep(context, id, orphan);
    if (step == OrphanStep::kAdopt && ready) {
      WriteAdoption(context, id, orphan);
    } else if (step == OrphanStep::kForget) {
      forgotten.push_back(id);
    }
  }
  for (const std::string& it : forgotten) {
    context.state.orphans.erase(it);
  }
  DriveRecovery(context);
}

void OnAdopted(Context& context,
               const std::string& id,
               std::uint64_t revision) {
  const OwnedEntry owned = context.state.orphans[id].entry;
  context.state.orphans.erase(id);
  const CatalogEntry& entry = context.state.catalog[id];
  if (!entry.record || !entry.spec) {
    return;
  }
  // A repeated submission may have arrived while the adoption was written.
  OnCreateConflict(context, id, {.key = JobKey(id), .revision = revision});
  if (context.state.jobs.contains(id)) {
    return;
  }
  Job job = RestoreJob(context, id, entry);
  job.team = owned.team;
  job.excess = owned.excess;
  SetFirstStanding(job);
  job.revision = revision;
  job.stored_version = job.version;
  job.confirmed_at = context.now;
  BeginRecovery(context, job);
  ++context.state.totals.adopted;
  context.Log(EventNumber::kJobAdopted,
              {{"job", id},
               {"from", entry.record->owner},
               {"generation", std::to_string(job.generation)},
               {"revision", std::to_string(revision)}});
  context.state.catalog.erase(id);
  context.state.active.insert(id);
  context.state.jobs.emplace(id, std::move(job));
}

void OnAdoptRejected(Context& context, const std::string& id) {
  const auto it = context.state.orphans.find(id);
  if (it != context.state.orphans.end()) {
    it->second.writing = false;
    it->second.retry_at = context.now + kRejectedWritePause;
  }
}

void OnAdoptConflict(Context& context, const std::string& id) {
  const auto it = context.state.orphans.find(id);
  if (it != context.state.orphans.end()) {
    it->second.writing = false;
    RequestRecord(context, id);
  }
}

}  // namespace burdockrock::engine
