// What entry instances tell each other. Each message can be repeated and lost:
// the sender repeats it until it sees the effect.
#ifndef BURDOCKROCK_ENGINE_MEMBERS_PEER_MESSAGE_H_
#define BURDOCKROCK_ENGINE_MEMBERS_PEER_MESSAGE_H_

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "engine/jobs/job_model.h"
#include "model/resources.h"
#include "model/time.h"

namespace burdockrock::engine {

// Free room of one owned worker.
struct WorkerRoom {
  std::string worker{};
  std::uint64_t fence = 0;    // of the owner; the highest one is right
  std::uint64_t version = 0;  // rises with each change at this owner
  Resources free{};
  // Of runs that can be stopped for the most urgent work.
  Resources yielding{};
  bool accepting = false;  // takes new tasks
  bool lost = false;       // all that ran there has ended
  // How long tasks take there, in hundredths of their estimates; 0: not known.
  std::uint32_t slowness = 0;

  auto operator<=>(const WorkerRoom&) const = default;
};

struct QueueWaiting {
  std::string queue{};
  std::uint32_t jobs = 0;  // accepted, no task has started

  auto operator<=>(const QueueWaiting&) const = default;
};

// What changed at the sender since its last digest. Whoever missed one sees a
// gap in the sequence and asks for the whole.
struct RoomDigest {
  std::uint64_t sequence = 0;  // rises by one with each that tells of a change
  bool whole = false;          // all that the sender has to tell
  std::vector<WorkerRoom> workers{};
  std::vector<QueueWaiting> waiting{};
  Duration advice_wait{0};         // until the sender would ask for more advice
  Duration advice_urgent_wait{0};  // likewise, for the most urgent work

  auto operator<=>(const RoomDigest&) const = default;
};

// One task of an offer.
struct OfferedTask {
  std::uint32_t index = 0;
  std::uint64_t run = 0;
  std::string worker{};
  // Of the worker's owner, as the sender knows it. An offer that was held up on
  // its way until the worker was claimed again must not start what has a
  // successor elsewhere by then.
  std::uint64_t fence = 0;
  std::string ticket{};
  std::string checkpoint{};

  auto operator<=>(const OfferedTask&) const = default;
};

// The job's owner asks the workers' owner to start tasks of one step.
struct TaskOffer {
  std::string job{};
  std::uint64_t generation = 0;  // of the job's owner
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::string payload{};
  StepSpec spec{};
  std::uint32_t priority = 0;
  bool preempts = false;   // runs of less urgent work may be stopped for it
  bool book_only = false;  // keep the room, start later
  std::vector<OfferedTask> tasks{};

  auto operator<=>(const TaskOffer&) const = default;
};

enum class OfferOutcome {
  kStarted,
  kBooked,
  kNoRoom,
  kNotOwner,    // the worker has another owner, or none yet
  kNotServing,  // it drains or fails its health check
  kBadTicket,
  kOldRun,    // a run as high as this one ended there already
  kOldOwner,  // the job has a newer owner
  kInvalid,   // the worker refuses the order itself
  kStopped,   // stopped before it had started
};

const char* OfferOutcomeName(OfferOutcome outcome);

struct OfferAnswer {
  std::string task{};
  std::uint64_t run = 0;
  std::string worker{};
  OfferOutcome outcome = OfferOutcome::kStarted;

  auto operator<=>(const OfferAnswer&) const = default;
};

struct OfferAnswers {
  std::vector<OfferAnswer> answers{};
  // Of workers that refused, as it is now: the next choice is a better one.
  std::vector<WorkerRoom> rooms{};

  auto operator<=>(const OfferAnswers&) const = default;
};

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

// `sequence` 0: the run was lost with its worker, and no confirmation that the
// end is stored is needed.
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

struct StoredEnd {
  std::string worker{};
  std::uint64_t sequence = 0;

  auto operator<=>(const StoredEnd&) const = default;
};

// The job's owner has the ends in the store: the worker may forget them.
struct EndsStored {
  std::vector<StoredEnd> ends{};

  auto operator<=>(const EndsStored&) const = default;
};

// A worker that left the store's list and of which not everything that runs
// there was heard yet.
struct RememberedWorker {
  std::string worker{};
  std::string address{};
  std::string domain{};
  std::string service{};

  auto operator<=>(const RememberedWorker&) const = default;
};

struct RunQuery {
  std::string task{};
  std::uint64_t run = 0;
  std::string worker{};

  auto operator<=>(const RunQuery&) const = default;
};

// The job's owner has not heard of these runs for long. `remembered`: of their
// workers those that left the store's list.
struct RunQueries {
  std::vector<RunQuery> runs{};
  std::vector<RememberedWorker> remembered{};

