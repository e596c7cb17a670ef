#include "engine/reducer.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

#include "engine/advice/advice.h"
#include "engine/advice/advice_queue.h"
#include "engine/condition_log.h"
#include "engine/jobs/adoption.h"
#include "engine/jobs/caller_requests.h"
#include "engine/jobs/job_ends.h"
#include "engine/jobs/job_progress.h"
#include "engine/jobs/job_runs.h"
#include "engine/jobs/job_standing.h"
#include "engine/jobs/job_table.h"
#include "engine/jobs/placing.h"
#include "engine/jobs/recovery.h"
#include "engine/jobs/run_queries.h"
#include "engine/jobs/task_handover.h"
#include "engine/members/digest_relay.h"
#include "engine/members/digests.h"
#include "engine/members/membership.h"
#include "engine/members/node_records.h"
#include "engine/members/planned_stop.h"
#include "engine/members/unresponsive_members.h"
#include "engine/records/catalog.h"
#include "engine/records/record_sweep.h"
#include "engine/records/record_writer.h"
#include "engine/records/store_calls.h"
#include "engine/records/watches.h"
#include "engine/teams/quota.h"
#include "engine/teams/quota_accounts.h"
#include "engine/workers/lease_bounds.h"
#include "engine/workers/run_ends.h"
#include "engine/workers/run_handover.h"
#include "engine/workers/run_review.h"
#include "engine/workers/upkeep.h"
#include "engine/workers/worker_crashes.h"
#include "engine/workers/worker_list.h"
#include "engine/workers/worker_offers.h"
#include "engine/workers/worker_owner.h"
#include "engine/workers/worker_runs.h"

namespace burdockrock::engine {

namespace {

// Handles a peer's message by its type.
struct PeerVisitor {
  Context& context;
  const std::string& from;

  void operator()(const RoomDigest& it) {
    OnRoomDigest(context, from, it,
                 it.pass_on ? DigestRoute::kToRelay : DigestRoute::kDirect);
  }
  void operator()(const TaskOffer& it) { OnTaskOffer(context, from, it); }
  void operator()(const OfferAnswers& it) { OnOfferAnswers(context, from, it); }
  void operator()(const TaskStops& it) { OnTaskStops(context, from, it); }
  void operator()(const EndReports& it) { OnEndReports(context, from, it); }
  void operator()(const EndsStored& it) { OnEndsStored(context, it); }
  void operator()(const RunQueries& it) { OnRunQueries(context, from, it); }
  void operator()(const RunReports& it) { OnRunReports(context, it); }
  void operator()(const AdoptQuery& it) { OnAdoptQuery(context, from, it); }
  void operator()(const AdoptReport& it) { OnAdoptReport(context, from, it); }
  void operator()(const JobQuery& it) { OnJobQuery(context, from, it); }
  void operator()(const JobReply& it) { OnJobReply(context, it); }
  void operator()(const PeerAdviceRequest& it) {
    OnPeerAdviceRequest(context, from, it);
  }
  void operator()(const AdviceReply& it) { OnAdviceReply(context, from, it); }
  void operator()(const PrepareWorker& it) {
    OnPrepareWorker(context, from, it);
  }
  void operator()(const WorkerPrepared& it) { OnWorkerPrepared(context, it); }
  void operator()(const LeaseQuery& it) { OnLeaseQuery(context, from, it); }
  void operator()(const LeaseReport& it) { OnLeaseReport(context, from, it); }
  void operator()(const StoppedRenewing&) { OnStoppedRenewing(context, from); }
  void operator()(const DigestRequest&) { OnDigestRequest(context, from); }
  void operator()(const WorkersCrashed& it) { OnWorkersCrashed(context, it); }
  void operator()(const QuotaHoldings& it) {
    OnQuotaHoldings(context, from, it);
  }
  void operator()(const QuotaGrants& it) { OnQuotaGrants(context, from, it); }
  void operator()(const QuotaClaims& it) { OnQuotaClaims(context, from, it); }
  void operator()(const RelayedDigests& it) { OnRelayedDigests(context, it); }
  void operator()(const JobsHandedOver& it) { OnJobsHandedOver(context, it); }
  void operator()(const RunsHandedOver& it) { OnRunsHandedOver(context, it); }
};

// Passes the store's reply to the handler of its purpose.
struct PurposeVisitor {
  Context& context;
  const StoreAnswer& answer;

