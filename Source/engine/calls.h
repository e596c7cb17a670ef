// What the engine asks of the store, of workers and of the advice service, and
// what comes back.
#ifndef BURDOCKROCK_ENGINE_CALLS_H_
#define BURDOCKROCK_ENGINE_CALLS_H_

#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "engine/configuration.h"
#include "engine/jobs/job_model.h"
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

// One page, from behind the key `after`.
struct StoreRange {
  std::string prefix{};
  std::string after{};
  bool may_be_stale = false;  // cheaper, seconds old
  auto operator<=>(const StoreRange&) const = default;
};

struct StoreWatch {
  std::string prefix{};
  std::uint64_t after = 0;  // a revision
  Duration wait{0};
  auto operator<=>(const StoreWatch&) const = default;
};

// All or nothing.
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

// The call was carried out. Which members count depends on the request.
struct StoreDone {
  std::vector<StoreItem> items{};       // read; of a watch, revision 0 in none
  std::vector<StoreRemoval> removed{};  // of a watch
  bool more = false;                    // of a range: there are more pages
  std::uint64_t revision = 0;           // of the store, or of the transaction
  std::uint64_t lease = 0;
  auto operator<=>(const StoreDone&) const = default;
};

// A condition does not hold; the conditions' items as they are.
struct StoreConflict {
  std::vector<StoreItem> items{};
  auto operator<=>(const StoreConflict&) const = default;
};

// No such lease, key or history any more.
struct StoreAbsent {
  auto operator<=>(const StoreAbsent&) const = default;
};

// Nothing was done: refused, or not sent.
struct StoreRefused {
  std::string detail{};
  auto operator<=>(const StoreRefused&) const = default;
};

// No answer: it may have been carried out, or may be later.
struct StoreUnknown {
  std::string detail{};
  auto operator<=>(const StoreUnknown&) const = default;
};

using StoreAnswer = std::
    variant<StoreDone, StoreConflict, StoreAbsent, StoreRefused, StoreUnknown>;

// Workers.

// Takes or renews the ownership with everything that runs there, and reads
// what runs and what ended.
struct HoldWorker {
  std::uint64_t fence = 0;
  std::uint64_t acknowledged = 0;   // ends up to here may be forgotten
  std::int64_t lease_until_ms = 0;  // on the worker's clock; 0: no renewal
  Duration wait{0};                 // for an end
  auto operator<=>(const HoldWorker&) const = default;
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

// Lets a run work at a share of its speed.
struct PaceRun {
  std::string task{};
  std::uint64_t run = 0;
  std::uint32_t percent = 100;
  std::uint64_t fence = 0;
  auto operator<=>(const PaceRun&) const = default;
};

using WorkerRequest = std::variant<HoldWorker, StartRun, StopRun, PaceRun>;

struct RunningRow {
  std::string task{};
  std::uint64_t run = 0;
  std::string checkpoint{};
  std::uint32_t percent = 0;  // of its pace; what it is otherwise says the row
  std::int64_t figure = 0;    // tail in ms, or processors in use
  auto operator<=>(const RunningRow&) const = default;
};

struct EndedRow {
  std::uint64_t sequence = 0;
  std::string task{};
  std::uint64_t run = 0;
  RunEnd how = RunEnd::kDone;
  std::string checkpoint{};
  auto operator<=>(const EndedRow&) const = default;
};

// The worker took the order.
struct WorkerDone {
  std::int64_t clock_ms = 0;          // the worker's steady clock
  std::vector<RunningRow> running{};  // of a hold
  std::vector<EndedRow> ended{};      // of a hold
  auto operator<=>(const WorkerDone&) const = default;
};

enum class WorkerRefusalKind {
  kFenced,  // another owner has a higher fence
  kOldRun,  // a run as high ended there
  kLate,    // the lease would already have ended
  kNoRoom,
  kBadTicket,
  kInvalid,
  kUnhealthy,  // it does nothing at the moment
  kReplaced,   // another life of the worker answers there
};

const char* WorkerRefusalName(WorkerRefusalKind kind);

// Nothing was done.
struct WorkerRefused {
  WorkerRefusalKind kind = WorkerRefusalKind::kUnhealthy;
  auto operator<=>(const WorkerRefused&) const = default;
};

struct WorkerUnreached {
  bool may_have_run = true;
  std::string detail{};
  auto operator<=>(const WorkerUnreached&) const = default;
};

using WorkerAnswer = std::variant<WorkerDone, WorkerRefused, WorkerUnreached>;

// Advice: which workers may run a step.

struct AdviceRequest {
  std::string step{};  // StepName
  std::vector<std::string> workers{};
  auto operator<=>(const AdviceRequest&) const = default;
};

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

// Machines: a worker is one life of a machine.

enum class MachineState { kUp, kMoving, kUpkeep, kDown };

const char* MachineStateName(MachineState state);

struct Machine {
  std::string name{};
  std::string pool{};  // the service whose workers run there
  MachineState state = MachineState::kUp;
  std::string worker{};  // its present life; empty: none

