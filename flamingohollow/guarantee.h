// Keeping the witness in step with what runs.
//
// Between refreshes only what changed is repaired; a new tree or table means a
// new witness. Borrowers move into their customer's guarantee when its cells
// are free and their place allows it, so that nobody inside its guarantee is
// taken back. Cost: O(nodes + cells) a repair and a trial.

#ifndef FLAMINGOHOLLOW_GUARANTEE_H_
#define FLAMINGOHOLLOW_GUARANTEE_H_

#include <vector>

#include "flamingohollow/placement_state.h"

namespace flamingohollow {

// Brings tree and witness up to date, and moves borrowers of customers with
// unused cells into their guarantee.
void RefreshWitness(PlacementState& state);

// A witness made anew from what runs; for readers of a state that has not been
// refreshed. `cluster` must have its tree.
Witness MakeWitness(const PlacementState& state, const Cluster& cluster);

std::vector<CellIndex> CellsOfCustomer(const PlacementState& state,
                                       const CustomerId& customer);

// Whether a cell must be backed as a whole once a gang uses a part of it.
enum class CellUpkeep { kWhole, kUsedPartOnly };

// Puts the takes of one gang, and its uses, into a trial. False when the
// workers have no firm room or another cell would lose its place.
bool TryHold(const CapacityTree& tree, Witness& trial,
             const std::vector<LeafTake>& takes,
             const std::vector<CellUse>& uses, CellUpkeep upkeep);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_GUARANTEE_H_
