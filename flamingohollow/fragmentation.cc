// The fragmentation measure and its change under a placement.

#include "flamingohollow/fragmentation.h"

#include <algorithm>

namespace flamingohollow {
namespace {

// Factor applied to the weights of all shapes when a gang is recorded.
constexpr double kWeightDecay = 0.99;

std::int64_t Unusable(std::int64_t free, const GangShape& shape) {
  return free < shape.accelerators_ ? free : 0;
}

double TotalWeight(const ShapeWeights& shapes) {
  double total = 0;
  for (const auto& [shape, weight] : shapes) total += weight;
  return total;
}

// The number of accelerators that `takes` remove from each domain of `level`.
std::map<NodeIndex, std::int64_t> TakenByDomain(
    const CapacityTree& tree, const std::vector<LeafTake>& takes,
    Adjacency level) {
  std::map<NodeIndex, std::int64_t> taken;
  for (const LeafTake& take : takes) {
    taken[AncestorAt(tree, NodeOf(take.leaf_), level)] += take.accelerators_;
  }
  return taken;
}

}  // namespace

void RecordShape(ShapeWeights& shapes, const GangShape& shape) {
  if (shape.accelerators_ == 0) return;
  for (auto& [known, weight] : shapes) weight *= kWeightDecay;
  shapes[shape] += 1;
  if (shapes.size() <= kMaxShapes) return;
  const auto lightest = std::min_element(
      shapes.begin(), shapes.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  shapes.erase(lightest);
}

double FragmentationOf(const CapacityTree& tree, const NodeSums& free,
                       const ShapeWeights& shapes) {
  std::int64_t total = 0;
  for (const NodeIndex region : tree.levels_[LevelIndex(Adjacency::kRegion)]) {
    total += free[region.value()];
  }
  const double weights = TotalWeight(shapes);
  if (total == 0 || weights == 0) return 0;
  double unusable = 0;
  for (const auto& [shape, weight] : shapes) {
    for (const NodeIndex node : tree.levels_[LevelIndex(shape.adjacency_)]) {
      unusable +=
          weight * static_cast<double>(Unusable(free[node.value()], shape));
    }
  }
  return unusable / weights / static_cast<double>(total);
}

double UnusableGradient(const CapacityTree& tree, const NodeSums& free,
                        const ShapeWeights& shapes,
                        const std::vector<LeafTake>& takes) {
  double change = 0;
  for (const auto& [shape, weight] : shapes) {
    for (const auto& [node, taken] :
         TakenByDomain(tree, takes, shape.adjacency_)) {
      const std::int64_t before = free[node.value()];
      const std::int64_t delta =
          Unusable(before - taken, shape) - Unusable(before, shape);
      change += weight * static_cast<double>(delta);
    }
  }
  return change;
}

}  // namespace flamingohollow
