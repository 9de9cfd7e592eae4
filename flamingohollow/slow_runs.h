// Finds urgent tasks that are better started again on other workers.
//
// A worker may stand still or be several times too slow for some seconds with
// good health checks. An urgent task there misses its deadline although it
// would be in time elsewhere, and in a gang all members wait for it. This
// answers loads of urgent tasks of a few seconds while a tenth of the workers
// has such a fault. Long tasks outlast it, so they stay.
//
// A pure function of the leader's view.

#ifndef FLAMINGOHOLLOW_SLOW_RUNS_H_
#define FLAMINGOHOLLOW_SLOW_RUNS_H_

#include <vector>

#include "flamingohollow/fleet.h"
#include "flamingohollow/graph_state.h"
#include "util/clock.h"

namespace flamingohollow {

struct SlowRunOptions {
  // Time to stop a task and start it elsewhere.
  Duration restart_time_ = Duration(1200);
  // Time that a new attempt is assumed to take, relative to the length that the
  // other members' progress shows.
  double safety_factor_ = 1.25;
  // The same, relative to the estimate of a task that has no other members.
  double estimate_safety_factor_ = 2;
  // A task, or gang, is moved at most this often.
  std::uint64_t max_moves_ = 2;
  // Nothing is moved while more than one in this many workers of a pool is
  // avoided already: the fault is then not one of single workers.
  std::size_t workers_per_avoided_ = 4;
};

struct SlowRun {
  // Of a gang, the slowest member.
  AttemptRef attempt_;
  WorkerId worker_;
};

// Returns the units of priority 0 that would end sooner if they were stopped
// and started again on another worker, each by its slowest member.
std::vector<SlowRun> FindSlowRuns(const GraphState& state, const Fleet& fleet,
                                  const SlowRunOptions& options, Time now);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_SLOW_RUNS_H_
