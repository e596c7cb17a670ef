// Jobs and checks that the failure tests share.
#ifndef BURDOCKROCK_TESTS_SCHEDULER_FAILURE_CHECKS_H_
#define BURDOCKROCK_TESTS_SCHEDULER_FAILURE_CHECKS_H_

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "scheduler/entry_group.h"
#include "scheduler/work_samples.h"

namespace burdockrock {

// Submits a job, requires that it is accepted, and returns its id.
inline std::string AcceptJob(EntryGroup& group,
                             const std::string& entry,
                             const JobSpec& spec) {
  const ReplyId reply = group.Submit(entry, spec);
  group.RunUntil([&] { return group.AnswerTo(reply) != nullptr; },
                 std::chrono::seconds(10));
  REQUIRE(group.VerdictOf(reply) == Verdict(Accepted{}));
  return group.JobIdOf(reply);
}

inline JobSpec JobOf(JobKind kind, std::uint32_t count, int milliseconds) {
  JobSpec spec = SmallJob(kind, count);
  spec.payload = "sleep_ms=" + std::to_string(milliseconds) + ";answer=fine";
  return spec;
}

inline std::vector<std::string> WorkersOf(const EntryGroup& group) {
  std::vector<std::string> ids;
  for (std::uint32_t it = 0; it < group.options().workers; ++it) {
    ids.push_back("d0-w" + std::to_string(it));
  }
  return ids;
}

// Number of starts that exceeded the capacity of their worker. The fake worker
// refuses them, so its bookings alone would not show them.
inline std::uint64_t Overcommits(EntryGroup& group) {
  std::uint64_t total = 0;
  for (const std::string& it : WorkersOf(group)) {
    total += group.worker(it).overcommit_attempts();
  }
  return total;
}

// The highest number of ended attempts of any task of the job.
inline std::uint32_t MostRuns(EntryGroup& group, const std::string& job) {
  std::map<std::uint32_t, std::uint32_t> runs;
  std::uint32_t most = 0;
  for (const std::string& id : WorkersOf(group)) {
    for (const standin::Execution& it : group.worker(id).executions()) {
      if (it.attempt.job == job) {
        most = std::max(most, ++runs[it.attempt.task]);
      }
    }
  }
  return most;
}

// The live entry that owns the worker; empty if none does.
inline std::string OwnerOf(EntryGroup& group, const std::string& worker) {
  for (const std::string& it : group.entries()) {
    if (!group.IsUp(it)) {
      continue;
    }
    const auto& workers = group.state(it).ownership.workers;
    const auto record = workers.find(worker);
    if (record != workers.end() && record->second.state == OwnerState::kOwned) {
      return it;
    }
  }
  return "";
}

// The live entry that writes the journal of the job; empty if none does.
inline std::string WriterOfJob(EntryGroup& group, const std::string& job) {
  for (const std::string& it : group.entries()) {
    if (group.IsUp(it) && !group.faults(it).paused &&
        group.state(it).jobs.jobs.contains(job)) {
      return it;
    }
  }
  return "";
}

// Runs until no task of the job is queued, starting or running.
inline bool RunUntilEnded(EntryGroup& group,
                          const std::string& job,
                          Duration limit) {
  return group.RunUntil(
      [&] {
        const auto status = group.StatusOf(job);
        return status &&
               status->queued + status->starting + status->running == 0;
      },
      limit);
}

}  // namespace burdockrock

#endif  // BURDOCKROCK_TESTS_SCHEDULER_FAILURE_CHECKS_H_
