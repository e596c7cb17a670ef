// Ordered search trees over targets that skip those without enough room.
#ifndef BURDOCKROCK_PLACEMENT_FIT_FOREST_H_
#define BURDOCKROCK_PLACEMENT_FIT_FOREST_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <optional>
#include <utility>
#include <vector>

#include "model/resources.h"
#include "placement/target.h"

namespace burdockrock {

// Several trees over one pool of nodes, one node for each target, so a target
// stands in at most one tree of a forest. Each subtree knows the greatest
// amount of each dimension in it; a search skips the subtrees in which no
// target can have room. Trees are treaps whose priorities are hashed from the
// target's index: balanced without a random source, the same in each run.
class FitForest {
 public:
  using Root = std::uint32_t;
  static constexpr Root kEmpty = std::numeric_limits<Root>::max();

  // The place in a tree; equal places are told apart by the target's index.
  struct Key {
    std::int64_t order = 0;
    std::int64_t tie = 0;

    auto operator<=>(const Key&) const = default;
  };

  enum class Direction { kAscending, kDescending };

  struct Search {
    Resources need;
    Direction direction = Direction::kAscending;
    // Leaves out targets of a lower order; descending, of a higher one.
    std::optional<std::int64_t> from = std::nullopt;
    // Ends the search after this many nodes, also when more targets fit.
    std::size_t max_nodes = std::numeric_limits<std::size_t>::max();
  };

  // Called for each target with room; returns false to end the search.
  using Visitor = std::function<bool(TargetIndex)>;

  // Puts a target that is in no tree of this forest into the tree at `root`.
  void Insert(Root& root,
              TargetIndex target,
              const Key& key,
              const Resources& free);

  // Takes a target out of the tree at `root`, in which it is.
  void Erase(Root& root, TargetIndex target);

  // Visits the targets that have room for `search.need`, in the order of their
  // keys and from `search.from` on. Returns the count of nodes looked at.
  std::size_t Visit(Root root,
                    const Search& search,
                    const Visitor& visitor) const;

 private:
  struct Node {
    Key key;
    Resources free;
    Resources greatest;  // in each dimension, over the subtree
    Root left = kEmpty;
    Root right = kEmpty;
    std::uint64_t priority = 0;
  };
  struct Walk;

  bool Before(Root left, Root right) const;
  void Refresh(Root node);
  Root InsertBelow(Root root, Root node);
  Root EraseBelow(Root root, Root node);
  std::pair<Root, Root> Split(Root root, Root pivot);
  Root Merge(Root left, Root right);
  bool VisitBelow(Root root, Walk& walk) const;

  std::vector<Node> nodes_;  // by target
};

}  // namespace burdockrock

#endif  // BURDOCKROCK_PLACEMENT_FIT_FOREST_H_
