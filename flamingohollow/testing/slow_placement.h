// A slow placement pass that PlanPlacement is compared with.

#ifndef FLAMINGOHOLLOW_TESTING_SLOW_PLACEMENT_H_
#define FLAMINGOHOLLOW_TESTING_SLOW_PLACEMENT_H_

#include "flamingohollow/graph_placement.h"

namespace flamingohollow::testing {

PlacementPlan SlowPlanPlacement(const GraphState& state, const Fleet& fleet,
                                const GraphPlacementOptions& options,
                                const JobQueuedAt& queued_at, Time now,
                                const ResourcesByPool& keep_free,
                                const IdleJobs& idle);

}  // namespace flamingohollow::testing

#endif  // FLAMINGOHOLLOW_TESTING_SLOW_PLACEMENT_H_
