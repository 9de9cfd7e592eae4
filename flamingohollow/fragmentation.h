// Measures how much of the free accelerators recently requested gang shapes
// can't use.
//
// A shape is a size and an adjacency. Free accelerators are unusable for a
// shape when they are in a domain of its adjacency with fewer free accelerators
// than the shape's size. Fragmentation is the unusable share, averaged over the
// shapes by weight (similar to FGD, USENIX ATC 2023). Computing it costs
// O(shapes x nodes); the change for one worker costs O(shapes).

#ifndef FLAMINGOHOLLOW_FRAGMENTATION_H_
#define FLAMINGOHOLLOW_FRAGMENTATION_H_

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "flamingohollow/capacity.h"

namespace flamingohollow {

struct GangShape {
  std::int64_t accelerators_ = 0;
  Adjacency adjacency_ = Adjacency::kRegion;

  friend auto operator<=>(const GangShape&, const GangShape&) = default;
};

// Recently requested shapes with their weights; at most kMaxShapes.
using ShapeWeights = std::map<GangShape, double>;
inline constexpr std::size_t kMaxShapes = 16;

// Counts one more gang of this shape and decays the weights of earlier ones.
void RecordShape(ShapeWeights& shapes, const GangShape& shape);

// The share of the free accelerators that is unusable, from 0 to 1.
double FragmentationOf(const CapacityTree& tree, const NodeSums& free,
                       const ShapeWeights& shapes);

// The accelerators that a placement takes from one worker.
struct LeafTake {
  Leaf leaf_;
  std::int64_t accelerators_ = 0;
};

// The increase of the weighted number of unusable accelerators when `takes` are
// allocated. It is not divided by the total weight.
double UnusableGradient(const CapacityTree& tree, const NodeSums& free,
                        const ShapeWeights& shapes,
                        const std::vector<LeafTake>& takes);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_FRAGMENTATION_H_
