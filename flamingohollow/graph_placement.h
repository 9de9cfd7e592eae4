// Which waiting tasks start now, where, and what must stop for them.
//
// Pure: one pass over the jobs and the fleet gives the attempts to open and
// the runs to stop. The load it is made for: queues of different priority that
// together ask for up to three times the capacity, gangs of large tasks beside
// many small ones.
//
// - Units are whole gangs or lone tasks of steps whose predecessors are done.
// - Order: jobs within their customer's guarantee come first; jobs that can no
//   longer end in time for any use come last; then priority; then jobs that can
//   still be on time, the earliest deadline first; then those that can still be
//   late.
// - Best fit: the worker with the least left over, so that whole workers stay
//   free for tasks that need them. Gangs that want one rack get one, the
//   tightest that holds them.
// - Units of priority 0 may stop others of lower priority, and within the
//   customer's guarantee also those of priority 0 of customers who are beyond
//   theirs. They do so only as late as their deadline or the guarantee allows,
//   where it costs the least work; a gang counts, and stops, whole.
// - Room that is being freed for such a unit is held for it. A few gangs that
//   don't fit hold the room that is likely to come free first, so that small
//   tasks don't keep them out for ever.
//
// Cost: O(units x workers).

#ifndef FLAMINGOHOLLOW_GRAPH_PLACEMENT_H_
#define FLAMINGOHOLLOW_GRAPH_PLACEMENT_H_

#include <functional>
#include <vector>

#include "flamingohollow/fleet.h"
#include "flamingohollow/graph_state.h"
#include "util/clock.h"

namespace flamingohollow {

struct GraphPlacementOptions {
  Duration report_interval_ = kReportInterval;
  // Tasks that run away from their data, or a gang that is spread over racks,
  // take this many times as long.
  std::int64_t remote_factor_ = 3;
  // A job of priority 0 within its customer's guarantee gives up on a rack of
  // its own after this long, to begin in time.
  Duration rack_patience_ = Duration(1900);
  // Any gang gives up on it after this long while most of the pool is idle.
  Duration idle_patience_ = Duration(2000);
  // Time that it takes to stop a task and start another in its place.
  Duration stop_lead_ = Duration(1200);
  // Work may take so many times as long as estimated: estimates are off by a
  // fifth, and a worker may well be 1.3 times as slow as others.
  double caution_ = 1.5;
  // Others are stopped for a job within its guarantee after this long at the
  // latest.
  Duration guarantee_patience_ = Duration(900);
  // Gangs, and urgent units, that hold room for themselves at one time: one for
  // so many workers. With more, small tasks starve; with fewer, large gangs do.
  std::size_t workers_per_reservation_ = 8;
  std::size_t min_reservations_ = 3;
  // Bounds the time of a pass.
  std::size_t max_reservations_ = 8;
  // Units looked at in one pass.
  std::size_t max_units_ = 2000;
};

struct PlacementPlan {
  std::vector<OpenedAttempt> open_;
  struct Stop {
    WorkerId worker_;
    AttemptRef attempt_;
  };
  std::vector<Stop> stop_;
};

// When a job became known, on the leader's steady clock.
using JobSince = std::function<Time(const GraphJob&)>;

PlacementPlan PlanPlacement(const GraphState& state, const Fleet& fleet,
                            const GraphPlacementOptions& options,
                            const JobSince& since, Time now);

// The longest chain of estimated work through the job's steps.
Duration LongestChain(const GraphSpec& spec);

// Whether each gang and task of the spec could run on the pool's known workers
// when they are empty.
bool CouldEverRun(const GraphSpec& spec, const PoolName& pool,
                  const Fleet& fleet);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_GRAPH_PLACEMENT_H_
