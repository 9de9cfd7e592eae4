// The workers and the resources allocated on each of them.
//
// A gang's resources are allocated from the placement decision on. Allocations
// are kept by worker id, so that a gang on a worker that has not announced
// itself yet reduces the worker's free accelerators as soon as it does. Sums
// over the tree are updated at each change: O(slices of the gang) for a gang,
// O(workers) for a rebuild.

#ifndef FLAMINGOHOLLOW_CLUSTER_H_
#define FLAMINGOHOLLOW_CLUSTER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "flamingohollow/capacity.h"
#include "flamingohollow/gang.h"

namespace flamingohollow {

struct WorkerResources {
  std::int64_t accelerators_ = 0;
  std::int64_t slots_ = 0;
};

struct WorkerEntry {
  PlacementWorker worker_;
  // False while only gangs refer to the worker and it has not announced itself,
  // or is lost.
  bool known_ = false;
  bool quarantined_ = false;
  // The worker's position in the tree; set while the worker is known and the
  // tree is built.
  std::optional<Leaf> leaf_;
  // Resources allocated to all gangs, to borrowers, and to reclaimed gangs. The
  // latter two are parts of `held_`.
  WorkerResources held_;
  WorkerResources borrowed_;
  WorkerResources stopping_;
  std::vector<Gang*> gangs_;
};

struct Cluster {
  std::map<WorkerId, WorkerEntry> workers_;
  // Invariant: the tree and all members below match `workers_` unless
  // `tree_changed_` is set.
  bool tree_changed_ = true;
  CapacityTree tree_;
  std::vector<WorkerEntry*> by_leaf_;
  // Usable free accelerators now; a worker without a free slot counts as 0.
  NodeSums free_;
  // Slots that can be allocated now.
  NodeSums free_slots_;
  // Accelerators that would be free if every borrower were reclaimed.
  NodeSums free_with_reclaim_;
};

bool IsSchedulable(const WorkerEntry& entry);
// Accelerators free now; 0 for a worker without a free slot.
std::int64_t FreeAcceleratorsOn(const WorkerEntry& entry);
// Resources that are free once the reclaimed gangs have stopped.
// Negative when more was restored than the worker has.
WorkerResources FreeAfterStops(const WorkerEntry& entry);
// Resources that are not allocated to guaranteed or non-reclaimable gangs; zero
// when the worker is not schedulable.
LeafResources FreeForGuarantees(const WorkerEntry& entry);
// Accelerators of `free` that can be allocated; 0 without a free slot.
std::int64_t UsableAccelerators(const WorkerResources& free);

void RebuildTree(Cluster& cluster);
// Recomputes the sums for the worker and its ancestors after a change that left
// its place the same.
void RefreshWorker(Cluster& cluster, WorkerEntry& entry);

// Allocates or releases the gang's resources on its workers. Before a change of
// the gang's state or uses, release it; allocate it again afterwards.
void AllocateGang(Cluster& cluster, Gang& gang);
void ReleaseGang(Cluster& cluster, Gang& gang);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_CLUSTER_H_
