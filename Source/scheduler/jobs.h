// Durable work: services, batches and gangs, from acceptance to the end of the
// last task.
//
// The process that accepted a job writes its journal and decides on each of
// its attempts. Owners of workers start attempts for it and tell it what
// becomes of them.
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
  kStarting,     // offered or sent to a worker, not answered
  kHeld,         // of a gang: has its room, waits for the others
  kRunning,
  kStopping,  // told to stop; its end has not been reported
  kOrphaned,  // its owner is gone; not known whether it runs
  kEnding,    // ended; the end is being recorded
  kDone,
  kFailed,
  kMayHaveRun,
  kCancelled,
};

struct Task {
  TaskState state = TaskState::kQueued;
  TaskState final_state =
      TaskState::kDone;  // what it becomes when kEnding is over
  std::uint8_t tries = 0;
  bool dispatched = false;  // of a non-idempotent job: it may have run
  std::uint64_t attempt = 0;
  std::uint64_t offer_sequence = 0;
  Time last_sent{0};
  std::string worker;  // where it is, when known
  std::string owner;   // the member that owns the worker
  std::string answer;  // of an ended task, cut at kMaxAnswerBytes
};

// Names: journal "jobs.DOMAIN.INSTANCE.INCARNATION-NUMBER", job
// "j.DOMAIN.INSTANCE.INCARNATION-NUMBER.COUNT".
inline constexpr char kJobIdPrefix[] = "j.";
inline constexpr char kJournalPrefix[] = "jobs.";

inline constexpr std::size_t kMaxAnswerBytes = 1024;

// How long a finished job's status can be asked for.
inline constexpr Duration kFinishedJobRetention = std::chrono::minutes(10);

struct Job {
  std::string id;
  std::string log;
  JobSpec spec;
  std::vector<Task> tasks;
  ReplyId reply = 0;                    // waits to hear "accepted"
  std::vector<ReplyId> cancel_replies;  // wait for the cancel's record
  std::string cancel_peer;              // a peer that asked for the cancel
  std::uint64_t cancel_query = 0;
  Time arrived{0};
  Time first_start{0};
  bool recorded = false;  // the journal holds it
  bool cancelled = false;
  bool cancel_recorded = false;
  bool bad = false;  // judged by its failures
  bool finished = false;
  bool judged_failed = false;
  std::uint64_t accept_ticket = 0;
  std::uint64_t claim_ticket = 0;
  std::uint32_t next_queued = 0;  // no task below it is queued
  bool in_queue = false;
  std::uint32_t queued = 0;
  std::uint32_t open = 0;           // tasks that have not ended
  std::set<std::string> failed_on;  // workers; at most a few
  // Of a gang.
  bool gang_running = false;  // all were held and told to go
  bool go_sent = false;       // some task may have been told to go, ever
  bool recovering = false;    // adopted, and its attempts are looked for
  Time hold_until{0};         // while it is being assembled
  Time retry_at{0};
  std::uint32_t backoffs = 0;
};

// A journal that this process writes.
struct Journal {
  std::string name;
  std::uint64_t generation = 1;
  std::uint64_t next_job = 1;
  std::uint64_t next_attempt = 1;
  bool adopted = false;  // from another process
  bool ready = false;    // open for writing
};

// A caller's question that was passed to the writer of a job's journal.
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
  // Journals that a live process made and does not list, and since when.
  std::map<std::string, Time> unlisted;
  std::map<std::string, Resources> team_usage;
  std::int64_t queued_tasks = 0;  // of all jobs
  // Journals' generations below which offers are refused.
  std::map<std::string, std::uint64_t> fences;
  // Attempts whose worker was taken from this process while they ran; value:
  // when to forget. An offer that is repeated must not start them again.
  std::map<AttemptId, Time> moved;
  // Stops that came before their offers; value: when to forget.
  std::map<AttemptId, Time> stopped_early;
  std::uint64_t next_query = 1;
  std::map<std::uint64_t, ForwardedQuery> forwarded_queries;
};

Job* FindJob(Context& context, const std::string& id);
Job* JobOfAttempt(Context& context, const AttemptId& attempt, Task** task);

// The journal that a job of this id is in; empty when `id` is not a job's.
std::string LogOfJob(const std::string& id);

// Puts a task back among the waiting ones.
void RequeueTask(Context& context, Job& job, std::uint32_t task);

// Forgets the job; callers that wait for it are told that it may have run.
void DropJob(Context& context, const std::string& id);

// A finished job's status is kept no longer.
void OnForgetJobTimer(Context& context, const std::string& id);
void OnRetryTaskTimer(Context& context, const std::string& id);

// A task that is out: it holds or may hold room somewhere.
bool IsOutstanding(const Task& task);

// The task left the waiting ones and counts against its team.
void ChargeTeam(Context& context, Job& job, std::uint32_t task);

// The room that the task counted for is returned to its team.
void CreditTeam(Context& context, Job& job, std::uint32_t task);

// Ends the job if its last task has ended.
void FinishIfDone(Context& context, Job& job);

}  // namespace burdockrock

#endif  // BURDOCKROCK_SCHEDULER_JOBS_H_
