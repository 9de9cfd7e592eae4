// The witness: where each unused guaranteed cell could go at once.
//
// A worker's firm room is what is neither lost nor held by guaranteed gangs;
// borrowers do not count, as they can be taken back. A cell that is partly
// used is pinned to the domain where its gangs run, so that the whole cell is
// there again when they end. What remains of it, and every unused cell, is a
// demand at one node of the cell's level.
//
// The assignment is valid when for each node the demands at or below it do not
// exceed the room below it. This is enough: the nodes' worker sets are nested,
// so serving the demands from the lowest level up never takes room that a
// lower demand needs (Hall's condition on a laminar family).
//
// Slots: each part of a gang takes one slot of its worker. A worker-level cell
// takes one slot; room for wider cells counts at most one accelerator a slot,
// so that no split of them can run out of slots.
//
// A recount costs O(nodes + cells); placing one cell O(nodes of its level).

#ifndef FLAMINGOHOLLOW_WITNESS_H_
#define FLAMINGOHOLLOW_WITNESS_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "flamingohollow/capacity.h"
#include "flamingohollow/table.h"

namespace flamingohollow {

// A customer's number in the table's order.
using CustomerIndex = Strong<struct CustomerIndexTag, std::uint32_t>;
using CellIndex = Strong<struct CellIndexTag, std::uint32_t>;

struct LeafRoom {
  std::int64_t accelerators_ = 0;
  std::int64_t slots_ = 0;
};

struct WitnessCell {
  CustomerIndex customer_;
  std::int64_t accelerators_ = 0;
  Adjacency level_ = Adjacency::kRack;
  // Held by running guaranteed gangs; above 0 pins the cell to `node_`.
  std::int64_t used_ = 0;
  // Where the demand is; none when there is no place for it.
  std::optional<NodeIndex> node_;
  // False for a pinned cell whose rest has no place at its node.
  bool backed_ = false;
};

struct Witness {
  // Firm room by leaf: available accelerators and slots without what
  // guaranteed gangs hold.
  std::vector<LeafRoom> rooms_;
  std::vector<WitnessCell> cells_;

  // Derived by Recount. Invariant between calls: no entry is negative.
  NodeSums left_;
  // Left on each worker after its worker-level demands.
  std::vector<LeafRoom> leaf_left_;
};

// At most this many guaranteed cells in one table.
inline constexpr std::size_t kMaxGuaranteedCells = 16384;

// The cells of all rows, in the table's order.
std::vector<WitnessCell> CellsOf(const Table& table);

constexpr std::int64_t Remaining(const WitnessCell& cell) {
  return cell.accelerators_ - cell.used_;
}
constexpr bool IsPinned(const WitnessCell& cell) { return cell.used_ > 0; }

// Recomputes what is left from rooms and cells. A cell that no longer fits at
// its node becomes unbacked, and loses its node unless pinned.
void Recount(const CapacityTree& tree, Witness& witness);

// Gives the unbacked cell a place, best fit first. False when there is none.
bool BackCell(const CapacityTree& tree, Witness& witness, CellIndex cell);

// Recounts and moves cells that lost their place. True when no cell that had
// been backed before is unbacked now. Cells that were unbacked before may
// become backed.
bool Repair(const CapacityTree& tree, Witness& witness);

// Backs as many cells as it can from scratch: greedy first, then a search of
// bounded length. True when all are backed.
bool Solve(const CapacityTree& tree, Witness& witness);

// How much of a demand at `node` can be served from `leaf` without touching
// other demands.
std::int64_t TakeableAt(const CapacityTree& tree, const Witness& witness,
                        Leaf leaf, NodeIndex node);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_WITNESS_H_