  auto operator<=>(const Machine&) const = default;
};

// One page; an empty `page` is the first.
struct ListMachines {
  std::string page{};
  auto operator<=>(const ListMachines&) const = default;
};

// All that runs there ends at once, and a new life comes some seconds later.
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
  std::string next{};  // empty: this was the last page
  auto operator<=>(const MachinePage&) const = default;
};

// The order was carried out, now or before.
struct MachineTaken {
  auto operator<=>(const MachineTaken&) const = default;
};

enum class MachineRefusalKind {
  kFenced,     // another instance used a higher fence there
  kBusy,       // it is not up, or leaves
  kNotOfWave,  // the wave does not name it
  kInvalid,
  kTooMany,  // calls at once
};

const char* MachineRefusalName(MachineRefusalKind kind);

// Nothing was done.
struct MachineRefused {
  MachineRefusalKind kind = MachineRefusalKind::kInvalid;
  auto operator<=>(const MachineRefused&) const = default;
};

struct MachineUnanswered {
  bool may_have_run = true;
  std::string detail{};
  auto operator<=>(const MachineUnanswered&) const = default;
};

using MachineAnswer =
    std::variant<MachinePage, MachineTaken, MachineRefused, MachineUnanswered>;

// Callers.

enum class CallerQuestion { kSubmit, kState, kCancel, kWaiting };

// It names its queue and job, or the host and path that tell them.
struct CallerRequest {
  CallerQuestion question = CallerQuestion::kState;
  std::string host{};
  std::string path{};
  std::string queue{};
  std::string job{};
  JobSpec spec{};  // of a submission
  auto operator<=>(const CallerRequest&) const = default;
};

struct JobAccepted {
  auto operator<=>(const JobAccepted&) const = default;
};

struct JobShown {
  JobState state = JobState::kQueued;
  auto operator<=>(const JobShown&) const = default;
};

struct CancelTaken {
  JobState state = JobState::kCancelled;  // or how it had ended before
  auto operator<=>(const CancelTaken&) const = default;
};

struct WaitingShown {
  std::uint32_t jobs = 0;
  auto operator<=>(const WaitingShown&) const = default;
};

struct NoSuchQueue {
  auto operator<=>(const NoSuchQueue&) const = default;
};

struct NoSuchJob {
  auto operator<=>(const NoSuchJob&) const = default;
};

struct BadRequest {
  SpecFault fault{};
  auto operator<=>(const BadRequest&) const = default;
};

enum class RefusalCause {
  kStoreAway,  // nothing can be stored
  kStopping,   // this entry instance is about to end
  kNotReady,   // it has no configuration yet
};

const char* RefusalText(RefusalCause cause);

// It has not run and never will; worth asking again after `retry_after`.
struct NotNow {
  RefusalCause cause = RefusalCause::kStoreAway;
  std::string detail{};
  Duration retry_after{0};
  auto operator<=>(const NotNow&) const = default;
};

// Nothing certain can be said: ask again.
struct NotKnown {
  std::string detail{};
  auto operator<=>(const NotKnown&) const = default;
};

using CallerAnswer = std::variant<JobAccepted,
                                  JobShown,
                                  CancelTaken,
                                  WaitingShown,
                                  NoSuchQueue,
                                  NoSuchJob,
                                  BadRequest,
                                  NotNow,
                                  NotKnown>;

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_CALLS_H_
