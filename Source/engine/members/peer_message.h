// Messages between entry instances. Delivery is not guaranteed and a message
// may arrive more than once: the sender repeats it until it sees the effect.
#ifndef BURDOCKROCK_ENGINE_MEMBERS_PEER_MESSAGE_H_
#define BURDOCKROCK_ENGINE_MEMBERS_PEER_MESSAGE_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "engine/jobs/job_model.h"
#include "engine/jobs/objective_rule.h"
#include "engine/members/handover_message.h"
#include "engine/teams/admission_rule.h"
#include "model/resources.h"
#include "model/time.h"

namespace burdockrock::engine {

// Free capacity of one owned worker.
struct WorkerRoom {
  std::string worker{};
  std::uint64_t fence = 0;    // of the owner; the highest fence wins
  std::uint64_t version = 0;  // increases with each change at this owner
  Resources free{};
  // Held by runs that may be preempted for the most urgent work.
  Resources yielding{};
  bool accepting = false;  // accepts new tasks
  bool lost = false;       // declared lost: every run there has ended
  // Task time there as a percentage of the estimates; 0: unknown.
  std::uint32_t slowness = 0;

  auto operator<=>(const WorkerRoom&) const = default;
};

// Number of jobs of one queue that are waiting at the sender.
struct QueueWaiting {
  std::string queue{};
  std::uint32_t jobs = 0;  // accepted, no task started yet

  auto operator<=>(const QueueWaiting&) const = default;
};

// Jobs that the sender has accepted from one team since its process started.
struct TeamArrivals {
  std::string team{};
  std::uint64_t accepted = 0;

  auto operator<=>(const TeamArrivals&) const = default;
};

// Tasks of the sender's jobs that wait for a team's cap or for a service's
// room.
struct CapacityWait {
  std::string team{};
  std::string service{};  // one of the two is empty
  Backlog backlog{};

  auto operator<=>(const CapacityWait&) const = default;
};

// What callers send to the sender, and what waits there. Only for members for
// which KnowsLoad() is true.
struct MemberLoad {
  std::vector<TeamArrivals> teams{};
  std::vector<CapacityWait> waits{};

  auto operator<=>(const MemberLoad&) const = default;
};

// Changes at the sender since its last digest. A receiver that missed one sees
// a gap in the sequence and requests a whole digest.
struct RoomDigest {
  std::uint64_t sequence = 0;  // increases by one with each that holds a change
  bool whole = false;          // full state instead of changes
  std::vector<WorkerRoom> workers{};
  std::vector<QueueWaiting> waiting{};
  // Time that one more advice call would wait at the sender.
  Duration advice_wait{0};
  Duration advice_urgent_wait{0};    // the same for the most urgent work
  std::optional<MemberLoad> load{};  // unset: unchanged
  // The receiver passes it on within its failure domain. Only to members for
  // which KnowsRelays() is true.
  bool pass_on = false;

  auto operator<=>(const RoomDigest&) const = default;
};

// A digest of another member that the sender passes on.
struct RelayedDigest {
  std::string from{};  // an incarnation
  RoomDigest digest{};

  auto operator<=>(const RelayedDigest&) const = default;
};

// In the order of their arrival at the sender.
struct RelayedDigests {
  std::vector<RelayedDigest> digests{};

  auto operator<=>(const RelayedDigests&) const = default;
};

// One task of an offer.
struct OfferedTask {
  std::uint32_t index = 0;
  std::uint64_t run = 0;
  std::string worker{};
  // Of the worker's owner, as known to the sender. An offer that was delayed
  // until the worker was claimed again must not start a run that has since been
  // replaced by one elsewhere.
  std::uint64_t fence = 0;
  std::string ticket{};
  std::string checkpoint{};
  // Nothing else may run on the worker for this long after the start.
  Duration alone_for{0};
  Duration waited{0};  // if it is to run alone: since it last ran

  auto operator<=>(const OfferedTask&) const = default;
};

// Request of the job's owner to the workers' owner to start tasks of one step.
struct TaskOffer {
  std::string job{};
  std::uint64_t generation = 0;  // of the job's owner
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::string payload{};
  StepSpec spec{};
  std::uint32_t priority = 0;
  bool preempts = false;   // may stop runs of less urgent work
  bool book_only = false;  // reserve the room, start later
  // Only replaces the tickets of runs that wait for room at their workers.
  bool renews = false;
  std::vector<OfferedTask> tasks{};

