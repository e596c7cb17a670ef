// The state that this entry instance keeps for each worker that it owns: its
// lease, its runs and their ends.
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
#include "engine/workers/group_failures.h"
#include "engine/workers/process_clock.h"
#include "engine/workers/progress_rule.h"
#include "engine/workers/speed_estimate.h"
#include "model/time.h"

namespace burdockrock::engine {

enum class RunPhase {
  kBooked,        // room is reserved until the whole gang can start
  kAwaitingRoom,  // other runs are being stopped to make room
  kStarting,      // the start command has no reply yet
  kRunning,
  kStopping,
};

// A run that is at the worker, or may be there because a reply is missing.
struct LocalRun {
  std::uint64_t run = 0;
  RunPhase phase = RunPhase::kStarting;
  StepSpec spec{};
  bool described = true;  // false: `spec` is not known yet
  std::string owner{};    // incarnation that owns the job
  std::uint64_t generation = 0;
  Time last_queried{0};  // last query by the job's owner
  std::string payload{};
  std::string ticket{};
  std::string checkpoint{};
  std::uint32_t priority = 0;
  Time since{0};              // start of the phase
  Duration lasted_before{0};  // time at work under the worker's former owners
  Time command_sent_at = Time::min();  // last start or stop command
  bool command_in_flight = false;
  std::uint32_t command_attempts = 0;  // commands sent in this phase
  // No other run may start at the worker for this long after the start, and
  // meanwhile a crash of the worker counts for this run alone.
  Duration alone_for{0};
  Time move_requested = Time::min();  // last request to move the others away
  // The last start without a reply, which may still take effect later.
  Time start_unanswered_at = Time::min();
  bool seen_at_process =
      false;           // the worker's present process has shown the run
  bool found = false;  // a claim listed it; a former owner has started it
  // It began at the worker's next incarnation, which reports its end.
  bool at_successor = false;
  bool stop_answered = false;
  Time confirmed = Time::min();   // the worker last confirmed the run
  bool offer_unanswered = false;  // the job's owner awaits the outcome
  RunProgress progress{};
  Time stall_reported = Time::min();  // last report that it is stalled
  std::int64_t figure = 0;            // service figure that the worker lists
  std::uint32_t pace = 100;           // percent of full speed
  Time pace_changed_at = kForever;    // last change of `pace`
};

// A run that has ended at the worker, before its end could be read.
struct UnreadRun {
  LocalRun run{};  // as it was last known
  Time since{0};   // when a listing first lacked it
};

// An end that the worker lists, until the job's owner has stored it.
struct LocalEnd {
  EndedRow row{};
  Time reported_at = Time::min();  // last report to the job's owner
  std::uint32_t report_count = 0;  // reports sent
  bool stored = false;
};

// A query about a run that is not here. An instance that has lost the worker
// without knowing it must not reply, since the current owner may have started
// the run. The reply therefore waits until the worker accepts a call with this
// instance's fence that was sent after the query arrived.
struct PendingRunQuery {
  std::string from{};
  std::string task{};
  std::uint64_t run = 0;
  Time received_at{0};
};

// When leases at a worker have expired, as reported by another process.
struct ReportedLeases {
  Time own_end{0};     // expiry of the leases that it renewed itself
  Time others_end{0};  // expiry of the leases of former or unknown members
};

// A worker that this instance owns or is claiming.
struct OwnedWorker {
  WorkerInfo info{};
  std::uint64_t fence = 0;  // 0: not claimed yet
  bool claimed = false;     // the worker has answered a poll with `fence`
  bool poll_in_flight = false;
  Time poll_sent_at{0};
  Time next_poll_at{0};
  Time last_reply_at = Time::min();  // to a poll
  ClockReading clock{};              // of that reply
  // A later process has answered a command, and no poll has named it yet.
  bool later_process_answered = false;
  Time owned_as_of = Time::min();  // latest time of certain ownership
  bool ownership_check_due = false;
  bool ownership_check_in_flight = false;
  Time ownership_check_sent_at = Time::min();
  std::vector<PendingRunQuery> pending_run_queries{};
  // The incarnation that answers under the worker's id instead of this one,
  // which has ended; empty: none. Set while it is not known which of the runs
  // in doubt began there.
  std::string successor{};
  Time restarted_at{0};  // when that became known
  // When a later incarnation was first seen to have an owner.
  Time successor_claimed_at = Time::min();
  // This instance's registration was lost after the worker's last reply, so
  // others may have claimed the worker and renewed its leases.
  bool unverified = false;
  Time unverified_since = Time::min();
  Time missed_since{0};        // first poll without a reply; 0: none
  Time unresponsive_since{0};  // the same, once a second poll has failed
  bool unresponsive_logged = false;
  // When its rightful owner was last told that it left the list.
  Time owner_told_at = Time::min();
  Time unanswered_at = Time::min();  // the last call without a reply
  // Expiry of all leases that this instance renewed there.
  Time lease_bound{0};
  // Latest expiry of leases that a later process of the worker may hold by
  // calls of this instance that were meant for this one.
  Time stray_leases_end{0};
  // Latest expiry of leases that another owner may have renewed there,
  // regardless of what the others report.
  Time foreign_bound{0};
  // Lease reports with other numbers are ignored.
  std::uint64_t lease_query_number = 0;
  std::map<std::string, ReportedLeases> reported_leases{};  // by incarnation
  std::int64_t clock_offset_ms = 0;  // worker's clock minus ours
  std::int64_t lease_until_ms = 0;   // requested last; on the worker's clock
  std::uint64_t highest_end = 0;     // highest sequence number of a listed end
  bool ends_cut = false;             // the last listing lacked ends
  // Whether a listing since the claim had all ends of the worker. Until then
  // there may be ends of runs that are not known here.
  bool ends_known = false;
  // The highest end of runs that began before the claim, as far as listed;
  // complete once `ends_known` is set and no run that the claim found is left.
  std::uint64_t ends_at_claim = 0;
  Time ends_complete_as_of = Time::min();  // when the last such one was sent
  std::uint64_t acknowledged = 0;          // ends up to this number are stored
  std::map<std::string, LocalRun> runs{};  // by task
  // Runs that were reported as lost while others are in doubt, by task.
  std::map<std::string, LocalRun> reported_lost{};
  // Runs whose ends are not listed yet, by task. They take no room.
  std::map<std::string, UnreadRun> unread{};
  std::map<std::uint64_t, LocalEnd> ends{};  // by sequence number
  std::uint64_t version = 0;                 // of the free room, for digests
  SpeedEstimate speed{};
  Time unhealthy_until = Time::min();
  std::uint32_t consecutive_failures = 0;  // of different jobs
  std::string failed_job{};                // the last one counted
  Time quarantine_until = Time::min();
  Time stalled_until = Time::min();  // a run there was stalled
  Time leaving_until = Time::min();  // its machine is about to go down
  bool announced_accepting = false;  // as RoomChanged() published it last
  // Since when it accepts no new tasks, as it was logged; Time::min(): open.
  Time closed_since = Time::min();
};

// A run that may have been at work when its worker was lost.
struct LostRun {
  EndReport report{};  // sent once the worker is known to have crashed
  Time reported_at = Time::min();
  bool stored = false;  // the job's owner has stored it
};

// A worker that was declared lost, as announced to the peers.
struct LostWorker {
  std::uint64_t fence = 0;  // of its last owner
  Time since{0};
  std::string address{};
  bool crashed = false;
  bool had_isolated_run = false;  // the crash counts for such runs alone
  // It may yet turn out to have crashed, when another process shows at its
  // address.
  bool undecided = false;
  KnownCrash crash{};  // if it has crashed
  std::vector<LostRun> runs{};
};

// What a worker's owner knows about a job with runs or ends there.
struct KnownJob {
  std::string owner{};           // an incarnation; empty: not known
  std::uint64_t generation = 0;  // offers of lower generations are refused
  bool ended = false;            // by the job's record in the store
  Time adopted{0};  // the current owner's first query for the job's runs
  // Highest run of each task that was reported to the owner as not here.
  std::map<std::string, std::uint64_t> refused_runs{};
  Time last_update{0};  // last message about the job
  // The record was last read because a run was not queried or had no owner.
  Time last_checked = Time::min();
};

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_WORKERS_OWNED_WORKER_H_
