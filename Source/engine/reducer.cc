#include "engine/reducer.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

#include "engine/advice/advice.h"
#include "engine/advice/advice_turns.h"
#include "engine/jobs/adoption.h"
#include "engine/jobs/job_progress.h"
#include "engine/jobs/job_runs.h"
#include "engine/jobs/job_table.h"
#include "engine/jobs/placing.h"
#include "engine/jobs/questions.h"
#include "engine/jobs/recovery.h"
#include "engine/jobs/run_questions.h"
#include "engine/members/digests.h"
#include "engine/members/membership.h"
#include "engine/members/node_records.h"
#include "engine/members/planned_stop.h"
#include "engine/members/silence.h"
#include "engine/notices.h"
#include "engine/records/catalog.h"
#include "engine/records/record_sweep.h"
#include "engine/records/record_writer.h"
#include "engine/records/store_calls.h"
#include "engine/records/watches.h"
#include "engine/workers/lease_bounds.h"
#include "engine/workers/run_ends.h"
#include "engine/workers/run_review.h"
#include "engine/workers/upkeep.h"
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

  void operator()(const RoomDigest& it) { OnRoomDigest(context, from, it); }
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
  void operator()(const AdviceAsk& it) { OnAdviceAsk(context, from, it); }
  void operator()(const AdviceReply& it) { OnAdviceReply(context, from, it); }
  void operator()(const PrepareWorker& it) {
    OnPrepareWorker(context, from, it);
  }
  void operator()(const WorkerPrepared& it) { OnWorkerPrepared(context, it); }
  void operator()(const LeaseQuery& it) { OnLeaseQuery(context, from, it); }
  void operator()(const LeaseReport& it) { OnLeaseReport(context, from, it); }
  void operator()(const Parting&) { OnParting(context, from); }
  void operator()(const DigestAsk&) { OnDigestAsk(context, from); }
};

// Hands the store's answer to whoever asked.
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
  void operator()(const ForRegistration&) { OnRegistered(context, answer); }
  void operator()(const ForRaise&) { OnRaised(context, answer); }
  void operator()(const ForBatch& it) {
    OnBatchAnswer(context, it.batch, answer);
  }
  void operator()(const ForJobRead& it) { OnJobRead(context, it.job, answer); }
  void operator()(const ForSpecRead& it) {
    OnSpecRead(context, it.job, answer);
  }
  void operator()(const ForOrphans& it) {
    OnOrphanPage(context, it.prefix, answer);
  }
  void operator()(const ForSweep&) { OnSweepPage(context, answer); }
  void operator()(const ForMembersReview&) {
    OnMembersReviewed(context, answer);
  }
  void operator()(const ForNodes& it) {
    OnNodePage(context, it.forget, answer);
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
  void operator()(const CallerAsked& it) { OnCallerAsked(context, it); }
  void operator()(const StoreAnswered& it) {
    if (auto purpose = TakeStoreCall(context, it)) {
      std::visit(PurposeVisitor{context, it.answer}, *purpose);
    }
  }
  void operator()(const WorkerAnswered& it) {
    if (std::holds_alternative<HoldWorker>(it.request)) {
      OnPollReply(context, it);
    } else if (!std::holds_alternative<PaceRun>(it.request)) {
      OnCommandReply(context, it);
    }
  }
  void operator()(const AdviceAnswered& it) { OnAdviceAnswered(context, it); }
  void operator()(const MachinesAnswered& it) {
    OnMachinesAnswered(context, it);
  }
  void operator()(const PeerSaid& it) {
    NoteWord(context, it.from);
    std::visit(PeerVisitor{context, it.from}, it.message);
  }
  void operator()(const StopAsked&) { BeginStop(context); }
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

// Callers are better served by another instance then. A single failed call
// does not show that it is away.
bool StoreIsAway(const State& state) {
  return !state.store.healthy &&
         HasPassed(state.drive.driven_at, state.store.last_answer, kStoreAway);
}

// Sends what must not wait for the next drive: writes to the store, reads of it
// and messages to this instance itself.
void Forward(Context& context) {
  FlushStops(context);
  DriveCatalog(context);
  DriveWriter(context);
  DrainInbox(context);
}

// Everything that is due by what is known now.
void Drive(Context& context) {
  DriveState& drive = context.state.drive;
  drive.due = false;
  drive.driven_at = context.now;
  const bool keep = HasPassed(context.now, drive.kept_at, kTick);
  if (keep) {
    drive.kept_at = context.now;
  }
  DriveMembership(context);
  DriveNodes(context);
  DriveSilence(context);
  DriveWatches(context);
  DriveWorkers(context);
  DriveLeaseQueries(context);
  DriveEnds(context);
  DrainInbox(context);
  DriveOccurrences(context);
  if (keep) {
    DriveJobs(context);
    DriveCallers(context);
    CheckRuns(context);
  }
  DriveAdoption(context);
  DriveCatalog(context);
  DriveSweep(context);
  DriveUpkeep(context);
  DrainInbox(context);
  DriveAdvice(context);
  DrainInbox(context);
  DriveAdviceTurns(context);
  DrivePlacement(context);
  DrainInbox(context);
  DriveProgress(context);
  if (HasPassed(context.now, drive.forgot_at, kForgetInterval)) {
    drive.forgot_at = context.now;
    DriveWorkerList(context);
    ForgetEnded(context);
    ForgetUnused(context);
  }
  DriveWriter(context);
  DriveDigests(context);
  DriveNotices(context);
  DriveStop(context);
  DrainInbox(context);
}

// Calls between instances are numbered from another place in each life. The
// answer to a call of a former life at the same address would else be taken for
// that of a present one, and the cancel of another job be acknowledged by it.
std::uint64_t FirstCall(const std::string& incarnation) {
  constexpr int kBitsLeft = 24;  // 40 bits stay, exact in any JSON number
  return XXH64(incarnation.data(), incarnation.size(), 0) >> kBitsLeft;
}

}  // namespace

State MakeState(EngineOptions options) {
  State state;
  state.random.seed(options.seed);
  state.last_question = FirstCall(options.self.incarnation);
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
  std::visit(EventVisitor{context}, event.body);
  DrainInbox(context);
  state.drive.due = true;
  if (HasPassed(context.now, state.drive.driven_at, kDriveInterval)) {
    Drive(context);
  } else {
    Forward(context);
  }
  return effects;
}

Time NextTime(const State& state, Time now) {
  const bool may_place = state.placement_due && IsRegistered(state);
  if (state.drive.due || may_place) {
    return std::max(now, state.drive.driven_at + kDriveInterval);
  }
  return now + kTick;
}

bool IsReady(const State& state) {
  return state.configuration.version != 0 && IsRegistered(state) &&
         ListsAreRead(state) && !state.stop.asked && !StoreIsAway(state);
}

}  // namespace burdockrock::engine
