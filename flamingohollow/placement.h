// Placement: which job gets which accelerators, and who gives some back.
//
// Pure and deterministic. The caller feeds what is known (workers, the table,
// waiting and running gangs) and asks for decisions; it carries them out and
// reports what came of them. A lease counts from the decision on, whatever a
// lagging usage report says.
//
// Invariant: there is at all times a witness, an assignment of every unused
// guaranteed cell to capacity that is free or held by a borrower. No decision
// is taken that would destroy it.

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
  // Large waiting gangs hold a reservation.
  bool reservations_ = true;
  // From a cold start, nothing is refused as "never fits" for this long.
  Duration settling_time_ = Duration(3000);
  // At most this share of the workers is in quarantine.
  double max_quarantined_share_ = 0.2;
};

// A worker as placement sees it.
struct PlacementWorker {
  WorkerId id_;
  Incarnation incarnation_;
  WorkerPlace place_;
  Accelerators accelerators_;
  std::uint32_t slots_ = 0;
  // Takes new work: announced lately, not leaving.
  bool available_ = false;
};

// A gang that waits or runs.
struct PlacementJob {
  JobId id_;
  CustomerId customer_;
  Accelerators accelerators_;
  Adjacency adjacency_ = Adjacency::kRegion;
  bool urgent_ = false;
  // May run beyond the customer's guarantee, and be taken back there.
  bool reclaimable_ = false;
  Duration run_time_;
  // When it came into the queue.
  Time queued_at_;
};

// Start the job on these slices, one task each.
struct PlaceDecision {
  JobId job_;
  std::vector<Slice> slices_;
  // Runs inside the customer's guarantee; otherwise it borrows.
  bool guaranteed_ = false;
};

// Take the running job's accelerators back: stop it and requeue it.
struct ReclaimDecision {
  JobId job_;
  JobId for_job_;
};

// The job can never run here.
struct RefuseDecision {
  JobId job_;
  std::string reason_;
};

struct PlacementDecisions {
  std::vector<PlaceDecision> place_;
  std::vector<ReclaimDecision> reclaim_;
  std::vector<RefuseDecision> refuse_;
  // The step's limit was reached: call Decide again soon.
  bool more_ = false;
};

struct GuaranteeStatus {
  CustomerId customer_;
  bool backed_ = false;
  // Why not, when not backed.
  std::string reason_;
};

// The state; its parts are internal to placement.cc and its neighbours.
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
// Records a gang that a former leader placed. It takes its accelerators out
// of the free ones, also on workers that have not announced themselves yet.
void RestoreRunningJob(PlacementState& state, const PlacementJob& job,
                       const std::vector<Slice>& slices);
// The job has left the queue, or its leases are all surely over.
void RemoveJob(PlacementState& state, JobId job);
// A task of `job` failed on `worker`, or went well; evidence for quarantine.
void RecordTaskResult(PlacementState& state, JobId job, const WorkerId& worker,
                      bool succeeded, Time now);

// Decides what can be decided now. Placed jobs count as running from here on,
// reclaimed ones until RemoveJob or EnqueueJob says otherwise.
PlacementDecisions Decide(PlacementState& state, Time now);

// Empty when the guarantees of `table` can all be kept on the known workers,
// or when no worker is known yet; else the reason why not.
std::string CheckGuarantees(const PlacementState& state, const Table& table);
std::vector<GuaranteeStatus> GuaranteeStatuses(const PlacementState& state);
// Share of the free accelerators that a typical gang can't use, averaged over
// the shapes of the jobs that came lately, 0 to 1.
double Fragmentation(const PlacementState& state);
bool IsQuarantined(const PlacementState& state, const WorkerId& worker);
// The job failed on several workers that others do well on.
bool IsBlamed(const PlacementState& state, JobId job);
Accelerators FreeAccelerators(const PlacementState& state,
                              const WorkerId& worker);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_PLACEMENT_H_
