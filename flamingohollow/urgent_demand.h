// Learns how much room urgent work needs, so that other work leaves it free.
//
// Jobs of priority 0 arrive irregularly, run for seconds and come as gangs of
// whole workers. If long tasks of lower priority take all room between two such
// jobs, each job preempts them and their work is lost. While that happens, the
// room that urgent jobs needed at most in the last seconds is kept free.
//
// Pure functions over soft state; a new leader starts without any and keeps
// nothing free until it has preempted tasks itself.

#ifndef FLAMINGOHOLLOW_URGENT_DEMAND_H_
#define FLAMINGOHOLLOW_URGENT_DEMAND_H_

#include <cstddef>
#include <map>

#include "flamingohollow/graph_state.h"
#include "flamingohollow/graph_types.h"
#include "util/clock.h"

namespace flamingohollow {

// Sums of millicores and accelerators by pool; the memory is unused.
using ResourcesByPool = std::map<PoolName, Resources>;

// What is known of a pool's urgent jobs.
struct UrgentDemand {
  // Largest need of the last seconds, decaying, at `updated_`.
  double millicores_ = 0;
  double accelerators_ = 0;
  // Preempted tasks of the last seconds, decaying, at `updated_`.
  double preempted_ = 0;
  Time updated_;
};

using UrgentDemands = std::map<PoolName, UrgentDemand>;

// Returns what the running and waiting tasks of jobs of priority 0 need.
ResourcesByPool UrgentNeed(const GraphState& state);

void RecordNeed(UrgentDemands& demands, const ResourcesByPool& need, Time now);
void RecordPreempted(UrgentDemands& demands, const PoolName& pool,
                     std::size_t tasks, Time now);

// Returns what to keep free beside `need` for urgent jobs that arrive soon.
// Pools without contention are left out.
ResourcesByPool RoomToKeep(const UrgentDemands& demands,
                           const ResourcesByPool& need, Time now);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_URGENT_DEMAND_H_
