#include "scheduler/requests.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include <fmt/format.h>

#include "scheduler/context.h"
#include "scheduler/forwarding.h"

namespace burdockrock {

namespace {

constexpr char kRequestPrefix[] = "q.";
constexpr std::size_t kRequestPrefixBytes = 2;
constexpr Resources kOneSlot{.slots = 1};
// Weight of the newest run in the moving average.
constexpr double kRunWeight = 0.05;
constexpr double kMaxRetryTokens = 100;
constexpr Duration kForwardMemory = std::chrono::seconds(30);
constexpr Duration kNotReadyRetry = std::chrono::seconds(1);

double TeamWeight(const Context& context, const std::string& team) {
  const auto it = context.policy().teams.find(team);
  return it == context.policy().teams.end() ? 1.0 : it->second.weight;
}

std::size_t ClassOf(const RequestEntry& entry) {
  return static_cast<std::size_t>(entry.request.urgency);
}

ServiceQueue& QueueOf(Context& context, const std::string& service) {
  return context.state().requests.services[service];
}

// The time that a request entering the queue now will wait for a slot, from
// the requests that go before it and the rate at which slots come free.
Duration PredictWait(Context& context, const RequestEntry& entry) {
  const ServiceQueue& queue = QueueOf(context, entry.request.service);
  const auto slots =
      context.state().placement.total_slots(entry.request.service);
  if (slots <= 0) {
    return Duration(0);
  }
  std::size_t ahead = 1;
  for (std::size_t it = 0; it <= ClassOf(entry); ++it) {
    ahead += queue.classes[it].size();
  }
  const double wait = static_cast<double>(ahead) * queue.mean_run_us /
                      static_cast<double>(slots);
  return Duration(static_cast<Duration::rep>(wait));
}

bool TakeRetryToken(Context& context) {
  Requests& requests = context.state().requests;
  if (requests.retry_tokens < 1) {
    return false;
  }
  requests.retry_tokens -= 1;
  ++context.state().counters.retries;
  return true;
}

void Dispatch(Context& context, RequestEntry& entry, WorkerRecord& minion) {
  entry.state = RequestState::kRunning;
  entry.minion = minion.info.id;
  entry.started = context.now();
  entry.dispatched = true;
  ++entry.tries;
  entry.attempt = {.job = RequestAttemptName(entry.request.id),
                   .task = 0,
                   .number = entry.tries};
  BookAttempt(context, minion,
              {.attempt = entry.attempt,
               .resources = kOneSlot,
               .is_request = true,
               .sent = context.now()});
  ++context.state().counters.starts;
  context.Emit(WaitingMeasured{.urgency = entry.request.urgency,
                               .waited = context.now() - entry.arrived});
  CommandWorker(
      context, minion,
      RunCommand{.epoch = minion.epoch,
                 .attempt = entry.attempt,
                 .resources = kOneSlot,
                 .payload = entry.request.payload,
                 .lease = context.policy().lease.task_lease},
      RunPurpose{.request = entry.request.id, .attempt = entry.attempt});
}

bool TryDispatch(Context& context, RequestEntry& entry) {
  State& state = context.state();
  const auto index = state.placement.PickMinion(entry.request.service);
  if (!index) {
    return false;
  }
  const std::string& id = state.placement.info(*index).id;
  Dispatch(context, entry, state.ownership.workers.at(id));
  return true;
}

void Enqueue(Context& context, RequestEntry& entry) {
  entry.state = RequestState::kQueued;
  QueueOf(context, entry.request.service)
      .classes[ClassOf(entry)]
      .Push(entry.request.team, TeamWeight(context, entry.request.team),
            entry.request.id);
}

// Drops the newest request of the least urgent class below this one, if the
// queue is full. False when the queue is full of work at least as urgent.
bool MakeRoom(Context& context, const RequestEntry& entry) {
  ServiceQueue& queue = QueueOf(context, entry.request.service);
  const auto limit = static_cast<std::size_t>(
      context.policy().admission.max_queue_per_service);
  if (queue.size() < limit) {
    return true;
  }
  for (std::size_t it = kUrgencyCount - 1; it > ClassOf(entry); --it) {
    const auto id = queue.classes[it].PopNewestOfLongest();
    if (id) {
      RefuseRequest(context, *id,
                    {.reason = Reason::kOverloaded,
                     .detail = "gave way to more urgent requests",
                     .retry_after = RetryAfter(context, Duration(0))});
      return true;
    }
  }
  return false;
}

bool OverTeamLimit(Context& context, const RequestEntry& entry) {
  const auto it = context.policy().teams.find(entry.request.team);
  if (it == context.policy().teams.end() || it->second.max_waiting <= 0) {
    return false;
  }
  std::size_t waiting = 0;
  for (const FairQueue& queue :
       QueueOf(context, entry.request.service).classes) {
    waiting += queue.SizeOf(entry.request.team);
  }
  return static_cast<std::int64_t>(waiting) >= it->second.max_waiting;
}

void RefuseOverloaded(Context& context,
                      const std::string& id,
                      Duration wait,
                      const char* detail) {
  RefuseRequest(context, id,
                {.reason = Reason::kOverloaded,
                 .detail = detail,
                 .retry_after = RetryAfter(context, wait)});
}

// Queues the request here, or refuses it at once when it would not make its
// deadline: a caller that hears now can come back, one that waits can't.
void QueueOrRefuse(Context& context, RequestEntry& entry) {
  const std::string id = entry.request.id;
  const Duration wait = PredictWait(context, entry);
  const Duration run(static_cast<Duration::rep>(
      QueueOf(context, entry.request.service).mean_run_us));
  if (context.now() + wait + run > entry.deadline) {
    RefuseOverloaded(context, id, wait,
                     "the queue is longer than the deadline");
    return;
  }
  if (OverTeamLimit(context, entry)) {
    RefuseRequest(context, id,
                  {.reason = Reason::kQuota,
                   .detail = "the team has too many requests waiting",
                   .retry_after = RetryAfter(context, wait)});
    return;
  }
  if (!MakeRoom(context, entry)) {
    RefuseOverloaded(context, id, wait, "the queue is full");
    return;
  }
  Enqueue(context, entry);
}

// The class to serve next. Urgent goes first, but of any 1 / batch_share picks
// one goes to the classes below, so that a flood of urgent work delays the
// rest without starving it.
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
    if (has_slot) {
      TryDispatch(context, entry);
    } else if (!ForwardToPeer(context, entry, peer)) {
      Enqueue(context, entry);
      return;
    }
  }
}

