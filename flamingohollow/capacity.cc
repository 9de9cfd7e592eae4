// Builds the tree by sorting the workers by place and starting a new node
// wherever a part of the place changes.

#include "flamingohollow/capacity.h"

#include <algorithm>
#include <tuple>

namespace flamingohollow {
namespace {

using PlacedWorker = std::pair<const WorkerId*, const WorkerPlace*>;

auto SortKey(const PlacedWorker& placed) {
  return std::tie(placed.second->region_, placed.second->failure_domain_,
                  placed.second->rack_, *placed.first);
}

// True when both places lie in one domain of `level`.
bool SameDomain(const WorkerPlace& a, const WorkerPlace& b, Adjacency level) {
  if (a.region_ != b.region_) return false;
  if (level == Adjacency::kRegion) return true;
  if (a.failure_domain_ != b.failure_domain_) return false;
  if (level == Adjacency::kFailureDomain) return true;
  return a.rack_ == b.rack_;
}

void AddWorkers(CapacityTree& tree, const std::vector<PlacedWorker>& sorted) {
  for (const PlacedWorker& placed : sorted) {
    const auto index = static_cast<std::uint32_t>(tree.nodes_.size());
    tree.nodes_.push_back({Adjacency::kWorker, std::nullopt, index, index + 1});
    tree.levels_[LevelIndex(Adjacency::kWorker)].push_back(NodeIndex(index));
    tree.leaves_.emplace(*placed.first, Leaf(index));
  }
  tree.leaf_count_ = sorted.size();
}

// Adds the domains of `level` as parents of the nodes one level below.
void AddLevel(CapacityTree& tree, const std::vector<PlacedWorker>& sorted,
              Adjacency level) {
  const std::size_t at = LevelIndex(level);
  for (const NodeIndex child : tree.levels_[at - 1]) {
    const std::uint32_t first = tree.nodes_[child.value()].first_;
    const bool starts_domain =
        first == 0 ||
        !SameDomain(*sorted[first - 1].second, *sorted[first].second, level);
    if (starts_domain) {
      const auto index = static_cast<std::uint32_t>(tree.nodes_.size());
      tree.nodes_.push_back({level, std::nullopt, first, first});
      tree.levels_[at].push_back(NodeIndex(index));
    }
    const NodeIndex parent = tree.levels_[at].back();
    tree.nodes_[parent.value()].end_ = tree.nodes_[child.value()].end_;
    tree.nodes_[child.value()].parent_ = parent;
  }
}

}  // namespace

CapacityTree BuildTree(const std::map<WorkerId, WorkerPlace>& places) {
  std::vector<PlacedWorker> sorted;
  sorted.reserve(places.size());
  for (const auto& [id, place] : places) sorted.emplace_back(&id, &place);
  std::sort(sorted.begin(), sorted.end(),
            [](const PlacedWorker& a, const PlacedWorker& b) {
              return SortKey(a) < SortKey(b);
            });
  CapacityTree tree;
  AddWorkers(tree, sorted);
  AddLevel(tree, sorted, Adjacency::kRack);
  AddLevel(tree, sorted, Adjacency::kFailureDomain);
  AddLevel(tree, sorted, Adjacency::kRegion);
  return tree;
}

const TreeNode& GetNode(const CapacityTree& tree, NodeIndex node) {
  return tree.nodes_[node.value()];
}

NodeIndex AncestorAt(const CapacityTree& tree, NodeIndex node,
                     Adjacency level) {
  while (GetNode(tree, node).level_ < level) {
    node = *GetNode(tree, node).parent_;
  }
  return node;
}

bool IsWithin(const CapacityTree& tree, NodeIndex inner, NodeIndex outer) {
  const Adjacency level = GetNode(tree, outer).level_;
  if (GetNode(tree, inner).level_ > level) return false;
  return AncestorAt(tree, inner, level) == outer;
}

void AddToPath(const CapacityTree& tree, NodeSums& sums, NodeIndex node,
               std::int64_t delta) {
  for (std::optional<NodeIndex> at = node; at;
       at = GetNode(tree, *at).parent_) {
    sums[at->value()] += delta;
  }
}

NodeSums SumByNode(const CapacityTree& tree,
                   const std::vector<std::int64_t>& by_leaf) {
  NodeSums sums(tree.nodes_.size(), 0);
  std::copy(by_leaf.begin(), by_leaf.end(), sums.begin());
  // Children precede their parents in `nodes_`.
  for (std::size_t i = 0; i < tree.nodes_.size(); ++i) {
    const std::optional<NodeIndex> parent = tree.nodes_[i].parent_;
    if (parent) sums[parent->value()] += sums[i];
  }
  return sums;
}

std::int64_t MinOnPath(const CapacityTree& tree, const NodeSums& sums,
                       NodeIndex node) {
  std::int64_t least = sums[node.value()];
  for (std::optional<NodeIndex> at = node; at;
       at = GetNode(tree, *at).parent_) {
    least = std::min(least, sums[at->value()]);
  }
  return least;
}

}  // namespace flamingohollow
