#include "engine/jobs/placement_rule.h"

#include <algorithm>
#include <cmath>

namespace burdockrock::engine {

namespace {

// A task whose data is on another rack takes 2 to 3 times as long, which no
// better packing outweighs.
constexpr double kOtherRackCost = 10;
// The worker where the task failed last is used only if there is no other.
constexpr double kAvoidedWorkerCost = 5;
// An offer to another failure domain costs two hops and bandwidth.
constexpr double kOtherDomainCost = 0.01;
// For work with a tight objective: a short job that runs only in its owner's
// domain is not affected when another domain is cut off, which no better
// packing outweighs. Longer jobs outlast such a cut.
constexpr double kTightOtherDomainCost = 2;
// The known state of another owner's worker lags, an offer to it costs
// messages, and all instances would choose the same worker as the best. Half of
// this applies to every other owner's worker; the rest spreads the instances by
// each one's own order of the workers.
constexpr double kOtherOwnerCost = 0.5;
// The last free room at another owner's worker is often taken when the offer
// arrives. Divided by the number of tasks that fit. Work without a tight
// objective is packed tightly nevertheless, because finding room for wide steps
// takes long advice calls.
constexpr double kLastRoomCost = 1;
// If processors and memory are left in unequal shares, part of one is unusable.
constexpr double kImbalanceCost = 0.5;

// A task on a slow worker misses a tight objective as soon as any other delay
// occurs.
constexpr double kSlownessCost = 2;
// Objectives as a multiple of the run time of a job's longest chain of steps:
// from the first on speed has no positive weight, up to the second it has full
// weight.
constexpr double kRelaxedStretch = 2.2;
constexpr double kTightStretch = 1.5;
// Work with a relaxed objective slightly prefers slow workers.
constexpr double kRelaxedSpeedWeight = -0.1;

double ShareLeft(std::int64_t free, std::int64_t need, std::int64_t capacity) {
  return capacity <= 0
             ? 0
             : static_cast<double>(free - need) / static_cast<double>(capacity);
}

// Processors that are kept free for higher priorities. An empty worker always
// has room for one task that fits its capacity.
std::int64_t ReservedProcessors(const PlacementNeed& need,
                                const Resources& capacity) {
  const auto reserved = static_cast<std::int64_t>(
      need.reserved_share * static_cast<double>(capacity.processors_milli));
  const std::int64_t beside_task = std::max<std::int64_t>(
      capacity.processors_milli - need.room.processors_milli, 0);
  return std::min(reserved, beside_task);
}

}  // namespace

double SpeedWeight(double stretch) {
  return std::clamp(
      (kRelaxedStretch - stretch) / (kRelaxedStretch - kTightStretch),
      kRelaxedSpeedWeight, 1.0);
}

bool MayRunOn(const StepSpec& step, const WorkerInfo& worker) {
  const bool label = step.label.empty() || HasLabel(worker, step.label);
  return label && Fits(RoomOf(step), worker.capacity);
}

std::int64_t CountRoomFor(const PlacementNeed& need,
                          const WorkerInfo& worker,
                          Resources free) {
  free.processors_milli -= ReservedProcessors(need, worker.capacity);
  return CountFitting(need.room, free);
}

bool HasRoomNow(const PlacementNeed& need, const Candidate& candidate) {
  if (!need.rack.empty() && candidate.worker->rack() != need.rack) {
    return false;
  }
  Resources room = need.room;
  room.processors_milli += ReservedProcessors(need, candidate.worker->capacity);
  return Fits(room, candidate.free);
}

double FreeShare(const Candidate& candidate) {
  const Resources& capacity = candidate.worker->capacity;
  return std::min(
      ShareLeft(candidate.free.processors_milli, 0, capacity.processors_milli),
      ShareLeft(candidate.free.memory_mb, 0, capacity.memory_mb));
}

double PlacementCost(const PlacementNeed& need, const Candidate& candidate) {
  const Resources& capacity = candidate.worker->capacity;
  const double processors =
      ShareLeft(candidate.free.processors_milli, need.room.processors_milli,
                capacity.processors_milli);
  const double memory = ShareLeft(candidate.free.memory_mb, need.room.memory_mb,
                                  capacity.memory_mb);
  double cost = std::min(processors, memory) +
                kImbalanceCost * std::abs(processors - memory);
  if (!need.step->rack.empty() &&
      !HasLabel(*candidate.worker, need.step->rack)) {
    cost += kOtherRackCost;
  }
  if (candidate.worker->id == need.avoid_worker) {
    cost += kAvoidedWorkerCost;
  }
  cost += need.speed_weight * kSlownessCost * (candidate.slowness - 1);
  if (candidate.preference < 1) {
    const auto fits = static_cast<double>(
        CountRoomFor(need, *candidate.worker, candidate.free));
    cost +=
        kOtherOwnerCost * (1 - candidate.preference) +
        kLastRoomCost * std::max(need.speed_weight, 0.0) / std::max(fits, 1.0);
  }
  const double other_domain =
      kOtherDomainCost +
      kTightOtherDomainCost * std::max(need.speed_weight, 0.0);
  return cost + (candidate.own_domain ? 0 : other_domain);
}

}  // namespace burdockrock::engine