NotRun NotReady(const char* detail) {
  return {.reason = Reason::kNotReady,
          .detail = detail,
          .retry_after = kNotReadyRetry};
}

// Why a request can't be taken at all; nothing when it can.
std::optional<NotRun> RefusalOf(Context& context, const RequestEntry& entry) {
  const State& state = context.state();
  if (!state.config.loaded) {
    return NotReady("this entry instance has no configuration yet");
  }
  if (!context.policy().services.contains(entry.request.service)) {
    return NotRun{.reason = Reason::kUnknownService,
                  .detail = "no service " + entry.request.service +
                            " in the configuration"};
  }
  const auto& teams = context.policy().teams;
  if (!teams.contains(entry.request.team)) {
    return NotRun{
        .reason = Reason::kInvalid,
        .detail = "no team " + entry.request.team + " in the configuration"};
  }
  if (state.drain.draining) {
    return NotRun{.reason = Reason::kDraining,
                  .detail = "this entry instance is stopping; ask another",
                  .retry_after = context.policy().admission.retry_after_min};
  }
  return std::nullopt;
}

void Accept(Context& context, RequestEntry entry) {
  State& state = context.state();
  const std::string id = entry.request.id;
  const auto [it, inserted] = state.requests.entries.emplace(id, entry);
  if (!inserted) {
    context.Answer(
        entry.reply,
        WorkAnswer{.id = id,
                   .verdict = NotRun{.reason = Reason::kDuplicateKey,
                                     .detail = "a request with this id is "
                                               "waiting or running here"}});
    return;
  }
  if (const auto refusal = RefusalOf(context, it->second)) {
    RefuseRequest(context, id, *refusal);
    return;
  }
  context.At(entry.deadline, TimerKind::kRequestDeadline, id);
  if (it->second.request.idempotent || !it->second.origin.empty()) {
    AdmitRequest(context, it->second);
    return;
  }
  ClaimKeyOfRequest(context, it->second);
}

}  // namespace

std::size_t ServiceQueue::size() const {
  std::size_t sum = 0;
  for (const FairQueue& it : classes) {
    sum += it.size();
  }
  return sum;
}

std::string RequestAttemptName(const std::string& request) {
  return kRequestPrefix + request;
}

bool IsRequestAttempt(const AttemptId& attempt) {
  return attempt.job.starts_with(kRequestPrefix);
}