  auto operator<=>(const TaskOffer&) const = default;
};

enum class OfferOutcome {
  kStarted,
  kBooked,
  kNoRoom,
  kNotOwner,    // the worker has another owner, or none yet
  kNotServing,  // the worker is draining or fails its health check
  kBadTicket,
  kOldRun,    // a run with this number or a higher one has ended there
  kOldOwner,  // the job has a newer owner
  kInvalid,   // the worker rejects the command itself
  kStopped,   // stopped before it started
};

// The value on the wire, such as "no_room".
const char* OfferOutcomeName(OfferOutcome outcome);

// Outcome for one task of an offer.
struct OfferAnswer {
  std::string task{};
  std::uint64_t run = 0;
  std::string worker{};
  OfferOutcome outcome = OfferOutcome::kStarted;

  auto operator<=>(const OfferAnswer&) const = default;
};

struct OfferAnswers {
  std::vector<OfferAnswer> answers{};
  // Current room of the workers that refused, for the sender's next choice.
  std::vector<WorkerRoom> rooms{};

  auto operator<=>(const OfferAnswers&) const = default;
};

// Request of a job's owner to the worker's owner to stop one run.
struct TaskStop {
  std::string task{};
  std::uint64_t run = 0;
  std::string worker{};
  std::uint64_t generation = 0;

  auto operator<=>(const TaskStop&) const = default;
};

struct TaskStops {
  std::vector<TaskStop> stops{};

  auto operator<=>(const TaskStops&) const = default;
};

// End of one run, sent to the job's owner. `sequence` is 0 when the run was
// lost with its worker: then no confirmation that the end is stored is needed.
struct EndReport {
  std::string worker{};
  std::uint64_t sequence = 0;
  std::string task{};
  std::uint64_t run = 0;
  RunEnd how = RunEnd::kDone;
  std::string checkpoint{};

  auto operator<=>(const EndReport&) const = default;
};

struct EndReports {
  std::vector<EndReport> ends{};

  auto operator<=>(const EndReports&) const = default;
};

// Identifies an EndReport whose end is stored.
struct StoredEnd {
  std::string worker{};
  std::uint64_t sequence = 0;

  auto operator<=>(const StoredEnd&) const = default;
};

// The job's owner has stored the ends: the worker may delete them.
struct EndsStored {
  std::vector<StoredEnd> ends{};

  auto operator<=>(const EndsStored&) const = default;
};

// A worker that was removed from the store's list while some of its runs may
// not have been reported yet.
struct RememberedWorker {
  std::string worker{};
  std::string address{};  // empty: known from its machine only
  std::string domain{};
  std::string service{};
  bool draining = false;  // it had announced its end

  auto operator<=>(const RememberedWorker&) const = default;
};

// Asks for the state of one run.
struct RunQuery {
  std::string task{};
  std::uint64_t run = 0;
  std::string worker{};

  auto operator<=>(const RunQuery&) const = default;
};

// Sent by the job's owner for runs without an update for a long time.
// `remembered` holds those of their workers that were removed from the store's
// list.
struct RunQueries {
  std::vector<RunQuery> runs{};
  std::vector<RememberedWorker> remembered{};

  auto operator<=>(const RunQueries&) const = default;
};

enum class RunState {
  kRunning,
  kPending,      // start command not answered yet, or being stopped
  kAbsent,       // not there, and will not start there
  kStalled,      // there, but its work has stalled
  kUnwanted,     // running on a worker that is to be drained
  kUnreachable,  // was there; its worker is unreachable at the moment
};

// The value on the wire, such as "running".
const char* RunStateName(RunState state);

// State of one run, sent to the job's owner.
struct RunReport {
  std::string task{};
  std::uint64_t run = 0;
  std::string worker{};
  RunState state = RunState::kPending;
  std::string checkpoint{};

  auto operator<=>(const RunReport&) const = default;
};

struct RunReports {
  std::vector<RunReport> runs{};

  auto operator<=>(const RunReports&) const = default;
};

// Ownership epoch of one job.
struct JobGeneration {
  std::string job{};
  std::uint64_t generation = 0;

  auto operator<=>(const JobGeneration&) const = default;
};

// A new owner of jobs queries their runs. From then on the receiver refuses
// offers with lower generations. `remembered` holds the workers whose runs are
// still outstanding and that a receiver may not know.
struct AdoptQuery {
  std::vector<JobGeneration> jobs{};
  std::vector<RememberedWorker> remembered{};
  // Set when the sender has watched the list of workers only for a short time
  // and may have missed removals.
  bool wants_workers = false;
  // For `wants_workers`: AdoptReport::workers_digest of the receiver's last
  // report that the sender has read; 0: none.
  std::uint64_t known_workers = 0;

  auto operator<=>(const AdoptQuery&) const = default;
};

// Where and when a worker crashed.
struct CrashSite {
  std::string worker{};
  std::string domain{};
  std::string rack{};
  std::string service{};
  Duration alive_ago{0};  // last known to be alive
  Duration dead_ago{0};   // first known not to be

