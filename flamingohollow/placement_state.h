// The state behind placement.h, and the changes that its sources share.

#ifndef FLAMINGOHOLLOW_PLACEMENT_STATE_H_
#define FLAMINGOHOLLOW_PLACEMENT_STATE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "flamingohollow/cluster.h"
#include "flamingohollow/fragmentation.h"
#include "flamingohollow/gang.h"
#include "flamingohollow/job_order.h"
#include "flamingohollow/placement.h"
#include "flamingohollow/quarantine.h"
#include "flamingohollow/witness.h"

namespace flamingohollow {

// What a customer's borrowers hold.
struct Usage {
  std::int64_t borrowed_ = 0;
  std::int64_t borrowed_slots_ = 0;
  // The borrowers that hold accelerators, not just slots.
  std::set<JobId> borrowers_;
};

// A customer's cells in the witness: `count_` cells from index `first_` on.
struct CellRange {
  std::uint32_t first_ = 0;
  std::uint32_t count_ = 0;
};

// A domain that is kept for a waiting job while gangs there end.
struct Reservation {
  JobId job_;
  NodeIndex node_;
  // When the job is expected to start: enough gangs there should have ended.
  Time start_;
};

struct PlacementState {
  PlacementOptions options_;
  Time started_at_;
  // The latest time passed to any call.
  Time now_;
  Table table_;
  Cluster cluster_;
  Quarantine quarantine_;
  JobQueue queue_;
  std::map<JobId, Gang> gangs_;
  // The gangs in state kPlanned.
  std::set<JobId> planned_;
  std::map<CustomerId, Usage> usage_;
  ShapeWeights shapes_;
  // Moving average of actual over declared run time, by customer.
  std::map<CustomerId, double> run_time_ratios_;
  std::vector<Reservation> reservations_;
  // Before this time no waiting borrower may reclaim borrowers queued later.
  Time next_reclaim_later_jobs_at_;

  // Invariant: matches the cluster, table and gangs unless one of the two flags
  // below is set. RefreshWitness brings it up to date.
  Witness witness_;
  std::map<CustomerId, CellRange> cell_ranges_;
  // The cells or the tree changed, or a gang was restored: rebuild the witness.
  bool witness_needs_rebuild_ = true;
  // Only capacities or uses changed: move the cells that lost their node.
  bool witness_needs_repair_ = false;
  // Customers whose gangs gave up cells since the last refresh: their borrowers
  // may move onto guaranteed cells.
  std::set<CustomerId> promotable_;
};

// Adds the gang, which holds its slices from now on.
Gang& AddGang(PlacementState& state, Gang gang);
// Removes the gang and frees its workers and cells; no effect if unknown.
void EraseGang(PlacementState& state, JobId job);
// Replaces the guaranteed cells that the gang uses; empty if it uses none.
void SetUses(PlacementState& state, Gang& gang, std::vector<CellUse> uses);
// Changes the gang's state to kReclaimed.
void MarkReclaimed(PlacementState& state, Gang& gang);
// Updates cluster sums and witness after a change of the worker's entry that
// kept its position in the tree.
void UpdateWorker(PlacementState& state, WorkerEntry& entry);

std::map<CustomerId, CellRange> CellRangesOf(const Table& table);
std::vector<Slice> SlicesOf(const Cluster& cluster,
                            const std::vector<LeafTake>& takes);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_PLACEMENT_STATE_H_
