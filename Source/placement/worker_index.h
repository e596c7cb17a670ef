// The open workers in the orders in which the policies try them.
#ifndef BURDOCKROCK_PLACEMENT_WORKER_INDEX_H_
#define BURDOCKROCK_PLACEMENT_WORKER_INDEX_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "placement/fit_forest.h"
#include "placement/target.h"

namespace burdockrock {

enum class WorkerPolicy {
  kSpread,  // the least loaded, ties go round the racks
  kPack,    // the densest over all dimensions
};

// Workers are grouped by their free accelerators and ordered in each group by
// each of several keys. A policy looks at the first few workers with room in
// each order and takes the best of them, so that a decision costs a number of
// steps that is logarithmic in the workers. A task that needs no accelerator
// goes to a worker with free ones only when no other worker has room.
class WorkerIndex {
 public:
  // Puts an open worker in.
  void Insert(TargetIndex index, const Target& target);

  // Takes out a worker that was inserted.
  void Erase(TargetIndex index);

  // A worker with room for `need`; nothing only when there is none.
  std::optional<TargetIndex> Pick(const Resources& need,
                                  WorkerPolicy policy) const;

  // `count` places for tasks of `need` each, a worker once for each task it
  // gets; empty when not all of them fit. Takes time in proportion to `count`.
  std::vector<TargetIndex> PickGang(const Resources& need,
                                    std::uint32_t count) const;

  // The tasks of this size that fit now, at most kMaxAmount. Looks at each
  // worker with room for one.
  std::int64_t CountFitting(const Resources& need) const;

  // Tree nodes looked at by all picks so far: a measure of their cost that
  // does not depend on the machine.
  std::uint64_t visited() const { return visited_; }

 private:
  enum Order { kByProcessors, kBySize, kByDirection, kByLoad, kOrderCount };

  struct Worker {
    Resources free;
    Resources capacity;
    std::int64_t load = 0;  // in kLoadSteps of the fullest dimension
    std::uint32_t rank = 0;
  };
  // The workers with one number of free accelerators.
  struct Group {
    std::array<FitForest::Root, kOrderCount> roots = {
        FitForest::kEmpty, FitForest::kEmpty, FitForest::kEmpty,
        FitForest::kEmpty};
    std::size_t size = 0;
  };

  static std::int64_t LoadOf(const Target& target);
  static FitForest::Key KeyOf(Order order, const Worker& worker);

  void Visit(const Group& group,
             Order order,
             const FitForest::Search& search,
             const FitForest::Visitor& visitor) const;
  // Adds the first kMaxCandidates to `found`; returns true if there are any.
  bool Collect(const Group& group,
               Order order,
               const FitForest::Search& search,
               std::vector<TargetIndex>& found) const;
  bool CollectByProcessors(const Group& group,
                           const Resources& need,
                           std::vector<TargetIndex>& found) const;
  bool CollectDense(const Group& group,
                    const Resources& need,
                    std::vector<TargetIndex>& found) const;
  std::optional<TargetIndex> PickDensest(const Resources& need) const;
  std::optional<TargetIndex> PickLeastLoaded(const Resources& need) const;
  std::vector<TargetIndex> GangCandidates(const Group& group,
                                          const Resources& need,
                                          std::uint32_t count) const;
  void PlaceDensest(const std::vector<TargetIndex>& candidates,
                    const Resources& need,
                    std::uint32_t count,
                    std::vector<TargetIndex>& picked) const;

  std::vector<Worker> workers_;  // by target
  std::array<FitForest, kOrderCount> forests_;
  std::map<std::int64_t, Group> groups_;  // by free accelerators
  mutable std::uint64_t visited_ = 0;
};

}  // namespace burdockrock

#endif  // BURDOCKROCK_PLACEMENT_WORKER_INDEX_H_