  auto operator<=>(const CrashSite&) const = default;
};

// Workers that crashed: their processes ended without notice.
struct WorkersCrashed {
  // Those where the crash counts for all runs.
  std::vector<std::string> workers{};
  std::vector<CrashSite> sites{};  // of all of them

  auto operator<=>(const WorkersCrashed&) const = default;
};

// A worker whose runs an AdoptReport lists completely.
struct CoveredWorker {
  std::string worker{};
  std::uint64_t fence = 0;  // of the sender's ownership
  bool lost = false;

  auto operator<=>(const CoveredWorker&) const = default;
};

// All runs and ends of the queried jobs that the sender knows, and the workers
// for which that is complete.
struct AdoptReport {
  std::vector<std::string> jobs{};
  std::vector<RunReport> runs{};
  std::vector<EndReport> ends{};
  std::vector<CoveredWorker> covered{};
  // For `wants_workers`: workers that were removed from the list and that may
  // still run tasks.
  std::vector<RememberedWorker> remembered{};
  // For `wants_workers`: a digest of all these workers. Those that the receiver
  // knows by AdoptQuery::known_workers are left out; 0: none are.
  std::uint64_t workers_digest = 0;
  // Together with the store's list, `remembered` holds every worker that may
  // run tasks.
  bool all_remembered = false;
  // For `wants_workers`: the sender has compared the list of machines with that
  // of workers, and `remembered` holds what is missing there. Only to members
  // for which KnowsRelays() is true.
  bool machines_compared = false;
  // For `wants_workers`: the machines could not be listed, so that nobody needs
  // to wait for a comparison. It does not show that all workers are known.
  bool machines_unread = false;

  auto operator<=>(const AdoptReport&) const = default;
};

// What a JobQuery requests.
enum class JobQueryKind { kState, kCancel };

// The value on the wire, such as "cancel".
const char* JobQueryKindName(JobQueryKind kind);

// A caller's request about a job, forwarded to the job's owner.
struct JobQuery {
  std::uint64_t call = 0;  // chosen by the sender
  JobQueryKind kind = JobQueryKind::kState;
  std::string job{};
  // Of the caller, empty if it has none; unset: the receiver does not check it.
  std::optional<std::string> team{};

  auto operator<=>(const JobQuery&) const = default;
};

struct JobReply {
  std::uint64_t call = 0;  // of the query
  bool known = false;      // the sender owns the job
  JobState state = JobState::kQueued;
  std::string cause{};  // of a job that failed
  bool denied = false;  // the job is another team's

  auto operator<=>(const JobReply&) const = default;
};

// Asks the receiver to call the advice service for the sender. The service
// serves one call at a time for each entry instance, so calls are spread over
// all of them.
struct PeerAdviceRequest {
  std::uint64_t call = 0;  // chosen by the sender
  std::string step{};
  std::uint32_t priority = 0;
  // Of the step's job. Only to members for which KnowsLoad() is true.
  Standing standing = Standing::kInTime;
  // Precedes calls that have waited for some seconds longer: the first one for
  // lasting tasks, or one that renews a ticket.
  bool precedes = false;
  Duration waited{0};    // since the step was ready or had its last reply
  Duration expected{0};  // service time of the call
  Duration timeout{0};   // after which the sender gives up; 0: no limit
  // The receiver declines the call if it would wait longer; 0: no limit.
  Duration max_wait{0};
  std::vector<std::string> workers{};

  auto operator<=>(const PeerAdviceRequest&) const = default;
};

// A worker that the advice service allows, with the ticket for it.
struct AdvisedWorker {
  std::string worker{};
  std::string ticket{};

  auto operator<=>(const AdvisedWorker&) const = default;
};

struct AdviceReply {
  std::uint64_t call = 0;
  bool failed = false;
  bool declined = false;  // the service was not called: the wait is too long
  std::vector<AdvisedWorker> allowed{};
  Duration wait{0};         // of one more advice call at the sender
  Duration urgent_wait{0};  // the same for the most urgent work

  auto operator<=>(const AdviceReply&) const = default;
};

// The worker's machine is about to shut down: its owner drains the worker.
struct PrepareWorker {
  std::string worker{};

  auto operator<=>(const PrepareWorker&) const = default;
};

// The worker is drained, and nothing starts there for a while.
struct WorkerPrepared {
  std::string worker{};

  auto operator<=>(const WorkerPrepared&) const = default;
};

// One worker of a LeaseQuery.
struct LeaseQueryItem {
  std::string worker{};
  std::uint64_t number = 0;  // chosen by the sender

