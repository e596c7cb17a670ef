// All that the engine's reducer knows.
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

#include "engine/advice/advice_reason.h"
#include "engine/advice/advice_rule.h"
#include "engine/calls.h"
#include "engine/configuration.h"
#include "engine/jobs/job.h"
#include "engine/jobs/worker_set.h"
#include "engine/limits.h"
#include "engine/members/peer_message.h"
#include "engine/options.h"
#include "engine/records/record.h"
#include "engine/reminders.h"
#include "engine/response_time.h"
#include "engine/workers/end_log.h"
#include "engine/workers/owned_worker.h"
#include "engine/workers/pool_rule.h"
#include "engine/workers/upkeep_rule.h"
#include "model/time.h"

namespace burdockrock::engine {

// Store calls and what they are for.

enum class WatchedList { kMembers, kWorkers, kOperators };
inline constexpr std::size_t kWatchedLists = 3;

struct ForWatch {
  WatchedList list = WatchedList::kMembers;
};
struct ForLeaseGrant {};
struct ForLeaseRenewal {
  std::uint64_t lease = 0;
};
struct ForRegistration {};
struct ForRaise {};
struct ForBatch {
  std::uint64_t batch = 0;
};
struct ForJobRead {
  std::string job{};
};
struct ForSpecRead {
  std::string job{};
};
struct ForOrphans {
  std::string prefix{};
};
struct ForSweep {};
struct ForMembersReview {};
struct ForNodes {
  bool forget = false;  // else: to learn them
};
struct ForWaveStatus {
  std::uint64_t wave = 0;
  bool completed = false;
};
struct ForNothing {};

using StorePurpose = std::variant<ForWatch,
                                  ForLeaseGrant,
                                  ForLeaseRenewal,
                                  ForRegistration,
                                  ForRaise,
                                  ForBatch,
                                  ForJobRead,
                                  ForSpecRead,
                                  ForOrphans,
                                  ForSweep,
                                  ForMembersReview,
                                  ForNodes,
                                  ForWaveStatus,
                                  ForNothing>;

struct StoreState {
  std::uint64_t last_call = 0;
  std::map<std::uint64_t, StorePurpose> calls{};
  Time last_answer{0};              // of any kind but none
  Time last_trouble = Time::min();  // refused or unanswered
  bool healthy = false;             // the last call was answered
  std::uint64_t total_calls = 0;
};

// One list that is followed: read in pages, then watched.
struct Watch {
  bool in_flight = false;
  bool reading = true;  // pages, not changes
  std::uint64_t revision = 0;
  std::uint64_t read_revision = 0;  // of the first page
  std::string after{};
  std::set<std::string> seen{};  // keys that were read so far
  bool complete = false;         // was read whole at least once
  Time asked_at = Time::min();   // the call that is under way
  Time known_to = Time::min();   // all changes up to then are known
  Time retry_at{0};
};

// A read of the members beside their watch.
struct MembersReview {
  bool in_flight = false;
  Time asked_at = Time::min();
};

// Members.

struct Member {
  Time parted_at = kForever;  // it has said that it renews no leases
  MemberRecord record{};
  std::uint64_t fence = 0;  // the registration's revision
};

struct DepartedMember {
  Member member{};
  Time gone_at = kForever;  // from then on its work is taken over
  Time left_at{0};          // when the store's list lacked it
  // It renews no leases since then: its machine runs another process, or it has
  // said so.
  Time replaced_at = kForever;
};

// Machines whose processes registered and left before this instance read the
// list of members: one of them may be cut off and go on.
struct NodesState {
  bool read = false;  // whole, once
  bool in_flight = false;
  std::string after{};
  Time read_at = Time::min();      // when the last read began
  std::set<std::string> listed{};  // had a member in the first list
  // By machine: since when it runs another process. kForever: it does not.
  std::map<std::string, Time> unseen{};
};

// One machine's member that keys may be given to.
struct ChoosableMember {
  std::string incarnation{};
  std::string domain{};
  std::uint32_t weight = 0;
  std::uint64_t node_hash = 0;
  std::uint64_t fence = 0;
};

struct MembersState {
  std::uint64_t lease = 0;
  Time renew_at{0};
  bool renewing = false;
  Time renewal_sent{0};
  bool granting = false;
  bool registering = false;
  bool raising = false;
  bool raise_wanted = false;
  Time raised_at = Time::min();
  std::uint64_t fence = 0;  // 0: not registered
  Time registered_at{0};
  // The registration was surely valid then: a renewal that was sent then has
  // been answered.
  Time last_contact{0};
  Time known_since = kForever;  // the list was read whole for the first time
  std::map<std::string, Member> present{};  // by incarnation
  std::map<std::string, DepartedMember> departed{};
  NodesState nodes{};
  // By node; worked out of the two above when they change.
  std::map<std::string, ChoosableMember> choosable{};
  std::uint64_t version = 1;  // rises with each change of the members
};

struct RoomView;

// Members that have not answered an offer, since when.
struct SilenceState {
  std::map<std::string, Time> asked{};   // not overdue yet
  std::map<std::string, Time> silent{};  // they get no offers
  ResponseTime answers{};
};

// How the own workers answer calls.
struct WorkerAnswers {
  ResponseTime time{};         // of orders
  Time lost_at = Time::min();  // the last call without an answer
};

// A worker of the platform's list. One that left it is remembered for a while:
// it may only have lost its path to the store, and runs on.
struct ListedWorker {
  WorkerInfo info{};
  bool listed = true;
  Time unlisted_at{0};
  Time draining_since = kForever;
  // Its entry in the table of views, which are never taken away; null: not
  // looked for yet, or there was none.
  RoomView* view = nullptr;
};

// The room of all workers as their owners tell it.
struct RoomView {
  std::string owner{};  // an incarnation
  std::uint64_t fence = 0;
  std::uint64_t version = 0;
  Resources free{};
  Resources yielding{};
  bool accepting = false;
  bool gone = false;
  std::uint32_t slowness = 0;  // in hundredths of the estimates; 0: not known
  Time heard{0};
  // Whether the owner is a member, by the members of this version.
  std::uint64_t checked_version = 0;
  bool owner_is_member = false;
};

// Group commit.

enum class ChangeKind { kCreateJob, kSaveJob, kAdoptJob, kForgetJob };

struct Change {
  ChangeKind kind = ChangeKind::kSaveJob;
  std::string job{};
  std::uint64_t version = 0;  // of the job's progress that it holds
  std::vector<StoreCondition> conditions{};
  std::vector<StorePut> puts{};
  std::vector<std::string> removes{};
  bool may_be_done = false;  // an earlier try got no answer