  void operator()(const ForWatch& it) {
    OnWatchAnswer(context, it.list, answer);
  }
  void operator()(const ForLeaseGrant&) { OnLeaseGranted(context, answer); }
  void operator()(const ForLeaseRenewal& it) {
    OnLeaseRenewed(context, it.lease, answer);
  }
  void operator()(const ForRegistration& it) {
    OnRegistered(context, it.registration, answer);
  }
  void operator()(const ForFenceAdvance& it) {
    OnFenceAdvanced(context, it.registration, answer);
  }
  void operator()(const ForBatch& it) {
    OnBatchAnswer(context, it.batch, answer);
  }
  void operator()(const ForJobRead& it) { OnJobRead(context, it.job, answer); }
  void operator()(const ForSpecRead& it) {
    OnSpecRead(context, it.job, answer);
  }
  void operator()(const ForOrphanScan& it) {
    OnOrphanPage(context, it.prefix, answer);
  }
  void operator()(const ForRecordSweep&) { OnSweepPage(context, answer); }
  void operator()(const ForMembersCheck&) { OnMembersRead(context, answer); }
  void operator()(const ForNodeRecords& it) {
    OnNodePage(context, it.remove, answer);
  }
  void operator()(const ForUnseenMembers&) {
    OnUnseenMembersPage(context, answer);
  }
  void operator()(const ForWaveStatus& it) {
    OnWaveStatusStored(context, it.wave, it.completed, answer);
  }
  void operator()(const ForNothing&) {}
};

struct EventVisitor {
  Context& context;

