// The cost function that chooses a worker for a task. A pure function of the
// known state of the workers.
#ifndef BURDOCKROCK_ENGINE_JOBS_PLACEMENT_RULE_H_
#define BURDOCKROCK_ENGINE_JOBS_PLACEMENT_RULE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "engine/configuration.h"
#include "engine/jobs/job_model.h"
#include "model/resources.h"

namespace burdockrock::engine {

// A worker in one placement round.
struct Candidate {
  const WorkerInfo* worker = nullptr;
  Resources free{};
  Resources preemptible{};  // what preemption could release
  bool own_domain = false;
  // 1 if this instance owns the worker. Lower, down to 0, for workers of other
  // owners: a hash of instance and worker, so that each instance has a fixed
  // order of its own.
  double preference = 0;
  double slowness = 1;  // relative to the mean of the service's workers
};

// What one task requires of a worker.
struct PlacementNeed {
  const StepSpec* step = nullptr;
  Resources room{};
  // Weight of a worker's speed in the cost; 0: none.
  double speed_weight = 0;
  // Share of the worker's processors that is kept free for higher priorities.
  double reserved_share = 0;
  std::string avoid_worker{};  // worker to use only if there is no other
  std::string rack{};          // the only rack allowed; empty: any
};

// Weight of a worker's speed for a queue whose objective is `stretch` times the
// estimated run time. Work with a tight objective goes to fast workers; other
// work leaves them free.
double SpeedWeight(double stretch);

// Whether a task of the step can ever run on the worker, by its labels and
// total capacity.
bool MayRunOn(const StepSpec& step, const WorkerInfo& worker);

// How many such tasks fit in `free` resources of the worker, less the share
// that the queue leaves to others. Used by everything that counts room: code
// that counts it differently from placement would wait for room that it never
// gets.
std::int64_t CountRoomFor(const PlacementNeed& need,
                          const WorkerInfo& worker,
                          Resources free);

// Whether the worker has room for one such task now.
bool HasRoomNow(const PlacementNeed& need, const Candidate& candidate);

// The share of the worker's processors or memory that is free, whichever is
// less.
double FreeShare(const Candidate& candidate);

// Lower is better. Counts room that would be left in a form that other tasks
// can't use, and the distance that data and commands travel.
double PlacementCost(const PlacementNeed& need, const Candidate& candidate);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_JOBS_PLACEMENT_RULE_H_
