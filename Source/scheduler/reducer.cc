#include "scheduler/reducer.h"

#include <array>
#include <utility>
#include <variant>

#include "scheduler/attempt_updates.h"
#include "scheduler/context.h"
#include "scheduler/gangs.h"
#include "scheduler/job_admission.h"
#include "scheduler/job_status.h"
#include "scheduler/request_admission.h"
#include "scheduler/request_runs.h"

namespace burdockrock {

namespace {

constexpr Duration kFirstOffersDelay = std::chrono::seconds(1);

using TimerHandler = void (*)(Context&, const std::string&);

struct TimerRow {
  TimerKind kind;
  TimerHandler handler;
};

constexpr std::array kTimerTable = {
    TimerRow{
        TimerKind::kDigest,
        [](Context& context, const std::string&) { OnDigestTimer(context); }},
    TimerRow{TimerKind::kRenew, OnRenewTimer},
    TimerRow{TimerKind::kClaim, OnClaimTimer},
    TimerRow{TimerKind::kLeaseBound, OnLeaseBoundTimer},
    TimerRow{TimerKind::kProbe, OnProbeTimer},
    TimerRow{TimerKind::kRequestDeadline, OnRequestDeadline},
    TimerRow{TimerKind::kLedger, OnLedgerTimer},
    TimerRow{
        TimerKind::kWatch,
        [](Context& context, const std::string&) { OnWatchTimer(context); }},
    TimerRow{TimerKind::kOrphanScan,
             [](Context& context, const std::string&) {
               OnOrphanScanTimer(context);
             }},
    TimerRow{TimerKind::kJournal, OnJournalTimer},
    TimerRow{TimerKind::kForgetJob, OnForgetJobTimer},
    TimerRow{TimerKind::kSearch, OnSearchTimer},
    TimerRow{
        TimerKind::kOffers,
        [](Context& context, const std::string&) { OnOffersTimer(context); }},
    TimerRow{TimerKind::kGang, OnGangTimer},
    TimerRow{TimerKind::kRetryTask, OnRetryTaskTimer},
    TimerRow{TimerKind::kJobDeadline, OnJobDeadline},
    TimerRow{TimerKind::kSchedule,
             [](Context& context, const std::string&) {
               context.state().tasks.pass_needed = true;
             }},
    TimerRow{TimerKind::kSweep,
             [](Context& context, const std::string&) {
               context.state().tasks.sweep_due = true;
             }},
    TimerRow{
        TimerKind::kDrain,
        [](Context& context, const std::string&) { OnDrainTimer(context); }},
};

void RunTimer(Context& context, const Timer& timer) {
  for (const TimerRow& it : kTimerTable) {
    if (it.kind == timer.kind) {
      it.handler(context, timer.id);
      return;
    }
  }
}

struct PeerMessageHandler {
  Context& context;
  const PeerMessageReceived& received;

  void operator()(const Digest& message) const {
    OnDigest(context, received, message);
  }
  void operator()(const ForwardRequest& message) const {
    OnForwardRequest(context, received.from, message);
  }
  void operator()(const ForwardAnswer& message) const {
    OnForwardAnswer(context, received.from, message);
  }
  void operator()(const CancelForward& message) const {
    OnCancelForward(context, message);
  }
  void operator()(const TaskOffer& message) const {
    OnTaskOffer(context, received.from, message);
  }
  void operator()(const TaskRefused& message) const {
    OnTaskRefused(context, received.from, message);
  }
  void operator()(const TaskUpdate& message) const {
    OnTaskUpdate(context, received.from, message);
  }
  void operator()(const TaskAcknowledged& message) const {
    OnTaskAcknowledged(context, message.attempt);
  }
  void operator()(const TaskGo& message) const {
    OnTaskGo(context, message.attempt);
  }
  void operator()(const TaskStop& message) const {
    OnTaskStop(context, received.from, message.attempt);
  }
  void operator()(const Handover& message) const {
    OnHandover(context, received.from, message);
  }
  void operator()(const AttemptSearch& message) const {
    OnAttemptSearch(context, received.from, message);
  }
  void operator()(const AttemptSearchAnswer& message) const {
    OnAttemptSearchAnswer(context, received.from, message);
  }
  void operator()(const AdoptLog& message) const {
    AdoptJournal(context, message.log);
  }
  void operator()(const PullDocuments& message) const {
    OnPullDocuments(context, received.from, message);
  }
  void operator()(const ConfigDocument& message) const {
    ApplyConfig(context, message.view);
  }
  void operator()(const InstancesDocument& message) const {
    ApplyInstances(context, message.list);
  }
  void operator()(const AskWork& message) const {
    OnPeerWorkQuery(context, received.from, message);
  }
  void operator()(const AskWorkAnswer& message) const {
    OnPeerWorkReply(context, message);
  }
};

struct PlatformHandler {
  Context& context;
  const PlatformResult& result;

