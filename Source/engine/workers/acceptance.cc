#include "engine/workers/acceptance.h"

#include <algorithm>

#include "engine/workers/worker_list.h"
#include "engine/workers/worker_owner.h"
#include "engine/workers/worker_restarts.h"

namespace burdockrock::engine {

const char* CloseCauseName(CloseCause cause) {
  switch (cause) {
    case CloseCause::kRestarted:
      return "restarted";
    case CloseCause::kUnlisted:
      return "unlisted";
    case CloseCause::kDraining:
      return "draining";
    case CloseCause::kUnclaimed:
      return "unclaimed";
    case CloseCause::kUnresponsive:
      return "unresponsive";
    case CloseCause::kUndescribed:
      return "undescribed";
    case CloseCause::kUnhealthy:
      return "unhealthy";
    case CloseCause::kQuarantined:
      return "quarantined";
    case CloseCause::kStalled:
      return "stalled";
    case CloseCause::kLeaving:
      return "leaving";
    case CloseCause::kIsolated:
      return "isolated";
  }
  return "";
}

std::optional<CloseCause> CloseCauseOf(const State& state,
                                       const OwnedWorker& worker,
                                       Time now) {
  if (HasRestarted(worker) || worker.later_process_answered) {
    return CloseCause::kRestarted;
  }
  const ListedWorker* listed = FindWorker(state, worker.info.id);
  if (listed == nullptr || !listed->listed) {
    return CloseCause::kUnlisted;
  }
  if (listed->info.draining) {
    return CloseCause::kDraining;
  }
  if (!worker.claimed || worker.lease_until_ms == 0) {
    return CloseCause::kUnclaimed;
  }
  if (IsUnresponsive(worker)) {
    return CloseCause::kUnresponsive;
  }
  if (std::any_of(worker.runs.begin(), worker.runs.end(),
                  [](const auto& it) { return !it.second.described; })) {
    return CloseCause::kUndescribed;
  }
  if (now < worker.unhealthy_until) {
    return CloseCause::kUnhealthy;
  }
  if (now < worker.quarantine_until) {
    return CloseCause::kQuarantined;
  }
  if (now < worker.stalled_until) {
    return CloseCause::kStalled;
  }
  if (now < worker.leaving_until) {
    return CloseCause::kLeaving;
  }
  if (HasIsolatedRun(worker)) {
    return CloseCause::kIsolated;
  }
  return std::nullopt;
}

bool Accepts(const Context& context, const OwnedWorker& worker) {
  return !CloseCauseOf(context.state, worker, context.now);
}

bool HasIsolatedRun(const OwnedWorker& worker) {
  return std::any_of(
      worker.runs.begin(), worker.runs.end(),
      [](const auto& it) { return it.second.alone_for > Duration(0); });
}

void LogAcceptance(Context& context,
                   const std::string& id,
                   OwnedWorker& worker) {
  const auto cause = CloseCauseOf(context.state, worker, context.now);
  const bool was_closed = worker.closed_since != Time::min();
  if (cause == CloseCause::kUnclaimed) {
    return;  // the claim is logged
  }
  if (cause && !was_closed) {
    worker.closed_since = context.now;
    context.Log(EventNumber::kWorkerClosed,
                {{"worker", id},
                 {"cause", CloseCauseName(*cause)},
                 {"runs", std::to_string(worker.runs.size())}});
  } else if (!cause && was_closed) {
    const Duration closed = context.now - worker.closed_since;
    worker.closed_since = Time::min();
    context.Log(
        EventNumber::kWorkerOpened,
        {{"worker", id}, {"after_ms", std::to_string(ToMilliseconds(closed))}});
  }
}

std::map<CloseCause, std::size_t> CountClosed(const State& state, Time now) {
  std::map<CloseCause, std::size_t> closed;
  for (const auto& [id, worker] : state.owned) {
    if (const auto cause = CloseCauseOf(state, worker, now)) {
      ++closed[*cause];
    }
  }
  return closed;
}

}  // namespace burdockrock::engine
