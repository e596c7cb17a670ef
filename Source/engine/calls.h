// Requests to the store, workers, the advice service and the service of
// machines, requests of callers, and the replies to all of them.
#ifndef BURDOCKROCK_ENGINE_CALLS_H_
#define BURDOCKROCK_ENGINE_CALLS_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "engine/configuration.h"
#include "engine/jobs/job_model.h"
#include "engine/teams/key_digest.h"
#include "model/time.h"

namespace burdockrock::engine {

// The store.

struct StoreItem {
  std::string key{};
  std::string value{};
  std::uint64_t revision = 0;  // 0: the key does not exist

  auto operator<=>(const StoreItem&) const = default;
};

struct StoreCondition {
  std::string key{};
  std::uint64_t revision = 0;  // 0: the key must not exist

  auto operator<=>(const StoreCondition&) const = default;
};

struct StorePut {
  std::string key{};
  std::string value{};
  std::uint64_t lease = 0;  // 0: kept until it is removed

  auto operator<=>(const StorePut&) const = default;
};

struct StoreRead {
  std::string key{};
  auto operator<=>(const StoreRead&) const = default;
};

// Reads one page of the entries with the prefix, beginning after the key
// `after`.
struct StoreRange {
  std::string prefix{};
  std::string after{};
  bool may_be_stale = false;  // cheaper; the entries may be seconds old
  auto operator<=>(const StoreRange&) const = default;
};

// Long poll for changes after a revision.
struct StoreWatch {
  std::string prefix{};
  std::uint64_t after = 0;  // a revision
  Duration wait{0};         // longest time without a change
  auto operator<=>(const StoreWatch&) const = default;
};

// Atomic: if all conditions hold, all puts and removes are applied.
struct StoreTransaction {
  std::vector<StoreCondition> conditions{};
  std::vector<StorePut> puts{};
  std::vector<std::string> removes{};
  auto operator<=>(const StoreTransaction&) const = default;
};

struct StoreLeaseGrant {
  Duration ttl{0};
  auto operator<=>(const StoreLeaseGrant&) const = default;
};

struct StoreLeaseRenew {
  std::uint64_t lease = 0;
  auto operator<=>(const StoreLeaseRenew&) const = default;
};

struct StoreLeaseEnd {
  std::uint64_t lease = 0;
  auto operator<=>(const StoreLeaseEnd&) const = default;
};

using StoreRequest = std::variant<StoreRead,
                                  StoreRange,
                                  StoreWatch,
                                  StoreTransaction,
                                  StoreLeaseGrant,
                                  StoreLeaseRenew,
                                  StoreLeaseEnd>;

struct StoreRemoval {
  std::string key{};
  std::uint64_t revision = 0;