  std::size_t entries() const {
    return conditions.size() + puts.size() + removes.size();
  }
};

struct Batch {
  std::vector<Change> changes{};
  std::uint64_t fence = 0;
};

struct WriterState {
  double allowance = 0;  // transactions that may be sent now
  Time allowed_at{0};    // when it was counted
  std::deque<Change> queue{};
  std::map<std::uint64_t, Batch> in_flight{};
  std::uint64_t last_batch = 0;
  Time retry_at{0};
};

// What the store says of jobs of other owners.
struct CatalogEntry {
  std::optional<JobSpec> spec{};
  std::optional<JobRecord> record{};
  std::uint64_t record_revision = 0;
  // How the job has ended, as its owner or the store told.
  std::optional<JobState> final_state{};
  bool absent = false;  // the store has no such job
  bool reading_record = false;
  bool reading_spec = false;
  bool want_record = false;
  bool want_spec = false;
  Time read_at = Time::min();     // when the last read of the record began
  Time known_from = Time::min();  // when the read began whose answer this is
  Time used{0};
};

// A caller that waits for the answer to a question about a job.
struct WaitingCaller {
  std::uint64_t call = 0;
  CallerQuestion question = CallerQuestion::kState;
  std::string job{};
  Time since{0};
  Time give_up{0};
  std::string asked{};  // the member that was asked last
  Time asked_at = Time::min();
  // The record counts if its read began then or later.
  Time read_from = Time::min();
};

// Adoption of jobs whose owner is gone.
struct OrphanScan {
  bool in_flight = false;
  std::string after{};
};

struct Orphan {
  std::string owner{};  // that is gone
  bool writing = false;
};

// Questions about all jobs that have not recovered yet after their adoption.
struct RecoveryState {
  WorkerNumbers numbers{};          // in the jobs' sets
  Time asked_at = Time::min();      // who has more to tell
  Time asked_all_at = Time::min();  // every member
  // When a member was last told of all workers that left the list and that are
  // still waited for.
  std::map<std::string, Time> told{};
};

// Workers that left the list before this instance followed it: what the members
// told of them since the last registration.
struct UnseenWorkers {
  Time registered_at{0};
  std::set<std::string> told_by{};  // incarnations
  bool all_told = false;  // by one that has followed the list for long
};

// Waves of upkeep, and what this instance does for them while it is the one
// that orders machines.
struct UpkeepState {
  std::map<std::uint64_t, WaveProgress> waves{};
  Time held_since = kForever;  // the duty
  bool in_flight = false;      // a call about machines
  Time called_at{0};
  Time retry_at{0};
  Time list_asked = Time::min();
  bool listed = false;  // since it has the duty
  MachineList machines{};
  MachineList reading{};
  bool telling = false;
};

// Machines of standby pools that were brought in.
struct PoolsState {
  std::map<std::string, PoolPressure> pressure{};  // by service
  std::map<std::string, std::string> borrowed{};   // machine: its standby pool
  std::set<std::pair<std::string, std::string>> impossible{};
  std::set<std::string> emptied{};  // workers
  Time moved_at = Time::min();
  Time asked_at = Time::min();
};

// Records of ended jobs without an owner are looked for.
struct SweepState {
  Time swept_at{0};  // not right after the start
  bool in_flight = false;
  std::string after{};
};

// A question for advice on an own job's step that is out.
struct AdviceQuestion {
  TaskName step{};       // its index does not count
  std::string member{};  // that asks the service
  std::vector<std::string> workers{};
  std::uint32_t priority = 0;
  AdviceReason reason = AdviceReason::kFirst;
  Duration expected{0};
  Time asked{0};
  Time due{0};  // when the answer should be there
  Time give_up{0};
};

// A call to the service that this instance makes for a member or itself.
struct AdviceTurn {
  std::string from{};
  AdviceAsk ask{};
  Time arrived{0};
};

struct AdviceState {
  std::uint64_t last_call = 0;
  std::map<std::uint64_t, AdviceQuestion> questions{};
  std::deque<AdviceTurn> turns{};
  std::optional<AdviceTurn> in_flight{};
  Time called_at{0};  // for the turn in flight
  Time retry_at{0};
  Duration late{0};  // beyond their time, the last calls
  Time late_at{0};
  // Of the members, as reported, or longer after a question without an answer.
  std::map<std::string, Duration> waits{};
  std::map<std::string, Duration> urgent_waits{};
  std::map<std::string, Time> heard{};  // last report
  std::set<std::string> silent{};       // owe an answer and send nothing
  std::map<std::string, AllowedShare> shares{};  // by queue
};

struct DigestState {
  std::set<std::string> changed{};  // workers
  bool waiting_changed = false;
  std::uint64_t sequence = 0;  // of the last digest with a change
  Time sent_at = Time::min();
  Time looked_at = Time::min();  // whether something urgent has changed
  bool settled = false;          // the last digest had no change
  // As the digests have it.
  std::map<std::string, std::uint32_t> told_waiting{};  // by queue
  struct ToldWorker {
    std::uint64_t fence = 0;
    bool accepting = false;
    bool gone = false;
    auto operator<=>(const ToldWorker&) const = default;
  };
  std::map<std::string, ToldWorker> told{};
  std::set<std::string> askers{};  // members that get the whole
  // Of the members' digests, by incarnation.
  std::map<std::string, std::uint64_t> heard{};  // all up to this one
  std::map<std::string, Time> missed{};  // when the whole was last asked for
  // Told by the peers, by incarnation and queue.
  std::map<std::string, std::map<std::string, std::uint32_t>> waiting{};
};

struct StopState {
  bool asked = false;
  Time asked_at{0};
  Time since{0};          // when its present stage began
  bool released = false;  // the registration is ended
  bool ended = false;
};

// When the reducer last drove its whole state.
struct DriveState {
  bool due = false;  // events came since
  Time driven_at = Time::min();
  Time kept_at = Time::min();    // also at what only time changes
  Time forgot_at = Time::min();  // what is too old
};

// Totals for the metrics.
struct Totals {
  std::uint64_t submitted = 0;
  std::uint64_t accepted = 0;
  std::uint64_t refused = 0;
  std::uint64_t offers = 0;
  std::uint64_t offers_refused = 0;
  std::uint64_t starts = 0;
  std::uint64_t holds = 0;
  std::uint64_t adopted = 0;
  std::uint64_t completed = 0;
  std::uint64_t failed = 0;
  std::uint64_t lost_runs = 0;
  AdviceCounts advice{};
};

// What was logged of lasting conditions.
struct NoticesState {
  Time seen_at = Time::min();
  Time cancels_seen_at = Time::min();
  Time advice_told_at = Time::min();
  Reminders recoveries{};  // by job
  Reminders claims{};      // by worker
  Reminders stops{};       // by worker
  Reminders cancels{};     // by job
  Reminders waits{};       // by step
  // When the cancel of a job that may still run was acknowledged.
  std::map<std::string, Time> cancelled{};
};

struct State {
  EngineOptions options{};
  std::mt19937_64 random{1};
  StoreState store{};
  std::array<Watch, kWatchedLists> watches{};
  // As they were decoded last, by key.
  std::unordered_map<std::string, std::string> worker_entries{};
  MembersState members{};
  MembersReview members_review{};
  SilenceState silence{};
  Configuration configuration{};
  std::map<std::string, ListedWorker> workers{};  // by id
  std::map<std::string, OwnedWorker> owned{};
  WorkerAnswers worker_answers{};
  Time ownership_reviewed = Time::min();
  Time runs_reviewed = Time::min();
  std::map<std::string, LostWorker> gone{};
  // By then the leases have run out that this instance renewed at workers which
  // it owns no more.
  std::map<std::string, Time> released{};
  std::uint64_t last_lease_question = 0;
  Time leases_asked = Time::min();
  std::map<std::string, RoomView> view{};
  std::unordered_map<std::string, KnownJob> known{};  // of runs on own workers
  std::unordered_map<std::string, CatalogEntry> catalog{};
  std::set<std::string> catalog_wanted{};  // jobs that are to be read
  std::map<std::string, Job> jobs{};
  std::set<std::string> active{};  // jobs that have not ended
  WriterState writer{};
  std::map<std::uint64_t, WaitingCaller> callers{};
  std::uint64_t last_question = 0;
  std::map<std::string, Orphan> orphans{};
  std::map<std::string, OrphanScan> scans{};  // by prefix
  Time scanned_at = Time::min();
  RecoveryState recovery{};
  UnseenWorkers unseen{};
  SweepState sweep{};
  UpkeepState upkeep{};
  PoolsState pools{};
  AdviceState advice{};
  DigestState digest{};
  StopState stop{};
  std::deque<PeerMessage> inbox{};  // from this instance to itself
  DriveState drive{};
  // That go out with this step, by the workers' owners.
  std::map<std::string, TaskStops> stops{};
  bool placement_due = false;
  Time placed_at = Time::min();
  NoticesState notices{};
  EndLog end_log{};
  Totals totals{};
};

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_STATE_H_
