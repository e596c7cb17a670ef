#include "scheduler/requests.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "scheduler/context.h"
#include "scheduler/forwarding.h"
#include "scheduler/request_admission.h"
#include "scheduler/request_runs.h"

namespace burdockrock {

namespace {

constexpr char kRequestPrefix[] = "q.";

// The class to serve next: the most urgent one with queued requests, but one of
// every 1 / batch_share picks goes to the next lower class, so that a flood of
// urgent work doesn't starve the rest.
std::optional<std::size_t> NextClass(Context& context, ServiceQueue& queue) {
  const double share = context.policy().urgency.batch_share;
  std::optional<std::size_t> first;
  std::optional<std::size_t> next;
  for (std::size_t it = 0; it < kUrgencyCount; ++it) {
    if (queue.classes[it].size() == 0) {
      continue;
    }
    if (!first) {
      first = it;
    } else if (!next) {
      next = it;
    }
  }
  if (!next || share <= 0) {
    return first;
  }
  const auto period = static_cast<std::uint64_t>(std::llround(1 / share));
  ++queue.picks[*first];
  return queue.picks[*first] % std::max<std::uint64_t>(period, 2) == 0 ? next
                                                                       : first;
}

// Whether less time than the mean run is left before the deadline, so that a
// slot would most likely be wasted on the request. A request that arrived with
// no more than that is run all the same.
bool WillMissDeadline(const Context& context,
                      const RequestEntry& entry,
                      const ServiceQueue& queue) {
  const Duration run(static_cast<Duration::rep>(queue.mean_run_us));
  const bool had_time = entry.deadline - entry.arrived > run;
  return had_time && context.now() + run > entry.deadline;
}

void PumpService(Context& context,
                 const std::string& service,
                 ServiceQueue& queue) {
  State& state = context.state();
  while (queue.size() > 0) {
    const bool has_slot = state.placement.PickMinion(service).has_value();
    const std::string peer =
        has_slot ? "" : ChoosePeerForRequest(context, service);
    if (!has_slot && peer.empty()) {
      return;
    }
    const auto which = NextClass(context, queue);
    const std::string id = *queue.classes[*which].Pop();
    RequestEntry& entry = state.requests.entries.at(id);
    if (WillMissDeadline(context, entry, queue)) {
      RefuseRequest(context, id,
                    {.reason = Reason::kOverloaded,
                     .detail = "too little time is left for a run",
                     .retry_after = RetryAfter(context, Duration(0))});
      continue;
    }
    if (has_slot) {
      TryDispatch(context, entry);
    } else if (!ForwardToPeer(context, entry, peer)) {
      Enqueue(context, entry);
      return;
    }
  }
}

}  // namespace

std::size_t ServiceQueue::size() const {
  std::size_t sum = 0;
  for (const FairQueue& it : classes) {
    sum += it.size();
  }
  return sum;
}

std::size_t ClassOf(const RequestEntry& entry) {
  return static_cast<std::size_t>(entry.request.urgency);
}

ServiceQueue& QueueOf(Context& context, const std::string& service) {
  return context.state().requests.services[service];
}

std::string RequestAttemptName(const std::string& request) {
  return kRequestPrefix + request;
}

std::string RequestOfAttempt(const AttemptId& attempt) {
  return attempt.job.substr(sizeof(kRequestPrefix) - 1);
}

bool IsRequestAttempt(const AttemptId& attempt) {
  return attempt.job.starts_with(kRequestPrefix);
}

bool IsOpenRequest(const Context& context, const AttemptId& attempt) {
  const auto& entries = context.state().requests.entries;
  const auto it = entries.find(RequestOfAttempt(attempt));
  return it != entries.end() && it->second.attempt == attempt;
}

Duration RetryAfter(const Context& context, Duration wanted) {
  const AdmissionPolicy& policy = context.policy().admission;
  return std::clamp(wanted, policy.retry_after_min, policy.retry_after_max);
}

void RefuseRequest(Context& context, const std::string& id, NotRun not_run) {
  context.Log(EventNumber::kRequestRefused,
              {{"request", id}, {"reason", ReasonName(not_run.reason)}});
  FinishRequest(context, id, std::move(not_run));
}

void FinishRequest(Context& context,
                   const std::string& given_id,
                   Verdict verdict) {
  State& state = context.state();
  const auto it = state.requests.entries.find(given_id);
  if (it == state.requests.entries.end()) {
    return;
  }
  // `given_id` may refer to the string in the entry itself, which is empty once
  // the entry has been moved from: the answer to a peer would then name no
  // request and the claim of a key would never be settled.
  const std::string id = it->first;
  const RequestEntry entry = std::move(it->second);
  // A refusal applies to the last attempt only. If the answer of an earlier
  // attempt was lost, the caller must not be answered "not run".
  if (const auto* last = std::get_if<NotRun>(&verdict);
      last != nullptr && entry.may_have_run) {
    verdict = MayHaveRun{
        .reason = last->reason,
        .detail = "an earlier try's answer was lost; " + last->detail};
  }
  const std::string& own_id = entry.request.id;
  state.requests.entries.erase(it);
  if (entry.claimed) {
    const auto* ran = std::get_if<Ran>(&verdict);
    ClaimState claim = ClaimState::kMayHaveRun;
    if (ran != nullptr) {
      claim = ran->failed ? ClaimState::kFailed : ClaimState::kRan;
    } else if (std::holds_alternative<NotRun>(verdict)) {
      claim = ClaimState::kReleased;
    }
    SettleClaim(context, entry.request.team, entry.request.key, own_id, claim,
                ran != nullptr ? ran->answer : "");
  }
  if (entry.answered) {
    return;
  }
  ++state.counters.answers[verdict.index()];
  if (std::holds_alternative<MayHaveRun>(verdict)) {
    context.Log(EventNumber::kMayHaveRunAnswered, {{"request", own_id}});
  }
  const Duration waited =
      entry.dispatched ? entry.started - entry.arrived : Duration(0);
  WorkAnswer answer{
      .id = own_id, .verdict = std::move(verdict), .waited = waited};
  if (!entry.origin.empty()) {
    context.Send(entry.origin, ForwardAnswer{.answer = std::move(answer)});
    return;
  }
  context.Answer(entry.reply, std::move(answer));
}

void OnRequestDeadline(Context& context, const std::string& id) {
  State& state = context.state();
  const auto it = state.requests.entries.find(id);
  if (it == state.requests.entries.end() || it->second.answered ||
      context.now() < it->second.deadline) {
    return;
  }
  RequestEntry& entry = it->second;
  const NotRun late{.reason = Reason::kDeadline,
                    .detail = "the deadline passed while it waited",
                    .retry_after = RetryAfter(context, Duration(0))};
  switch (entry.state) {
    case RequestState::kClaiming:
      GiveUpClaim(context, entry.request.team, entry.request.key, id,
                  entry.claim_ticket);
      RefuseRequest(context, id, late);
      return;
    case RequestState::kQueued:
      QueueOf(context, entry.request.service)
          .classes[ClassOf(entry)]
          .Erase(entry.request.team, id);
      RefuseRequest(context, id, late);
      return;
    case RequestState::kForwarded:
    case RequestState::kUnverified:
      FinishRequest(context, id,
                    MayHaveRun{.reason = Reason::kDeadline,
                               .detail = "no answer before the deadline"});
      return;
    case RequestState::kRunning:
      break;
  }
  // The request keeps running and occupies its slot; only its caller is
  // answered.
  const RequestEntry kept = entry;
  FinishRequest(context, id,
                MayHaveRun{.reason = Reason::kDeadline,
                           .detail = "still running at the deadline"});
  RequestEntry& again = state.requests.entries.emplace(id, kept).first->second;
  again.answered = true;
}

void PumpRequests(Context& context) {
  for (auto& [service, queue] : context.state().requests.services) {
    PumpService(context, service, queue);
  }
}

std::optional<WorkStatus> RequestStatus(Context& context,
                                        const std::string& id) {
  const auto it = context.state().requests.entries.find(id);
  if (it == context.state().requests.entries.end() || it->second.answered) {
    return std::nullopt;
  }
  const RequestState at = it->second.state;
  const bool is_out = at == RequestState::kRunning ||
                      at == RequestState::kUnverified ||
                      at == RequestState::kForwarded;
  WorkStatus status{.id = id, .is_request = true, .count = 1};
  status.state = is_out ? WorkState::kRunning : WorkState::kQueued;
  status.queued = is_out ? 0 : 1;
  status.running = is_out ? 1 : 0;
  return status;
}

std::optional<WorkStatus> CancelRequest(Context& context,
                                        const std::string& id) {
  State& state = context.state();
  auto status = RequestStatus(context, id);
  if (!status) {
    return std::nullopt;
  }
  context.Log(EventNumber::kCancel, {{"request", id}});
  RequestEntry& entry = state.requests.entries.at(id);
  status->state = WorkState::kCancelled;
  const NotRun cancelled{.reason = Reason::kCancelled,
                         .detail = "cancelled by the caller"};
  switch (entry.state) {
    case RequestState::kClaiming:
      GiveUpClaim(context, entry.request.team, entry.request.key, id,
                  entry.claim_ticket);
      RefuseRequest(context, id, cancelled);
      break;
    case RequestState::kQueued:
      QueueOf(context, entry.request.service)
          .classes[ClassOf(entry)]
          .Erase(entry.request.team, id);
      RefuseRequest(context, id, cancelled);
      break;
    case RequestState::kForwarded:
      context.Send(entry.peer, CancelForward{.id = id});
      break;
    case RequestState::kRunning:
    case RequestState::kUnverified: {
      const auto minion = state.ownership.workers.find(entry.minion);
      if (minion != state.ownership.workers.end()) {
        CommandWorker(context, minion->second,
                      StopCommand{.epoch = minion->second.epoch,
                                  .attempts = {entry.attempt}},
                      StopPurpose{});
      }
      break;
    }
  }
  return status;
}

void OnCancelForward(Context& context, const CancelForward& cancel) {
  CancelRequest(context, cancel.id);
}

}  // namespace burdockrock