  auto operator<=>(const StoreRemoval&) const = default;
};

// The request succeeded. Which fields are set depends on the request.
struct StoreDone {
  std::vector<StoreItem> items{};       // a watch returns none with revision 0
  std::vector<StoreRemoval> removed{};  // of a watch
  bool more = false;                    // of a range: more pages follow
  std::uint64_t revision = 0;           // of the store, or of the transaction
  std::uint64_t lease = 0;
  auto operator<=>(const StoreDone&) const = default;
};

// A condition does not hold. `items` has the current items of the conditions.
struct StoreConflict {
  std::vector<StoreItem> items{};
  auto operator<=>(const StoreConflict&) const = default;
};

// The lease or key does not exist, or the store no longer has the history that
// the watch requires.
struct StoreAbsent {
  auto operator<=>(const StoreAbsent&) const = default;
};

// The request was refused or not sent, and had no effect.
struct StoreRefused {
  std::string detail{};
  auto operator<=>(const StoreRefused&) const = default;
};

// No reply: the request may have taken effect, or may still do so.
struct StoreUnknown {
  std::string detail{};
  auto operator<=>(const StoreUnknown&) const = default;
};

// The store does not accept the request, whenever it is sent: for example, a
// value is too large. It had no effect.
struct StoreRejected {
  std::string detail{};
  auto operator<=>(const StoreRejected&) const = default;
};

using StoreAnswer = std::variant<StoreDone,
                                 StoreConflict,
                                 StoreAbsent,
                                 StoreRefused,
                                 StoreUnknown,
                                 StoreRejected>;

// Workers.

// A long poll that takes or renews the ownership of the worker and the lease of
// its runs, and returns the runs and their ends.
struct PollWorker {
  std::uint64_t fence = 0;
  std::uint64_t acknowledged = 0;   // ends up to this sequence may be dropped
  std::int64_t lease_until_ms = 0;  // on the worker's clock; 0: no renewal
  Duration wait{0};                 // longest time until an end is listed
  auto operator<=>(const PollWorker&) const = default;
};

struct StartRun {
  std::string task{};
  std::uint64_t run = 0;
  std::string payload{};
  std::string ticket{};
  std::string checkpoint{};
  std::uint64_t fence = 0;
  std::int64_t lease_until_ms = 0;
  auto operator<=>(const StartRun&) const = default;
};

struct StopRun {
  std::string task{};
  std::uint64_t run = 0;
  std::uint64_t fence = 0;
  auto operator<=>(const StopRun&) const = default;
};

// Limits a run to a percentage of its full speed.
struct PaceRun {
  std::string task{};
  std::uint64_t run = 0;
  std::uint32_t percent = 100;
  std::uint64_t fence = 0;
  auto operator<=>(const PaceRun&) const = default;
};

using WorkerRequest = std::variant<PollWorker, StartRun, StopRun, PaceRun>;

// A run in a worker's listing.
struct RunningRow {
  std::string task{};
  std::uint64_t run = 0;
  std::string checkpoint{};
  std::uint32_t percent = 0;  // progress
  std::int64_t figure = 0;    // tail latency in ms, or processors in use
  auto operator<=>(const RunningRow&) const = default;
};

// An ended run in a worker's listing.
struct EndedRow {
  std::uint64_t sequence = 0;
  std::string task{};
  std::uint64_t run = 0;
  RunEnd how = RunEnd::kDone;
  std::string checkpoint{};
  auto operator<=>(const EndedRow&) const = default;
};

// The worker accepted the command or answered the poll.
struct WorkerDone {
  std::int64_t clock_ms = 0;          // the worker's steady clock
  std::int64_t born = 0;              // of a poll: its start in Unix ms; 0: not
                                      // told
  std::vector<RunningRow> running{};  // of a poll
  std::vector<EndedRow> ended{};      // of a poll, the oldest first
  // Of a poll: there may be later ends than `ended` has. A worker lists a
  // bounded number of ends, and the next ones once these are acknowledged.
  bool more_ends = false;
  auto operator<=>(const WorkerDone&) const = default;
};

enum class WorkerRefusalKind {
  kFenced,  // another owner has a higher fence
  kOldRun,  // a run with this or a higher number has ended there
  kLate,    // the requested lease has already expired
  kNoRoom,
  kBadTicket,
  kInvalid,
  kUnhealthy,  // it carries out nothing at present
  kReplaced,   // another incarnation of the worker answers there
};

const char* WorkerRefusalName(WorkerRefusalKind kind);

// The request had no effect.
struct WorkerRefused {
  WorkerRefusalKind kind = WorkerRefusalKind::kUnhealthy;
  auto operator<=>(const WorkerRefused&) const = default;
};

// No reply. Unless `may_have_run` is set, the request had no effect.
struct WorkerUnreached {
  bool may_have_run = true;
  std::string detail{};
  auto operator<=>(const WorkerUnreached&) const = default;
};

using WorkerAnswer = std::variant<WorkerDone, WorkerRefused, WorkerUnreached>;

// Advice: the workers that may run a step.

struct AdviceRequest {
  std::string step{};  // StepName
  std::vector<std::string> workers{};
  auto operator<=>(const AdviceRequest&) const = default;
};

// A worker that may run the step, and the ticket that its starts need.
struct Allowed {
  std::string worker{};
  std::string ticket{};
  auto operator<=>(const Allowed&) const = default;
};

struct AdviceGiven {
  std::vector<Allowed> allowed{};
  auto operator<=>(const AdviceGiven&) const = default;
};

struct AdviceFailed {
  std::string detail{};
  auto operator<=>(const AdviceFailed&) const = default;
};

using AdviceAnswer = std::variant<AdviceGiven, AdviceFailed>;

// Machines: a worker is one incarnation of a machine.

enum class MachineState { kUp, kMoving, kUpkeep, kDown };

const char* MachineStateName(MachineState state);

struct Machine {
  std::string name{};
  std::string pool{};  // the service whose workers run there
  MachineState state = MachineState::kUp;
  std::string worker{};  // the present incarnation; empty: none
  std::string domain{};  // failure domain

