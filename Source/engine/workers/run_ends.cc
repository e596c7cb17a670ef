#include "engine/workers/run_ends.h"

#include <map>
#include <optional>
#include <utility>

#include "engine/members/membership.h"
#include "engine/records/catalog.h"
#include "engine/workers/worker_crashes.h"

namespace burdockrock::engine {

namespace {

// Quarantines a worker that fails everything, as it would accept tasks as fast
// as it fails them. Consecutive failures of different jobs, without a success
// between them, tell such a worker from a single bad job.
void RecordOutcome(Context& context,
                   const std::string& id,
                   OwnedWorker& worker,
                   const EndedRow& row,
                   const std::string& job) {
  if (row.how == RunEnd::kDone) {
    worker.consecutive_failures = 0;
    return;
  }
  if (row.how != RunEnd::kFailed || worker.failed_job == job) {
    return;
  }
  worker.failed_job = job;
  if (++worker.consecutive_failures < kMaxFailuresInRow) {
    return;
  }
  // A single failure after the quarantine starts the next one.
  worker.consecutive_failures = kMaxFailuresInRow - 1;
  worker.quarantine_until = context.now + kQuarantine;
  context.Log(
      EventNumber::kWorkerQuarantined,
      {{"worker", id}, {"failures", std::to_string(kMaxFailuresInRow)}});
}

// Reports of an end without a confirmation after which the job's record is read
// again, since the job may have another owner.
constexpr std::uint32_t kReportsPerRead = 3;

std::string JobOf(const std::string& task) {
  const auto name = ParseTaskName(task);
  return name ? name->job : std::string();
}

// Lets the worker drop the leading ends that are stored, or whose jobs have
// ended, with the next poll.
void Acknowledge(OwnedWorker& worker) {
  while (!worker.ends.empty() && worker.ends.begin()->second.stored) {
    worker.acknowledged = worker.ends.begin()->first;
    worker.ends.erase(worker.ends.begin());
  }
}

EndReport MakeReport(const std::string& worker, const EndedRow& row) {
  return {.worker = worker,
          .sequence = row.sequence,
          .task = row.task,
          .run = row.run,
          .how = row.how,
          .checkpoint = row.checkpoint};
}

}  // namespace

bool ApplyEnd(Context& context,
              const std::string& id,
              OwnedWorker& worker,
              const EndedRow& row) {
  if (row.sequence <= worker.highest_end) {
    return false;
  }
  worker.highest_end = row.sequence;
  const std::string job = JobOf(row.task);
  worker.ends[row.sequence] = LocalEnd{.row = row};
  RecordOutcome(context, id, worker, row, job);
  const auto run = worker.runs.find(row.task);
  std::optional<Duration> took;
  Duration estimate{0};
  if (run != worker.runs.end() && run->second.run <= row.run) {
    took = context.now - run->second.since;
    estimate = run->second.spec.estimate;
    if (row.how == RunEnd::kDone && run->second.checkpoint.empty() &&
        !run->second.spec.gang && !run->second.spec.filling) {
      worker.speed.Add(context.now - run->second.since,
                       run->second.spec.estimate);
    }
    if (run->second.offer_unanswered) {
      // The run ended before the reply to its start arrived. The report of the
      // end also answers the offer.
      run->second.offer_unanswered = false;
    }
    if (run->second.found) {
      worker.ends_at_claim = row.sequence;
    }
    worker.runs.erase(run);
  }
  const auto unread = worker.unread.find(row.task);
  if (unread != worker.unread.end() && unread->second.run.run <= row.run) {
    if (unread->second.run.found) {
      worker.ends_at_claim = row.sequence;
    }
    worker.unread.erase(unread);
  }
  if (const auto name = ParseTaskName(row.task)) {
    context.state.end_log.Add(context.now, {.task = *name,
                                            .run = row.run,
                                            .worker = id,
                                            .how = row.how,
                                            .took = took,
                                            .estimate = estimate});
  } else {
    context.Log(EventNumber::kWorkerMalformed,
                {{"worker", id}, {"problem", "task name " + row.task}});
  }
  return true;
}

void DriveEnds(Context& context) {
  std::map<std::string, EndReports> by_owner;
  for (auto& [id, worker] : context.state.owned) {
    for (auto& [sequence, end] : worker.ends) {
      if (end.stored ||
          !HasPassed(context.now, end.reported_at, kEndReportInterval)) {
        continue;
      }
      end.reported_at = context.now;
      if (++end.report_count % kReportsPerRead == 0) {
        RequestRecord(context, JobOf(end.row.task));
      }
      const std::string job = JobOf(end.row.task);
      const KnownJob& known = context.state.known[job];
      if (known.ended || job.empty()) {
        end.stored = true;
        continue;
      }
      const std::string owner = OwnerOfJob(context.state, job);
      if (owner.empty()) {
        RequestRecord(context, job);
        continue;
      }
      by_owner[owner].ends.push_back(MakeReport(id, end.row));
    }
    Acknowledge(worker);
  }
  for (auto& [owner, reports] : by_owner) {
    Send(context, owner, std::move(reports));
  }
}

void OnEndsStored(Context& context, const EndsStored& stored) {
  for (const StoredEnd& it : stored.ends) {
    const auto worker = context.state.owned.find(it.worker);
    if (worker == context.state.owned.end()) {
      OnCrashStored(context.state, it);
      continue;
    }
    const auto end = worker->second.ends.find(it.sequence);
    if (end != worker->second.ends.end()) {
      end->second.stored = true;
    }
    Acknowledge(worker->second);
  }
}

bool RepeatEndReports(OwnedWorker& worker, const std::string& task) {
  bool found = false;
  for (auto& [sequence, end] : worker.ends) {
    if (end.row.task == task) {
      end.reported_at = Time::min();
      found = true;
    }
  }
  return found;
}

void AddEndsOfJobs(const std::string& id,
                   OwnedWorker& worker,
                   const std::set<std::string>& jobs,
                   std::vector<EndReport>& out) {
  for (auto& [sequence, end] : worker.ends) {
    if (jobs.contains(JobOf(end.row.task))) {
      // A previous owner of the job may have confirmed it without the current
      // one knowing.
      end.stored = false;
      out.push_back(MakeReport(id, end.row));
    }
  }
}

bool HasEndOf(const OwnedWorker& worker,
              const std::string& task,
              std::uint64_t run) {
  for (const auto& [sequence, end] : worker.ends) {
    if (end.row.task == task && end.row.run >= run) {
      return true;
    }
  }
  return false;
}

void ReportLostRun(Context& context,
                   const std::string& id,
                   const std::string& task,
                   const LocalRun& run,
                   RunEnd how) {
  const std::string owner = OwnerOfJob(context.state, JobOf(task));
  if (owner.empty()) {
    return;  // the job's next owner queries its runs and finds this one missing
  }
  ++context.state.totals.lost_runs;
  Send(context, owner,
       EndReports{.ends = {{.worker = id,
                            .task = task,
                            .run = run.run,
                            .how = how,
                            .checkpoint = run.checkpoint}}});
}

void ReportLostRuns(Context& context,
                    const std::string& id,
                    const OwnedWorker& worker,
                    bool crashed) {
  for (const auto& [sequence, end] : worker.ends) {
    const std::string owner = OwnerOfJob(context.state, JobOf(end.row.task));
    if (!end.stored && !owner.empty()) {
      Send(context, owner, EndReports{.ends = {MakeReport(id, end.row)}});
    }
  }
  for (const auto& [task, run] : worker.runs) {
    if (crashed && IsReportedAsCrashed(context, worker, run)) {
      ++context.state.totals.lost_runs;
    } else {
      ReportLostRun(context, id, task, run);
    }
  }
  for (const auto& [task, it] : worker.unread) {
    ReportLostRun(context, id, task, it.run);
  }
}

std::string OwnerOfJob(const State& state, const std::string& job) {
  if (state.jobs.contains(job)) {
    return state.options.self.incarnation;
  }
  const auto it = state.known.find(job);
  if (it == state.known.end() ||
      FindMember(state, it->second.owner) == nullptr) {
    return {};
  }
  return it->second.owner;
}

}  // namespace burdockrock::engine
