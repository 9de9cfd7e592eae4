// The state behind placement.h, and the steps that all its parts share.

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

// What a customer holds.
struct Usage {
  std::int64_t borrowed_ = 0;
  std::int64_t borrowed_slots_ = 0;
  // Its borrowers that hold accelerators.
  std::set<JobId> borrowers_;
};

// The customer's cells in the witness: `count_` from `first_` on.
struct CellRange {
  std::uint32_t first_ = 0;
  std::uint32_t count_ = 0;
};

// A domain that fills up for a waiting gang.
struct Reservation {
  JobId job_;
  NodeIndex node_;
  // When the running gangs there should have left enough.
  Time expected_;
};

struct PlacementState {
  PlacementOptions options_;
  Time started_;
  // The newest time seen.
  Time now_;
  Table table_;
  Cluster cluster_;
  Quarantine quarantine_;
  JobQueue queue_;
  std::map<JobId, Gang> gangs_;
  // Gangs that wait for others to leave; part of `gangs_`.
  std::set<JobId> planned_;
  std::map<CustomerId, Usage> usage_;
  ShapeWeights shapes_;
  // Actual over declared run time, by customer.
  std::map<CustomerId, double> run_time_factors_;
  std::vector<Reservation> reservations_;
  // No borrower claims the place of a later one before this time.
  Time next_claim_;

  // Invariant: matches cluster, table and gangs, unless one of the two flags
  // is set; RefreshWitness brings it up to date.
  Witness witness_;
  std::map<CustomerId, CellRange> ranges_;
  bool witness_stale_ = true;
  bool witness_shifted_ = false;
  // Customers that lately lost a guaranteed gang: their borrowers may move
  // into the guarantee.
  std::set<CustomerId> promotable_;
};

// Records the gang as holding its slices from now on.
Gang& AddGang(PlacementState& state, Gang gang);
// Takes the gang off its workers and its cells, and forgets it.
void EraseGang(PlacementState& state, JobId job);
// Changes what the gang runs on; uses are empty for a borrower.
void SetUses(PlacementState& state, Gang& gang, std::vector<CellUse> uses);
// Tells the gang to stop.
void MarkReclaimed(PlacementState& state, Gang& gang);
// After the worker's entry changed in anything but its place and size.
void TouchWorker(PlacementState& state, WorkerEntry& entry);

std::map<CustomerId, CellRange> RangesOf(const Table& table);
std::vector<Slice> SlicesOf(const Cluster& cluster,
                            const std::vector<LeafTake>& takes);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_PLACEMENT_STATE_H_
