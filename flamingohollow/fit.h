// The placement policies: they choose a domain for a gang, and workers in it.
//
// - First fit: the first domain in tree order, workers in order.
// - Best fit: the domain with the fewest free accelerators that suffice; whole
//   workers first, the rest on the worker with the fewest that suffice.
// - Buddy cells: the smallest domain that holds the gang, even if its adjacency
//   allows a wider one; within it, at each level, the child with the fewest
//   free accelerators that suffice (the buddy cells of HiveD, OSDI 2020,
//   without their fixed sizes).
// - Fragmentation gradient: of the best-fitting domains of each level, the one
//   that makes the fewest accelerators unusable (FGD, USENIX ATC 2023).
//
// The parameter `free` has the accelerators that may be used, summed for each
// node of the tree. Cost: O(nodes of the level) for the candidate domains,
// O(workers of the domain) for the workers.

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
  // If set, only domains inside this node.
  std::optional<NodeIndex> within_;
};

struct Fit {
  NodeIndex node_;
  std::vector<LeafTake> takes_;
};

// At most this many candidates are compared for one gang.
inline constexpr std::size_t kMaxFits = 8;

// Candidates with enough free accelerators, the policy's choice first; empty
// when no domain has enough.
std::vector<Fit> FindFits(const CapacityTree& tree, const NodeSums& free,
                          const ShapeWeights& shapes, PlacementPolicy policy,
                          const FitRequest& request);

// Chooses `wanted` accelerators on the workers of `node`, which must have at
// least that many free.
std::vector<LeafTake> ChooseTakes(const CapacityTree& tree,
                                  const NodeSums& free, NodeIndex node,
                                  std::int64_t wanted, PlacementPolicy policy);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_FIT_H_
