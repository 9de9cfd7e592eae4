// A gang that holds accelerators: planned, running or being taken back.

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
  // Waits for reclaimed gangs to leave its workers.
  kPlanned,
  kRunning,
  // Was told to stop for another gang.
  kReclaimed,
};

// How much of a guaranteed cell a gang uses.
struct CellUse {
  CellIndex cell_;
  std::int64_t accelerators_ = 0;
  // A slice of the gang that lies in the cell's domain.
  std::size_t slice_ = 0;
};

struct WorkerEntry;

struct Gang {
  PlacementJob job_;
  std::vector<Slice> slices_;
  // The slices' workers, while the gang is held.
  std::vector<WorkerEntry*> entries_;
  GangState state_ = GangState::kRunning;
  // The guaranteed cells it runs on; empty for a borrower.
  std::vector<CellUse> uses_;
  Time started_at_;
  // The waiting gang on whose reservation it fills in.
  std::optional<JobId> filler_for_;
};

inline bool IsGuaranteed(const Gang& gang) { return !gang.uses_.empty(); }

// True when the gang may be taken back. Anything else holds its accelerators
// firmly: also a restored gang that no longer fits its customer's cells.
inline bool IsBorrower(const Gang& gang) {
  return gang.uses_.empty() && gang.job_.reclaimable_;
}

// Accelerator milliseconds that a stop would throw away.
inline std::int64_t WorkLost(const Gang& gang, Time now) {
  return (now - gang.started_at_).ms() * gang.job_.accelerators_.value();
}

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_GANG_H_
