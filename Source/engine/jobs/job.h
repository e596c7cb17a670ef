// A job in the memory of the entry instance that owns it: its steps, the tasks
// of each occurrence and their runs, and which of this the store already holds.
#ifndef BURDOCKROCK_ENGINE_JOBS_JOB_H_
#define BURDOCKROCK_ENGINE_JOBS_JOB_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "engine/advice/advice_history.h"
#include "engine/advice/advice_reason.h"
#include "engine/jobs/job_model.h"
#include "engine/jobs/objective_rule.h"
#include "engine/jobs/worker_set.h"
#include "engine/members/peer_message.h"
#include "engine/records/record.h"
#include "model/time.h"

namespace burdockrock::engine {

// State of a task as far as its job's owner knows it.
enum class TaskPhase {
  kUnknown,  // the job was adopted; a run may exist at some worker
  kWaiting,  // for a worker
  kOffered,  // a run was offered to the worker's owner; not known to have begun
  kRunning,
  kDone,
};

// A second run of a task whose step allows concurrent copies.
struct TaskCopy {
  std::uint64_t run = 0;
  std::string worker{};
  bool running = false;
  bool stopping = false;         // a stop command was sent
  Time stop_sent = Time::min();  // the last stop command
  Time stopping_since{0};        // the first stop command
  Time last_update{0};  // last update on the run, from its worker's owner
};

// Runs of a task whose workers crashed.
struct TaskCrashes {
  std::map<std::uint64_t, std::string> runs{};  // counted, with the workers
  // Of these, crashes with a group of workers that are not held against the
  // task, and those that may yet turn out to be such.
  std::set<std::uint64_t> excused{};
  std::set<std::uint64_t> doubtful{};
  // Of these, starts that were stored and found nowhere: they may not have been
  // sent before their worker crashed.
  std::uint32_t lost_starts = 0;
  std::size_t untold = 0;   // not counted: may be lost with former owners
  Duration longest{0};      // the longest of these runs
  Time last = Time::min();  // when the last one was counted
  // The last run that had been at work for too long to be counted.
  std::uint64_t excused_run = 0;
};

// The next start of a task, which has to be stored before it is sent.
struct PlannedStart {
  std::uint64_t run = 0;
  std::string worker{};
  std::uint64_t version = 0;  // of the job's progress that holds it
};

// One task of a step and its current run.
struct Task {
  TaskPhase phase = TaskPhase::kWaiting;
  std::uint64_t run = 0;  // the last run that was offered; 0: none
  std::set<std::uint64_t> ended_runs{};  // counted already; the last few
  std::uint32_t failures = 0;            // runs that ended failed
  std::string worker{};                  // of the run; empty: none
  std::string checkpoint{};              // where the next run resumes
  std::string avoid_worker{};  // the worker where a run last failed or stalled
  Time since{0};               // when it entered its phase
  // Since when it has neither run nor been at work; offers that do not start a
  // run leave it as it is.
  Time idle_since{0};
  Time last_update{0};  // last update on its run
  Time last_query{0};   // last query for its run to the worker's owner
  Time retry_at{0};     // not placed before this
  bool booked = false;  // the worker's owner has confirmed the reserved room
  Time booked_at{0};    // when the worker's owner last confirmed the booking
  Time offered_at{0};   // when its last offer was sent
  // Not of a gang: room is reserved at the worker, and nothing may run there
  // before the start, which waits for a ticket or for the store. The start has
  // a run number of its own, so that a late answer to the reservation does not
  // count for it.
  bool reserved = false;
  bool stopping = false;         // a stop command was sent
  Time stop_sent = Time::min();  // the last stop command
  Time stopping_since{0};        // the first stop command
  std::optional<TaskCopy> copy{};
  bool copy_wanted = false;     // a copy is to be placed
  std::uint64_t last_copy = 0;  // run number of the previous copy
  TaskCrashes crashes{};
  // A run of a former owner may have been lost without a trace.
  bool may_have_crashed = false;
  std::optional<PlannedStart> planned{};
};

// Permission of the advice service to start tasks of a step on one worker.
struct StepTicket {
  std::string text{};  // as the service sent it; passed on to the worker
  Time expires{0};
  AdviceReason reason = AdviceReason::kFirst;  // of the call that returned it
};

// Progress of one step in one occurrence of the job.
struct StepRun {
  std::vector<Task> tasks{};
  std::uint32_t done = 0;                       // tasks
  std::map<std::string, StepTicket> tickets{};  // by worker
  std::set<std::string> denied{};               // workers that advice ruled out
  Time advice_checked_at = Time::min();  // last check whether to request advice
  Time advice_called_at = Time::min();   // last advice request
  Time advice_answered_at = Time::min();  // last reply of the advice service
  bool advice_in_line = false;            // an advice request waits to be sent
  bool advice_pending = false;            // an advice request is pending
  bool advice_unanswered = false;  // the last advice request got no answer
  AdviceHistory advice_history{};
  // At the last check, a worker where the step is known to be allowed had room
  // for a task, and the team's cap had none. The step asks for its part of the
  // cap without a ticket.
  bool awaits_cap = false;
  // Times for the log, which shows what the step waited for. kForever: not yet.
  Time ready_at = kForever;    // all that it depends on was done
  Time advised_at = kForever;  // first tickets
  Time first_start = kForever;
  Time last_start = kForever;
  Time done_at = kForever;
  std::uint64_t gang_run = 0;  // the run number that all members share
  Time gang_booking_since{0};  // when the room for that run was first requested
  std::uint64_t gang_failed_run = 0;   // the last run counted as a failure
  std::uint64_t gang_started_run = 0;  // the last run with a start command
  // The last runs for which 504 told of one booking and of all of them.
  std::uint64_t gang_rebooked_run = 0;
  std::uint64_t gang_backed_off_run = 0;
  std::uint64_t gang_stored_run = 0;      // the last run that was to be stored
  std::uint64_t gang_stored_version = 0;  // of the progress that holds it
};

// One execution of a repeated job; a job that is not repeated has one.
struct Occurrence {
  std::vector<StepRun> steps{};  // empty until it has begun
  bool begun = false;
  std::int64_t due_ms = 0;                // wall time since 1970
  Standing standing = Standing::kInTime;  // up to DriveStandings()
};

// The end of a run that is acknowledged to its worker once the store holds the
// job's progress at this version.
struct UnstoredEnd {
  std::string from{};  // the member that reported it
  StoredEnd end{};
  std::uint64_t version = 0;  // of the job's progress
};

// Waits for a reply about a job: a caller of this instance, or of another one
// that forwarded the query.
struct PendingCaller {
  std::string member{};  // the forwarding instance; empty: this one
  std::uint64_t call = 0;
  Time reply_by = kForever;  // replies then with what is known, if not before
};

// A job that this instance owns.
struct Job {
  std::string id{};
  JobSpec spec{};
  std::string queue{};
  std::string team{};                         // of its caller; empty: none
  bool excess = false;                        // beyond its team's entitlement
  std::uint64_t generation = 0;               // rises with each new owner
  std::int64_t accepted_ms = 0;               // wall time since 1970
  Time created{0};                            // submitted or adopted here
  bool stored = false;                        // the store holds its record
  JobState state = JobState::kQueued;         // according to this owner
  JobState stored_state = JobState::kQueued;  // as reported to callers
  bool started = false;                       // any task has started
  std::vector<Occurrence> occurrences{};
  std::uint32_t next_occurrence = 0;   // the first that has not begun
  std::uint32_t open_occurrences = 0;  // begun and not done
  std::uint32_t done_occurrences = 0;
  bool occurrences_held = false;  // a due one waits for an open one to be done
  std::uint64_t revision = 0;     // store revision of its record
  std::uint64_t version = 1;      // of the progress; rises with each change
  std::uint64_t stored_version = 0;
  std::uint64_t writing_version = 0;  // 0: none in flight
  JobState writing_state = JobState::kQueued;
  Time changed_at = kForever;  // the oldest change that is not yet written
  bool urgent_write = false;   // write without waiting for more changes
  Time save_after{0};          // no write before, as the store rejected one
  std::uint32_t rejected_saves = 0;  // in a row
  Time confirmed_at{0};  // last write of the record that was requested or done
  // False after the registration was lost: another instance may have adopted
  // the job; the next write to the store shows whether one has.
  bool verified = true;
  std::vector<UnstoredEnd> unstored_ends{};
  bool recovering = false;         // adopted; not all of its runs are known yet
  WorkerSet unreported_workers{};  // workers whose runs were not reported yet
  std::set<std::string> awaited_members{};  // members that have not replied yet
  bool members_queried = false;  // the members were queried at least once
  // Callers that wait until its creation or its cancel is stored.
  std::vector<std::uint64_t> submit_waiters{};
  std::vector<PendingCaller> cancel_waiters{};
  // Queried the state while a report of the job's end may be in flight.
  std::vector<PendingCaller> status_waiters{};
  bool has_crashes = false;  // of workers under tasks that are not done
  Time crashes_reviewed = Time::min();
  bool cancel_requested = false;  // before its creation was stored
  Time ended_at = kForever;
  std::int64_t ended_ms = 0;  // wall time since 1970
  std::string cause{};        // why it failed
};

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_JOBS_JOB_H_
