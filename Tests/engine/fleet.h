// A simulation in virtual time of several engines with a store, workers,
// machines and an advice service, and of faults between them.
#ifndef BURDOCKROCK_TESTS_ENGINE_FLEET_H_
#define BURDOCKROCK_TESTS_ENGINE_FLEET_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "engine/event.h"
#include "engine/fake_store.h"
#include "engine/fake_worker.h"
#include "engine/reducer.h"
#include "engine/state.h"
#include "runtime/peer_channel.h"

namespace burdockrock::engine {

// Faults of calls to the store.
enum class StoreFault {
  kNone,
  kRefuse,
  kNoReply,     // no effect and no reply
  kLoseAnswer,  // takes effect without a reply
};
// Faults of calls to workers.
enum class CommandFault {
  kNone,
  kUnreached,   // the call does not arrive
  kLoseAnswer,  // takes effect without a reply
  kLate,        // takes effect `late_delay` later, without a reply
  kUnhealthy,   // the worker refuses as unhealthy
};

struct FleetOptions {
  std::vector<std::string> domains = {"a", "b", "c"};
  std::size_t instances = 3;  // assigned to the domains in turn
  std::size_t workers = 6;    // likewise
  std::int64_t processors_milli = 8000;
  std::size_t workers_per_rack = 0;  // 0: the workers name no rack
  bool advice = false;
  // Workers tell when they started, and start again under their ids.
  bool workers_tell_born = false;
  Duration state_kept = std::chrono::seconds(120);
  std::uint32_t store_writes = 400;
  std::size_t max_value_bytes = 1'048'576;  // of the store
  std::uint64_t seed = 1;
  // Instances get TimePassed when NextTime() is due, as in a process, instead
  // of every 5 ms.
  bool timers = false;
  bool teams = false;  // instances take part in the accounting of teams
  // Messages between instances go in batches that time out and are sent again,
  // as those of processes do. Else each goes alone, and none is given up.
  bool batches = false;
  // A batch that is sent during a cut arrives this long after the cut has
  // ended, as on a connection that stays open. kForever: it is lost.
  Duration held_after_cut = kForever;
  // Members of the gang that a step (StepName) is; 0: it is none. Where set,
  // workers end the members of gangs that are broken or stay incomplete.
  std::function<std::size_t(const std::string& step)> gang_width{};
  // Entries of workers that are written again without a change are taken for
  // heartbeats, as in a process. Else they are decoded.
  bool heartbeats = false;
  // Time after which a member of an incomplete gang ends as alone.
  Duration gang_timeout = std::chrono::milliseconds(3000);
};

// Time that an instance takes for its steps. Other events wait meanwhile.
struct StepCost {
  Duration event{0};     // each event
  Duration due_work{0};  // each run of the work that is due
  Duration message{0};   // each message that is sent to a member

  auto operator<=>(const StepCost&) const = default;
};

// How the process of a worker ends, and when the next one is there.
struct WorkerCrash {
  Duration away{0};
  // Calls in flight, and those sent while no process is there, get no reply.
  // Else they fail at once.
  bool dark = false;
  // From the start of the next process until the store has its entry.
  Duration listed_after{0};

  auto operator<=>(const WorkerCrash&) const = default;
};

// Instances are named n0, n1, ... and workers w0, w1, ...
class Fleet {
 public:
  explicit Fleet(FleetOptions options = {});
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  // Runs until all instances are ready and all workers are claimed, and for a
  // second more.
  void Settle();
  void Run(Duration span);
  // Calls `action` after `span`.
  void RunLater(Duration span, std::function<void()> action) {
    At(now_ + span, std::move(action));
  }

  // Runs until the condition holds, for `span` at most. Returns whether it
  // does.
  bool RunUntil(const std::function<bool()>& condition, Duration span);

  void Kill(const std::string& node);
  // Starts the process, for the first time or again, without state.
  void Start(const std::string& node);
  // Begins a planned stop. The process is killed if it has not exited within
  // the platform's grace.
  void StopPlanned(const std::string& node);
  bool IsUp(const std::string& node) const;
  // Whether it is up and does not refuse callers because of a planned stop.
  bool TakesCalls(const std::string& node) const;
  // Delays all events of the instance until `span` has passed.
  void Freeze(const std::string& node, Duration span);

  // Returns the number of the call. Its reply appears in `answers`.
  std::uint64_t SendRequest(const std::string& node, CallerRequest request);
  std::uint64_t Submit(const std::string& node,
                       const std::string& job,
                       JobSpec spec);
  // The same with a caller's key.
  std::uint64_t SubmitWithKey(const std::string& node,
                              const std::string& job,
                              JobSpec spec,
                              const std::string& key);
  std::uint64_t QueryState(const std::string& node, const std::string& job);
  std::uint64_t Cancel(const std::string& node, const std::string& job);

