// Which worker a task goes to. A pure function of what is known of the workers.
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

// A worker as one round of placement sees it.
struct Candidate {
  const WorkerInfo* worker = nullptr;
  Resources free{};
  Resources preemptible{};  // could be freed for the most urgent work
  bool own_domain = false;
  // 1: this instance owns it. Others' have less, down to 0, by chance but
  // always the same.
  double preference = 0;
  double slowness = 1;  // against the mean of the service's workers
};

struct PlacementNeed {
  const StepSpec* step = nullptr;
  Resources room{};
  // How much a fast worker counts; 0: not at all.
  double speed_weight = 0;
  // Kept free for work that goes first, as a share of the worker's processors.
  double reserved_share = 0;
  std::string avoid_worker{};  // a worker, unless there is no other
  std::string rack{};          // only there; empty: anywhere
};

// Work with a tight objective goes to fast workers; work that has time leaves
// them free.
double SpeedWeight(double stretch);

// Whether the task may ever run on the worker.
bool MayRunOn(const StepSpec& step, const WorkerInfo& worker);

// How many tasks have room there, less what the queue leaves to others: what
// counts the room otherwise than placement does waits for room that it never
// gets.
std::int64_t CountRoomFor(const PlacementNeed& need,
                          const WorkerInfo& worker,
                          Resources free);

// Whether it has room now.
bool HasRoomNow(const PlacementNeed& need, const Candidate& candidate);

// Lower is better: how much room is left over in a way that other tasks can't
// use, and how far data and orders travel.
double PlacementCost(const PlacementNeed& need, const Candidate& candidate);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_JOBS_PLACEMENT_RULE_H_