  auto operator<=>(const Machine&) const = default;
};

// Lists one page of machines; an empty `page` is the first.
struct ListMachines {
  std::string page{};
  auto operator<=>(const ListMachines&) const = default;
};

// Takes the machine down: all its runs end at once, and a new incarnation
// starts some seconds later.
struct BeginUpkeep {
  std::string machine{};
  std::uint64_t wave = 0;
  std::uint64_t fence = 0;
  auto operator<=>(const BeginUpkeep&) const = default;
};

struct MoveMachine {
  std::string machine{};
  std::string pool{};
  std::uint64_t fence = 0;
  auto operator<=>(const MoveMachine&) const = default;
};

using MachineRequest = std::variant<ListMachines, BeginUpkeep, MoveMachine>;

struct MachinePage {
  std::vector<Machine> machines{};
  std::vector<std::string> unreadable{};  // what is wrong with rows left out
  std::string next{};                     // empty: this is the last page
  auto operator<=>(const MachinePage&) const = default;
};

// The command was carried out by this call or an earlier one.
struct MachineTaken {
  auto operator<=>(const MachineTaken&) const = default;
};

enum class MachineRefusalKind {
  kFenced,     // another instance used a higher fence there
  kBusy,       // the machine is not up or is leaving
  kNotOfWave,  // the wave does not contain the machine
  kInvalid,
  kTooMany,  // too many concurrent calls
};

const char* MachineRefusalName(MachineRefusalKind kind);

// The command had no effect.
struct MachineRefused {
  MachineRefusalKind kind = MachineRefusalKind::kInvalid;
  auto operator<=>(const MachineRefused&) const = default;
};

// No reply. Unless `may_have_run` is set, the command had no effect.
struct MachineUnanswered {
  bool may_have_run = true;
  std::string detail{};
  auto operator<=>(const MachineUnanswered&) const = default;
};

using MachineAnswer =
    std::variant<MachinePage, MachineTaken, MachineRefused, MachineUnanswered>;

// Callers.

enum class CallerQuery { kSubmit, kState, kCancel, kWaiting };

// Names either the queue and the job, or a host and path that identify them.
struct CallerRequest {
  CallerQuery query = CallerQuery::kState;
  std::string host{};
  std::string path{};
  std::string queue{};
  std::string job{};
  std::optional<KeyDigest> key{};  // of the caller
  JobSpec spec{};                  // of a submission
  auto operator<=>(const CallerRequest&) const = default;
};

struct JobAccepted {
  auto operator<=>(const JobAccepted&) const = default;
};

struct JobStateFound {
  JobState state = JobState::kQueued;
  std::string cause{};  // of a job that failed
  auto operator<=>(const JobStateFound&) const = default;
};

struct CancelAccepted {
  JobState state = JobState::kCancelled;  // or the state in which it had ended
  auto operator<=>(const CancelAccepted&) const = default;
};

// The number of jobs of a queue that wait.
struct WaitingCount {
  std::uint32_t jobs = 0;
  auto operator<=>(const WaitingCount&) const = default;
};

struct NoSuchQueue {
  auto operator<=>(const NoSuchQueue&) const = default;
};

struct NoSuchJob {
  auto operator<=>(const NoSuchJob&) const = default;
};

// The caller's key is missing or not known. The request had no effect.
struct KeyRefused {
  std::string detail{};
  auto operator<=>(const KeyRefused&) const = default;
};

// The job is another team's. The request had no effect.
struct AccessDenied {
  auto operator<=>(const AccessDenied&) const = default;
};

struct BadRequest {
  SpecFault fault{};
  auto operator<=>(const BadRequest&) const = default;
};

enum class RefusalCause {
  kStoreUnavailable,  // the store is unavailable, so nothing can be written
  kStopping,          // this entry instance is stopping
  kNotReady,          // it has no configuration yet
  kOverloaded,        // waiting work exceeds what can end in time
};

const char* RefusalText(RefusalCause cause);

// The request had no effect and will have none. A retry after `retry_after` may
// succeed.
struct Unavailable {
  RefusalCause cause = RefusalCause::kStoreUnavailable;
  std::string detail{};
  Duration retry_after{0};
  auto operator<=>(const Unavailable&) const = default;
};

// The outcome is unknown. The caller repeats the request.
struct OutcomeUnknown {
  std::string detail{};
  auto operator<=>(const OutcomeUnknown&) const = default;
};

using CallerAnswer = std::variant<JobAccepted,
                                  JobStateFound,
                                  CancelAccepted,
                                  WaitingCount,
                                  NoSuchQueue,
                                  NoSuchJob,
                                  KeyRefused,
                                  AccessDenied,
                                  BadRequest,
                                  Unavailable,
                                  OutcomeUnknown>;

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_CALLS_H_
