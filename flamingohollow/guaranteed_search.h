// Finding a place for a gang on its customer's cells that leaves every other
// cell its place.
//
// A gang takes one cell, or several that together cover it, and runs inside
// the domains of these cells. Places are tried on a copy of the witness, at
// most a fixed number of them a gang: first those that need no reclaim, by the
// policy; then those with the cheapest reclaim; last the place that the
// witness itself names, which always holds. Cost: O(nodes + cells) a trial.

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
  // The witness with the gang in place.
  Witness witness_;
};

// None when the customer's unused cells don't cover the gang or no place
// keeps the other cells backed.
std::optional<GuaranteedPlan> PlanGuaranteed(const PlacementState& state,
                                             const PlacementJob& job, Time now);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_GUARANTEED_SEARCH_H_
