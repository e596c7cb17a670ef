#include "scheduler/drain.h"

#include <algorithm>
#include <string>
#include <vector>

#include "scheduler/context.h"
#include "scheduler/forwarding.h"

namespace burdockrock {

namespace {

constexpr Duration kDrainInterval = std::chrono::milliseconds(200);
constexpr Duration kOfferInterval = std::chrono::seconds(1);
// How long the drain waits for the handover of journals. Accepted jobs are
// durable: a peer can adopt their journal after this process has exited.
constexpr Duration kJournalHandoverTimeout = std::chrono::seconds(10);
// How long the drain waits for tasks on owned workers when there is no member
// to hand the workers to.
constexpr Duration kWorkerHandoverTimeout = std::chrono::seconds(30);

void EmptyQueues(Context& context) {
  State& state = context.state();
  std::vector<std::string> waiting;
  for (const auto& [id, entry] : state.requests.entries) {
    if (entry.state == RequestState::kQueued) {
      waiting.push_back(id);
    }
  }
  std::sort(waiting.begin(), waiting.end());
  for (const std::string& id : waiting) {
    RequestEntry& entry = state.requests.entries.at(id);
    const std::string service = entry.request.service;
    state.requests.services[service]
        .classes[static_cast<std::size_t>(entry.request.urgency)]
        .Erase(entry.request.team, id);
    const std::string peer = ChoosePeerForRequest(context, service);
    if (!peer.empty() && ForwardToPeer(context, entry, peer)) {
      continue;
    }
    RefuseRequest(context, id,
                  {.reason = Reason::kDraining,
                   .detail = "this entry instance is stopping; ask another",
                   .retry_after = RetryAfter(context, Duration(0))});
  }
}

bool HasUnfinishedJobs(const State& state) {
  return std::any_of(state.jobs.jobs.begin(), state.jobs.jobs.end(),
                     [](const auto& it) { return !it.second.finished; });
}

void OfferJournals(Context& context) {
  const std::vector<std::string> members = DomainMembers(context);
  if (members.empty()) {
    return;
  }
  for (const auto& [name, journal] : context.state().jobs.journals) {
    const std::size_t at = StableHash("adopter", name) % members.size();
    context.Send(members[at], AdoptLog{.log = name});
  }
}

// Whether no owned worker has an attempt.
bool IsIdle(const State& state) {
  return std::all_of(state.ownership.workers.begin(),
                     state.ownership.workers.end(),
                     [](const auto& it) { return it.second.bookings.empty(); });
}

bool IsComplete(const Context& context) {
  const State& state = context.state();
  const Duration spent = context.now() - state.drain.started;
  const bool requests_finished = state.requests.entries.empty();
  const bool workers_released =
      state.ownership.owned == 0 ||
      (state.membership.members.empty() &&
       (IsIdle(state) || spent > kWorkerHandoverTimeout));
  const bool has_no_adopter = state.membership.members.empty();
  const bool jobs_released = !HasUnfinishedJobs(state) ||
                             (has_no_adopter && IsIdle(state)) ||
                             spent > kJournalHandoverTimeout;
  return requests_finished && workers_released && jobs_released;
}

}  // namespace

void OnDrainRequested(Context& context, const DrainRequested& asked) {
  State& state = context.state();
  context.Answer(asked.reply, DrainStarted{});
  if (state.drain.draining) {
    return;
  }
  state.drain.draining = true;
  state.drain.started = context.now();
  context.Log(EventNumber::kDrainStarted, {});
  EmptyQueues(context);
  for (auto& [id, worker] : state.ownership.workers) {
    UpdateOpen(context, worker);
  }
  // The digest announces the drain to the peers at once; the drain timer hands
  // the workers over.
  context.ScheduleAt(context.now(), TimerKind::kDigest);
  context.ScheduleAt(context.now(), TimerKind::kDrain);
}

void OnDrainTimer(Context& context) {
  State& state = context.state();
  if (!state.drain.draining || state.drain.complete) {
    return;
  }
  const Duration spent = context.now() - state.drain.started;
  // The timer fires each kDrainInterval, so that the remainder is this small
  // about once per kOfferInterval.
  if (spent % kOfferInterval < kDrainInterval && HasUnfinishedJobs(state)) {
    OfferJournals(context);
  }
  CheckOwnership(context);
  if (IsComplete(context)) {
    state.drain.complete = true;
    context.Log(EventNumber::kDrainComplete, {});
    context.Emit(StopProcess{});
    return;
  }
  context.ScheduleAfter(kDrainInterval, TimerKind::kDrain);
}

}  // namespace burdockrock
