// The four placement policies.

#include "flamingohollow/fit.h"

#include <algorithm>
#include <array>
#include <tuple>

namespace flamingohollow {
namespace {

// Free accelerators of a node and its ancestors, from the node upwards. Nodes
// with less free compare first.
using FreePath = std::array<std::int64_t, kLevels>;

FreePath FreeOnPath(const CapacityTree& tree, const NodeSums& free,
                    NodeIndex node) {
  FreePath path{};
  std::size_t depth = 0;
  for (std::optional<NodeIndex> at = node; at;
       at = GetNode(tree, *at).parent_) {
    path[depth++] = free[at->value()];
  }
  return path;
}

bool IsAllowed(const CapacityTree& tree, const FitRequest& request,
               NodeIndex node) {
  return !request.within_ || IsWithin(tree, node, *request.within_);
}

std::vector<NodeIndex> FirstDomains(const CapacityTree& tree,
                                    const NodeSums& free,
                                    const FitRequest& request,
                                    Adjacency level) {
  std::vector<NodeIndex> domains;
  for (const NodeIndex node : tree.levels_[LevelIndex(level)]) {
    if (free[node.value()] < request.accelerators_) continue;
    if (!IsAllowed(tree, request, node)) continue;
    domains.push_back(node);
    if (domains.size() == kMaxFits) break;
  }
  return domains;
}

std::vector<NodeIndex> TightestDomains(const CapacityTree& tree,
                                       const NodeSums& free,
                                       const FitRequest& request,
                                       Adjacency level) {
  std::vector<std::pair<FreePath, NodeIndex>> found;
  for (const NodeIndex node : tree.levels_[LevelIndex(level)]) {
    if (free[node.value()] < request.accelerators_) continue;
    if (!IsAllowed(tree, request, node)) continue;
    found.emplace_back(FreeOnPath(tree, free, node), node);
  }
  const std::size_t kept = std::min(found.size(), kMaxFits);
  std::partial_sort(found.begin(),
                    found.begin() + static_cast<std::ptrdiff_t>(kept),
                    found.end());
  std::vector<NodeIndex> domains;
  for (std::size_t i = 0; i < kept; ++i) domains.push_back(found[i].second);
  return domains;
}

// The levels from the worker up to `adjacency`.
std::vector<Adjacency> LevelsUpTo(Adjacency adjacency) {
  std::vector<Adjacency> levels;
  for (const Adjacency level :
       {Adjacency::kWorker, Adjacency::kRack, Adjacency::kFailureDomain,
        Adjacency::kRegion}) {
    if (level <= adjacency) levels.push_back(level);
  }
  return levels;
}

std::vector<LeafTake> TakeInOrder(const CapacityTree& tree,
                                  const NodeSums& free, NodeIndex node,
                                  std::int64_t wanted) {
  std::vector<LeafTake> takes;
  const TreeNode& domain = GetNode(tree, node);
  for (std::uint32_t i = domain.first_; i < domain.end_ && wanted > 0; ++i) {
    const std::int64_t take = std::min(wanted, free[i]);
    if (take <= 0) continue;
    takes.push_back({Leaf(i), take});
    wanted -= take;
  }
  return takes;
}

// The index of the entry with the fewest accelerators that suffice for
// `wanted`, or of the one with the most if none suffices.
std::size_t PickBestFit(const std::vector<LeafTake>& leaves,
                        std::int64_t wanted) {
  std::size_t best = 0;
  for (std::size_t i = 1; i < leaves.size(); ++i) {
    const std::int64_t free = leaves[i].accelerators_;
    const std::int64_t best_free = leaves[best].accelerators_;
    const bool suffices = free >= wanted;
    const bool best_suffices = best_free >= wanted;
    if (suffices != best_suffices) {
      if (suffices) best = i;
    } else if (suffices ? free < best_free : free > best_free) {
      best = i;
    }
  }
  return best;
}

// Uses as few workers as possible, and as the last one the worker with the
// fewest free accelerators that suffice.
std::vector<LeafTake> TakeWholeWorkers(const CapacityTree& tree,
                                       const NodeSums& free, NodeIndex node,
                                       std::int64_t wanted) {
  std::vector<LeafTake> leaves;
  const TreeNode& domain = GetNode(tree, node);
  for (std::uint32_t i = domain.first_; i < domain.end_; ++i) {
    if (free[i] > 0) leaves.push_back({Leaf(i), free[i]});
  }
  std::vector<LeafTake> takes;
  while (wanted > 0 && !leaves.empty()) {
    const std::size_t at = PickBestFit(leaves, wanted);
    const std::int64_t take = std::min(wanted, leaves[at].accelerators_);
    takes.push_back({leaves[at].leaf_, take});
    wanted -= take;
    leaves.erase(leaves.begin() + static_cast<std::ptrdiff_t>(at));
  }
  return takes;
}

std::vector<NodeIndex> ChildrenOf(const CapacityTree& tree, NodeIndex node) {
  const TreeNode& parent = GetNode(tree, node);
  const auto below =
      static_cast<Adjacency>(static_cast<int>(parent.level_) - 1);
  std::vector<NodeIndex> children;
  for (std::uint32_t i = parent.first_; i < parent.end_;) {
    const NodeIndex child = AncestorAt(tree, NodeIndex(i), below);
    children.push_back(child);
    i = GetNode(tree, child).end_;
  }
  return children;
}

// Descends into the child with the fewest free accelerators that suffice; while
// no child suffices, takes all of the child with the most.
void TakeByDescent(const CapacityTree& tree, const NodeSums& free,
                   NodeIndex node, std::int64_t wanted,
                   std::vector<LeafTake>& takes) {
  if (wanted <= 0) return;
  if (GetNode(tree, node).level_ == Adjacency::kWorker) {
    takes.push_back({Leaf(node.value()), wanted});
    return;
  }
  // Here `leaf_` is the node index of a child, also of one above the workers.
  std::vector<LeafTake> children;
  for (const NodeIndex child : ChildrenOf(tree, node)) {
    const std::int64_t child_free = free[child.value()];
    if (child_free > 0) children.push_back({Leaf(child.value()), child_free});
  }
  while (wanted > 0 && !children.empty()) {
    const std::size_t at = PickBestFit(children, wanted);
    const NodeIndex child(children[at].leaf_.value());
    const std::int64_t take = std::min(wanted, children[at].accelerators_);
    TakeByDescent(tree, free, child, take, takes);
    wanted -= take;
    children.erase(children.begin() + static_cast<std::ptrdiff_t>(at));
  }
}

std::vector<Fit> FitsIn(const CapacityTree& tree, const NodeSums& free,
                        const std::vector<NodeIndex>& domains,
                        std::int64_t wanted, PlacementPolicy policy) {
  std::vector<Fit> fits;
  fits.reserve(domains.size());
  for (const NodeIndex node : domains) {
    fits.push_back({node, ChooseTakes(tree, free, node, wanted, policy)});
  }
  return fits;
}

// Candidates at the lowest level that has a domain for the gang.
std::vector<Fit> BuddyFits(const CapacityTree& tree, const NodeSums& free,
                           const FitRequest& request) {
  for (const Adjacency level : LevelsUpTo(request.adjacency_)) {
    std::vector<Fit> fits =
        FitsIn(tree, free, TightestDomains(tree, free, request, level),
               request.accelerators_, PlacementPolicy::kBuddyCells);
    if (!fits.empty()) return fits;
  }
  return {};
}

std::vector<Fit> GradientFits(const CapacityTree& tree, const NodeSums& free,
                              const ShapeWeights& shapes,
                              const FitRequest& request) {
  std::vector<std::pair<double, Fit>> scored;
  for (const Adjacency level : LevelsUpTo(request.adjacency_)) {
    for (Fit& fit : FitsIn(
             tree, free, TightestDomains(tree, free, request, level),
             request.accelerators_, PlacementPolicy::kFragmentationGradient)) {
      const double change = UnusableGradient(tree, free, shapes, fit.takes_);
      scored.emplace_back(change, std::move(fit));
    }
  }
  std::stable_sort(
      scored.begin(), scored.end(),
      [](const auto& a, const auto& b) { return a.first < b.first; });
  std::vector<Fit> fits;
  for (auto& [change, fit] : scored) {
    if (fits.size() == kMaxFits) break;
    fits.push_back(std::move(fit));
  }
  return fits;
}

}  // namespace

std::vector<LeafTake> ChooseTakes(const CapacityTree& tree,
                                  const NodeSums& free, NodeIndex node,
                                  std::int64_t wanted, PlacementPolicy policy) {
  switch (policy) {
    case PlacementPolicy::kFirstFit:
      return TakeInOrder(tree, free, node, wanted);
    case PlacementPolicy::kBuddyCells: {
      std::vector<LeafTake> takes;
      TakeByDescent(tree, free, node, wanted, takes);
      return takes;
    }
    case PlacementPolicy::kBestFit:
    case PlacementPolicy::kFragmentationGradient:
      return TakeWholeWorkers(tree, free, node, wanted);
  }
  return {};
}

std::vector<Fit> FindFits(const CapacityTree& tree, const NodeSums& free,
                          const ShapeWeights& shapes, PlacementPolicy policy,
                          const FitRequest& request) {
  switch (policy) {
    case PlacementPolicy::kFirstFit:
      return FitsIn(tree, free,
                    FirstDomains(tree, free, request, request.adjacency_),
                    request.accelerators_, policy);
    case PlacementPolicy::kBestFit:
      return FitsIn(tree, free,
                    TightestDomains(tree, free, request, request.adjacency_),
                    request.accelerators_, policy);
    case PlacementPolicy::kBuddyCells:
      return BuddyFits(tree, free, request);
    case PlacementPolicy::kFragmentationGradient:
      return GradientFits(tree, free, shapes, request);
  }
  return {};
}

}  // namespace flamingohollow
