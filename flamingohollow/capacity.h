// The capacity tree: region, failure domain, rack, worker.
//
// Workers are numbered in tree order, so that the workers below each node form
// one contiguous range. A domain of an adjacency is a node of that level.
// Building the tree costs O(W log W) for W workers; a node has at most three
// ancestors.

#ifndef FLAMINGOHOLLOW_CAPACITY_H_
#define FLAMINGOHOLLOW_CAPACITY_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "flamingohollow/types.h"
#include "util/strong.h"

namespace flamingohollow {

// A worker's number in tree order.
using Leaf = Strong<struct LeafTag, std::uint32_t>;
// A node of the tree.
using NodeIndex = Strong<struct NodeIndexTag, std::uint32_t>;

struct TreeNode {
  // The node's level. A node of level kRack is a domain of adjacency kRack.
  Adjacency level_ = Adjacency::kWorker;
  // Empty for a region.
  std::optional<NodeIndex> parent_;
  // The workers below: [first_, end_).
  std::uint32_t first_ = 0;
  std::uint32_t end_ = 0;
};

inline constexpr std::size_t kLevels = 4;

struct CapacityTree {
  // Invariant: node i < leaf_count_ is the worker of leaf i.
  std::vector<TreeNode> nodes_;
  std::size_t leaf_count_ = 0;
  // The nodes of each level, in tree order.
  std::array<std::vector<NodeIndex>, kLevels> levels_;
  std::map<WorkerId, Leaf> leaves_;
};

CapacityTree BuildTree(const std::map<WorkerId, WorkerPlace>& places);

constexpr NodeIndex NodeOf(Leaf leaf) { return NodeIndex(leaf.value()); }
constexpr std::size_t LevelIndex(Adjacency level) {
  return static_cast<std::size_t>(level);
}
const TreeNode& GetNode(const CapacityTree& tree, NodeIndex node);
// The node itself or its ancestor at `level`, which must not be below the
// node's level.
NodeIndex AncestorAt(const CapacityTree& tree, NodeIndex node, Adjacency level);
// True when `inner` is `outer` or a descendant of it.
bool IsWithin(const CapacityTree& tree, NodeIndex inner, NodeIndex outer);
constexpr Adjacency Narrower(Adjacency a, Adjacency b) { return a < b ? a : b; }

// A quantity of the workers, summed for each node over the workers below it.
using NodeSums = std::vector<std::int64_t>;
// Adds `delta` to `node` and all its ancestors.
void AddToPath(const CapacityTree& tree, NodeSums& sums, NodeIndex node,
               std::int64_t delta);
// Sums `by_leaf` for every node. Costs O(nodes).
NodeSums SumByNode(const CapacityTree& tree,
                   const std::vector<std::int64_t>& by_leaf);
// The smallest sum on the path from `node` up to its region.
std::int64_t MinOnPath(const CapacityTree& tree, const NodeSums& sums,
                       NodeIndex node);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_CAPACITY_H_