  // Queries the state of the job and waits 3 s for the reply.
  std::optional<JobState> StateOf(const std::string& node,
                                  const std::string& job);

  // Delivers a message as if the member `from` had sent it.
  void DeliverPeerMessage(const std::string& node,
                          const std::string& from,
                          PeerMessage message);

  // Number of RunReports that instances have sent to each other.
  std::uint64_t CountRunReports() const { return run_reports_; }

  void AddWorkers(std::size_t count);

  // Ends the worker's process without notice. Another one is back after `away`,
  // with a new id or, if workers tell their start, under the old one.
  void CrashWorker(const std::string& name, Duration away) {
    CrashWorker(name, WorkerCrash{.away = away});
  }
  void CrashWorker(const std::string& name, const WorkerCrash& crash);
  // Whether a process of the worker runs.
  bool IsWorkerUp(const std::string& name) const {
    return !crashed_.contains(name);
  }
  // Time for which a worker is away that a run crashes.
  Duration crash_away = std::chrono::seconds(2);
  // Called when a worker has crashed.
  std::function<void(const std::string& worker)> on_crash =
      [](const std::string&) {};
  // Writes the worker's entry in the store anew.
  void ListAgain(const std::string& name) { ListWorker(*workers_.at(name)); }
  // Whether the service of machines answers.
  bool machines_answer = true;

  void SetQueue(const QueuePolicy& queue);
  // Adds a queue with the path "/NAME/" and the settings of the first one.
  void AddQueue(const std::string& name,
                std::uint32_t priority,
                std::optional<AdvicePolicy> advice = {});

  void SetTeams(std::vector<TeamPolicy> teams);

  // Writes a wave of upkeep as operators do. A machine has the name of its
  // worker's address.
  void RequestWave(Wave wave);
  // Lets machines that were taken down before be taken down again.
  void EndUpkeep() { down_until_.clear(); }
  // Adds machines that are off until they are moved to another pool.
  void AddStandby(std::size_t count);
  std::size_t moves = 0;
  std::vector<std::string> taken_down{};  // machines taken down, in order
  std::size_t most_down = 0;  // largest number down at the same time
  // Number of BeginUpkeep commands still to come whose reply is lost.
  int lost_machine_replies = 0;

  void SetCost(const std::string& node, StepCost cost);
  // Sets the time that the instance takes for each event.
  void Slow(const std::string& node, Duration each) {
    SetCost(node, {.event = each});
  }

  Time now() const { return now_; }
  const State& state(const std::string& node) const;
  FakeWorker& worker(const std::string& name) { return *workers_.at(name); }
  std::vector<std::string> nodes() const;
  std::vector<std::string> worker_names() const;

  // By job: when its cancel was first acknowledged as kCancelled.
  std::map<std::string, Time> cancelled{};
  // When the last fault ended; kForever: faults may still occur.
  Time faults_ended_at = kForever;
  // Delay of commands with CommandFault::kLate.
  Duration late_delay = std::chrono::milliseconds(3000);
  // One-way latency between instances and workers.
  Duration worker_latency = std::chrono::milliseconds(1);

  FakeStore store{};
  std::vector<SeenRun> seen{};  // all runs at the workers
  std::map<std::uint64_t, CallerAnswer> answers{};
  std::vector<LogLine> log{};
  std::vector<RecordSpan> spans{};

