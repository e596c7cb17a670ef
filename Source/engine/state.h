// The state of the engine's reducer. One State belongs to one entry instance
// and changes only within Step().
#ifndef BURDOCKROCK_ENGINE_STATE_H_
#define BURDOCKROCK_ENGINE_STATE_H_

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "engine/advice/advice_state.h"
#include "engine/calls.h"
#include "engine/configuration.h"
#include "engine/jobs/job.h"
#include "engine/jobs/worker_set.h"
#include "engine/limits.h"
#include "engine/log_repeat_limiter.h"
#include "engine/members/digest_relay_state.h"
#include "engine/members/peer_message.h"
#include "engine/members/query_pacing_state.h"
#include "engine/members/stop_state.h"
#include "engine/options.h"
#include "engine/records/record.h"
#include "engine/records/writer_state.h"
#include "engine/response_time.h"
#include "engine/teams/admission_rule.h"
#include "engine/teams/entitlement_rule.h"
#include "engine/teams/quota_state.h"
#include "engine/unseen_state.h"
#include "engine/worker_map.h"
#include "engine/workers/end_log.h"
#include "engine/workers/group_failures.h"
#include "engine/workers/owned_worker.h"
#include "engine/workers/pool_rule.h"
#include "engine/workers/service_index.h"
#include "engine/workers/upkeep_rule.h"
#include "model/time.h"

