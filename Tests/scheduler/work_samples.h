// Sample requests and jobs for the tests of the reducer.
#ifndef BURDOCKROCK_TESTS_SCHEDULER_WORK_SAMPLES_H_
#define BURDOCKROCK_TESTS_SCHEDULER_WORK_SAMPLES_H_

#include <cstdint>
#include <string>

#include "model/work.h"
#include "scheduler/entry_group.h"

namespace burdockrock {

inline Request DeskRequest(const std::string& payload) {
  return {.service = "desk",
          .deadline = std::chrono::seconds(2),
          .payload = payload};
}

inline Request PermitRequest(const std::string& key) {
  Request request = DeskRequest("sleep_ms=300;answer=permit;key=" + key);
  request.idempotent = false;
  request.key = key;
  return request;
}

inline JobSpec SmallJob(JobKind kind, std::uint32_t count) {
  return {.kind = kind,
          .count = count,
          .resources = {.processors_milli = 1000, .memory_mb = 512},
          .payload = "sleep_ms=300;answer=fine"};
}

inline JobSpec LongJob(JobKind kind, std::uint32_t count) {
  JobSpec spec = SmallJob(kind, count);
  spec.payload = "sleep_ms=8000;answer=fine";
  return spec;
}

// Runs until the job is finished with all tasks done.
inline bool RunUntilDone(EntryGroup& group,
                         const std::string& job,
                         Duration limit) {
  return group.RunUntil(
      [&] {
        const auto status = group.StatusOf(job);
        return status && status->state == WorkState::kFinished;
      },
      limit);
}

// Runs until the entries have claimed their workers; false after 60 s.
inline bool Settle(EntryGroup& group) {
  return group.RunUntil([&] { return group.IsSettled(); },
                        std::chrono::seconds(60));
}

}  // namespace burdockrock

#endif  // BURDOCKROCK_TESTS_SCHEDULER_WORK_SAMPLES_H_
