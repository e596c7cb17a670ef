#include "scheduler/health.h"

#include <algorithm>
#include <set>

#include "scheduler/context.h"

namespace burdockrock {

namespace {

// Caps the exponential backoff of the probe.
constexpr std::uint32_t kMaxProbeShift = 5;
// Tasks of a job must have run this much longer than the failed one, on this
// many other workers.
constexpr int kOutlastFactor = 2;
constexpr Duration kOutlastMargin = std::chrono::milliseconds(1);
constexpr std::size_t kOutlastMinWorkers = 2;

bool IsFailing(const Context& context, const WorkerHealth& health) {
  const HealthPolicy& policy = context.policy().health;
  std::set<std::string> failed_jobs;
  std::int64_t failures = 0;
  for (const WorkerHealth::End& it : health.recent) {
    if (it.failed) {
      ++failures;
      failed_jobs.insert(it.job);
    }
  }
  const auto total = static_cast<double>(health.recent.size());
  return static_cast<std::int64_t>(failed_jobs.size()) >=
             policy.min_distinct_jobs &&
         static_cast<double>(failures) >= policy.failure_ratio * total;
}

// Beyond the cap, single workers are unlikely to be the cause: quarantining
// more of them would only reduce the capacity for healthy work.
bool IsQuarantineCapReached(const Context& context) {
  const State& state = context.state();
  std::int64_t quarantined = 0;
  for (const auto& [id, worker] : state.ownership.workers) {
    if (worker.index && worker.health.quarantined) {
      ++quarantined;
    }
  }
  const double share = context.policy().health.max_quarantined_share;
  const auto cap = static_cast<std::int64_t>(
      share * static_cast<double>(state.ownership.owned));
  return quarantined >= std::max<std::int64_t>(cap, 1);
}

Duration ProbeDelay(const Context& context, const WorkerHealth& health) {
  const std::uint32_t shift = std::min(health.quarantines, kMaxProbeShift);
  return context.policy().health.probe * (1U << shift);
}

void Quarantine(Context& context, WorkerRecord& worker) {
  if (IsQuarantineCapReached(context)) {
    context.Log(EventNumber::kQuarantineCapReached,
                {{"worker", worker.info.id}});
    UpdateOpen(context, worker);
    return;
  }
  worker.health.quarantined = true;
  worker.health.probing = false;
  context.Log(EventNumber::kWorkerQuarantined, {{"worker", worker.info.id}});
  UpdateOpen(context, worker);
  context.ScheduleAfter(ProbeDelay(context, worker.health), TimerKind::kProbe,
                        worker.info.id);
  ++worker.health.quarantines;
}

}  // namespace

std::string FailureGroup(const Context& context,
                         const WorkerRecord& worker,
                         const AttemptId& attempt) {
  const Ownership& ownership = context.state().ownership;
  const auto failed = worker.bookings.find(attempt);
  if (failed == worker.bookings.end()) {
    return attempt.job;
  }
  const Duration ran = context.now() - failed->second.confirmed;
  std::set<std::string> outlasting;
  for (const auto& [other, holder] : ownership.attempt_workers) {
    if (other.job != attempt.job || holder == worker.info.id) {
      continue;
    }
    const auto& bookings = ownership.workers.at(holder).bookings;
    const auto booking = bookings.find(other);
    const bool runs = booking != bookings.end() &&
                      booking->second.confirmed != Time(0) &&
                      booking->second.state == AttemptState::kRunning;
    if (runs && context.now() - booking->second.confirmed >=
                    ran * kOutlastFactor + kOutlastMargin) {
      outlasting.insert(holder);
    }
  }
  return outlasting.size() >= kOutlastMinWorkers
             ? attempt.job + "/" + std::to_string(attempt.task)
             : attempt.job;
}

void RecordAttemptEnd(Context& context,
                      WorkerRecord& worker,
                      const std::string& job,
                      bool failed,
                      bool job_is_bad) {
  if (failed && job_is_bad) {
    return;
  }
  WorkerHealth& health = worker.health;
  health.recent.push_back({.job = job, .failed = failed});
  if (health.recent.size() > kHealthWindow) {
    health.recent.erase(health.recent.begin());
  }
  if (health.probing) {
    health.probing = false;
    if (failed) {
      Quarantine(context, worker);
      return;
    }
    health.quarantines = 0;
    context.Log(EventNumber::kWorkerReleased, {{"worker", worker.info.id}});
    UpdateOpen(context, worker);
    return;
  }
  if (failed && !health.quarantined && IsFailing(context, health)) {
    Quarantine(context, worker);
  }
}

void OnProbeTimer(Context& context, const std::string& id) {
  const auto it = context.state().ownership.workers.find(id);
  if (it == context.state().ownership.workers.end() ||
      !it->second.health.quarantined) {
    return;
  }
  WorkerRecord& worker = it->second;
  worker.health.quarantined = false;
  worker.health.probing = true;
  worker.health.recent.clear();
  UpdateOpen(context, worker);
}

}  // namespace burdockrock
