// Durable jobs (services, batches and gangs), from acceptance to the end of the
// last task.
//
// The process that accepted a job writes its journal and decides on each of its
// attempts. Owners of workers start attempts for it and report their progress
// and end.
#ifndef BURDOCKROCK_SCHEDULER_JOBS_H_
#define BURDOCKROCK_SCHEDULER_JOBS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "ledger/slot_log.h"
#include "model/attempt.h"
#include "model/caller_message.h"
#include "model/peer_message.h"
#include "model/work.h"
#include "scheduler/event.h"

namespace burdockrock {

class Context;

enum class TaskState : std::uint8_t {
  kQueued,
  kDispatching,  // non-idempotent: the dispatch is being recorded
  kStarting,     // offered or sent to a worker, no reply yet
  kHeld,         // of a gang: room reserved, waits for the other tasks
  kRunning,
  kStopping,  // stop sent; the end has not been reported
  kOrphaned,  // its owner is lost; it may be running
  kEnding,    // ended; the end is being recorded
  kDone,
  kFailed,
  kMayHaveRun,
  kCancelled,
};

struct Task {
  TaskState state = TaskState::kQueued;
  TaskState final_state = TaskState::kDone;  // replaces kEnding
  // Attempts, except those that never started; at most 255.
  std::uint8_t tries = 0;
  // Whether the dispatch is recorded; only for non-idempotent jobs.
  bool dispatched = false;
  std::uint8_t crashes = 0;  // of workers under the task
  // An attempt of a former writer may have been lost without a trace.
  bool may_have_crashed = false;
  // The journal says that an attempt was started, and not how it ended.
  bool start_recorded = false;
  Time last_crash{0};
  Time running_since{0};  // of the present attempt; 0: not running
  std::uint64_t attempt = 0;
  std::uint64_t offer_sequence = 0;
  Time last_sent{0};   // when the last offer, stop or go was sent
  std::string worker;  // that has the attempt; empty when unknown
  std::string owner;   // the member that owns the worker
  std::string answer;  // of an ended task, truncated to kMaxAnswerBytes
};

// Names: journal "jobs.DOMAIN.INSTANCE.INCARNATION-NUMBER", job
// "j.DOMAIN.INSTANCE.INCARNATION-NUMBER.COUNT".
inline constexpr char kJobIdPrefix[] = "j.";
inline constexpr char kJournalPrefix[] = "jobs.";

// Answers of tasks are truncated to this length before they are recorded.
inline constexpr std::size_t kMaxAnswerBytes = 1024;

// How long the status of a finished job is available.
inline constexpr Duration kFinishedJobRetention = std::chrono::minutes(10);

struct Job {
  std::string id;
  std::string log;
  JobSpec spec;
  std::vector<Task> tasks;
  ReplyId reply = 0;  // the caller that waits for acceptance; 0: none
  std::vector<ReplyId> cancel_replies;  // waiters for the record of the cancel
  std::string cancel_peer;              // the peer that forwarded a cancel
  std::uint64_t cancel_query = 0;
  Time arrived{0};
  Time first_start{0};
  bool recorded = false;  // the journal holds it
  bool cancelled = false;
  bool cancel_recorded = false;
  bool bad = false;  // failed on too many workers (health.bad_job_workers)
  bool finished = false;
  bool judged_failed = false;  // a gang that can't run together again
  std::uint64_t accept_ticket = 0;
  std::uint64_t claim_ticket = 0;
  std::uint32_t next_queued = 0;  // no task below it is queued
  bool in_queue = false;
  const char* waits_for = "";  // what its last try to place a task lacked
  std::uint32_t queued = 0;
  std::uint32_t open = 0;           // tasks that have not ended
  std::set<std::string> failed_on;  // workers; at most a few
  // Of a gang.
  bool gang_running = false;  // all were held and the go was sent
  bool go_sent = false;       // a go may have been sent to some task
  bool recovering = false;    // adopted; its attempts are being searched for
  Time hold_until{0};  // end of the hold while it is being assembled; or 0
  Time retry_at{0};
  std::uint32_t backoffs = 0;
};

// A journal that this process writes.
struct Journal {
  std::string name;
  std::uint64_t generation = 1;  // rises with each writer and search
  std::uint64_t next_job = 1;
  std::uint64_t next_attempt = 1;
  bool adopted = false;  // from another process
  bool ready = false;    // open for writing
};

// A caller's status query or cancel, forwarded to the writer of the job's
// journal.
struct ForwardedQuery {
  ReplyId reply = 0;
  std::string id;
  bool cancel = false;
  Time deadline{0};
};

struct Jobs {
  std::unordered_map<std::string, Job> jobs;
  std::map<std::string, Journal> journals;  // that this process writes
  std::set<std::string> adopting;
  std::string own_journal;  // that new jobs go to; empty until the first
  std::uint32_t own_journals = 0;
  // Journals that a live process created but does not list in its digest, and
  // since when.
  std::map<std::string, Time> unlisted;
  std::map<std::string, Resources> team_usage;
  std::int64_t queued_tasks = 0;  // of all jobs
  // By journal: offers of a lower generation are refused.
  std::map<std::string, std::uint64_t> fences;
  // Attempts that ran on a worker when this process lost it, with the expiry
  // of the entry. A repeated offer must not start them again.
  std::map<AttemptId, Time> moved;
  // Attempts whose stop arrived before their offer, with the expiry of the
  // entry.
  std::map<AttemptId, Time> stopped_early;
  std::uint64_t next_query = 1;
  std::map<std::uint64_t, ForwardedQuery> forwarded_queries;
};

Job* FindJob(Context& context, const std::string& id);
// Returns null when the attempt names no known job and task.
Job* JobOfAttempt(Context& context, const AttemptId& attempt, Task** task);

// Returns the name of the journal that holds the job; empty when `id` is not a
// job's id.
std::string LogOfJob(const std::string& id);

// Requeues a task that did not run; the try is not counted.
void RequeueTask(Context& context, Job& job, std::uint32_t task);

// Returns a task whose start was being recorded to the queue.
void RequeueRecorded(Context& context, Job& job, std::uint32_t task);

// Removes the job; its pending callers get the verdict that it may have run.
void DropJob(Context& context, const std::string& id);

// Removes a finished job and its records after its retention.
void OnForgetJobTimer(Context& context, const std::string& id);
void OnRetryTaskTimer(Context& context, const std::string& id);

// Whether an attempt of the task holds or may hold room on a worker.
bool IsOutstanding(const Task& task);

// Takes a task from the queue for an attempt and counts its resources against
// its team.
void ChargeTeam(Context& context, Job& job, std::uint32_t task);

// Returns the resources of an outstanding attempt to the team's usage.
void CreditTeam(Context& context, Job& job, std::uint32_t task);

// Finishes the job if its last task has ended.
void FinishIfDone(Context& context, Job& job);

}  // namespace burdockrock

#endif  // BURDOCKROCK_SCHEDULER_JOBS_H_
