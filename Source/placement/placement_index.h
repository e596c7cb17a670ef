// The books of one owner's workers and minions, and the picks among them.
#ifndef BURDOCKROCK_PLACEMENT_PLACEMENT_INDEX_H_
#define BURDOCKROCK_PLACEMENT_PLACEMENT_INDEX_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "model/resources.h"
#include "placement/capacity_catalog.h"
#include "placement/minion_index.h"
#include "placement/rack_ranks.h"
#include "placement/target.h"
#include "placement/worker_index.h"

namespace burdockrock {

// A pure data structure: no clock, no random source, ties by index, so equal
// calls give equal picks. A TargetIndex that is passed in must be one that
// Add returned and Remove has not taken back.
class PlacementIndex {
 public:
  // The target becomes open with all its room free. An id that is known
  // already keeps its index, its info and its bookings.
  TargetIndex Add(TargetInfo info);

  // Forgets the target, whatever is booked on it.
  void Remove(TargetIndex index);

  std::optional<TargetIndex> Find(std::string_view id) const;
  const TargetInfo& info(TargetIndex index) const;
  const Resources& free(TargetIndex index) const;
  bool open(TargetIndex index) const;

  // A closed target keeps its bookings and is not picked.
  void SetOpen(TargetIndex index, bool open);

  // Books room. Returns false and changes nothing when `need` does not fit:
  // the one place that keeps workers from being given more than they have.
  bool Take(TargetIndex index, const Resources& need);

  // Returns room, at most up to the capacity.
  void Give(TargetIndex index, const Resources& amount);

  // Books what a target reports as running already. May leave less than
  // nothing free; then nothing is given until enough is returned.
  void ForceTake(TargetIndex index, const Resources& amount);

  // The picks choose among open targets and book nothing.

  // The service's minion with the most free slots; ties go round the racks.
  std::optional<TargetIndex> PickMinion(std::string_view service) const;

  // A worker with room for `need`; nothing only when there is none.
  std::optional<TargetIndex> PickWorker(const Resources& need,
                                        WorkerPolicy policy) const;

  // `count` places, a worker once for each task it gets; empty when not all
  // of them fit at once.
  std::vector<TargetIndex> PickGang(const Resources& need,
                                    std::uint32_t count) const;

  // The tasks of this size that fit on workers now, at most kMaxAmount.
  std::int64_t CountFitting(const Resources& need) const;

  // True when `need` would fit some worker, open or closed, if it were empty.
  bool FitsEmpty(const Resources& need) const;

  // Why `need` fits no worker even if empty, by dimension; empty if it does.
  std::string DescribeMisfitEverywhere(const Resources& need) const;

  // Over open workers; one that is overbooked counts as having nothing free.
  const Resources& total_free() const { return total_free_; }
  const Resources& total_capacity() const { return total_capacity_; }

  // Over the open minions of a service.
  std::int64_t free_slots(std::string_view service) const;
  std::int64_t total_slots(std::string_view service) const;

  // Open and closed, workers and minions.
  std::size_t size() const { return by_id_.size(); }

  // Search steps of all worker picks so far, for benchmarks.
  std::uint64_t visited() const { return workers_.visited(); }

 private:
  void Index(TargetIndex index);
  void Unindex(TargetIndex index);
  void SetFree(TargetIndex index, const Resources& free);

  std::vector<Target> targets_;
  std::vector<TargetIndex> unused_;  // handles of removed targets
  std::map<std::string, TargetIndex, std::less<>> by_id_;
  RackRanks ranks_;
  CapacityCatalog capacities_;
  WorkerIndex workers_;
  MinionIndex minions_;
  Resources total_free_;
  Resources total_capacity_;
};

}  // namespace burdockrock

#endif  // BURDOCKROCK_PLACEMENT_PLACEMENT_INDEX_H_