namespace burdockrock::engine {

// Calls to the store. A StorePurpose is kept with each call in flight and
// selects the handler of its reply.

// Lists of the store that an instance follows.
enum class WatchedList { kMembers, kWorkers, kOperators };
inline constexpr std::size_t kWatchedLists = 3;

struct ForWatch {
  WatchedList list = WatchedList::kMembers;
};
struct ForLeaseGrant {};
struct ForLeaseRenewal {
  std::uint64_t lease = 0;
};
// By the count of registrations that had ended when it was sent.
struct ForRegistration {
  std::uint64_t registration = 0;
};
struct ForFenceAdvance {
  std::uint64_t registration = 0;
};
struct ForBatch {
  std::uint64_t batch = 0;
};
struct ForJobRead {
  std::string job{};
};
struct ForSpecRead {
  std::string job{};
};
struct ForOrphanScan {
  std::string prefix{};
};
struct ForRecordSweep {};
struct ForMembersCheck {};
struct ForNodeRecords {
  // Removes entries of machines that left long ago; else reads the entries.
  bool remove = false;
};
struct ForUnseenMembers {};
struct ForWaveStatus {
  std::uint64_t wave = 0;
  bool completed = false;
};
// The reply is ignored.
struct ForNothing {};

using StorePurpose = std::variant<ForWatch,
                                  ForLeaseGrant,
                                  ForLeaseRenewal,
                                  ForRegistration,
                                  ForFenceAdvance,
                                  ForBatch,
                                  ForJobRead,
                                  ForSpecRead,
                                  ForOrphanScan,
                                  ForRecordSweep,
                                  ForMembersCheck,
                                  ForNodeRecords,
                                  ForUnseenMembers,
                                  ForWaveStatus,
                                  ForNothing>;

struct StoreState {
  std::uint64_t last_call = 0;
  std::map<std::uint64_t, StorePurpose> calls{};
  // Last reply other than a refusal.
  Time last_answer{0};
  // Last call that was refused or got no reply. A watch that gets no reply does
  // not count.
  Time last_failure = Time::min();
  bool healthy = false;  // the last call counts for last_answer
  std::uint64_t total_calls = 0;
};

// State of one followed list, which is read in pages and then watched.
struct Watch {
  bool in_flight = false;
  bool reading = true;  // reads pages; false: watches for changes
  std::uint64_t revision = 0;
  std::uint64_t read_revision = 0;  // of the first page
  std::string after{};              // last key of the previous page
  std::set<std::string> seen{};     // keys read so far
  bool complete = false;            // all pages were read at least once
  Time sent_at = Time::min();       // start of the call in flight
  Time known_to = Time::min();      // all changes up to then are known
  Time followed_to = Time::min();   // the same, by the watch alone
  Time retry_at{0};
};

// A read of the list of members in addition to its watch.
struct MembersCheck {
  bool in_flight = false;
  Time sent_at = Time::min();
  std::uint64_t revision = 0;  // of the last read that held all members
};

// Members.

struct Member {
  // When it reported that it renews no more leases.
  Time stopped_renewing_at = kForever;
  MemberRecord record{};
  std::uint64_t fence = 0;  // the registration's revision
};

// A member whose registration has ended.
struct DepartedMember {
  Member member{};
  Time lost_at = kForever;  // its work is taken over from then on
  Time unlisted_at{0};      // when it was missing from the store's list
  // When it reported that it renews no more leases, or when the last call of
  // its process takes effect, as its machine runs another one.
  Time stopped_renewing_at = kForever;
};

// Machines whose processes registered and left before this instance read the
// list of members. Such a process may still run, cut off from the store, and
// renew leases.
struct NodesState {
  bool read = false;  // all pages were read once
  bool in_flight = false;
  std::string after{};
  Time read_at = Time::min();      // when the last read began
  std::set<std::string> listed{};  // with a member in the first list
  // By machine: when another process was first seen there; kForever: none yet.
  std::map<std::string, Time> replaced_at{};
};

// The member of a machine that may be chosen as an owner.
struct ChoosableMember {
  std::string incarnation{};
  std::string domain{};
  std::uint32_t weight = 0;
  std::uint64_t node_hash = 0;
  std::uint64_t fence = 0;
};

// Owners that were chosen since the members last changed.
struct ChosenOwners {
  std::uint64_t version = 0;  // MembersState::version of the choices
  // By a digest of domain and key.
  std::unordered_map<std::string, std::string> owners{};
};

// The members, and this instance's own registration.
struct MembersState {
  std::uint64_t lease = 0;  // of the registration
  Time renew_at{0};
  bool renewing = false;
  Time renewal_sent{0};
  bool granting = false;
  bool registering = false;
  Time register_after{0};  // no attempt before, as the store rejected one
  bool advancing_fence = false;
  bool fence_advance_due = false;
  Time fence_advanced_at = Time::min();
  std::uint64_t fence = 0;        // 0: not registered
  std::uint64_t ended_fence = 0;  // of the last registration that ended
  // Number of the registration, or of the next one while there is none. What
  // other members know of an earlier one does not hold any more.
  std::uint64_t registration = 1;
  Time registered_at{0};
  // The registration was valid then: a renewal sent at that time succeeded.
  Time last_contact{0};
  Time known_since = kForever;  // the first complete read of the list
  std::map<std::string, Member> present{};  // by incarnation
  std::map<std::string, DepartedMember> departed{};
  NodesState nodes{};
  UnseenMembers unseen{};
  // By node; derived from `present` and `departed` when they change.
  std::map<std::string, ChoosableMember> choosable{};
  std::uint64_t version = 1;      // increases with each change of the members
  mutable ChosenOwners chosen{};  // not part of the state's value
  std::uint64_t departures = 0;   // registrations that ended, as seen here
};

// Members with an unanswered offer, by incarnation, and when it was sent.
struct UnresponsiveMembers {
  // The timeout has not passed yet.
  std::map<std::string, Time> awaiting_reply{};
  // The timeout has passed; they get no offers.
  std::map<std::string, Time> unresponsive{};
  std::uint64_t version = 0;  // increases with each change of these
  ResponseTime response_time{};
};

// Reply times of the owned workers.
struct WorkerResponses {
  ResponseTime response_time{};  // of commands
};

// A worker of the platform's list. One that leaves the list is kept for
// kUnlistedWorkerKeptFor: it may still run and only have lost its connection to
// the store.
struct ListedWorker {
  WorkerInfo info{};
  bool listed = true;
  // Known only from a member or from its own reply; never seen in the list by
  // this instance.
  bool remembered_only = false;
  Time unlisted_at{0};
  Time draining_since = kForever;
  // Its entry of State::view, whose entries are never removed; null if it was
  // not looked up yet or did not exist then.
  RoomView* view = nullptr;
  // The preference for it while another member owns it; set with its first use.
  std::optional<double> foreign_preference{};
  // Of `info`, as reports tell it; set with its first use.
  std::optional<std::uint64_t> description_digest{};
};

// An entry of the list of workers as it was last decoded.
struct WorkerEntry {
  std::string text{};
  std::string worker{};  // the listed incarnation
};

// A worker's room as its owner last reported it.
struct RoomView {
  std::string owner{};  // an incarnation
  std::uint64_t fence = 0;
  std::uint64_t version = 0;
  Resources free{};
  Resources yielding{};  // could be freed for the most urgent work
  bool accepting = false;
  bool lost = false;
  // Run times in hundredths of their estimates; 0: unknown.
  std::uint32_t slowness = 0;
  Time updated_at{0};
  // Kept by SetRoom() and OnRoomChanged().
  ViewLinks links{};
  CountedWorker counted{};
};

// A cached job of another owner, as read from the store.
struct CatalogEntry {
  std::optional<JobSpec> spec{};
  std::optional<JobRecord> record{};
  std::uint64_t record_revision = 0;
  // How the job ended, as its owner or the store reported.
  std::optional<JobState> final_state{};
  std::string final_cause{};
  bool absent = false;  // the store has no such job
  bool reading_record = false;
  bool reading_spec = false;
  bool want_record = false;
  bool want_spec = false;
  Time read_at = Time::min();     // start of the last read of the record
  Time known_from = Time::min();  // start of the read that returned `record`
  Time used_at{0};                // last use; unused entries expire
};

// A pending query of a caller about a job.
struct PendingCallerQuery {
  std::uint64_t call = 0;
  CallerQuery query = CallerQuery::kState;
  std::string job{};
  std::optional<std::string> team{};  // of the caller; unset: not checked
  // Of a submission that is refused unless the job exists.
  std::optional<AdmissionRefusal> refusal{};
  Time since{0};                 // when it arrived
  Time deadline{0};              // when it is answered as not known
  std::string queried_member{};  // the member that was queried last
  Time queried_at = Time::min();
  // Number of that query, which callers with the same query share.
  std::uint64_t query_call = 0;
  Duration repeat_after{0};  // since queried_at, without a reply
  // Only a record whose read began then or later is used.
  Time read_from = Time::min();
};

// A scan of the stored jobs for those whose owner is lost, to adopt them.
struct OrphanScan {
  bool in_flight = false;
  std::string after{};
  Time began{0};
  OwnedScan owned{};  // so far
};

// A stored job whose owner is lost.
struct Orphan {
  std::string owner{};  // the lost incarnation
  OwnedEntry entry{};
  bool writing = false;  // the write of its adoption is in flight
  Time retry_at{0};      // no write before, as the store rejected one
};

// What ran at a worker when its former owner gave it up.
struct ReceivedRuns {
  std::vector<HandedRun> runs{};
  Time received_at{0};
};

// Queries about the adopted jobs whose recovery is not complete.
struct RecoveryState {
  WorkerNumbers numbers{};            // of the workers in the jobs' sets
  Time queried_at = Time::min();      // last query to members with reports due
  Time queried_all_at = Time::min();  // last query to every member
  // When a member was last sent all workers that left the list and whose runs
  // are still unknown.
  std::map<std::string, Time> announced_at{};
};

// Waves of upkeep, and the state of their duty: the one instance that sends
// commands to the service of machines.
struct UpkeepState {
  std::map<std::uint64_t, WaveProgress> waves{};
  Time duty_since = kForever;  // when this instance took the duty
  bool in_flight = false;      // a call to the service of machines
  Time called_at{0};
  Time retry_at{0};
  Time list_requested_at = Time::min();
  bool listed = false;  // machines were listed since the duty was taken
  MachineList machines{};
  MachineList reading{};
  bool reading_lacks_rows = false;  // some could not be read
  bool writing_status = false;      // a write of a wave's status is in flight
};

// Machines that were moved out of standby pools.
struct PoolsState {
  std::map<std::string, PoolPressure> pressure{};  // by service
  std::map<std::string, std::string> borrowed{};   // machine: its standby pool
  std::set<std::pair<std::string, std::string>> impossible{};
  std::set<std::string> emptied{};  // workers that are prepared for a move
  Time moved_at = Time::min();
  Time prepare_sent_at = Time::min();
};

// A scan for records of ended jobs that have no owner.
struct SweepState {
  // Start of the last sweep. The first is not due right after the start.
  Time swept_at{0};
  bool in_flight = false;
  std::string after{};
};

// What one team sends.
struct TeamArrivalState {
  ArrivalWindow window{};
  std::uint64_t accepted = 0;  // here, since the process started
  std::uint64_t excess = 0;    // of these, beyond the entitlement
  std::uint64_t refused = 0;   // not accepted for the work ahead of them
};

// What one member has reported last.
struct ReportedLoad {
  MemberLoad load{};
  Time received_at{0};
};

// Waiting work of this instance's jobs.
struct OwnBacklogs {
  Time counted_at = Time::min();
  std::map<std::string, Backlog> teams{};     // waits for their caps
  std::map<std::string, Backlog> services{};  // waits for their workers' room
};

// State of the digests, in which members report the room of their workers.
struct DigestState {
  std::set<std::string> changed{};  // workers with changes to send
  bool waiting_changed = false;
  std::uint64_t sequence = 0;  // of the last digest with a change
  Time sent_at = Time::min();
  Time urgent_checked_at = Time::min();  // last check for urgent changes
  bool settled = false;                  // the last digest contained no change
  // The values that were sent last.
  std::map<std::string, std::uint32_t> sent_waiting{};  // by queue
  struct SentWorker {
    std::uint64_t fence = 0;
    bool accepting = false;
    bool lost = false;
    auto operator<=>(const SentWorker&) const = default;
  };
  std::map<std::string, SentWorker> sent_workers{};
  MemberLoad sent_load{};
  Time load_sent_at = Time::min();
  // Members that get a full digest next.
  std::set<std::string> full_digest_requests{};
  // By incarnation: the digest up to which all were received.
  std::map<std::string, std::uint64_t> received_up_to{};
  // By incarnation: last request for a full digest, after one was missed.
  std::map<std::string, Time> full_requested_at{};
  // Waiting jobs as the peers reported them, by incarnation and queue.
  std::map<std::string, std::map<std::string, std::uint32_t>> waiting{};
};

// When the reducer last did all work that was due.
struct DriveState {
  bool due = false;  // events were handled since
  Time driven_at = Time::min();
  // Mean time that a run takes, with its effects.
  Duration cost{0};
  bool cost_pending = false;      // that of the last run is not known yet
  Duration waited{0};             // mean of the last events
  Time ticked_at = Time::min();   // last check of timeouts
  Time expired_at = Time::min();  // last removal of expired entries
};

// Totals since the start, for the metrics.
struct Totals {
  std::uint64_t submitted = 0;
  std::uint64_t accepted = 0;
  std::uint64_t refused = 0;
  std::uint64_t keys_refused = 0;  // of these, for their keys
  std::uint64_t offers = 0;
  std::uint64_t offers_refused = 0;
  std::uint64_t starts = 0;
  std::uint64_t polls = 0;
  std::uint64_t adopted = 0;
  std::uint64_t completed = 0;
  std::uint64_t failed = 0;
  std::uint64_t lost_runs = 0;
  std::uint64_t crashes = 0;            // of workers under own tasks
  std::uint64_t rejected_writes = 0;    // by the store, or not sent for it
  std::uint64_t shortened_records = 0;  // to fit in the store
  std::uint64_t refused_grants = 0;     // of teams' caps, by this instance
  AdviceCounts advice{};
};

// State of the log of lasting conditions.
struct ConditionLogState {
  Time checked_at = Time::min();
  Time cancels_checked_at = Time::min();
  Time advice_logged_at = Time::min();
  LogRepeatLimiter recoveries{};  // by job
  LogRepeatLimiter claims{};      // by worker
  LogRepeatLimiter stops{};       // by worker
  LogRepeatLimiter cancels{};     // by job
  LogRepeatLimiter waits{};       // by step
  LogRepeatLimiter grants{};      // by team and member
  std::size_t waiting_steps = 0;  // at the last check
  Duration longest_wait{0};       // of these
  // By job that may still run: when its cancel was acknowledged.
  std::map<std::string, Time> cancelled{};
};

struct State {
  EngineOptions options{};
  std::mt19937_64 random{1};
  StoreState store{};
  std::array<Watch, kWatchedLists> watches{};
  std::unordered_map<std::string, WorkerEntry> worker_entries{};  // by key
  MembersState members{};
  MembersCheck members_check{};
  UnresponsiveMembers unresponsive_members{};
  QueryPacing query_pacing{};
  Configuration configuration{};
  WorkerMap<ListedWorker> workers{};  // by incarnation
  // Increases with each worker that is added or whose entry changes.
  std::uint64_t workers_version = 1;
  // Increases with each worker that leaves the list or is added without being
  // listed.
  std::uint64_t unlisted_version = 0;
  // By worker id: the incarnation whose entry is in the store's list.
  std::map<std::string, std::string> listed_incarnations{};
  std::map<std::string, OwnedWorker> owned{};
  AssignedWorkers assigned{};
  WorkerResponses worker_responses{};
  Time ownership_checked_at = Time::min();
  Time runs_checked_at = Time::min();
  std::map<std::string, LostWorker> lost_workers{};
  std::map<std::string, ReceivedRuns> handed_runs{};  // by worker
  // Workers that crashed, and since when that is known here.
  std::map<std::string, Time> crashed_workers{};
  GroupFailures group_failures{};
  // By member and worker: when the member was last told that it crashed.
  std::map<std::string, std::map<std::string, Time>> crashes_told{};
  Time crashes_checked_at = Time::min();
  // By worker that this instance no longer owns: when the last lease that it
  // renewed there expires.
  std::map<std::string, Time> released{};
  std::uint64_t last_lease_query = 0;
  Time leases_queried_at = Time::min();
  WorkerMap<RoomView> view{};
  // Jobs with runs on owned workers.
  std::unordered_map<std::string, KnownJob> known{};
  std::unordered_map<std::string, CatalogEntry> catalog{};
  std::set<std::string> catalog_wanted{};  // jobs to read
  std::map<std::string, Job> jobs{};
  std::set<std::string> active{};  // owned jobs that have not ended
  WriterState writer{};
  std::map<std::uint64_t, PendingCallerQuery> callers{};
  std::uint64_t last_query = 0;
  std::map<std::string, Orphan> orphans{};
  std::map<std::string, ReceivedHandover> handovers{};  // by job
  std::map<std::string, OrphanScan> scans{};            // by prefix
  Time scanned_at = Time::min();
  RecoveryState recovery{};
  UnseenWorkers unseen_workers{};
  SweepState sweep{};
  UpkeepState upkeep{};
  PoolsState pools{};
  AdviceState advice{};
  DigestState digest{};
  DigestRelayState digest_relay{};
  // By incarnation, as last reported.
  std::map<std::string, ReportedLoad> member_loads{};
  std::map<std::string, TeamArrivalState> arrivals{};  // by team
  OwnBacklogs backlogs{};
  QuotaState quota{};
  StopState stop{};
  std::deque<PeerMessage> inbox{};  // messages of this instance to itself
  DriveState drive{};
  // Stops to send at the end of this step, by the workers' owners.
  std::map<std::string, TaskStops> stops{};
  Time standings_at = Time::min();  // last update of the jobs' standings
  bool placement_due = false;
  Time placed_at = Time::min();
  ServiceIndex service_index{};
  ConditionLogState condition_log{};
  EndLog end_log{};
  Totals totals{};
};

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_STATE_H_