  auto operator<=>(const RunQueries&) const = default;
};

enum class RunState {
  kRunning,
  kPending,      // ordered, not answered yet, or being stopped
  kAbsent,       // not there and never will be
  kStalled,      // there, but its work does not go on
  kUnwanted,     // it runs; its worker is to be emptied
  kUnreachable,  // it was there; its worker can't be reached at the moment
};

const char* RunStateName(RunState state);

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

struct JobGeneration {
  std::string job{};
  std::uint64_t generation = 0;

  auto operator<=>(const JobGeneration&) const = default;
};

// A new owner of jobs asks what of them runs. From then on the receiver
// refuses offers of lower generations. `remembered` are the workers that are
// still waited for and that a receiver may not know.
struct AdoptQuery {
  std::vector<JobGeneration> jobs{};
  std::vector<RememberedWorker> remembered{};
  // The sender has not followed the list of workers for long.
  bool wants_workers = false;

  auto operator<=>(const AdoptQuery&) const = default;
};

struct CoveredWorker {
  std::string worker{};
  std::uint64_t fence = 0;  // with which the sender owns it
  bool lost = false;

  auto operator<=>(const CoveredWorker&) const = default;
};

// All runs and ends of the jobs asked for, and the workers of which that is
// all.
struct AdoptReport {
  std::vector<std::string> jobs{};
  std::vector<RunReport> runs{};
  std::vector<EndReport> ends{};
  std::vector<CoveredWorker> covered{};
  // For who wants them: workers that left the list and that may run tasks.
  std::vector<RememberedWorker> remembered{};
  // With the store's list they are all that may run tasks.
  bool all_remembered = false;

  auto operator<=>(const AdoptReport&) const = default;
};

enum class JobQueryKind { kState, kCancel };

const char* JobQueryKindName(JobQueryKind kind);

// A caller's question about a job, to the job's owner.
struct JobQuery {
  std::uint64_t call = 0;  // the asker's
  JobQueryKind kind = JobQueryKind::kState;
  std::string job{};

  auto operator<=>(const JobQuery&) const = default;
};

struct JobReply {
  std::uint64_t call = 0;
  bool known = false;  // the replier owns the job
  JobState state = JobState::kQueued;

  auto operator<=>(const JobReply&) const = default;
};

// Asks the receiver to ask the advice service: it serves one call at a time for
// each entry instance.
struct PeerAdviceRequest {
  std::uint64_t call = 0;  // the asker's
  std::string step{};
  std::uint32_t priority = 0;
  bool lasting = false;  // the step's tasks are to be at work all the time
  Duration expected{0};  // how long the service will take
  Duration timeout{0};   // the asker waits so long; 0: for ever
  // Whoever would have to let it wait longer declines it; 0: it may wait.
  Duration max_wait{0};
  std::vector<std::string> workers{};

  auto operator<=>(const PeerAdviceRequest&) const = default;
};

struct AdvisedWorker {
  std::string worker{};
  std::string ticket{};

  auto operator<=>(const AdvisedWorker&) const = default;
};

struct AdviceReply {
  std::uint64_t call = 0;
  bool failed = false;
  bool declined = false;  // not put to the service: it would wait too long
  std::vector<AdvisedWorker> allowed{};
  Duration wait{0};         // until the sender would ask for more advice
  Duration urgent_wait{0};  // likewise, for the most urgent work

  auto operator<=>(const AdviceReply&) const = default;
};

// The worker's machine is to go down: its owner empties it.
struct PrepareWorker {
  std::string worker{};

  auto operator<=>(const PrepareWorker&) const = default;
};

// Nothing runs there any more, and nothing new starts for a while.
struct WorkerPrepared {
  std::string worker{};

  auto operator<=>(const WorkerPrepared&) const = default;
};

struct LeaseQueryItem {
  std::string worker{};
  std::uint64_t number = 0;  // the asker's

  auto operator<=>(const LeaseQueryItem&) const = default;
};

// Who claims workers that it can't reach asks until when leases last there that
// the receiver has renewed. Whoever answers gives the worker up.
struct LeaseQuery {
  std::vector<LeaseQueryItem> workers{};

  auto operator<=>(const LeaseQuery&) const = default;
};

struct LeaseEnd {
  std::string worker{};
  std::uint64_t number = 0;  // the question's
  Duration left{0};          // 0: none lasts

  auto operator<=>(const LeaseEnd&) const = default;
};

// Workers that the sender still owns and reaches are left out.
struct LeaseReport {
  std::vector<LeaseEnd> ends{};
  // So long leases may last that members renewed which the sender remembers, or
  // may have missed.
  Duration others_left{0};

  auto operator<=>(const LeaseReport&) const = default;
};

// The sender stops and has renewed its last lease.
struct StoppedRenewing {
  auto operator<=>(const StoppedRenewing&) const = default;
};

// The receiver sends its whole digest.
struct DigestRequest {
  auto operator<=>(const DigestRequest&) const = default;
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
                                 StoppedRenewing>;

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_MEMBERS_PEER_MESSAGE_H_
