// Finds a placement for a gang on its customer's cells that keeps every other
// cell backed.
//
// A gang uses one cell, or several that together cover it, and runs inside the
// domains of these cells. Placements are tried on copies of the witness, a
// bounded number for each gang: first those that need no reclaim, ordered by
// the policy; then those with the cheapest reclaim; last the place that the
// witness assigns to the cell, which is always valid. A trial costs O(nodes +
// cells).

#ifndef FLAMINGOHOLLOW_GUARANTEED_SEARCH_H_
#define FLAMINGOHOLLOW_GUARANTEED_SEARCH_H_

#include <optional>
#include <vector>

#include "flamingohollow/placement_state.h"
#include "flamingohollow/reclaim.h"

namespace flamingohollow {

struct GuaranteedPlan {
  std::vector<LeafTake> takes_;
  std::vector<Gang*> victims_;
  std::vector<CellUse> uses_;
  // The witness with the gang placed.
  Witness witness_;
};

// Returns nullopt when the customer's unused cells don't cover the gang or no
// placement keeps the other cells backed.
std::optional<GuaranteedPlan> PlanGuaranteed(const PlacementState& state,
                                             const PlacementJob& job, Time now);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_GUARANTEED_SEARCH_H_
