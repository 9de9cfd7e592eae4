// Keeps the witness consistent with the running gangs.
//
// Between refreshes only the affected cells are repaired; a new tree or table
// requires a new witness. A borrower moves into its customer's guarantee when
// the customer has unused cells that cover the borrower's current workers, so
// that no gang within its guarantee is reclaimed. A repair or a trial costs
// O(nodes + cells).

#ifndef FLAMINGOHOLLOW_GUARANTEE_H_
#define FLAMINGOHOLLOW_GUARANTEE_H_

#include <vector>

#include "flamingohollow/placement_state.h"

namespace flamingohollow {

// Updates the tree and the witness, and moves borrowers into the guarantees of
// customers that have unused cells.
void RefreshWitness(PlacementState& state);

// Computes a new witness from the gangs, for RefreshWitness and for queries of
// a state that has not been refreshed. The tree of `cluster` must be built.
Witness MakeWitness(const PlacementState& state, const Cluster& cluster);

std::vector<CellIndex> CellsOfCustomer(const PlacementState& state,
                                       const CustomerId& customer);

// Whether a cell that a gang starts to use must be backed as a whole, or only
// in the part that the gang uses.
enum class CellBacking { kWhole, kUsedPartOnly };

// Adds the `takes` and `uses` of one gang to the witness `trial`. Returns false
// when the workers lack resources that are free for guarantees, or when a
// backed cell would lose its place; `trial` is then unusable.
bool TryAddGang(const CapacityTree& tree, Witness& trial,
                const std::vector<LeafTake>& takes,
                const std::vector<CellUse>& uses, CellBacking backing);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_GUARANTEE_H_
