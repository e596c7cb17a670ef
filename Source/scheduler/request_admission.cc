#include "scheduler/request_admission.h"

#include <algorithm>
#include <optional>
#include <utility>

#include <fmt/format.h>

#include "scheduler/claims.h"
#include "scheduler/context.h"
#include "scheduler/forwarding.h"
#include "scheduler/request_runs.h"

namespace burdockrock {

namespace {

// How long after its deadline a duplicate of a forward may arrive.
constexpr Duration kForwardDuplicateWindow = std::chrono::seconds(30);
constexpr double kRunMarginFactor = 4;
constexpr double kMinSlotShare = 0.001;
constexpr Duration kNotReadyRetryAfter = std::chrono::seconds(1);

double TeamWeight(const Context& context, const std::string& team) {
  const auto it = context.policy().teams.find(team);
  return it == context.policy().teams.end() ? 1.0 : it->second.weight;
}

// How long a request that is queued now will wait for a slot. It gets one
// either after the queued requests of its own and the higher classes, from the
// service rate that new requests of the higher classes leave; or, by the share
// reserved for lower classes, after the queued requests of its own class.
Duration PredictWait(Context& context, const RequestEntry& entry) {
  const ServiceQueue& queue = QueueOf(context, entry.request.service);
  const auto slots =
      context.state().placement.total_slots(entry.request.service);
  if (queue.mean_run_us <= 0 || slots <= 0) {
    return Duration(0);
  }
  const std::size_t own = ClassOf(entry);
  const double service_rate = static_cast<double>(slots) / queue.mean_run_us;
  double higher_rate = 0;
  std::size_t ahead = queue.classes[own].size() + 1;
  const double by_share =
      static_cast<double>(ahead) /
      (service_rate *
       std::max(context.policy().urgency.batch_share, kMinSlotShare));
  for (std::size_t it = 0; it < own; ++it) {
    higher_rate += queue.admission_rates[it].At(context.now());
    ahead += queue.classes[it].size();
  }
  const double remaining_rate =
      std::max(service_rate - higher_rate, service_rate * kMinSlotShare);
  const double by_rank = static_cast<double>(ahead) / remaining_rate;
  // All slots may have been occupied at the same moment, so that none is
  // released for a whole run.
  const double wait = queue.mean_run_us + std::min(by_rank, by_share);
  return Duration(static_cast<Duration::rep>(wait));
}

// The longest predicted wait with which a request is still queued. The run must
// fit in after the wait, and few runs are much longer than kRunMarginFactor
// times the mean. Half of the remaining time is a margin for the error of the
// prediction. A queue of this length still keeps all slots busy, and requests
// that would wait longer are refused at once.
Duration MaxAdmissibleWait(Context& context, const RequestEntry& entry) {
  const Duration left = entry.deadline - context.now();
  const Duration run(static_cast<Duration::rep>(
      QueueOf(context, entry.request.service).mean_run_us * kRunMarginFactor));
  return (left - std::min(run, left / 2)) / 2;
}

// If the queue is full, refuses the newest request of the least urgent class
// below this one. False if all queued requests are at least as urgent.
bool EnsureQueueSpace(Context& context, const RequestEntry& entry) {
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

bool IsOverTeamLimit(Context& context, const RequestEntry& entry) {
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

// Queues the request, or refuses it at once if it would miss its deadline: an
// early refusal leaves its caller time for a retry.
void QueueOrRefuse(Context& context, RequestEntry& entry) {
  const std::string id = entry.request.id;
  const Duration wait = PredictWait(context, entry);
  if (wait > MaxAdmissibleWait(context, entry)) {
    RefuseOverloaded(context, id, wait,
                     "the queue is longer than the deadline");
    return;
  }
  if (IsOverTeamLimit(context, entry)) {
    RefuseRequest(context, id,
                  {.reason = Reason::kQuota,
                   .detail = "the team has too many requests waiting",
                   .retry_after = RetryAfter(context, wait)});
    return;
  }
  if (!EnsureQueueSpace(context, entry)) {
    RefuseOverloaded(context, id, wait, "the queue is full");
    return;
  }
  Enqueue(context, entry);
}

// Whether an owned minion of the service accepts requests, now or once it has a
// free slot.
bool HasUsableMinion(const Context& context, const std::string& service) {
  const auto& workers = context.state().ownership.workers;
  return std::any_of(workers.begin(), workers.end(), [&](const auto& it) {
    const WorkerRecord& worker = it.second;
    return worker.info.role == InstanceRole::kMinion &&
           worker.info.service == service &&
           worker.state == OwnerState::kOwned && !worker.info.leaving &&
           !worker.removed && !worker.unresponsive;
  });
}

NotRun NotReady(const char* detail) {
  return {.reason = Reason::kNotReady,
          .detail = detail,
          .retry_after = kNotReadyRetryAfter};
}

// Why a request can't be admitted at all; nullopt if it can.
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

void Accept(Context& context, const RequestEntry& entry) {
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
  context.ScheduleAt(entry.deadline, TimerKind::kRequestDeadline, id);
  if (it->second.request.idempotent || !it->second.origin.empty()) {
    AdmitRequest(context, it->second);
    return;
  }
  ClaimKeyOfRequest(context, it->second);
}

}  // namespace

void Enqueue(Context& context, RequestEntry& entry) {
  entry.state = RequestState::kQueued;
  QueueOf(context, entry.request.service)
      .classes[ClassOf(entry)]
      .Push(entry.request.team, TeamWeight(context, entry.request.team),
            entry.request.id);
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
  Accept(context, entry);
}

void OnForwardRequest(Context& context,
                      const std::string& from,
                      const ForwardRequest& forward) {
  RequestEntry entry{.request = forward.request,
                     .origin = from,
                     .arrived = context.now(),
                     .deadline = context.now() + forward.request.deadline,
                     .forwarded_once = true};
  auto& accepted = context.state().requests.accepted_forwards;
  const Time expiry = entry.deadline + kForwardDuplicateWindow;
  if (!accepted.emplace(entry.request.id, expiry).second) {
    return;  // duplicate: the first message is answered
  }
  Accept(context, entry);
}

void AdmitRequest(Context& context, RequestEntry& entry) {
  ServiceQueue& queue = QueueOf(context, entry.request.service);
  queue.admission_rates[ClassOf(entry)].Record(context.now());
  const bool has_waiting = queue.size() > 0;
  if (!has_waiting && TryDispatch(context, entry)) {
    return;
  }
  if (!entry.origin.empty()) {
    // The peer expected a free slot here. If the request were queued here, it
    // would miss slots that are released at the peer.
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

void RefuseUnservable(Context& context) {
  for (auto& [service, queue] : context.state().requests.services) {
    if (queue.size() == 0 || HasUsableMinion(context, service)) {
      continue;
    }
    for (FairQueue& it : queue.classes) {
      while (const auto id = it.Pop()) {
        RefuseRequest(context, *id,
                      NotReady("the last minion of the service is gone"));
      }
    }
  }
}

void ForgetOldForwards(Context& context) {
  std::erase_if(context.state().requests.accepted_forwards,
                [&](const auto& it) { return it.second < context.now(); });
}

}  // namespace burdockrock
