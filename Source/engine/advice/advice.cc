#include "engine/advice/advice.h"

#include <algorithm>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "engine/advice/advice_callers.h"
#include "engine/advice/advice_queue.h"
#include "engine/advice/advised_names.h"
#include "engine/jobs/gang_bookings.h"
#include "engine/jobs/job_table.h"
#include "engine/jobs/placing.h"
#include "engine/jobs/task_reservations.h"
#include "engine/members/member_features.h"
#include "engine/members/membership.h"
#include "engine/teams/quota.h"
#include "engine/teams/quota_demand.h"

namespace burdockrock::engine {

namespace {

// Number of workers in a typical call. Its time determines how long before a
// step is ready its advice is requested; with the time of the largest calls,
// tickets would expire before their use.
constexpr std::size_t kTypicalWorkers = 30;
// A query is repeated when its reply is overdue by this time. Long calls get
// more time because a repeated query loses its place in the member's queue.
constexpr Duration kReplySlack = milliseconds(1500);
constexpr Duration kLongReplySlack = milliseconds(4000);
// When the reply of a long call is overdue by this time, the step may query
// another member, while the first query stays open: its reply may only be late.
constexpr Duration kSecondQueryDelay = milliseconds(300);
// Only a member that makes the call within this time gets such a query. Where
// all are busy replies are late, and more calls would make them later.
constexpr Duration kIdleWait = milliseconds(250);
// A step's tickets are requested this long before the step is ready, in
// addition to the time of the call.
constexpr Duration kRequestLead = milliseconds(400);
// Advice for a step that may exceed its estimate by this much is requested only
// when the step is ready: tickets requested earlier for the successor of a long
// step expire before their use.
constexpr Duration kEnoughSlack = milliseconds(2500);
// Lead of a step that holds room. Below the time for which it is held.
constexpr Duration kHoldingLead = milliseconds(2000);
// Between two looks for room to reserve.
constexpr Duration kReservationInterval = milliseconds(50);
// Requests for deferred work come after all others for this long.
constexpr Duration kMaxDeferral = milliseconds(1500);
// Of the turns, those at which it has its place among the others from then on,
// so that much of it leaves the others most of the service's time.
constexpr double kDeferredShare = 0.25;
// Minimum time between two queries for one step, in addition to the decision
// time of the service.
constexpr Duration kQueryInterval = milliseconds(150);

bool HasEnough(const Context& context, const ReadyStep& ready) {
  const auto waiting = static_cast<std::int64_t>(CountWaiting(ready.run()));
  return CountTicketed(context, ready, waiting) >= waiting;
}

bool HasValidTicket(const Context& context, const StepRun& step) {
  return std::any_of(
      step.tickets.begin(), step.tickets.end(),
      [&](const auto& it) { return IsValid(context, it.second); });
}

// Whether room is reserved for a task of the step.
bool HoldsRoom(const StepRun& step) {
  return std::any_of(step.tasks.begin(), step.tasks.end(), IsReserved);
}

// Whether an open query for the step names the worker.
bool IsNamed(const Context& context,
             const ReadyStep& ready,
             const std::string& worker) {
  const auto& queries = context.state.advice.queries;
  return std::any_of(queries.begin(), queries.end(), [&](const auto& it) {
    const AdviceQuery& query = it.second;
    return query.step.job == ready.job->id && query.step.step == ready.step &&
           query.step.occurrence == ready.occurrence &&
           std::find(query.workers.begin(), query.workers.end(), worker) !=
               query.workers.end();
  });
}

// Whether room is reserved for the step at a worker for which it has neither a
// ticket nor asked for one.
bool HoldsUnnamedRoom(const Context& context, const ReadyStep& ready) {
  const auto& tasks = ready.run().tasks;
  return std::any_of(tasks.begin(), tasks.end(), [&](const Task& it) {
    return IsReserved(it) && !HasTicket(context, ready, it.worker) &&
           !IsNamed(context, ready, it.worker);
  });
}

// Whether a query may be sent for the step now, if it needs advice. One for
// reserved room does not wait for the reply to another one.
bool MayAsk(const Context& context, const ReadyStep& ready) {
  const StepRun& step = ready.run();
  if (!ready.queue->advice || WaitsForRecovery(ready)) {
    return false;
  }
  if (HoldsRoom(step) && HoldsUnnamedRoom(context, ready)) {
    return !step.advice_unanswered ||
           HasPassed(context.now, step.advice_called_at, kAdviceRetryDelay);
  }
  return !step.advice_pending &&
         HasPassed(context.now, step.advice_checked_at,
                   kQueryInterval + ready.queue->advice->decision);
}

bool NeedsAdvice(const Context& context, const ReadyStep& ready) {
  const StepRun& step = ready.run();
  if (!WorkersToRenew(context, ready).empty()) {
    return ready.ready || !HasValidTicket(context, step);
  }
  if (CountWaiting(step) == 0 ||
      (!ready.ready && HasValidTicket(context, step))) {
    return false;
  }
  // Tickets lapse while the team is at its cap, and each call keeps those of
  // other teams waiting.
  return !WaitsForCap(context, *ready.job, LeastChargeOf(ready.spec(), step)) &&
         !HasEnough(context, ready);
}

AdviceReason ReasonOf(const Context& context, const ReadyStep& ready) {
  const StepRun& step = ready.run();
  if (step.advice_unanswered) {
    return AdviceReason::kRepeated;
  }
  if (step.advised_at == kForever) {
    return ready.job->generation > 1 ? AdviceReason::kAdopted
                                     : AdviceReason::kFirst;
  }
  return HasValidTicket(context, step) ? AdviceReason::kWider
                                       : AdviceReason::kLapsed;
}

// How far the step may exceed its estimate.
Duration SlackOf(const QueuePolicy& queue, const StepSpec& step) {
  const auto slack =
      (queue.stretch - 1) * static_cast<double>(step.estimate.count());
  return Duration(static_cast<Duration::rep>(std::max(slack, 0.0)));
}

std::optional<Duration> LeadOf(const QueuePolicy& queue, const StepSpec& step) {
  if (!queue.advice || SlackOf(queue, step) >= kEnoughSlack) {
    return std::nullopt;
  }
  return kRequestLead + ExpectedTime(*queue.advice, kTypicalWorkers);
}

// Since when the step waits for a reply. A reply ends the wait also if it
// started nothing: by their whole wait, steps that ask again and again would
// keep those waiting that have no reply yet. Held room, which is of no use to
// others, is worth a lead.
Time WaitingSince(const Context& context, const ReadyStep& ready) {
  const StepRun& step = ready.run();
  if (!ready.ready) {
    return context.now;
  }
  return std::max(step.ready_at, step.advice_answered_at) -
         (HoldsRoom(step) ? kHoldingLead : Duration(0));
}

// The standing by which the step is served. Deferred ones come last for a time,
// and then some of them have their place among the others: behind steps that
// ask again, they would never be served.
Standing StandingInLine(const Context& context, const ReadyStep& ready) {
  const bool aged =
      HasPassed(context.now, WaitingSince(context, ready), kMaxDeferral);
  return IsDeferred(ready.standing()) && aged ? Standing::kLate
                                              : ready.standing();
}

// Deferred work has no part in what is kept for the most urgent work.
std::uint32_t PriorityOf(const ReadyStep& ready) {
  return IsDeferred(ready.standing())
             ? std::max(ready.queue->priority, kMostUrgent + 1)
             : ready.queue->priority;
}

// Whether the step's query precedes others that wait for some seconds longer:
// only once for a step of lasting tasks without room, as the steps that keep
// asking would take all of the service's time.
bool Precedes(const Context& context, const ReadyStep& ready) {
  const bool first = ready.run().advice_answered_at == Time::min();
  const bool holds = HoldsRoom(ready.run());
  return (ready.spec().lasting && (first || holds)) ||
         (!holds && !WorkersToRenew(context, ready).empty());
}

// After a query without a reply, only members are chosen that have sent an
// update since then: a whole failure domain may be cut off at once.
Time UpdatedSince(const StepRun& step) {
  return step.advice_unanswered ? step.advice_called_at : Time::min();
}

// Steps that need advice, in the order in which they get it.
std::vector<ReadyStep> StepsInLine(Context& context) {
  std::vector<std::pair<AdviceRank, ReadyStep>> ranked;
  const bool serves_deferred =
      std::bernoulli_distribution(kDeferredShare)(context.state.random);
  const auto may_ask = [&](const ReadyStep& it) {
    it.run().advice_in_line = false;
    it.run().advice_history.place = 0;
    return MayAsk(context, it);
  };
  for (const ReadyStep& it :
       ReadySteps(context, {.lead = LeadOf, .wants = may_ask})) {
    if (NeedsAdvice(context, it)) {
      ranked.emplace_back(
          RankOfCall(
              PriorityOf(it),
              serves_deferred ? StandingInLine(context, it) : it.standing(),
              Precedes(context, it), WaitingSince(context, it)),
          it);
    }
  }
  std::stable_sort(ranked.begin(), ranked.end(),
                   [](const auto& left, const auto& right) {
                     return left.first < right.first;
                   });
  std::vector<ReadyStep> steps;
  steps.reserve(ranked.size());
  for (auto& [rank, it] : ranked) {
    steps.push_back(it);
  }
  return steps;
}

// Whether a member could make such a call soon.
bool IsTurn(const Context& context, const ReadyStep& ready) {
  const Duration expected = ExpectedTime(*ready.queue->advice, kTypicalWorkers);
  const std::uint32_t priority = PriorityOf(ready);
  const std::string member = ChooseAdviceCaller(context, priority, expected,
                                                UpdatedSince(ready.run()));
  return WaitLeftAt(context, member, priority) <= LongestWait(expected);
}

void SendQuery(Context& context, const ReadyStep& ready, AdvisedNames names) {
  AdviceState& advice = context.state.advice;
  const Duration expected =
      ExpectedTime(*ready.queue->advice, names.workers.size());
  const std::string member = ChooseAdviceCaller(
      context, PriorityOf(ready), expected, UpdatedSince(ready.run()));
  const Duration wait = WaitAt(context, member, PriorityOf(ready));
  const Duration timeout =
      wait + expected + (IsLongCall(expected) ? kLongReplySlack : kReplySlack);
  const std::uint64_t call = ++advice.last_call;
  ready.run().advice_checked_at = context.now;
  ready.run().advice_called_at = context.now;
  ready.run().advice_pending = true;
  ++ready.run().advice_history.asked;
  const TaskName step{
      .job = ready.job->id, .occurrence = ready.occurrence, .step = ready.step};
  Send(context, member,
       PeerAdviceRequest{
           .call = call,
           .step = StepName(step),
           .priority = PriorityOf(ready),
           .standing = KnowsLoad(member) ? StandingInLine(context, ready)
                                         : Standing::kInTime,
           .precedes = Precedes(context, ready),
           .waited = std::max(context.now - WaitingSince(context, ready),
                              Duration(0)),
           .expected = expected,
           .timeout = timeout,
           .max_wait =
               std::min(wait, LongestWait(expected)) + WaitTolerance(expected),
           .workers = names.workers});
  advice.queries.emplace(call, AdviceQuery{.step = step,
                                           .member = member,
                                           .workers = std::move(names.workers),
                                           .priority = PriorityOf(ready),
                                           .reason = ReasonOf(context, ready),
                                           .starts = names.starts,
                                           .expected = expected,
                                           .sent_at = context.now,
                                           .due = context.now + wait + expected,
                                           .deadline = context.now + timeout});
}

// Must be called before the reply's tickets are stored in the step.
void UpdateShare(const AdviceQuery& query,
                 const AdviceReply& reply,
                 const StepRun& step,
                 AllowedShare& share) {
  std::size_t named = 0;
  for (const std::string& it : query.workers) {
    named += step.tickets.contains(it) ? 0 : 1;
  }
  std::size_t allowed = 0;
  for (const AdvisedWorker& it : reply.allowed) {
    allowed += step.tickets.contains(it.worker) ? 0 : 1;
  }
  share.Update(allowed, named);
}

// Whether the step has sent no other query since.
bool IsLast(const StepRun& step, const AdviceQuery& query) {
  return step.advice_called_at == query.sent_at;
}

void TakeTickets(Time now,
                 StepRun& step,
                 const AdvicePolicy& policy,
                 const AdviceQuery& query,
                 const AdviceReply& reply) {
  step.advised_at = std::min(step.advised_at, now);
  step.advice_answered_at = now;
  std::set<std::string> allowed;
  for (const AdvisedWorker& it : reply.allowed) {
    allowed.insert(it.worker);
    // The reply to an earlier query may have older tickets.
    if (!IsLast(step, query) && step.tickets.contains(it.worker)) {
      continue;
    }
    step.tickets[it.worker] = StepTicket{.text = it.ticket,
                                         .expires = now + policy.valid,
                                         .reason = query.reason};
  }
  for (const std::string& it : query.workers) {
    if (!allowed.contains(it)) {
      step.denied.insert(it);
      step.tickets.erase(it);
    }
  }
}

// Null when the job is not known any more.
StepRun* FindStep(Context& context, const AdviceQuery& query) {
  Job* job = FindJob(context.state, query.step.job);
  return job == nullptr ? nullptr
                        : &StepAt(*job, query.step.occurrence, query.step.step);
}

// Lets steps query another member when the reply of a long call is overdue. One
// that holds room for a gang does not wait for an idle member.
void ReleaseOverdueSteps(Context& context) {
  for (const auto& [call, query] : context.state.advice.queries) {
    const bool overdue = IsLongCall(query.expected) &&
                         context.now >= query.due + kSecondQueryDelay;
    StepRun* step = overdue ? FindStep(context, query) : nullptr;
    if (step == nullptr || !step->advice_pending || !IsLast(*step, query)) {
      continue;
    }
    const std::string other = ChooseAdviceCaller(context, query.priority,
                                                 query.expected, Time::min());
    const bool holds_room =
        IsBeingBooked(*FindJob(context.state, query.step.job), *step) ||
        HoldsRoom(*step);
    if (other != query.member &&
        (holds_room ||
         WaitLeftAt(context, other, query.priority) <= kIdleWait)) {
      step->advice_pending = false;
      step->advice_checked_at = Time::min();
    }
  }
}

void CountReply(Context& context,
                const AdviceQuery& query,
                const AdviceReply& reply,
                bool unused) {
  if (reply.declined || reply.failed) {
    return;  // the service was not called, or the call failed
  }
  AdviceCount& count = context.state.totals.advice[query.reason];
  ++count.calls;
  count.names += query.workers.size();
  count.allowed += reply.allowed.size();
  count.unused += unused ? 1 : 0;
  count.time += query.expected;
}

void GiveUpOverdueQueries(Context& context) {
  std::erase_if(context.state.advice.queries, [&](const auto& it) {
    const bool lost = IsQueryLost(context, it.second);
    if (context.now < it.second.deadline && !lost) {
      return false;
    }
    StepRun* step = FindStep(context, it.second);
    if (step != nullptr) {
      ++step->advice_history.refused;
    }
    if (step != nullptr && IsLast(*step, it.second)) {
      step->advice_pending = false;
      step->advice_unanswered = true;
      step->advice_checked_at = Time::min();  // query another member at once
    }
    ++context.state.totals.advice[it.second.reason].given_up;
    AvoidAdviceCaller(context, it.second);
    return true;
  });
}

// Adds to what is known of how much room replies find. Of a gang no room is
// meant to be free when its workers are named.
void UpdateLeft(Context& context,
                const ReadyStep& ready,
                const AdviceQuery& query) {
  if (ready.ready && !ready.spec().gang && query.starts > 0) {
    const auto left =
        static_cast<double>(CountStartsAt(context, ready, query.workers));
    context.state.advice.left[ready.queue->name].Update(
        std::min(left, query.starts), query.starts);
  }
}

// Counts a reply that came too late: the room that was free when its workers
// were named is taken.
void NoteRoomGone(Context& context,
                  const ReadyStep& ready,
                  AdviceReason reason) {
  StepRun& step = ready.run();
  if (CountWaiting(step) > 0 && CountTicketed(context, ready, 1) == 0) {
    ++step.advice_history.room_gone;
    ++context.state.totals.advice[reason].room_gone;
  }
}

// Whether a step whose valid tickets have no room may reserve some where it is
// known to be allowed. Short calls are over before others take it.
bool MayReserve(const ReadyStep& ready) {
  const StepRun& step = ready.run();
  return ready.queue->advice && !ready.spec().gang && !step.tickets.empty() &&
         ready.job->stored && ready.job->verified && CountWaiting(step) > 0 &&
         !WaitsForRecovery(ready) &&
         IsLongCall(ExpectedTime(*ready.queue->advice, kTypicalWorkers));
}

// Reserves room for the first step that finds some. Only one holds room before
// it has asked for tickets: room that is held for a later turn is of no use.
void ReserveRoom(Context& context) {
  AdviceState& advice = context.state.advice;
  if (context.state.stop.released ||
      !HasPassed(context.now, advice.reserved_at, kReservationInterval)) {
    return;
  }
  advice.reserved_at = context.now;
  bool holds_unnamed = false;
  const auto may_reserve = [&](const ReadyStep& it) {
    holds_unnamed =
        holds_unnamed || (HoldsRoom(it.run()) && HoldsUnnamedRoom(context, it));
    const bool may = MayReserve(it);
    it.run().awaits_cap = it.run().awaits_cap && may;
    return may;
  };
  const std::vector<ReadyStep> steps =
      ReadySteps(context, {.wants = may_reserve});
  for (const ReadyStep& it : steps) {
    if (holds_unnamed) {
      return;
    }
    if (HasEnough(context, it)) {
      it.run().awaits_cap = false;
    } else if (!WaitsForCap(context, *it.job,
                            LeastChargeOf(it.spec(), it.run())) &&
               IsTurn(context, it)) {
      holds_unnamed = ReserveKnownRoom(context, it);
    }
  }
}

// Adds the time since the last check in which this instance could have made a
// call for one of the steps in its line.
void NoteIdleTime(Context& context) {
  AdviceState& advice = context.state.advice;
  const bool idle = !advice.in_flight && advice.call_queue.empty();
  if (idle && advice.line_checked_at < context.now) {
    advice.idle_beside_line += context.now - advice.line_checked_at;
  }
}

// The step waits to send its request.
void JoinLine(Context& context, const ReadyStep& ready) {
  AdviceState& advice = context.state.advice;
  StepRun& step = ready.run();
  advice.line_checked_at = context.now;
  step.advice_history.place = ++advice.line_steps;
  if (ready.ready) {
    advice.line_longest =
        std::max(advice.line_longest,
                 context.now - std::max(step.advice_called_at, step.ready_at));
  }
}

}  // namespace

void DriveAdvice(Context& context) {
  const bool registered = IsRegistered(context.state);
  if (registered) {
    NoteIdleTime(context);
  }
  context.state.advice.line_checked_at = kForever;
  context.state.advice.line_steps = 0;
  context.state.advice.line_longest = Duration(0);
  if (!registered) {
    return;
  }
  GiveUpOverdueQueries(context);
  ReleaseOverdueSteps(context);
  ReserveRoom(context);
  std::set<const QueuePolicy*> busy;  // their calls have to wait
  for (const ReadyStep& it : StepsInLine(context)) {
    it.run().advice_in_line = busy.contains(it.queue) || !IsTurn(context, it);
    if (it.run().advice_in_line) {
      JoinLine(context, it);
      // After a query without a reply fewer members are left to choose from.
      if (!it.run().advice_unanswered) {
        busy.insert(it.queue);
      }
      continue;
    }
    if (AwaitsConfirmation(context, it.run())) {
      it.run().advice_in_line = true;
      continue;
    }
    AdvisedNames names = ChooseWorkersForAdvice(context, it);
    if (!names.workers.empty()) {
      SendQuery(context, it, std::move(names));
    } else {
      it.run().advice_checked_at = context.now;
    }
  }
}

void OnAdviceReply(Context& context,
                   const std::string& from,
                   const AdviceReply& reply) {
  // Also for a reply that is too late to be used. Otherwise its sender would be
  // avoided as unresponsive until its next digest.
  UpdateAdviceCaller(context, from, reply.wait, reply.urgent_wait);
  auto node = context.state.advice.queries.extract(reply.call);
  if (node.empty()) {
    return;
  }
  const AdviceQuery& query = node.mapped();
  StepRun* step = FindStep(context, query);
  // A reply to an earlier query is of use only if it brings tickets.
  const bool is_last = step != nullptr && IsLast(*step, query);
  if (is_last) {
    step->advice_pending = false;
  }
  Job* job = FindJob(context.state, query.step.job);
  const QueuePolicy* queue =
      job == nullptr ? nullptr
                     : FindQueueByName(context.state.configuration, job->queue);
  if (step != nullptr && reply.failed) {
    ++step->advice_history.refused;
  }
  if (reply.declined && is_last) {
    step->advice_checked_at = Time::min();  // query another member at once
    return;
  }
  if (is_last) {
    step->advice_unanswered = reply.failed;
  }
  CountReply(context, query, reply, step == nullptr);
  if (reply.failed || step == nullptr || queue == nullptr || !queue->advice) {
    return;
  }
  UpdateShare(query, reply, *step, context.state.advice.shares[queue->name]);
  TakeTickets(context.now, *step, *queue->advice, query, reply);
  std::set<std::string> allowed;
  for (const AdvisedWorker& it : reply.allowed) {
    allowed.insert(it.worker);
  }
  const ReadyStep ready = ReadyStepOf(context, *job, query.step.occurrence,
                                      query.step.step, *queue);
  UpdateLeft(context, ready, query);
  if (ready.ready) {
    NoteRoomGone(context, ready, query.reason);
  }
  RenewTickets(context, ready, allowed);
  context.state.placement_due = true;
}

}  // namespace burdockrock::engine
