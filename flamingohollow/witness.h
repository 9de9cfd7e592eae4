// The witness: an assignment of all guaranteed cells to nodes, which proves
// that each unused cell could be provided at once.
//
// Cells are assigned to the resources that are free for guarantees: those of
// available workers that guaranteed or non-reclaimable gangs don't hold.
// Borrowers don't count as holders, as they can be reclaimed. A partly used
// cell is pinned to the domain where its gangs run, so that the whole cell is
// available there again when they end. The remaining accelerators of a partly
// used cell, and all of an unused one, are a demand at one node of the cell's
// level. A cell is backed when its demand has a place.
//
// The assignment is valid when for each node the demands at or below it do not
// exceed the free resources below it. This suffices: the nodes' worker sets are
// nested, so serving the demands from the lowest level up never takes resources
// that a lower demand needs (Hall's condition on a laminar family).
//
// Slots: each slice of a gang takes one slot of its worker. A worker-level cell
// takes one slot. For wider cells a worker counts at most one accelerator per
// free slot, so that no split of these cells can run out of slots.
//
// Recomputing the sums costs O(nodes + cells), placing one cell O(nodes of its
// level).

#ifndef FLAMINGOHOLLOW_WITNESS_H_
#define FLAMINGOHOLLOW_WITNESS_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "flamingohollow/capacity.h"
#include "flamingohollow/table.h"

namespace flamingohollow {

// Index of a customer's row in the table's order.
using CustomerIndex = Strong<struct CustomerIndexTag, std::uint32_t>;
using CellIndex = Strong<struct CellIndexTag, std::uint32_t>;

struct LeafResources {
  std::int64_t accelerators_ = 0;
  std::int64_t slots_ = 0;
};

struct WitnessCell {
  CustomerIndex customer_;
  std::int64_t accelerators_ = 0;
  Adjacency level_ = Adjacency::kRack;
  // Accelerators used by running guaranteed gangs. A value above 0 pins the
  // cell to `node_`.
  std::int64_t used_ = 0;
  // The node that the demand is assigned to. A pinned cell keeps its node while
  // unbacked; otherwise empty when the demand has no place.
  std::optional<NodeIndex> node_;
  // Whether the demand has a place at `node_`. Also true for a pinned cell that
  // has lost its node but has no accelerators remaining.
  bool backed_ = false;
};

struct Witness {
  // By leaf: the resources that guaranteed or non-reclaimable gangs don't hold;
  // zero when the worker is not schedulable.
  std::vector<LeafResources> free_for_guarantees_;
  std::vector<WitnessCell> cells_;

  // Accelerators that are unassigned below each node, for cells wider than a
  // worker. Computed
  // by RecomputeUnassigned. Invariant between calls: no entry is negative.
  NodeSums unassigned_;
  // By leaf: the free resources that the worker-level demands leave.
  std::vector<LeafResources> leaf_unassigned_;
};

// Maximum number of guaranteed cells in one table.
inline constexpr std::size_t kMaxGuaranteedCells = 16384;

// The cells of all rows, in the table's order; at most kMaxGuaranteedCells.
std::vector<WitnessCell> CellsOfTable(const Table& table);

constexpr std::int64_t Remaining(const WitnessCell& cell) {
  return cell.accelerators_ - cell.used_;
}
constexpr bool IsPinned(const WitnessCell& cell) { return cell.used_ > 0; }

// Recomputes the unassigned resources from the free resources and the cells. A
// cell that no longer fits at its node becomes unbacked, and loses its node
// unless it is pinned.
void RecomputeUnassigned(const CapacityTree& tree, Witness& witness);

// Assigns the unbacked cell to the tightest node where it fits (best fit).
// Returns false when there is none.
bool BackCell(const CapacityTree& tree, Witness& witness, CellIndex cell);

// Recomputes the unassigned resources and moves cells that lost their place.
// Returns true when every cell that was backed before is backed now. Cells that
// were unbacked before may become backed.
bool Repair(const CapacityTree& tree, Witness& witness);

// Backs as many cells as possible from scratch: greedily first, then by a
// search of bounded length. Returns true when all are backed.
bool Solve(const CapacityTree& tree, Witness& witness);

// Accelerators of `leaf` that can serve a demand at `node` without affecting
// other demands.
std::int64_t AvailableOnLeaf(const CapacityTree& tree, const Witness& witness,
                             Leaf leaf, NodeIndex node);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_WITNESS_H_
