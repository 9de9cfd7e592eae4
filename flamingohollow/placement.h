// Placement: decides which job gets which accelerators, and which running gangs
// are reclaimed for it.
//
// Pure and deterministic. The caller passes in the known workers, the table and
// the waiting and running gangs, asks for decisions, carries them out and
// reports the results. Accelerators count as held from the decision on, even if
// a usage report that lags behind does not show them yet.
//
// Invariant: the state keeps a witness, which assigns each unused guaranteed
// cell that is backed to capacity that is free or held by borrowers. No
// decision leaves a backed cell without such capacity.

#ifndef FLAMINGOHOLLOW_PLACEMENT_H_
#define FLAMINGOHOLLOW_PLACEMENT_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "flamingohollow/table.h"
#include "flamingohollow/types.h"
#include "flamingohollow/worker.h"
#include "util/clock.h"

namespace flamingohollow {

enum class PlacementPolicy : std::uint8_t {
  kFirstFit,
  kBestFit,
  kBuddyCells,
  kFragmentationGradient,
};

struct PlacementOptions {
  PlacementPolicy policy_ = PlacementPolicy::kBuddyCells;
  // Gangs that wait long may reserve a domain; see reservation.h.
  bool reservations_ = true;
  // For this long after the start no job is refused as one that never fits, as
  // workers may still announce themselves.
  Duration settling_time_ = Duration(3000);
  // At most this share of the workers may be quarantined, 0 to 1.
  double max_quarantined_share_ = 0.2;
};

// A worker as placement sees it.
struct PlacementWorker {
  WorkerId id_;
  Incarnation incarnation_;
  WorkerPlace place_;
  Accelerators accelerators_;
  // How many tasks the worker can run at once.
  std::uint32_t slots_ = 0;
  // Accepts new work: announced itself recently and is not leaving.
  bool available_ = false;
};

// A waiting or running job; its tasks form one gang.
struct PlacementJob {
  JobId id_;
  CustomerId customer_;
  Accelerators accelerators_;
  Adjacency adjacency_ = Adjacency::kRegion;
  bool urgent_ = false;
  // May borrow accelerators beyond the customer's guarantee, and is then
  // subject to reclaim.
  bool reclaimable_ = false;
  // As declared by the customer; 0 if not declared.
  Duration run_time_;
  Time queued_at_;
};

// Start the job with one task on each slice.
struct PlaceDecision {
  JobId job_;
  std::vector<Slice> slices_;
  // True when the job runs on guaranteed cells of its customer.
  bool guaranteed_ = false;
};

// Stop and requeue the running job `job_` so that `for_job_` can run.
struct ReclaimDecision {
  JobId job_;
  JobId for_job_;
};

// Refuse the job, as it can never run on this cluster.
struct RefuseDecision {
  JobId job_;
  std::string reason_;
};

struct PlacementDecisions {
  std::vector<PlaceDecision> place_;
  std::vector<ReclaimDecision> reclaim_;
  std::vector<RefuseDecision> refuse_;
  // The limit of one step was reached; call Decide again soon.
  bool more_ = false;
};

struct GuaranteeStatus {
  CustomerId customer_;
  bool backed_ = false;
  // Why the guarantee is not backed; empty when it is.
  std::string reason_;
};

// Defined in placement_state.h, for the implementation only.
struct PlacementState;
struct PlacementStateDeleter {
  void operator()(PlacementState* state) const;
};
using PlacementPtr = std::unique_ptr<PlacementState, PlacementStateDeleter>;

PlacementPtr MakePlacement(const PlacementOptions& options, Time now);

// Events. Each is idempotent.
void SetTable(PlacementState& state, const Table& table);
void SetWorker(PlacementState& state, const PlacementWorker& worker, Time now);
void RemoveWorker(PlacementState& state, const WorkerId& worker, Time now);
void EnqueueJob(PlacementState& state, const PlacementJob& job);
// Records a gang that a former leader placed. Its accelerators count as held,
// also on workers that have not announced themselves yet.
void RestoreRunningJob(PlacementState& state, const PlacementJob& job,
                       const std::vector<Slice>& slices);
// Call when the job has left the queue, or when all its leases are guaranteed
// to be over.
void RemoveJob(PlacementState& state, JobId job);
// Records that a task of `job` succeeded or failed on `worker`, as evidence for
// quarantine.
void RecordTaskResult(PlacementState& state, JobId job, const WorkerId& worker,
                      bool succeeded, Time now);

// Makes all decisions that are possible now. Placed jobs count as running from
// this call on; reclaimed jobs hold their accelerators until RemoveJob or
// EnqueueJob is called for them.
PlacementDecisions Decide(PlacementState& state, Time now);

// Returns the reason why the known workers can't keep all guarantees of
// `table`. Empty when they can, when `table` neither adds nor changes a
// guarantee, or when no worker is known yet.
std::string CheckGuarantees(const PlacementState& state, const Table& table);
// One status for each customer of the table, in the table's order.
std::vector<GuaranteeStatus> GuaranteeStatuses(const PlacementState& state);
// Share of the free accelerators that a typical gang can't use, averaged over
// the shapes of recently queued jobs, 0 to 1.
double Fragmentation(const PlacementState& state);
bool IsQuarantined(const PlacementState& state, const WorkerId& worker);
// True when the job failed on several workers where other jobs succeed.
bool IsBlamed(const PlacementState& state, JobId job);
// 0 when the worker is unknown, takes no new work or has no free slot.
Accelerators FreeAccelerators(const PlacementState& state,
                              const WorkerId& worker);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_PLACEMENT_H_