  auto operator<=>(const LeaseQueryItem&) const = default;
};

// Sent by a member that claims workers which it can't reach: asks until when
// the leases last that the receiver has renewed there. A receiver that answers
// for a worker gives up its ownership.
struct LeaseQuery {
  std::vector<LeaseQueryItem> workers{};

  auto operator<=>(const LeaseQuery&) const = default;
};

struct LeaseEnd {
  std::string worker{};
  std::uint64_t number = 0;  // of the query
  Duration left{0};          // until the last lease ends; 0: none is valid

  auto operator<=>(const LeaseEnd&) const = default;
};

// Reply to a LeaseQuery. Workers that the sender owns and can reach are left
// out.
struct LeaseReport {
  std::vector<LeaseEnd> ends{};
  // Upper bound for leases that were renewed by former members which the sender
  // remembers or may have missed.
  Duration others_left{0};

  auto operator<=>(const LeaseReport&) const = default;
};

// The sender is stopping and has renewed its last lease.
struct StoppedRenewing {
  auto operator<=>(const StoppedRenewing&) const = default;
};

// Requests a whole digest from the receiver.
struct DigestRequest {
  auto operator<=>(const DigestRequest&) const = default;
};

// What runs of the jobs that the sender owns may take at workers, by team.
// Sent to the team's accountant.
struct QuotaHolding {
  std::string team{};
  std::uint64_t claim = 0;  // of the accountant; 0: the sender knows none
  std::uint64_t grant = 0;  // number of the last grant that it applied
  Resources held{};         // no run beyond this is started
  Resources wanted{};       // what its runs and waiting tasks take
  Resources least{};        // the least that would help: one task, or a gang
  // The following only to members for which KnowsLoad() is true.
  Resources shared{};         // of `held`: usable by work of any priority
  Resources urgent_wanted{};  // of `wanted`: for the most urgent priority
  Resources urgent_least{};   // as `least`, which then is of the other work
  Resources charge{};         // its runs
  Resources other_charge{};   // of these, runs of the other work
  // What runs of former owners of its jobs may take; not part of `held`.
  Resources unknown{};
  // Of `wanted`: waiting tasks beyond the team's entitlement.
  Resources excess_waiting{};
  // The following only to members for which KnowsRegistrations() is true.
  std::uint64_t registration = 0;  // of the sender; 0: it tells none

  auto operator<=>(const QuotaHolding&) const = default;
};

struct QuotaHoldings {
  std::vector<QuotaHolding> teams{};

  auto operator<=>(const QuotaHoldings&) const = default;
};

// A change of what one member holds of a team's cap.
struct QuotaGrant {
  std::string team{};
  std::uint64_t claim = 0;   // of the sender
  std::uint64_t number = 0;  // rises with each grant under the claim
  Resources held{};
  Resources cap{};     // of which `held` is a part
  Resources shared{};  // of `held`: usable by work of any priority
  // The following only to members for which KnowsRegistrations() is true.
  Resources taken{};    // of the cap, by all members and former ones
  Resources blocked{};  // of this, what runs of former members may take
  // Of the receiver, as it last told. A grant to an earlier one is void.
  std::uint64_t registration = 0;

  auto operator<=>(const QuotaGrant&) const = default;
};

struct QuotaGrants {
  std::vector<QuotaGrant> teams{};

  auto operator<=>(const QuotaGrants&) const = default;
};

// A member's claim to be the accountant of a team. Receivers reply with what
// they hold, and take no grants of lower claims from then on.
struct QuotaClaim {
  std::string team{};
  std::uint64_t claim = 0;
  // Number of the last grant to any member. One that takes up the claim again
  // has given up what it held, and must not apply earlier grants.
  std::uint64_t grant = 0;

  auto operator<=>(const QuotaClaim&) const = default;
};

struct QuotaClaims {
  std::vector<QuotaClaim> teams{};

  auto operator<=>(const QuotaClaims&) const = default;
};

using PeerMessage = std::variant<RoomDigest,
                                 TaskOffer,
                                 OfferAnswers,
                                 TaskStops,
                                 EndReports,
                                 EndsStored,
                                 RunQueries,
                                 RunReports,
                                 AdoptQuery,
                                 AdoptReport,
                                 JobQuery,
                                 JobReply,
                                 PeerAdviceRequest,
                                 AdviceReply,
                                 PrepareWorker,
                                 WorkerPrepared,
                                 LeaseQuery,
                                 LeaseReport,
                                 DigestRequest,
                                 StoppedRenewing,
                                 WorkersCrashed,
                                 QuotaHoldings,
                                 QuotaGrants,
                                 QuotaClaims,
                                 RelayedDigests,
                                 JobsHandedOver,
                                 RunsHandedOver>;

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_MEMBERS_PEER_MESSAGE_H_
