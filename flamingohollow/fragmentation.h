// How much of the free room the usual gangs can't use.
//
// A shape is a size and an adjacency. Free accelerators are unusable for a
// shape where they lie in a domain of its adjacency that has fewer of them
// free than the shape's size. Fragmentation is the unusable share, averaged
// over the shapes by their weight (the manner of FGD, USENIX ATC 2023).
// Cost: O(shapes x nodes) for the whole, O(shapes) for one worker's change.

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

// The usual shapes with their weights; at most kMaxShapes of them.
using ShapeWeights = std::map<GangShape, double>;
inline constexpr std::size_t kMaxShapes = 16;

// Counts one more gang of this shape; older ones fade.
void RecordShape(ShapeWeights& shapes, const GangShape& shape);

// Unusable share of the free accelerators, 0 to 1.
double FragmentationOf(const CapacityTree& tree, const NodeSums& free,
                       const ShapeWeights& shapes);

// Accelerators taken from one worker.
struct LeafTake {
  Leaf leaf_;
  std::int64_t accelerators_ = 0;
};

// By how many unusable accelerators `takes` raises the weighted average.
double UnusableGradient(const CapacityTree& tree, const NodeSums& free,
                        const ShapeWeights& shapes,
                        const std::vector<LeafTake>& takes);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_FRAGMENTATION_H_
