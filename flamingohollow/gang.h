// A gang that holds accelerators: planned, running or being reclaimed.

#ifndef FLAMINGOHOLLOW_GANG_H_
#define FLAMINGOHOLLOW_GANG_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "flamingohollow/capacity.h"
#include "flamingohollow/placement.h"
#include "flamingohollow/witness.h"

namespace flamingohollow {

enum class GangState : std::uint8_t {
  // Has its workers assigned; starts when reclaimed gangs have left them.
  kPlanned,
  kRunning,
  // A stop was decided so that another gang can run; still holds its workers.
  kReclaimed,
};

// The accelerators that a gang uses of one guaranteed cell.
struct CellUse {
  CellIndex cell_;
  std::int64_t accelerators_ = 0;
  // Index of one of the gang's slices that lies in the cell's domain.
  std::size_t slice_ = 0;
};

struct WorkerEntry;

struct Gang {
  PlacementJob job_;
  std::vector<Slice> slices_;
  // The worker of each slice; set while the cluster counts the gang.
  std::vector<WorkerEntry*> entries_;
  GangState state_ = GangState::kRunning;
  // The guaranteed cells it runs on; empty if it runs on none.
  std::vector<CellUse> uses_;
  // For a restored gang the time of the restore.
  Time started_at_;
  // The waiting job whose reserved domain this gang backfills.
  std::optional<JobId> backfills_for_;
};

inline bool IsGuaranteed(const Gang& gang) { return !gang.uses_.empty(); }

// True when the gang may be reclaimed. Every other gang keeps its accelerators
// until it ends, including a restored gang that no longer fits its customer's
// cells.
inline bool IsBorrower(const Gang& gang) {
  return gang.uses_.empty() && gang.job_.reclaimable_;
}

// The work lost if the gang is stopped now, in accelerator milliseconds.
inline std::int64_t WorkLost(const Gang& gang, Time now) {
  return (now - gang.started_at_).ms() * gang.job_.accelerators_.value();
}

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_GANG_H_