bool IsOpenRequest(const Context& context, const AttemptId& attempt) {
  const auto& entries = context.state().requests.entries;
  const auto it = entries.find(attempt.job.substr(kRequestPrefixBytes));
  return it != entries.end() && it->second.attempt == attempt;
}

Duration RetryAfter(const Context& context, Duration wanted) {
  const AdmissionPolicy& policy = context.policy().admission;
  return std::clamp(wanted, policy.retry_after_min, policy.retry_after_max);
}

void OnRequestArrived(Context& context, const RequestArrived& arrived) {
  State& state = context.state();
  RequestEntry entry{.request = arrived.request,
                     .reply = arrived.reply,
                     .arrived = context.now()};
  if (entry.request.id.empty()) {
    entry.request.id =
        fmt::format("{}.{}.{}", state.self.instance, state.self.incarnation,
                    state.requests.next_id++);
  }
  if (entry.request.team.empty()) {
    entry.request.team = context.policy().default_team;
  }
  if (entry.request.deadline <= Duration(0)) {
    const auto it = context.policy().services.find(entry.request.service);
    const bool has_own = it != context.policy().services.end() &&
                         it->second.deadline > Duration(0);
    entry.request.deadline =
        has_own ? it->second.deadline
                : context.policy().admission.default_request_deadline;
  }
  entry.deadline = context.now() + entry.request.deadline;
  Accept(context, std::move(entry));
}

void OnForwardRequest(Context& context,
                      const std::string& from,
                      const ForwardRequest& forward) {
  RequestEntry entry{.request = forward.request,
                     .origin = from,
                     .arrived = context.now(),
                     .deadline = context.now() + forward.request.deadline,
                     .forwarded_once = true};
  auto& taken = context.state().requests.taken_forwards;
  const Time forget = entry.deadline + kForwardMemory;
  if (!taken.emplace(entry.request.id, forget).second) {
    return;  // doubled: the first one is or was answered
  }
  Accept(context, std::move(entry));
}

void AdmitRequest(Context& context, RequestEntry& entry) {
  ServiceQueue& queue = QueueOf(context, entry.request.service);
  const bool has_waiting = queue.size() > 0;
  if (!has_waiting && TryDispatch(context, entry)) {
    return;
  }
  if (!entry.origin.empty()) {
    // The peer counted on a free slot. Waiting here would hide the request
    // from slots that come free there.
    RefuseOverloaded(context, entry.request.id, PredictWait(context, entry),
                     "no free slot");
    return;
  }
  const std::string peer =
      entry.forwarded_once
          ? ""
          : ChoosePeerForRequest(context, entry.request.service);
  if (!peer.empty() && ForwardToPeer(context, entry, peer)) {
    return;
  }
  if (context.state().placement.total_slots(entry.request.service) == 0) {
    RefuseRequest(context, entry.request.id,
                  NotReady("no minion of the service is owned here"));
    return;
  }
  QueueOrRefuse(context, entry);
}

void RefuseRequest(Context& context, const std::string& id, NotRun not_run) {
  context.Log(EventNumber::kRequestRefused,
              {{"request", id}, {"reason", ReasonName(not_run.reason)}});
  FinishRequest(context, id, std::move(not_run));
}

void FinishRequest(Context& context, const std::string& id, Verdict verdict) {
  State& state = context.state();
  const auto it = state.requests.entries.find(id);
  if (it == state.requests.entries.end()) {
    return;
  }
  RequestEntry entry = std::move(it->second);
  state.requests.entries.erase(it);
  if (entry.claimed) {
    const auto* ran = std::get_if<Ran>(&verdict);
    ClaimState claim = ClaimState::kMayHaveRun;
    if (ran != nullptr) {
      claim = ran->failed ? ClaimState::kFailed : ClaimState::kRan;
    } else if (std::holds_alternative<NotRun>(verdict)) {
      claim = ClaimState::kReleased;
    }
    SettleClaim(context, entry.request.team, entry.request.key, id, claim,
                ran != nullptr ? ran->answer : "");
  }
  if (entry.answered) {
    return;
  }
  ++state.counters.answers[verdict.index()];
  if (std::holds_alternative<MayHaveRun>(verdict)) {
    context.Log(EventNumber::kMayHaveRunAnswered, {{"request", id}});
  }
  const Duration waited =
      entry.dispatched ? entry.started - entry.arrived : Duration(0);
  WorkAnswer answer{.id = id, .verdict = std::move(verdict), .waited = waited};
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
    case RequestState::kSettling:
      FinishRequest(context, id,
                    MayHaveRun{.reason = Reason::kDeadline,
                               .detail = "no answer before the deadline"});
      return;
    case RequestState::kRunning:
      break;
  }
  // It goes on running and holds its slot; only the caller is told.
  const RequestEntry kept = entry;
  FinishRequest(context, id,
                MayHaveRun{.reason = Reason::kDeadline,
                           .detail = "still running at the deadline"});
  RequestEntry& again = state.requests.entries.emplace(id, kept).first->second;
  again.answered = true;
}