  void operator()(const ConfigWatchPurpose& /*purpose*/) const {
    OnConfigWatched(context, result);
  }
  void operator()(const InstancesWatchPurpose& /*purpose*/) const {
    OnInstancesWatched(context, result);
  }
  void operator()(const ConfigWritePurpose& purpose) const {
    OnConfigWritten(context, purpose, result);
  }
  void operator()(const LedgerPurpose& purpose) const {
    const auto it = context.state().logs.find(purpose.log);
    if (it != context.state().logs.end()) {
      ApplyLedgerProgress(
          context, purpose.log,
          it->second.log->OnAnswer(purpose.ledger_call, result, context.now()));
    }
  }
  void operator()(const OrphanScanPurpose& /*purpose*/) const {
    OnOrphanScan(context, result);
  }
};

// Records whether the platform answers; used for the digests and logged on
// change.
void UpdatePlatformReachability(Context& context,
                                const PlatformResult& result) {
  State& state = context.state();
  const auto* lost = std::get_if<PlatformUnavailable>(&result);
  if (lost == nullptr) {
    if (!state.platform_ok && state.platform_ever_answered) {
      context.Log(EventNumber::kPlatformBack, {});
    }
    state.platform_ok = true;
    state.platform_ever_answered = true;
    state.platform_last_answer = context.now();
    return;
  }
  if (state.platform_ok || !state.platform_ever_answered) {
    context.Log(EventNumber::kPlatformUnreachable, {{"detail", lost->message}});
  }
  state.platform_ok = false;
}

struct EventHandler {
  Context& context;

  void operator()(const ProcessStarted& /*event*/) const {
    context.state().started = context.now();
    StartMembership(context);
    context.ScheduleAfter(kFirstOffersDelay, TimerKind::kOffers);
    context.ScheduleAfter(context.policy().membership.peer_silent,
                          TimerKind::kOrphanScan);
  }
  void operator()(const TimerFired& /*event*/) const {
    while (const auto timer = context.state().timers.PopDue(context.now())) {
      RunTimer(context, *timer);
    }
  }
  void operator()(const RequestArrived& event) const {
    OnRequestArrived(context, event);
  }
  void operator()(const JobArrived& event) const {
    OnJobArrived(context, event);
  }
  void operator()(const WorkQueryArrived& event) const {
    OnWorkQuery(context, event);
  }
  void operator()(const CallerDisconnected& /*event*/) const {}
  void operator()(const ConfigRequested& event) const {
    OnConfigRequested(context, event);
  }
  void operator()(const ConfigProposed& event) const {
    OnConfigProposed(context, event);
  }
  void operator()(const DrainRequested& event) const {
    OnDrainRequested(context, event);
  }
  void operator()(const PlatformAnswered& event) const {
    auto& calls = context.state().calls.platform;
    const auto it = calls.find(event.call);
    if (it == calls.end()) {
      return;  // late or duplicate
    }
    const PlatformPurpose purpose = std::move(it->second);
    calls.erase(it);
    UpdatePlatformReachability(context, event.result);
    std::visit(PlatformHandler{.context = context, .result = event.result},
               purpose);
  }
  void operator()(const WorkerAnswered& event) const {
    OnWorkerAnswered(context, event);
  }
  void operator()(const PeerMessageReceived& event) const {
    if (NotePeerMessage(context, event)) {
      std::visit(PeerMessageHandler{.context = context, .received = event},
                 event.message);
    }
  }
  void operator()(const PeerMessageUndelivered& event) const {
    if (const auto* forward = std::get_if<ForwardRequest>(&event.message)) {
      OnForwardUndelivered(context, *forward);
    }
  }
};

void EraseDroppedLogs(State& state) {
  for (const std::string& it : state.logs_to_drop) {
    state.logs.erase(it);
  }
  state.logs_to_drop.clear();
}

}  // namespace

void SetWriteBudget(State& state) {
  const double writes = state.config.policy.journal.writes_per_second;
  if (state.write_budget != nullptr && state.writes_per_second == writes) {
    return;
  }
  const WriteBudget budget({.writes_per_second = writes, .burst = writes});
  state.writes_per_second = writes;
  if (state.write_budget == nullptr) {
    state.write_budget = std::make_unique<WriteBudget>(budget);
  } else {
    *state.write_budget = budget;  // in place, as the logs hold a pointer to it
  }
}

State MakeState(StateOptions options) {
  State state;
  state.random.seed(options.seed);
  SetWriteBudget(state);
  state.self = std::move(options);
  return state;
}

Effects Step(State& state, const Event& event) {
  Effects effects;
  Context context(state, event.now, effects);
  *state.wall_ms = state.self.wall_start_ms + ToMilliseconds(event.now);
  std::visit(EventHandler{.context = context}, event.body);
  if (std::exchange(state.requests.pump_needed, false)) {
    PumpRequests(context);
  }
  if (state.tasks.pass_needed) {
    PlaceTasks(context);
  }
  if (std::exchange(state.tasks.sweep_due, false)) {
    SweepTasks(context);
  }
  EraseDroppedLogs(state);
  return effects;
}

Time NextTime(const State& state) {
  return state.timers.next();
}

}  // namespace burdockrock
