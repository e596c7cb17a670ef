#include "engine/jobs/placement_rule.h"

#include <algorithm>
#include <cmath>

namespace burdockrock::engine {

namespace {

// A task whose data is on another rack takes 2 to 3 times as long; no packing
// outweighs that.
constexpr double kOtherRack = 10;
// The worker where it failed last is taken when there is no other.
constexpr double kAvoided = 5;
// An offer across failure domains takes two hops and its bytes.
constexpr double kOtherDomain = 0.01;
// For work with a tight objective: a short job that runs in its owner's domain
// alone outlives a cut of any other one, which no packing outweighs. Longer
// jobs outlast a cut.
constexpr double kOtherDomainTight = 2;
// What is known of another owner's worker lags, an offer to it costs messages,
// and all instances would take the same one for the best. Half of this is for
// any other owner; the rest is each instance's own order of them.
constexpr double kOtherOwner = 0.5;
// The last room that seems to be left at another owner's worker is often gone
// when the offer arrives. This is shared by the tasks that fit. Work that has
// time packs tightly all the same, as room for wide steps takes long calls for
// advice to find.
constexpr double kLastRoom = 1;
// Of two dimensions that are left in unlike shares one can't be used.
constexpr double kUnbalanced = 0.5;

// A task on a slow worker misses a tight objective as soon as anything else
// goes wrong.
constexpr double kSlow = 2;
// Objectives in chains: from the first on speed does not matter, below the
// second it counts whole.
constexpr double kRelaxedStretch = 2.2;
constexpr double kTightStretch = 1.5;
// Work that has time rather takes the slow workers.
constexpr double kRelaxedWeight = -0.1;

double ShareLeft(std::int64_t free, std::int64_t need, std::int64_t capacity) {
  return capacity <= 0
             ? 0
             : static_cast<double>(free - need) / static_cast<double>(capacity);
}

}  // namespace

double SpeedWeight(double stretch) {
  return std::clamp(
      (kRelaxedStretch - stretch) / (kRelaxedStretch - kTightStretch),
      kRelaxedWeight, 1.0);
}

bool MayRunOn(const StepSpec& step, const WorkerInfo& worker) {
  const bool label = step.label.empty() || HasLabel(worker, step.label);
  return label && Fits(RoomOf(step), worker.capacity);
}

std::int64_t CountRoomFor(const PlacementNeed& need,
                          const WorkerInfo& worker,
                          Resources free) {
  free.processors_milli -= static_cast<std::int64_t>(
      need.reserved_share *
      static_cast<double>(worker.capacity.processors_milli));
  return CountFitting(need.room, free);
}

bool HasRoomNow(const PlacementNeed& need, const Candidate& candidate) {
  if (!need.rack.empty() && candidate.worker->rack() != need.rack) {
    return false;
  }
  Resources room = need.room;
  room.processors_milli += static_cast<std::int64_t>(
      need.reserved_share *
      static_cast<double>(candidate.worker->capacity.processors_milli));
  return Fits(room, candidate.free);
}

double PlacementCost(const PlacementNeed& need, const Candidate& candidate) {
  const Resources& capacity = candidate.worker->capacity;
  const double processors =
      ShareLeft(candidate.free.processors_milli, need.room.processors_milli,
                capacity.processors_milli);
  const double memory = ShareLeft(candidate.free.memory_mb, need.room.memory_mb,
                                  capacity.memory_mb);
  double cost = std::min(processors, memory) +
                kUnbalanced * std::abs(processors - memory);
  if (!need.step->rack.empty() &&
      !HasLabel(*candidate.worker, need.step->rack)) {
    cost += kOtherRack;
  }
  if (candidate.worker->id == need.avoid_worker) {
    cost += kAvoided;
  }
  cost += need.speed_weight * kSlow * (candidate.slowness - 1);
  if (candidate.preference < 1) {
    const auto fits = static_cast<double>(
        CountRoomFor(need, *candidate.worker, candidate.free));
    cost += kOtherOwner * (1 - candidate.preference) +
            kLastRoom * std::max(need.speed_weight, 0.0) / std::max(fits, 1.0);
  }
  const double other_domain =
      kOtherDomain + kOtherDomainTight * std::max(need.speed_weight, 0.0);
  return cost + (candidate.own_domain ? 0 : other_domain);
}

}  // namespace burdockrock::engine
