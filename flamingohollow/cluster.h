// The workers and what each of them holds.
//
// Holdings count from the decision on. They are kept by worker id, so that a
// gang on a worker that has not announced itself yet takes its accelerators
// out of the free ones as soon as it does. Sums up the tree are kept at each
// change: O(slices of the gang) for a gang, O(workers) for a rebuild.

#ifndef FLAMINGOHOLLOW_CLUSTER_H_
#define FLAMINGOHOLLOW_CLUSTER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "flamingohollow/capacity.h"
#include "flamingohollow/gang.h"

namespace flamingohollow {

struct Holding {
  std::int64_t accelerators_ = 0;
  std::int64_t slots_ = 0;
};

struct WorkerEntry {
  PlacementWorker worker_;
  // False while only gangs speak of it.
  bool known_ = false;
  bool quarantined_ = false;
  // Position in the tree while known and the tree is built.
  std::optional<Leaf> leaf_;
  // All gangs, and of these the borrowers and those already told to stop.
  Holding held_;
  Holding borrowed_;
  Holding leaving_;
  std::vector<Gang*> gangs_;
};

struct Cluster {
  std::map<WorkerId, WorkerEntry> workers_;
  // Invariant: the tree and all below it match `workers_` unless
  // `tree_changed_`.
  bool tree_changed_ = true;
  CapacityTree tree_;
  std::vector<WorkerEntry*> by_leaf_;
  // Accelerators that can be used now.
  NodeSums free_;
  // Slots that can be used now.
  NodeSums free_slots_;
  // Accelerators free now or once every borrower is gone.
  NodeSums reachable_;
};

bool TakesWork(const WorkerEntry& entry);
// Free now, counting a worker without a free slot as full.
std::int64_t FreeOn(const WorkerEntry& entry);
// Free once the gangs told to stop are gone; may be below 0 in slots or
// accelerators when more was restored than the worker has.
Holding FreeAfterLeaving(const WorkerEntry& entry);
// What guaranteed gangs leave of the worker; nothing when it takes no work.
LeafRoom FirmRoom(const WorkerEntry& entry);
// Free in either way: usable accelerators of a holding that is free.
std::int64_t Usable(const Holding& free);

void RebuildTree(Cluster& cluster);
// Recomputes the sums above the worker after a change that kept its place.
void RefreshWorker(Cluster& cluster, WorkerEntry& entry);

// Adds the gang to, or takes it off, its workers. Take it off before a change
// of its state or uses, and add it again after.
void HoldGang(Cluster& cluster, Gang& gang);
void UnholdGang(Cluster& cluster, Gang& gang);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_CLUSTER_H_
