#include "scheduler/request_runs.h"

#include <algorithm>

#include "scheduler/context.h"
#include "scheduler/ownership.h"
#include "scheduler/request_admission.h"

namespace burdockrock {

namespace {

constexpr Resources kOneSlot{.slots = 1};
// Weight of the newest run in the moving average.
constexpr double kNewestRunWeight = 0.05;
constexpr double kMaxRetryTokens = 100;
// Runs of one request that may be lost with their minions, as the request may
// crash them.
constexpr std::uint32_t kMaxLostRuns = 3;

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

}  // namespace

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
    queue.mean_run_us = queue.mean_run_us == 0
                            ? run
                            : queue.mean_run_us * (1 - kNewestRunWeight) +
                                  run * kNewestRunWeight;
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

void OnRunUnverified(Context& context, const std::string& id) {
  State& state = context.state();
  const auto it = state.requests.entries.find(id);
  if (it == state.requests.entries.end()) {
    return;
  }
  RequestEntry& entry = it->second;
  const auto minion = state.ownership.workers.find(entry.minion);
  const bool can_verify = minion != state.ownership.workers.end() &&
                          IsOwnedAndResponsive(context, minion->second);
  if (!can_verify || !entry.request.idempotent || entry.answered) {
    FinishRequest(context, id,
                  MayHaveRun{.reason = Reason::kConnectionLost,
                             .detail = "the minion's answer was lost"});
    return;
  }
  entry.state = RequestState::kUnverified;
  entry.may_have_run = true;
}

void OnRunLost(Context& context, const AttemptId& attempt) {
  State& state = context.state();
  const std::string id = RequestOfAttempt(attempt);
  const auto it = state.requests.entries.find(id);
  if (it == state.requests.entries.end() || it->second.attempt != attempt) {
    return;
  }
  RequestEntry& entry = it->second;
  entry.may_have_run = true;
  ++entry.lost_runs;
  // A peer would not know of the lost runs.
  entry.forwarded_once = true;
  const bool may_retry = entry.request.idempotent && !entry.answered &&
                         entry.lost_runs < kMaxLostRuns &&
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

}  // namespace burdockrock
