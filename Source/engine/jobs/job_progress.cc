#include "engine/jobs/job_progress.h"

#include <algorithm>
#include <map>
#include <utility>

#include "engine/condition_log.h"
#include "engine/jobs/caller_requests.h"
#include "engine/jobs/job_table.h"
#include "engine/jobs/task_crashes.h"
#include "engine/records/record_size.h"
#include "engine/records/record_writer.h"
#include "engine/teams/quota_demand.h"

namespace burdockrock::engine {

namespace {

// Adds the crashes under a task, and a start that may be lost with its worker.
void AddCrashes(const Task& task,
                std::uint32_t step,
                std::uint32_t index,
                OccurrenceRecord& record) {
  const TaskCrashes& crashes = task.crashes;
  if (!crashes.runs.empty()) {
    CrashedRuns crashed{
        .step = step,
        .index = index,
        .excused = {crashes.excused.begin(), crashes.excused.end()},
        .lost_starts = crashes.lost_starts,
        .longest = crashes.longest};
    for (const auto& [run, worker] : crashes.runs) {
      crashed.runs.push_back(run);
      crashed.workers.push_back(worker);
    }
    record.crashed.push_back(std::move(crashed));
  }
  const bool placed =
      task.phase == TaskPhase::kOffered || task.phase == TaskPhase::kRunning;
  if (task.planned) {
    record.starts.push_back({.step = step,
                             .index = index,
                             .run = task.planned->run,
                             .worker = task.planned->worker});
  } else if (placed && MustStoreStart(task)) {
    record.starts.push_back(
        {.step = step, .index = index, .run = task.run, .worker = task.worker});
  }
}

OccurrenceRecord RecordOf(const Job& job, std::uint32_t number) {
  OccurrenceRecord record{.number = number};
  const auto& steps = job.occurrences[number].steps;
  for (std::uint32_t s = 0; s < steps.size(); ++s) {
    std::string marks;
    for (std::uint32_t i = 0; i < steps[s].tasks.size(); ++i) {
      const Task& task = steps[s].tasks[i];
      const bool done = task.phase == TaskPhase::kDone;
      if (!done) {
        AddCrashes(task, s, i, record);
      }
      marks += done ? kDoneMark : FailureMark(task.failures);
      if (!done && !task.ended_runs.empty()) {
        record.ended.push_back(
            {.step = s,
             .index = i,
             .runs = {task.ended_runs.begin(), task.ended_runs.end()}});
      }
    }
    record.steps.push_back(std::move(marks));
  }
  return record;
}

void QueueSave(Context& context, Job& job) {
  job.writing_version = job.version;
  job.writing_state = job.state;
  job.changed_at = kForever;
  job.urgent_write = false;
  Change change{
      .kind = ChangeKind::kSaveJob,
      .job = job.id,
      .version = job.version,
      .conditions = {{.key = JobKey(job.id), .revision = job.revision}},
      .puts = {
          {.key = JobKey(job.id),
           .value = EncodeRecord(context, job.id, RecordOf(context, job))}}};
  if (IsFinal(job.state)) {
    change.removes.push_back(OwnedKey(context.self(), job.id));
  }
  QueueChange(context, std::move(change));
}

// Confirms the ends that are in the job's progress up to `version`.
void ConfirmEnds(Context& context, Job& job, std::uint64_t version) {
  std::map<std::string, EndsStored> by_member;
  std::erase_if(job.unstored_ends, [&](const UnstoredEnd& it) {
    if (it.version > version) {
      return false;
    }
    by_member[it.from].ends.push_back(it.end);
    return true;
  });
  for (auto& [member, stored] : by_member) {
    Send(context, member, std::move(stored));
  }
}

// Removes the store's record of an ended job, which is kept as long as callers
// may query it.
void QueueForget(Context& context, const Job& job) {
  QueueChange(
      context,
      Change{.kind = ChangeKind::kRemoveJob,
             .job = job.id,
             .conditions = {{.key = JobKey(job.id), .revision = job.revision}},
             .removes = {JobKey(job.id), SpecKey(job.id)}});
}

// Removes a job that this instance has not created.
void DropUnstored(Context& context, Job& job) {
  AnswerStatusWaiters(context, job, true);
  const std::string id = job.id;
  const std::vector<PendingCaller> cancel_waiters =
      std::move(job.cancel_waiters);
  context.state.active.erase(id);
  context.state.jobs.erase(id);
  RedirectCancelWaiters(context, id, cancel_waiters);
}

// Whether the record only tells that the occurrence has begun.
bool IsBlank(const OccurrenceRecord& record) {
  return record.ended.empty() && record.crashed.empty() &&
         record.starts.empty() &&
         std::all_of(record.steps.begin(), record.steps.end(),
                     [](const std::string& marks) {
                       return marks.find_first_not_of(FailureMark(0)) ==
                              std::string::npos;
                     });
}

void AddDone(std::uint32_t number, std::vector<OccurrenceRange>& done) {
  if (!done.empty() && done.back().last + 1 == number) {
    done.back().last = number;
  } else {
    done.push_back({.first = number, .last = number});
  }
}

// Adds an occurrence of a repeated job. An adopter restores all that are due,
// so that only what it can't know is stored.
void AddOccurrence(const Job& job,
                   std::uint32_t number,
                   bool ranges,
                   JobRecord& record) {
  if (ranges && IsOccurrenceDone(job, number)) {
    return AddDone(number, record.done);
  }
  OccurrenceRecord occurrence = RecordOf(job, number);
  if (!IsBlank(occurrence)) {
    record.occurrences.push_back(std::move(occurrence));
  }
}

}  // namespace

JobRecord RecordOf(const Context& context, const Job& job) {
  JobRecord record{.owner = context.self(),
                   .generation = job.generation,
                   .write = job.version,
                   .state = job.state,
                   .queue = job.queue,
                   .ended_ms = job.ended_ms,
                   .accepted_ms = job.accepted_ms,
                   .cause = job.cause};
  const bool repeated = job.occurrences.size() > 1;
  const bool ranges =
      !ListsDone(job.spec, job.done_occurrences, context.state.options.bounds);
  for (std::uint32_t k = 0; k < job.occurrences.size(); ++k) {
    if (job.occurrences[k].steps.empty()) {
      continue;
    }
    if (repeated) {
      AddOccurrence(job, k, ranges, record);
    } else {
      record.occurrences.push_back(RecordOf(job, k));
    }
  }
  return record;
}

std::string EncodeRecord(Context& context,
                         const std::string& job,
                         JobRecord record) {
  const Bounds& bounds = context.state.options.bounds;
  BoundedRecord bounded = EncodeWithin(bounds, std::move(record));
  if (bounded.shortened) {
    ++context.state.totals.shortened_records;
    context.Log(EventNumber::kRecordShortened,
                {{"job", job},
                 {"bytes", std::to_string(bounded.text.size())},
                 {"limit", std::to_string(bounds.max_value_bytes)}});
  }
  return std::move(bounded.text);
}

OwnedEntry OwnedEntryOf(const Job& job) {
  OwnedEntry entry{.team = job.team, .excess = job.excess};
  if (!job.team.empty()) {
    entry.most = MostChargeOf(job.spec);
  }
  return entry;
}

void QueueCreation(Context& context, const Job& job) {
  QueueChange(
      context,
      Change{.kind = ChangeKind::kCreateJob,
             .job = job.id,
             .version = job.version,
             .conditions = {{.key = JobKey(job.id), .revision = 0}},
             .puts = {{.key = JobKey(job.id),
                       .value = EncodeJob(RecordOf(context, job))},
                      {.key = SpecKey(job.id), .value = EncodeSpec(job.spec)},
                      {.key = OwnedKey(context.self(), job.id),
                       .value = EncodeOwned(OwnedEntryOf(job))}}});
}

void DriveProgress(Context& context) {
  for (const std::string& id : context.state.active) {
    Job& job = context.state.jobs.at(id);
    const bool changed = job.version > job.stored_version;
    if (!job.stored || !changed || job.writing_version != 0 ||
        context.now < job.save_after) {
      continue;
    }
    if (job.urgent_write ||
        HasPassed(context.now, job.changed_at, kProgressInterval)) {
      QueueSave(context, job);
    }
  }
  FlushStops(context);
}

void ForgetEnded(Context& context) {
  // Twice the time that callers may rely on, because their clocks and this one
  // differ.
  const Duration kept = 2 * context.state.options.bounds.state_kept;
  std::vector<std::string> old;
  for (const auto& [id, job] : context.state.jobs) {
    const bool ended = IsFinal(job.stored_state) && job.unstored_ends.empty() &&
                       job.stored_version == job.version;
    if (ended && HasPassed(context.now, job.ended_at, kept)) {
      old.push_back(id);
    }
  }
  for (const std::string& it : old) {
    QueueForget(context, context.state.jobs.at(it));
    context.state.jobs.erase(it);
  }
}

void OnCreated(Context& context,
               const std::string& id,
               std::uint64_t revision) {
  Job* job = FindJob(context.state, id);
  if (job == nullptr) {
    return;
  }
  job->stored = true;
  job->revision = revision;
  job->stored_version = 1;
  context.state.digest.waiting_changed = true;
  context.state.placement_due = true;
  ++context.state.totals.accepted;
  context.Log(EventNumber::kJobAccepted,
              {{"job", id},
               {"queue", job->queue},
               {"revision", std::to_string(revision)},
               {"after_ms",
                std::to_string(ToMilliseconds(context.now - job->created))}});
  for (const std::uint64_t it : std::exchange(job->submit_waiters, {})) {
    context.Emit(AnswerCaller{.call = it, .answer = JobAccepted{}});
  }
  if (job->cancel_requested) {
    EndJob(context, *job, JobState::kCancelled, "caller");
  }
}

// Another instance has accepted the same job, or an earlier incarnation of this
// one has.
void OnCreateConflict(Context& context,
                      const std::string& id,
                      const StoreItem& item) {
  Job* job = FindJob(context.state, id);
  if (job == nullptr || job->stored) {
    return;  // this instance has adopted the job meanwhile
  }
  context.Log(EventNumber::kJobRepeated,
              {{"job", id}, {"revision", std::to_string(item.revision)}});
  for (const std::uint64_t it : std::exchange(job->submit_waiters, {})) {
    context.Emit(AnswerCaller{.call = it, .answer = JobAccepted{}});
  }
  DropUnstored(context, *job);
}

void OnSaved(Context& context,
             const std::string& id,
             std::uint64_t version,
             std::uint64_t revision) {
  Job* job = FindJob(context.state, id);
  if (job == nullptr) {
    return;
  }
  job->revision = revision;
  job->stored_version = version;
  job->confirmed_at = context.now;
  job->writing_version = 0;
  job->rejected_saves = 0;
  job->stored_state = job->writing_state;
  job->verified = job->verified || version == job->version;
  context.state.placement_due = true;
  ConfirmEnds(context, *job, job->stored_version);
  if (!IsFinal(job->stored_state)) {
    return;
  }
  AnswerStatusWaiters(context, *job, true);
  if (!job->cancel_waiters.empty()) {
    TrackAcknowledgedCancel(context, *job);
  }
  for (const PendingCaller& it : std::exchange(job->cancel_waiters, {})) {
    AnswerCancel(context, it, job->stored_state);
  }
  context.state.digest.waiting_changed = true;
}

void OnSaveConflict(Context& context,
                    const std::string& id,
                    const StoreItem& item) {
  Job* job = FindJob(context.state, id);
  if (job == nullptr) {
    return;
  }
  job->writing_version = 0;
  auto decoded = DecodeJob(item.value);
  const auto* record = std::get_if<JobRecord>(&decoded);
  if (item.revision != 0 && record != nullptr &&
      record->owner == context.self() &&
      record->generation == job->generation) {
    // The conflict is with an own write whose answer was lost.
    job->revision = item.revision;
    job->urgent_write = true;
    return;
  }
  DropJob(context, id, item.revision == 0 ? "no record" : "adopted");
}

void OnCreateRejected(Context& context,
                      const std::string& id,
                      const std::string& detail) {
  Job* job = FindJob(context.state, id);
  if (job == nullptr || job->stored) {
    return;
  }
  for (const std::uint64_t it : std::exchange(job->submit_waiters, {})) {
    context.Emit(AnswerCaller{
        .call = it,
        .answer = BadRequest{.fault = {.path = "steps",
                                       .problem = "the store does not accept "
                                                  "the job: " +
                                                  detail,
                                       .allowed = "a smaller job"}}});
  }
  DropUnstored(context, *job);
}

void OnSaveRejected(Context& context, const std::string& id) {
  Job* job = FindJob(context.state, id);
  if (job == nullptr) {
    return;
  }
  if (++job->rejected_saves >= kRejectedSavesTolerated &&
      !job->unstored_ends.empty()) {
    context.Log(EventNumber::kEndsNotStored,
                {{"job", id},
                 {"ends", std::to_string(job->unstored_ends.size())},
                 {"rejected", std::to_string(job->rejected_saves)}});
    ConfirmEnds(context, *job, job->writing_version);
  }
  job->writing_version = 0;
  job->urgent_write = true;
  job->save_after = context.now + kRejectedWritePause;
}

void MarkOwnershipUnverified(Context& context) {
  for (const std::string& id : context.state.active) {
    Job& job = context.state.jobs.at(id);
    job.verified = false;
    MarkChanged(context, job, true);
  }
}

void DropJob(Context& context, const std::string& id, const char* cause) {
  Job* job = FindJob(context.state, id);
  if (job == nullptr) {
    return;
  }
  // Ends on own workers must be reported to the new owner.
  if (const auto known = context.state.known.find(id);
      known != context.state.known.end() &&
      known->second.owner == context.self()) {
    known->second.owner.clear();
  }
  context.Log(EventNumber::kJobLost,
              {{"job", id},
               {"generation", std::to_string(job->generation)},
               {"cause", cause}});
  AnswerStatusWaiters(context, *job, true);
  const std::vector<PendingCaller> cancel_waiters =
      std::move(job->cancel_waiters);
  context.state.active.erase(id);
  context.state.jobs.erase(id);
  RedirectCancelWaiters(context, id, cancel_waiters);
}

void ConfirmWhenStored(Context& context,
                       Job& job,
                       const std::string& from,
                       const EndReport& report) {
  if (report.sequence == 0) {
    return;
  }
  job.unstored_ends.push_back(
      {.from = from,
       .end = {.worker = report.worker, .sequence = report.sequence},
       .version = job.version});
  if (job.stored_version >= job.version) {
    ConfirmEnds(context, job, job.stored_version);
  }
}

}  // namespace burdockrock::engine
