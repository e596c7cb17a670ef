// A treap without parent links: insertion splits, removal merges, and each
// changed node recomputes its greatest amounts from its children. Where trees
// are ordered by one dimension and only one other can be short, each target
// that a search finds costs it a logarithmic number of nodes; else
// `max_nodes` bounds the cost.
#include "placement/fit_forest.h"

#include <algorithm>
#include <compare>

namespace burdockrock {

namespace {

// The finalizer of splitmix64: spreads neighbouring indexes evenly.
std::uint64_t HashIndex(TargetIndex index) {
  std::uint64_t n = index + 0x9E3779B97F4A7C15U;
  n = (n ^ (n >> 30U)) * 0xBF58476D1CE4E5B9U;
  n = (n ^ (n >> 27U)) * 0x94D049BB133111EBU;
  return n ^ (n >> 31U);
}

void RaiseTo(Resources& greatest, const Resources& other) {
  greatest.processors_milli =
      std::max(greatest.processors_milli, other.processors_milli);
  greatest.memory_mb = std::max(greatest.memory_mb, other.memory_mb);
  greatest.accelerators = std::max(greatest.accelerators, other.accelerators);
  greatest.slots = std::max(greatest.slots, other.slots);
}

bool IsInRange(std::int64_t order, const FitForest::Search& search) {
  if (!search.from) {
    return true;
  }
  return search.direction == FitForest::Direction::kAscending
             ? order >= *search.from
             : order <= *search.from;
}

}  // namespace

struct FitForest::Walk {
  const Search& search;
  const Visitor& visitor;
  std::size_t visited = 0;
};

void FitForest::Insert(Root& root,
                       TargetIndex target,
                       const Key& key,
                       const Resources& free) {
  if (target >= nodes_.size()) {
    nodes_.resize(target + 1);
  }
  nodes_[target] = Node{.key = key,
                        .free = free,
                        .greatest = free,
                        .priority = HashIndex(target)};
  root = InsertBelow(root, target);
}

void FitForest::Erase(Root& root, TargetIndex target) {
  root = EraseBelow(root, target);
}

std::size_t FitForest::Visit(Root root,
                             const Search& search,
                             const Visitor& visitor) const {
  Walk walk{.search = search, .visitor = visitor};
  VisitBelow(root, walk);
  return walk.visited;
}

bool FitForest::Before(Root left, Root right) const {
  const auto order = nodes_[left].key <=> nodes_[right].key;
  return std::is_eq(order) ? left < right : std::is_lt(order);
}

void FitForest::Refresh(Root node) {
  Node& it = nodes_[node];
  it.greatest = it.free;
  for (const Root child : {it.left, it.right}) {
    if (child != kEmpty) {
      RaiseTo(it.greatest, nodes_[child].greatest);
    }
  }
}

FitForest::Root FitForest::InsertBelow(Root root, Root node) {
  if (root == kEmpty) {
    return node;
  }
  if (nodes_[node].priority > nodes_[root].priority) {
    const auto [left, right] = Split(root, node);
    nodes_[node].left = left;
    nodes_[node].right = right;
    Refresh(node);
    return node;
  }
  Root& child = Before(node, root) ? nodes_[root].left : nodes_[root].right;
  child = InsertBelow(child, node);
  Refresh(root);
  return root;
}

FitForest::Root FitForest::EraseBelow(Root root, Root node) {
  if (root == node) {
    return Merge(nodes_[node].left, nodes_[node].right);
  }
  Root& child = Before(node, root) ? nodes_[root].left : nodes_[root].right;
  child = EraseBelow(child, node);
  Refresh(root);
  return root;
}

std::pair<FitForest::Root, FitForest::Root> FitForest::Split(Root root,
                                                             Root pivot) {
  if (root == kEmpty) {
    return {kEmpty, kEmpty};
  }
  if (Before(root, pivot)) {
    const auto [left, right] = Split(nodes_[root].right, pivot);
    nodes_[root].right = left;
    Refresh(root);
    return {root, right};
  }
  const auto [left, right] = Split(nodes_[root].left, pivot);
  nodes_[root].left = right;
  Refresh(root);
  return {left, root};
}

FitForest::Root FitForest::Merge(Root left, Root right) {
  if (left == kEmpty || right == kEmpty) {
    return left == kEmpty ? right : left;
  }
  if (nodes_[left].priority > nodes_[right].priority) {
    nodes_[left].right = Merge(nodes_[left].right, right);
    Refresh(left);
    return left;
  }
  nodes_[right].left = Merge(left, nodes_[right].left);
  Refresh(right);
  return right;
}

// Returns false when the search has ended.
bool FitForest::VisitBelow(Root root, Walk& walk) const {
  if (root == kEmpty) {
    return true;
  }
  if (walk.visited >= walk.search.max_nodes) {
    return false;
  }
  ++walk.visited;
  const Node& node = nodes_[root];
  if (!Fits(walk.search.need, node.greatest)) {
    return true;
  }
  const bool ascending = walk.search.direction == Direction::kAscending;
  if (IsInRange(node.key.order, walk.search)) {
    if (!VisitBelow(ascending ? node.left : node.right, walk)) {
      return false;
    }
    if (Fits(walk.search.need, node.free) && !walk.visitor(root)) {
      return false;
    }
  }
  return VisitBelow(ascending ? node.right : node.left, walk);
}

}  // namespace burdockrock
