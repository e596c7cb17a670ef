#include "engine/advice/advice_turns.h"

#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

#include "engine/members/membership.h"

namespace burdockrock::engine {

namespace {

// Of each priority before the next one, among all but the most urgent: short of
// the time after which a question is given up.
constexpr Duration kPriorityLead = milliseconds(250);

// Calls for lasting tasks go before others that came up to so much earlier, so
// that a task that has ended is soon at work again.
constexpr Duration kLastingLead = milliseconds(10'000);

// An instance short of processor time gets its answers late. Told with its
// wait, that moves questions to others; after this long without a call it is
// tried again.
constexpr Duration kLateSpan = milliseconds(2000);
// The share of the last call in the lateness.
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

// How long a call of this priority would wait here.
Duration WaitBehind(const State& state, Time now, std::uint32_t priority) {
  const AdviceState& advice = state.advice;
  const Duration late = LatenessAt(advice, now);
  Duration wait = late;
  if (advice.in_flight) {
    const Duration gone = now - advice.called_at;
    wait +=
        std::max(advice.in_flight->request.expected + late - gone, Duration(0));
  }
  for (const QueuedAdviceCall& it : advice.call_queue) {
    const bool before =
        priority != kMostUrgent || it.request.priority == kMostUrgent;
    wait += before ? it.request.expected + late : Duration(0);
  }
  return wait;
}

// Lower is earlier. The most urgent calls come first, the others nearly in the
// order that they came: strict priorities would leave the last queue's steps
// without any ticket.
std::tuple<bool, Time> RankOf(const QueuedAdviceCall& turn) {
  return {turn.request.priority != kMostUrgent,
          turn.received_at + kPriorityLead * turn.request.priority -
              (turn.request.lasting ? kLastingLead : Duration(0))};
}

std::deque<QueuedAdviceCall>::iterator NextTurn(
    std::deque<QueuedAdviceCall>& turns) {
  return std::min_element(
      turns.begin(), turns.end(),
      [](const QueuedAdviceCall& left, const QueuedAdviceCall& right) {
        return RankOf(left) < RankOf(right);
      });
}

// One that has registered just now may ask before this instance has read so.
bool HasGone(const Context& context, const std::string& asker) {
  return context.state.members.departed.contains(asker) &&
         FindMember(context.state, asker) == nullptr;
}

// Whoever has given a question up asks again, and so does the next owner of the
// step of an asker that has gone: calls that are made all the same keep others
// waiting, who then give up too. It shows by waiting steps whose question is
// younger than their wait.
void DropStaleTurns(Context& context) {
  std::erase_if(context.state.advice.call_queue,
                [&](const QueuedAdviceCall& it) {
                  const bool given_up =
                      it.request.patience != Duration(0) &&
                      context.now >= it.received_at + it.request.patience;
                  return given_up || HasGone(context, it.from);
                });
}

}  // namespace

void DriveAdviceTurns(Context& context) {
  AdviceState& advice = context.state.advice;
  if (advice.in_flight || context.now < advice.retry_at) {
    return;
  }
  DropStaleTurns(context);
  if (advice.call_queue.empty()) {
    return;
  }
  const auto next = NextTurn(advice.call_queue);
  advice.in_flight = std::move(*next);
  advice.call_queue.erase(next);
  advice.called_at = context.now;
  context.Emit(
      CallAdvice{.request = {.step = advice.in_flight->request.step,
                             .workers = advice.in_flight->request.workers},
                 .timeout = kAdviceTimeout});
}

void OnAdviceAsk(Context& context,
                 const std::string& from,
                 const AdviceAsk& ask) {
  const Duration wait = WaitBehind(context.state, context.now, ask.priority);
  if (ask.most_wait != Duration(0) && wait > ask.most_wait) {
    return Send(context, from,
                AdviceReply{.call = ask.call,
                            .failed = true,
                            .declined = true,
                            .wait = AdviceWait(context.state, context.now),
                            .urgent_wait =
                                UrgentAdviceWait(context.state, context.now)});
  }
  context.state.advice.call_queue.push_back(
      {.from = from, .request = ask, .received_at = context.now});
}

void OnAdviceAnswered(Context& context, const AdviceAnswered& event) {
  AdviceState& advice = context.state.advice;
  if (!advice.in_flight) {
    return;
  }
  const QueuedAdviceCall turn = *std::exchange(advice.in_flight, std::nullopt);
  NoteLateness(advice, context.now, turn.request.expected);
  AdviceReply reply{
      .call = turn.request.call,
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
  Send(context, turn.from, std::move(reply));
}

Duration AdviceWait(const State& state, Time now) {
  return WaitBehind(state, now, std::numeric_limits<std::uint32_t>::max());
}

Duration UrgentAdviceWait(const State& state, Time now) {
  return WaitBehind(state, now, kMostUrgent);
}

}  // namespace burdockrock::engine
