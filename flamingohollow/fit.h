// The policies: which domain a gang goes to, and which workers in it.
//
// - First fit: the first domain in tree order, workers in order.
// - Best fit: the domain with the least room that is enough; whole workers
//   first, the rest on the tightest worker.
// - Buddy cells: the smallest domain that holds the gang even if its adjacency
//   allows a wider one, descending into the tightest child (the buddy cells of
//   HiveD, OSDI 2020, without their fixed sizes).
// - Fragmentation gradient: of the tightest domains of each level, the one
//   that makes the fewest accelerators unusable (FGD, USENIX ATC 2023).
//
// Room is any sum up the tree, such as what is free. Cost: O(nodes of the
// level) for the candidates, O(workers of the domain) for the workers.

#ifndef FLAMINGOHOLLOW_FIT_H_
#define FLAMINGOHOLLOW_FIT_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "flamingohollow/capacity.h"
#include "flamingohollow/fragmentation.h"
#include "flamingohollow/placement.h"

namespace flamingohollow {

struct FitRequest {
  std::int64_t accelerators_ = 0;
  Adjacency adjacency_ = Adjacency::kRegion;
  // Only inside this node.
  std::optional<NodeIndex> within_;
};

struct Fit {
  NodeIndex node_;
  std::vector<LeafTake> takes_;
};

// At most this many places are weighed for one gang.
inline constexpr std::size_t kMaxFits = 8;

// Places with enough room, the policy's choice first.
std::vector<Fit> FindFits(const CapacityTree& tree, const NodeSums& room,
                          const ShapeWeights& shapes, PlacementPolicy policy,
                          const FitRequest& request);

// Takes `wanted` from the room of `node`; the room must be enough.
std::vector<LeafTake> TakeFrom(const CapacityTree& tree, const NodeSums& room,
                               NodeIndex node, std::int64_t wanted,
                               PlacementPolicy policy);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_FIT_H_