void OnRunEnded(Context& context,
                const std::string& id,
                const RunEnded& ended) {
  State& state = context.state();
  const auto it = state.requests.entries.find(id);
  if (it != state.requests.entries.end()) {
    const RequestEntry& entry = it->second;
    ServiceQueue& queue = QueueOf(context, entry.request.service);
    const auto run =
        static_cast<double>((context.now() - entry.started).count());
    queue.mean_run_us =
        queue.mean_run_us == 0
            ? run
            : queue.mean_run_us * (1 - kRunWeight) + run * kRunWeight;
    state.requests.retry_tokens = std::min(
        state.requests.retry_tokens + context.policy().retries.budget_ratio,
        kMaxRetryTokens);
    if (ended.outcome == Outcome::kStopped ||
        ended.outcome == Outcome::kLeaseLapsed) {
      FinishRequest(context, id,
                    MayHaveRun{.reason = ended.outcome == Outcome::kStopped
                                             ? Reason::kCancelled
                                             : Reason::kLeaseLapsed,
                               .detail = "stopped while it ran"});
    } else {
      FinishRequest(context, id,
                    Ran{.failed = ended.outcome == Outcome::kFailed,
                        .answer = ended.answer});
    }
  }
  PumpRequests(context);
}

void OnRunNotStarted(Context& context,
                     const std::string& id,
                     const std::string& why) {
  const auto it = context.state().requests.entries.find(id);
  if (it == context.state().requests.entries.end()) {
    return;
  }
  RequestEntry& entry = it->second;
  entry.dispatched = false;
  const bool may_retry = !entry.answered &&
                         entry.tries < context.policy().retries.max_attempts &&
                         TakeRetryToken(context);
  if (!may_retry) {
    RefuseRequest(context, id,
                  {.reason = Reason::kOverloaded,
                   .detail = "the minion did not take it: " + why,
                   .retry_after = RetryAfter(context, Duration(0))});
    return;
  }
  AdmitRequest(context, entry);
}

void OnRunUncertain(Context& context, const std::string& id) {
  State& state = context.state();
  const auto it = state.requests.entries.find(id);
  if (it == state.requests.entries.end()) {
    return;
  }
  RequestEntry& entry = it->second;
  const auto minion = state.ownership.workers.find(entry.minion);
  const bool can_ask = minion != state.ownership.workers.end() &&
                       IsSettled(context, minion->second);
  if (!can_ask || !entry.request.idempotent || entry.answered) {
    FinishRequest(context, id,
                  MayHaveRun{.reason = Reason::kConnectionLost,
                             .detail = "the minion's answer was lost"});
    return;
  }
  entry.state = RequestState::kSettling;
}

void OnRunVanished(Context& context, const AttemptId& attempt) {
  State& state = context.state();
  const std::string id = attempt.job.substr(kRequestPrefixBytes);
  const auto it = state.requests.entries.find(id);
  if (it == state.requests.entries.end() || it->second.attempt != attempt) {
    return;
  }
  RequestEntry& entry = it->second;
  const bool may_retry = entry.request.idempotent && !entry.answered &&
                         entry.tries < context.policy().retries.max_attempts &&
                         TakeRetryToken(context);
  if (!may_retry) {
    FinishRequest(context, id,
                  MayHaveRun{.reason = Reason::kConnectionLost,
                             .detail = "the minion's answer was lost"});
    return;
  }
  AdmitRequest(context, entry);
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
                      at == RequestState::kSettling ||
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
    case RequestState::kSettling: {
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

void ForgetOldForwards(Context& context) {
  std::erase_if(context.state().requests.taken_forwards,
                [&](const auto& it) { return it.second < context.now(); });
}

void OnCancelForward(Context& context, const CancelForward& cancel) {
  CancelRequest(context, cancel.id);
}

}  // namespace burdockrock