  std::function<StoreFault(const std::string& node, const StoreRequest&)>
      store_fault = [](const std::string&, const StoreRequest&) {
        return StoreFault::kNone;
      };
  std::function<CommandFault(const std::string& node,
                             const std::string& worker,
                             const WorkerRequest&)>
      command_fault = [](const std::string&,
                         const std::string&,
                         const WorkerRequest&) { return CommandFault::kNone; };
  // Time that the answer to an instance's watch takes beside the latency. It
  // tells what had changed before, while other calls to the store are as fast
  // as ever.
  std::function<Duration(const std::string& node)> watch_delay =
      [](const std::string&) { return Duration(0); };
  std::function<bool(const std::string& from, const std::string& to)> is_cut =
      [](const std::string&, const std::string&) { return false; };
  // Whether nothing passes between an instance and a worker. A call that
  // arrived before is carried out, without a reply.
  std::function<bool(const std::string& node, const std::string& worker)>
      is_worker_cut =
          [](const std::string&, const std::string&) { return false; };
  // Whether the advice service allows a step (StepName) on a worker.
  std::function<bool(const std::string& step, const std::string& worker)>
      allows = [](const std::string&, const std::string&) { return true; };
  // Time that the advice service takes for a call.
  std::function<Duration(const AdviceRequest&)> advice_duration =
      [](const AdviceRequest&) { return std::chrono::milliseconds(20); };
  // Whether a call to the advice service fails.
  std::function<bool(const AdviceRequest&)> advice_fails =
      [](const AdviceRequest&) { return false; };
  // For how long after the reply workers accept the tickets of the advice
  // service.
  Duration tickets_valid = std::chrono::milliseconds(2500);
  // Handles an event of an instance. Tests replace it to measure the steps.
  std::function<
      Effects(const std::string& node, State& state, const Event& event)>
      step = [](const std::string&, State& state, const Event& event) {
        return Step(state, event);
      };
  // Called for each message sent between instances, including lost ones.
  std::function<void(const std::string& from, const SendPeer& send)> on_peer =
      [](const std::string&, const SendPeer&) {};
  // Called with the time for which each event has waited for its step.
  std::function<void(Duration)> on_waited = [](Duration) {};
  // Called with the kind of each message between instances that is given up
  // undelivered, and of each that is sent again; see FleetOptions::batches.
  std::function<void(const char* kind)> on_dropped = [](const char*) {};
  std::function<void(const char* kind)> on_resent = [](const char*) {};

 private:
  // Time between two looks at whether a watch or a long poll has an answer.
  static constexpr Duration kCheckInterval = std::chrono::milliseconds(10);

  enum class BatchResult { kTaken, kRefused, kFailed };
  // What has arrived at an instance.
  struct Arrival {
    std::optional<EventBody> body{};  // none in a batch that was taken before
    std::function<void()> on_handled{};
    Time at{0};
  };
  // Messages from one process of an instance to the instance at one address.
  struct Link {
    PeerChannel channel;
    bool in_flight = false;     // or about to be sent
    std::string to{};           // the incarnation of the last message
    std::uint64_t request = 0;  // number of the last one
    Duration pause{0};          // after the last failure; 0: none since
    int failures = 0;           // in a row
    bool probing = false;       // the last request was a probe
    Time failed_at{0};
    Time retry_at{0};
    std::uint64_t flush = 0;  // number of the last that was planned
  };
  struct Node {
    std::string domain{};
    std::string address{};
    std::uint64_t incarnation = 0;
    std::unique_ptr<State> state{};
    Time frozen_until{0};
    StepCost cost{};
    Time busy_until{0};
    Duration took{0};  // of the last event, with its effects
    std::deque<Arrival> waiting{};
    std::map<std::string, Link> links{};           // by address
    std::map<std::string, std::uint64_t> taken{};  // last batch, by sender
    Time armed_for = kForever;
    std::set<std::uint64_t> unanswered{};  // requests of callers
    bool drained = false;  // exits when all of them are answered
  };
  // One run of a gang.
  struct Gang {
    std::vector<std::size_t> members{};  // in `seen`
    bool working = false;                // all members have been present
  };
  // A scheduled action.
  struct Due {
    Time at{0};
    std::uint64_t number = 0;
    std::function<void()> run{};
    bool operator>(const Due& other) const {
      return std::tie(at, number) > std::tie(other.at, other.number);
    }
  };

