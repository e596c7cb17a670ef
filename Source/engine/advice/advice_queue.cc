#include "engine/advice/advice_queue.h"

#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>
#include <vector>

#include "engine/members/membership.h"

namespace burdockrock::engine {

namespace {

// Lead of each priority over the next one, except for the most urgent one,
// which always comes first. Shorter than the time after which a query is given
// up.
constexpr Duration kPriorityLead = milliseconds(250);

// The first calls for lasting tasks and the renewals precede others that wait
// for up to this much longer.
constexpr Duration kPrecedingLead = milliseconds(10'000);

// An instance short of processor time receives the service's answers late. It
// adds this lateness to its reported wait, so that queries go to other
// instances. The lateness decays to zero over this time after a call, so that
// the instance gets queries again.
constexpr Duration kLateSpan = milliseconds(2000);
// The channel between members sends nothing again for longer.
constexpr Duration kAnsweredKeptFor = milliseconds(5000);

// The last call's weight in the lateness is one in this many parts.
constexpr std::int64_t kLateParts = 2;

Duration LatenessAt(const AdviceState& advice, Time now) {
  const Duration left =
      std::max(advice.overrun_at + kLateSpan - now, Duration(0));
  return advice.overrun * left.count() / kLateSpan.count();
}

void NoteLateness(AdviceState& advice, Time now, Duration expected) {
  const Duration late =
      std::max(now - advice.called_at - expected, Duration(0));
  const Duration before = LatenessAt(advice, now);
  advice.overrun = before + (late - before) / kLateParts;
  advice.overrun_at = now;
}

// Expected wait of a call that is the first one in the queue.
Duration WaitForCallInFlight(const AdviceState& advice, Time now) {
  const Duration late = LatenessAt(advice, now);
  if (!advice.in_flight) {
    return late;
  }
  const Duration left =
      advice.in_flight->request.expected + late - (now - advice.called_at);
  return late + std::max(left, Duration(0));
}

// Expected wait of one more call of this priority here.
Duration WaitBehind(const State& state, Time now, std::uint32_t priority) {
  const AdviceState& advice = state.advice;
  const Duration late = LatenessAt(advice, now);
  Duration wait = WaitForCallInFlight(advice, now);
  for (const QueuedAdviceCall& it : advice.call_queue) {
    const bool before =
        !IsDeferred(it.request.standing) &&
        (priority != kMostUrgent || it.request.priority == kMostUrgent);
    wait += before ? it.request.expected + late : Duration(0);
  }
  return wait;
}

AdviceRank RankOf(const QueuedAdviceCall& call) {
  const PeerAdviceRequest& request = call.request;
  return RankOfCall(request.priority, request.standing, request.precedes,
                    call.received_at - request.waited);
}

// Keeps the queue in the order of the calls' ranks, which do not change.
void Enqueue(std::deque<QueuedAdviceCall>& queue, QueuedAdviceCall call) {
  const auto place =
      std::upper_bound(queue.begin(), queue.end(), RankOf(call),
                       [](const AdviceRank& rank, const QueuedAdviceCall& it) {
                         return rank < RankOf(it);
                       });
  queue.insert(place, std::move(call));
}

// A member that is not listed is not necessarily lost: it may have registered
// just now and sent a request before this instance has read its registration.
bool IsLostMember(const Context& context, const std::string& sender) {
  return context.state.members.departed.contains(sender) &&
         FindMember(context.state, sender) == nullptr;
}

// Removes calls whose sender has given up or was lost. The sender repeats its
// query, and so does the next owner of a lost sender's step. Calls for the old
// queries would delay others until they are given up too; a sign of that are
// waiting steps whose query is younger than their wait.
void RemoveStaleCalls(Context& context) {
  std::erase_if(context.state.advice.call_queue,
                [&](const QueuedAdviceCall& it) {
                  const bool given_up =
                      it.request.timeout != Duration(0) &&
                      context.now >= it.received_at + it.request.timeout;
                  return given_up || IsLostMember(context, it.from);
                });
}

// Whether the call is queued, in flight, or was answered lately. A request may
// arrive more than once.
bool IsKnown(const AdviceState& advice,
             const std::string& from,
             std::uint64_t call) {
  const auto is_call = [&](const QueuedAdviceCall& it) {
    return it.from == from && it.request.call == call;
  };
  return advice.answered.contains({from, call}) ||
         (advice.in_flight && is_call(*advice.in_flight)) ||
         std::any_of(advice.call_queue.begin(), advice.call_queue.end(),
                     is_call);
}

void NoteAnswered(AdviceState& advice, Time now, const QueuedAdviceCall& call) {
  std::erase_if(advice.answered, [&](const auto& it) {
    return now >= it.second + kAnsweredKeptFor;
  });
  advice.answered.emplace(std::pair(call.from, call.request.call), now);
}

void Decline(Context& context, const QueuedAdviceCall& call) {
  NoteAnswered(context.state.advice, context.now, call);
  Send(
      context, call.from,
      AdviceReply{.call = call.request.call,
                  .failed = true,
                  .declined = true,
                  .wait = AdviceWait(context.state, context.now),
                  .urgent_wait = UrgentAdviceWait(context.state, context.now)});
}

// Declines the calls whose wait is longer than their senders accept, so that
// those keep their place in the line of their step's owner.
void DeclineLateCalls(Context& context) {
  AdviceState& advice = context.state.advice;
  const Duration late = LatenessAt(advice, context.now);
  Duration wait = WaitForCallInFlight(advice, context.now);
  std::vector<QueuedAdviceCall> declined;
  std::erase_if(advice.call_queue, [&](const QueuedAdviceCall& it) {
    const Duration limit = it.request.max_wait;
    const bool in_time =
        limit == Duration(0) || context.now + wait <= it.received_at + limit;
    if (in_time) {
      wait += it.request.expected + late;
    } else {
      declined.push_back(it);
    }
    return !in_time;
  });
  for (const QueuedAdviceCall& it : declined) {
    Decline(context, it);
  }
}

}  // namespace

AdviceRank RankOfCall(std::uint32_t priority,
                      Standing standing,
                      bool precedes,
                      Time since) {
  return {IsDeferred(standing), priority != kMostUrgent, RankOf(standing),
          since + kPriorityLead * priority -
              (precedes ? kPrecedingLead : Duration(0))};
}

void DriveAdviceQueue(Context& context) {
  AdviceState& advice = context.state.advice;
  if (advice.in_flight || context.now < advice.retry_at) {
    return;
  }
  RemoveStaleCalls(context);
  if (advice.call_queue.empty()) {
    return;
  }
  advice.in_flight = std::move(advice.call_queue.front());
  advice.call_queue.pop_front();
  advice.called_at = context.now;
  context.Emit(
      CallAdvice{.request = {.step = advice.in_flight->request.step,
                             .workers = advice.in_flight->request.workers},
                 .timeout = kAdviceTimeout});
}

void OnPeerAdviceRequest(Context& context,
                         const std::string& from,
                         const PeerAdviceRequest& request) {
  if (IsKnown(context.state.advice, from, request.call)) {
    return;
  }
  Enqueue(context.state.advice.call_queue,
          {.from = from, .request = request, .received_at = context.now});
  DeclineLateCalls(context);
}

void OnAdviceAnswered(Context& context, const AdviceAnswered& event) {
  AdviceState& advice = context.state.advice;
  if (!advice.in_flight) {
    return;
  }
  const QueuedAdviceCall call = *std::exchange(advice.in_flight, std::nullopt);
  NoteAnswered(advice, context.now, call);
  NoteLateness(advice, context.now, call.request.expected);
  AdviceReply reply{
      .call = call.request.call,
      .wait = AdviceWait(context.state, context.now),
      .urgent_wait = UrgentAdviceWait(context.state, context.now)};
  if (const auto* failed = std::get_if<AdviceFailed>(&event.answer)) {
    advice.retry_at = context.now + kAdviceRetryDelay;
    reply.failed = true;
    context.Log(EventNumber::kAdviceFailed,
                {{"step", event.request.step}, {"problem", failed->detail}});
  } else {
    for (const Allowed& it : std::get<AdviceGiven>(event.answer).allowed) {
      reply.allowed.push_back({.worker = it.worker, .ticket = it.ticket});
    }
  }
  Send(context, call.from, std::move(reply));
}

Duration AdviceWait(const State& state, Time now) {
  return WaitBehind(state, now, std::numeric_limits<std::uint32_t>::max());
}

Duration UrgentAdviceWait(const State& state, Time now) {
  return WaitBehind(state, now, kMostUrgent);
}

}  // namespace burdockrock::engine
