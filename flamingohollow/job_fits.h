// Places for one job: those that avoid the workers on which it failed come
// first, so that another try tells a bad worker from a bad job.

#ifndef FLAMINGOHOLLOW_JOB_FITS_H_
#define FLAMINGOHOLLOW_JOB_FITS_H_

#include <vector>

#include "flamingohollow/fit.h"
#include "flamingohollow/placement_state.h"

namespace flamingohollow {

// Cost: that of FindFits, twice for a job that failed before.
std::vector<Fit> FindJobFits(const PlacementState& state, JobId job,
                             const NodeSums& room, const FitRequest& request);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_JOB_FITS_H_
