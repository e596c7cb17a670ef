// A job as its owner sees it.
#ifndef BURDOCKROCK_ENGINE_JOBS_JOB_H_
#define BURDOCKROCK_ENGINE_JOBS_JOB_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "engine/advice/advice_reason.h"
#include "engine/jobs/job_model.h"
#include "engine/jobs/worker_set.h"
#include "engine/members/peer_message.h"
#include "engine/records/record.h"
#include "model/time.h"

namespace burdockrock::engine {

enum class TaskPhase {
  kUnknown,  // after an adoption: it may run somewhere
  kWaiting,
  kOffered,
  kRunning,
  kDone,
};

// A second run of a task whose step allows copies.
struct TaskCopy {
  std::uint64_t run = 0;
  std::string worker{};
  bool running = false;
  bool stopping = false;
  Time stop_sent = Time::min();
  Time stopping_since{0};
  Time last_update{0};
};

struct Task {
  TaskPhase phase = TaskPhase::kWaiting;
  std::uint64_t run = 0;                 // the last one that was offered
  std::set<std::uint64_t> ended_runs{};  // counted; the last few
  std::uint32_t failures = 0;
  std::string worker{};
  std::string checkpoint{};
  std::string avoid_worker{};  // the worker where it failed or stood still last
  Time since{0};               // in its phase
  Time last_update{0};         // of its run, last
  Time last_query{0};          // its worker's owner was asked for its run, last
  Time retry_at{0};
  bool booked = false;  // a gang's: its room is kept
  bool stopping = false;
  Time stop_sent = Time::min();  // the order to stop it, last
  Time stopping_since{0};
  std::optional<TaskCopy> copy{};
  bool copy_wanted = false;
  std::uint64_t last_copy = 0;  // the run of the copy before
};

struct StepTicket {
  std::string text{};
  Time expires{0};
  AdviceReason reason = AdviceReason::kFirst;  // of the call that gave it
};

struct StepRun {
  std::vector<Task> tasks{};
  std::uint32_t done = 0;
  std::map<std::string, StepTicket> tickets{};  // by worker
  std::set<std::string> denied{};               // workers
  Time advice_checked_at = Time::min();  // whether to ask for advice, last
  Time advice_called_at = Time::min();   // for advice, last
  bool advice_pending = false;
  bool advice_unanswered = false;     // its last question was
  std::uint32_t advice_declines = 0;  // of its last question, in a row
  // For the log, what it waited for. kForever: not yet.
  Time ready_at = kForever;    // its turn came
  Time advised_at = kForever;  // first tickets
  Time first_start = kForever;
  Time last_start = kForever;
  Time done_at = kForever;
  std::uint64_t gang_run = 0;          // of all members
  std::uint64_t gang_failed_run = 0;   // counted as a failure
  std::uint64_t gang_started_run = 0;  // the run whose start was ordered
};

struct Occurrence {
  std::vector<StepRun> steps{};
  bool begun = false;
  std::int64_t due_ms = 0;
};

// An end that the worker may forget once the progress is stored.
struct UnstoredEnd {
  std::string from{};  // the member that reported it
  StoredEnd end{};
  std::uint64_t version = 0;
};

// Who waits for an answer about a job: a caller of this instance or of another.
struct PendingCaller {
  std::string member{};  // empty: a caller here
  std::uint64_t call = 0;
  Time reply_by = kForever;  // is answered by then, whatever is known
};

struct Job {
  std::string id{};
  JobSpec spec{};
  std::string queue{};
  std::uint64_t generation = 0;
  std::int64_t accepted_ms = 0;
  Time created{0};                            // here
  bool stored = false;                        // the store has it
  JobState state = JobState::kQueued;         // as this owner sees it
  JobState stored_state = JobState::kQueued;  // as callers may see it
  bool started = false;                       // a task has started
  std::vector<Occurrence> occurrences{};
  std::uint64_t revision = 0;  // of its record
  std::uint64_t version = 1;   // of the progress, rises with each change
  std::uint64_t stored_version = 0;
  std::uint64_t writing_version = 0;  // 0: none in flight
  JobState writing_state = JobState::kQueued;
  Time changed_at = kForever;  // the oldest change that is not stored
  bool urgent_write = false;
  Time confirmed_at{0};  // a write of the record was last asked for or done
  // False after the registration was lost: somebody may have adopted the job,
  // which the next write to the store tells.
  bool verified = true;
  std::vector<UnstoredEnd> unstored_ends{};
  // After an adoption.
  bool recovering = false;
  WorkerSet unreported_workers{};  // workers that were not heard of yet
  std::set<std::string>
      awaited_members{};  // members that have not answered yet
  bool members_queried = false;
  // Callers that wait for its creation or its cancel to be stored.
  std::vector<std::uint64_t> submit_waiters{};
  std::vector<PendingCaller> cancel_waiters{};
  // Asked for the state while the end may be on its way.
  std::vector<PendingCaller> status_waiters{};
  bool cancel_requested = false;  // before it was stored
  Time ended_at = kForever;
  std::int64_t ended_ms = 0;  // wall time since 1970
};

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_JOBS_JOB_H_