  void operator()(const Started&) {
    context.state.members.last_contact = context.now;
  }
  void operator()(const TimePassed&) {}
  void operator()(const CallerRequestReceived& it) {
    OnCallerRequest(context, it);
  }
  void operator()(const StoreAnswered& it) {
    if (auto purpose = TakeStoreCall(context, it)) {
      std::visit(PurposeVisitor{context, it.answer}, *purpose);
    }
  }
  void operator()(const WorkerAnswered& it) {
    if (std::holds_alternative<PollWorker>(it.request)) {
      OnPollReply(context, it);
    } else if (!std::holds_alternative<PaceRun>(it.request)) {
      OnCommandReply(context, it);
    }
  }
  void operator()(const AdviceAnswered& it) { OnAdviceAnswered(context, it); }
  void operator()(const MachinesAnswered& it) {
    OnMachinesAnswered(context, it);
  }
  void operator()(const PeerMessageReceived& it) {
    NoteMessageReceived(context, it.from);
    std::visit(PeerVisitor{context, it.from}, it.message);
  }
  void operator()(const StopRequested&) { BeginStop(context); }
  void operator()(const BoundsChanged& it) {
    context.state.options.bounds = it.bounds;
  }
};

// Handles messages of the instance to itself, and those that they cause.
void DrainInbox(Context& context) {
  auto& inbox = context.state.inbox;
  while (!inbox.empty()) {
    const PeerMessage message = std::move(inbox.front());
    inbox.pop_front();
    std::visit(PeerVisitor{context, context.self()}, message);
  }
}

// While the store is unavailable, callers should use another instance. A single
// failed call is not enough.
bool StoreIsUnavailable(const State& state) {
  return !state.store.healthy &&
         HasPassed(state.drive.driven_at, state.store.last_answer,
                   kStoreUnavailableAfter);
}

// Does what must not wait for the next Drive(): stops, reads and writes of the
// store, and messages to this instance itself.
void Forward(Context& context) {
  FlushStops(context);
  DriveCatalog(context);
  DriveWriter(context);
  DrainInbox(context);
}

// Time between the starts of two runs of the work that is due. It is the
// longer, the longer a run takes: an instance that is short of processor time
// would else spend it on runs that serve one event each.
Duration DriveInterval(const State& state) {
  const Duration cost = state.drive.cost;
  return std::max(kDriveInterval,
                  std::min(kDriveShare * cost, cost + kMaxDrivePause));
}

void NoteDriveCost(DriveState& drive, Duration took) {
  constexpr int kRuns = 4;  // in the mean
  // A run that was interrupted for longer says nothing of the next ones.
  constexpr Duration kMaxCost = 2 * kMaxDrivePause;
  if (std::exchange(drive.cost_pending, false)) {
    drive.cost += (std::min(took, kMaxCost) - drive.cost) / kRuns;
  }
}

void NoteWait(DriveState& drive, Duration waited) {
  constexpr int kEvents = 16;  // in the mean
  drive.waited +=
      (std::min(waited, kMaxDelayWhenLate) - drive.waited) / kEvents;
}

// Does all work that is due.
void Drive(Context& context) {
  DriveState& drive = context.state.drive;
  drive.due = false;
  drive.driven_at = context.now;
  drive.cost_pending = true;
  const bool check_timeouts = HasPassed(context.now, drive.ticked_at, kTick);
  if (check_timeouts) {
    drive.ticked_at = context.now;
  }
  DriveMembership(context);
  DriveNodes(context);
  DriveUnresponsiveMembers(context);
  DriveWatches(context);
  DriveWorkers(context);
  DriveLeaseQueries(context);
  DriveEnds(context);
  DriveCrashes(context);
  DrainInbox(context);
  DriveOccurrences(context);
  if (check_timeouts) {
    DriveJobs(context);
    DriveCallers(context);
    CheckRuns(context);
  }
  DriveAdoption(context);
  DriveCatalog(context);
  DriveSweep(context);
  DriveUpkeep(context);
  DrainInbox(context);
  DriveStandings(context);
  DriveAdvice(context);
  DrainInbox(context);
  DriveAdviceQueue(context);
  DriveQuota(context);
  DrainInbox(context);
  DrivePlacement(context);
  DrainInbox(context);
  DriveProgress(context);
  if (HasPassed(context.now, drive.expired_at, kExpiryInterval)) {
    drive.expired_at = context.now;
    DriveWorkerList(context);
    ForgetEnded(context);
    ForgetUnused(context);
  }
  DriveWriter(context);
  DriveDigests(context);
  DriveConditionLog(context);
  DriveStop(context);
  DrainInbox(context);
}

// Each incarnation numbers its calls to other instances from another start. A
// late reply to a call of an earlier incarnation at the same address would
// otherwise be matched to a present call, and acknowledge the cancel of another
// job.
std::uint64_t FirstCall(const std::string& incarnation) {
  constexpr int kDroppedBits = 24;  // the 40 that stay are exact in JSON
  return XXH64(incarnation.data(), incarnation.size(), 0) >> kDroppedBits;
}

}  // namespace

State MakeState(EngineOptions options) {
  State state;
  state.random.seed(options.seed);
  state.last_query = FirstCall(options.self.incarnation);
  state.advice.last_call = FirstCall(options.self.incarnation);
  state.options = std::move(options);
  return state;
}

Effects Step(State& state, const Event& event) {
  Effects effects;
  Context context{.state = state,
                  .effects = effects,
                  .now = event.now,
                  .wall_ms = event.wall_ms};
  NoteDriveCost(state.drive, event.took_before);
  NoteWait(state.drive, event.waited);
  std::visit(EventVisitor{context}, event.body);
  DrainInbox(context);
  state.drive.due = true;
  if (HasPassed(context.now, state.drive.driven_at, DriveInterval(state))) {
    Drive(context);
  } else {
    Forward(context);
  }
  return effects;
}

Time NextTime(const State& state, Time now) {
  const bool may_place = state.placement_due && IsRegistered(state);
  if (state.drive.due || may_place) {
    return std::max(now, state.drive.driven_at + DriveInterval(state));
  }
  // An instance whose events wait need not be woken: they bring the due work.
  return now + kTick + state.drive.waited;
}

bool IsReady(const State& state) {
  return state.configuration.version != 0 && IsRegistered(state) &&
         ListsAreRead(state) && !state.stop.requested &&
         !StoreIsUnavailable(state);
}

}  // namespace burdockrock::engine
