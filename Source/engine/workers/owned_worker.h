// A worker that this entry instance owns: what runs there and what ended.
#ifndef BURDOCKROCK_ENGINE_WORKERS_OWNED_WORKER_H_
#define BURDOCKROCK_ENGINE_WORKERS_OWNED_WORKER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "engine/calls.h"
#include "engine/configuration.h"
#include "engine/jobs/job_model.h"
#include "engine/members/peer_message.h"
#include "engine/workers/progress_rule.h"
#include "engine/workers/speed_estimate.h"
#include "model/time.h"

namespace burdockrock::engine {

enum class RunPhase {
  kBooked,        // its room is kept for a gang
  kAwaitingRoom,  // runs are being stopped for it
  kStarting,      // ordered, not answered
  kRunning,
  kStopping,
};

// One run at a worker, or one that may be there.
struct LocalRun {
  std::uint64_t run = 0;
  RunPhase phase = RunPhase::kStarting;
  StepSpec spec{};
  bool described = true;  // false: what it takes is not known yet
  std::string owner{};    // of its job, an incarnation
  std::uint64_t generation = 0;
  Time last_queried{0};  // by the job's owner, last
  std::string payload{};
  std::string ticket{};
  std::string checkpoint{};
  std::uint32_t priority = 0;
  Time since{0};                       // in its phase
  Time command_sent_at = Time::min();  // the last order was sent
  bool command_in_flight = false;
  std::uint32_t command_attempts = 0;  // of the order of its phase
  bool start_unanswered = false;       // a try of the start; it may come late
  bool stop_answered = false;
  Time confirmed = Time::min();   // the worker said that it has it
  bool offer_unanswered = false;  // the job's owner waits for an answer
  RunProgress progress{};
  Time stall_reported = Time::min();  // that it stands still
  std::int64_t figure = 0;
  std::uint32_t pace = 100;
  Time pace_changed_at = kForever;  // its tail is above its target
};

struct LocalEnd {
  EndedRow row{};
  Time reported_at = Time::min();
  std::uint32_t report_count = 0;
  bool stored = false;
};

// A question about a run that is not here. A former owner of the worker that
// does not know yet that it is one must not answer it: the run may have been
// started by the present one. So the answer waits until the worker has taken
// a call with the own fence that was made after the question came.
struct PendingRunQuery {
  std::string from{};
  std::string task{};
  std::uint64_t run = 0;
  Time received_at{0};
};

// What another process has said of leases at a worker.
struct ReportedLeases {
  Time own_end{0};     // those that it renewed itself have run out by then
  Time others_end{0};  // those of members that it remembers, or has missed
};

struct OwnedWorker {
  WorkerInfo info{};
  std::uint64_t fence = 0;  // 0: not claimed yet
  bool claimed = false;     // a hold with `fence` was answered
  bool poll_in_flight = false;
  Time poll_sent_at{0};
  Time next_poll_at{0};              // the next one
  Time last_reply_at = Time::min();  // the last answer to a hold
  Time owned_as_of =
      Time::min();  // the latest time at which it was surely owned
  bool ownership_check_due = false;
  bool ownership_check_in_flight = false;
  std::vector<PendingRunQuery> pending_run_queries{};
  // The registration was lost since the worker answered: others may have
  // claimed it and renewed its leases.
  bool unverified = false;
  Time missed_since{0};        // the first hold without an answer; 0: none
  Time unresponsive_since{0};  // the same, once another one had none either
  bool unresponsive_logged = false;  // in the log
  // What this instance renewed there has ended by then.
  Time lease_bound{0};
  // What another owner may have renewed there has ended by then, whatever the
  // others say of their leases.
  Time foreign_bound{0};
  std::uint64_t lease_query_number = 0;                     // that counts
  std::map<std::string, ReportedLeases> reported_leases{};  // by incarnation
  std::int64_t clock_offset_ms = 0;  // worker's clock less ours
  std::int64_t lease_until_ms = 0;   // asked for last; on the worker's clock
  std::uint64_t highest_end = 0;     // highest end listed
  std::uint64_t acknowledged = 0;    // ends up to here are stored
  std::map<std::string, LocalRun> runs{};  // by task
  std::map<std::uint64_t, LocalEnd> ends{};
  std::uint64_t version = 0;  // of the room, for digests
  SpeedEstimate speed{};
  Time unhealthy_until = Time::min();
  std::uint32_t consecutive_failures = 0;  // in a row, of different jobs
  std::string failed_job{};
  Time quarantine_until = Time::min();
  Time stalled_until = Time::min();  // what runs there stood still
  Time leaving_until = Time::min();  // its machine is to go down
};

struct LostWorker {
  std::uint64_t fence = 0;
  Time since{0};
};

// What is known of a job with runs or ends on own workers.
struct KnownJob {
  std::string owner{};           // an incarnation; empty: not known
  std::uint64_t generation = 0;  // lower ones' offers are refused
  bool ended = false;            // the store says that it has ended
  Time adopted{0};               // when its present owner first asked what runs
  // Runs that were reported to the owner as not here, by task.
  std::map<std::string, std::uint64_t> refused_runs{};
  Time last_update{0};
  Time last_checked =
      Time::min();  // when its record was last asked for, unsure
};

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_WORKERS_OWNED_WORKER_H_