  void At(Time at, std::function<void()> run);
  void Deliver(const std::string& node,
               std::uint64_t incarnation,
               EventBody body);
  void Deliver(const std::string& node,
               std::uint64_t incarnation,
               Arrival arrival);
  void HandleWaiting(const std::string& node, std::uint64_t incarnation);
  void Handle(const std::string& node, const Arrival& arrival);
  void ApplyEffect(const std::string& node, const Effect& effect);
  void RecordAnswer(const std::string& node, const AnswerCaller& it);
  void EndWhenAnswered(const std::string& node);
  void HandleStoreCall(const std::string& node, const CallStore& call);
  void HandleWorkerCall(const std::string& node, const CallWorker& call);
  void HandleAdviceCall(const std::string& node, const CallAdvice& call);
  void HandleMachineCall(const std::string& node, const CallMachines& call);
  MachineAnswer ListAllMachines() const;
  MachineAnswer Move(const MoveMachine& command);
  MachineAnswer TakeDown(const BeginUpkeep& command);
  void HandlePeerSend(const std::string& node, const SendPeer& send);
  Link& LinkTo(const std::string& node, const std::string& address);
  void AddToLink(const std::string& node, const SendPeer& send);
  void FlushAt(const std::string& node, const std::string& address, Time at);
  // A message of the incarnation has arrived at the node.
  void NoteHeard(const std::string& node, const std::string& from);
  void Flush(const std::string& node,
             std::uint64_t incarnation,
             const std::string& address);
  // The result of the link's request, if it is still awaited.
  void EndRequest(const std::string& node,
                  std::uint64_t incarnation,
                  const std::string& address,
                  std::uint64_t request,
                  BatchResult result);
  // Delivers what was sent during a cut; see FleetOptions::held_after_cut.
  void DeliverAfterCut(const std::string& from,
                       const std::string& to,
                       std::function<void()> deliver);
  void TakeBatch(const std::string& sender,
                 const std::string& address,
                 const ChannelBatch& batch,
                 std::function<void(BatchResult)> answer);
  void AnswerWatch(const std::string& node,
                   std::uint64_t incarnation,
                   const CallStore& call,
                   Time until);
  void AnswerPoll(const std::string& node,
                  std::uint64_t incarnation,
                  const CallWorker& call,
                  Time called_at,
                  Time until,
                  std::int64_t born);
  // Whether the worker's process has answered a poll of this process of an
  // instance. The edges send acknowledgements only to such a process.
  bool HasAnswered(const std::string& node,
                   std::uint64_t incarnation,
                   const FakeWorker& worker) const;
  // The call has found the process gone that it was meant for.
  void AnswerGone(const CallWorker& call,
                  Time called_at,
                  std::int64_t born,
                  const std::function<void(WorkerAnswer)>& answer);
  // Answers with WorkerUnreached if the reply would arrive after the deadline,
  // or does not pass.
  void AnswerInTime(const std::string& node,
                    const std::string& worker,
                    Time deadline,
                    const WorkerAnswer& result,
                    const std::function<void(WorkerAnswer)>& answer);
  void ListWorker(const FakeWorker& worker);
  // Members of the gang that the task belongs to; 0: to none.
  std::size_t GangWidth(const std::string& task) const;
  void TendGangs();
  void TendGang(const std::string& step, Gang& gang);
  void ExpectCrash(const std::string& name);
  FakeWorker* FindWorkerAt(const std::string& address);
  void Tick(const std::string& node, std::uint64_t incarnation);
  void ArmTimer(const std::string& node, std::uint64_t incarnation);

  FleetOptions options_;
  Time now_ = std::chrono::seconds(1000);
  std::uint64_t last_number_ = 0;
  std::uint64_t last_call_ = 0;
  std::uint64_t run_reports_ = 0;
  std::vector<PeerMessage> link_messages_;  // all that were added to links
  std::priority_queue<Due, std::vector<Due>, std::greater<>> queue_;
  std::map<std::string, Node> nodes_;
  std::map<std::string, std::unique_ptr<FakeWorker>> workers_;
  Configuration configuration_;
  Wave wave_;
  std::map<std::uint64_t, std::string> cancel_calls_;  // the job, by call
  std::map<std::string, Time> down_until_;
  std::map<std::string, std::uint64_t> machine_fences_;
  std::set<std::string>
      unresponsive_;  // addresses of workers that do not reply
  // Start of the process that answered the last poll, by the polling process
  // and the worker's address.
  std::map<std::tuple<std::string, std::uint64_t, std::string>, std::int64_t>
      answered_;
  // Addresses where no process runs, and whether calls there get no reply.
  std::map<std::string, bool> crashed_;
  // Processes that ended without a sign, by address and start.
  std::set<std::pair<std::string, std::int64_t>> dark_ends_;
  std::size_t crashes_ = 0;
  // Runs of gangs, by step and run.
  std::map<std::pair<std::string, std::uint64_t>, Gang> gangs_;
  std::size_t gangs_seen_ = 0;  // runs in `seen` that `gangs_` covers
};

// A job of one step of equal tasks.
JobSpec OneStep(std::uint32_t count, std::int64_t processors_milli = 1000);

// A job of `steps` such steps, one after the other.
JobSpec Chain(std::uint32_t steps, std::uint32_t count);

// Cancels the job and waits until that is acknowledged.
void CancelNow(Fleet& fleet, const std::string& node, const std::string& job);

// Checks what must hold in every test: no task has two runs at the same time,
// none starts after its end `done` was acknowledged, no worker is given more
// than its capacity, and without faults no run of a cancelled job continues for
// more than 3.4 s after the acknowledgement.
void CheckInvariants(Fleet& fleet);

// Sets the plan for all tasks at all workers.
void PlanAll(Fleet& fleet, const RunPlan& plan);

// Number of runs with this end.
std::size_t CountEnds(const Fleet& fleet, RunEnd how);

// Number of the job's runs, ended or not.
std::size_t CountRuns(const Fleet& fleet, const std::string& job);

// The most tasks that ran at once after a start at or after `from`.
std::int64_t MostRunning(const Fleet& fleet, Time from = Time::min());

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_TESTS_ENGINE_FLEET_H_
