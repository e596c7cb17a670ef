#include "scheduler/journal_check.h"

#include <algorithm>
#include <utility>

#include "scheduler/context.h"

namespace burdockrock {

namespace {

bool HasOpenJobs(const State& state, const std::string& log) {
  const auto& jobs = state.jobs.jobs;
  return std::any_of(jobs.begin(), jobs.end(), [&](const auto& it) {
    return it.second.log == log && !it.second.finished;
  });
}

void EndCheck(Context& context, WorkerRecord& worker, const std::string& log) {
  if (worker.unchecked_journals.erase(log) > 0) {
    UpdateOpen(context, worker);
  }
}

}  // namespace

void CheckJournals(Context& context, WorkerRecord& worker) {
  const State& state = context.state();
  worker.unchecked_journals.clear();
  worker.checked_epoch = worker.epoch;
  if (worker.info.role != InstanceRole::kWorker) {
    return;
  }
  for (const auto& [name, journal] : state.jobs.journals) {
    if (!journal.ready || !HasOpenJobs(state, name)) {
      continue;
    }
    worker.unchecked_journals.insert(name);
    AppendTo(context, name, RecordOfGeneration(journal), {.urgent = true},
             CheckAppend{.log = name,
                         .worker = worker.info.id,
                         .epoch = worker.checked_epoch});
  }
}

void OnJournalChecked(Context& context, const CheckAppend& check) {
  auto& workers = context.state().ownership.workers;
  const auto it = workers.find(check.worker);
  // A worker that was lost and claimed again waits for the check of the later
  // claim.
  if (it != workers.end() && it->second.checked_epoch == check.epoch) {
    EndCheck(context, it->second, check.log);
  }
}

void ForgetChecks(Context& context, const std::string& log) {
  for (auto& [id, worker] : context.state().ownership.workers) {
    EndCheck(context, worker, log);
  }
}

void YieldJournals(Context& context,
                   const std::string& peer,
                   const std::vector<LedLog>& logs) {
  for (const LedLog& it : logs) {
    const auto& journals = context.state().jobs.journals;
    const auto own = journals.find(it.name);
    if (own != journals.end() && own->second.generation < it.generation) {
      context.Log(EventNumber::kLogFenced, {{"log", it.name}, {"by", peer}});
      ForgetJournal(context, it.name);
    }
  }
}

}  // namespace burdockrock
