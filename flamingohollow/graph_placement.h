// Decides which waiting tasks start, on which workers, and which runs are
// stopped to make resources free for them.
//
// PlanPlacement() is a pure function: one pass over the jobs and the fleet
// returns the attempts to open and the runs to stop. It is designed for queues
// of different priority that together ask for up to three times the capacity,
// with gangs of large tasks beside many small tasks.
//
// - The unit of placement is a whole gang or a single task, from a step whose
//   predecessors are done.
// - Order: jobs within their customer's guarantee come first. Among these, and
//   among the others, jobs that can no longer finish before they lose all value
//   come last. The rest of the order is by priority, then jobs that can still
//   be on time before late ones, then by earliest deadline.
// - Workers that are likely to make tasks fail get none, unless they are many;
//   gangs, which break if one member fails, and urgent units go to suspects
//   last (see worker_suspicion.h). An urgent gang preempts on others first.
// - Tasks that may have crashed workers are placed apart. A strong suspect
//   comes before other units of its priority, and holds workers until their
//   newest tasks have proved harmless (see worker_crashes.h).
// - In a pool whose speeds differ widely, an urgent gang that would be late on
//   slow workers preempts on others before it takes slow ones.
// - Best fit: a task goes to the worker with the least resources left over, so
//   that whole workers stay free for tasks that need them. A gang that wants
//   one rack gets the rack with the least left over that holds it.
// - Units of priority 0 may preempt runs of lower priority if they can still be
//   on time or are within their customer's guarantee. Units within their
//   customer's guarantee may also preempt runs of priority 0 that exceed their
//   own customer's guarantee, if no others can be. Preemption happens as late
//   as the deadline or the guarantee allows, and where it loses the least work;
//   tasks with several earlier attempts are stopped last. A gang is counted and
//   stopped as a whole.
// - In a busy pool, jobs of lower priority leave the room free that urgent jobs
//   are expected to need (see urgent_demand.h), on the emptiest workers.
// - Resources that are being freed for a unit of priority 0 are held for it. A
//   few gangs and units of priority 0 that don't fit hold the resources that
//   are likely to become free first, so that small tasks can't starve them.
//   They hold none if tasks that last are in their way. While a pool is at most
//   half in use, a task of a job of which nothing runs for too long may use
//   held resources; so may a task that lasts and has lost its worker, at any
//   time.
//
// Cost: one look at each run of the fleet, and at each worker for each search:
// for a unit that starts, is preempted for or holds resources, and for the
// first of those alike that does not fit. Units are alike for a pass if their
// pool and label are the same, one asks for no less than the other of each
// resource, of tasks and of racks, and, as to preemption, both or neither are
// within a guarantee. What has failed for one then fails for the other, as the
// room, with what could be preempted, only decreases. Units with a limit for
// each worker and strong suspects are tried each for themselves. So however
// many tasks wait, they keep no other from the pass, unless those that are
// tried exceed `max_searches_`.

#ifndef FLAMINGOHOLLOW_GRAPH_PLACEMENT_H_
#define FLAMINGOHOLLOW_GRAPH_PLACEMENT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "flamingohollow/fleet.h"
#include "flamingohollow/graph_state.h"
#include "flamingohollow/urgent_demand.h"
#include "flamingohollow/worker_speed.h"
#include "util/clock.h"

namespace flamingohollow {

struct GraphPlacementOptions {
  Duration report_interval_ = kReportInterval;
  // Tasks that run away from their data, and gangs that are spread over racks,
  // take this many times as long.
  std::int64_t remote_factor_ = 3;
  // A gang of a job of priority 0 within its customer's guarantee waits this
  // long for a single rack, then may spread so that it starts in time. A gang
  // that has begun before doesn't spread.
  Duration max_rack_wait_ = Duration(1900);
  // Any gang waits this long for a single rack while most of the pool is idle.
  Duration max_idle_rack_wait_ = Duration(2000);
  // Time to stop a task and start another in its place.
  Duration restart_time_ = Duration(1200);
  // Work is assumed to take up to this many times its estimate: estimates are
  // off by a fifth, and a worker may be 1.3 times as slow as others.
  double estimate_safety_factor_ = 1.5;
  // A job within its customer's guarantee may preempt after waiting this long,
  // or earlier if its deadline requires it.
  Duration max_guarantee_wait_ = Duration(900);
  // One gang or urgent unit may hold resources per this many workers. With more
  // holders small tasks starve; with fewer, large gangs do.
  std::size_t workers_per_reservation_ = 8;
  std::size_t min_reservations_ = 3;
  // Bounds the time of a pass.
  std::size_t max_reservations_ = 8;
  // Whether workers that made tasks fail are avoided.
  bool avoid_suspects_ = true;
  // Whether strong suspects (see worker_crashes.h) are not placed for now.
  bool hold_strong_suspects_ = false;
  // The same, of those that may be started only a few times more.
  bool hold_limited_suspects_ = false;
  // In a pool that is at most half in use, a job of which nothing has run for
  // this long may use resources that are held for units that don't fit.
  Duration max_kept_wait_ = Duration(10'000);
  // Searches for room in one pass, and tasks that start in one. Units for which
  // no search is needed are not limited.
  std::size_t max_searches_ = 2000;
  std::size_t max_starts_ = 2000;
  // Whether the plan says why units of jobs without an open attempt wait.
  bool explain_waits_ = false;
};

// Why nothing of a unit starts.
enum class UnitWait : std::uint8_t {
  // No worker that accepts tasks has the unit's pool and label.
  kNoWorker,
  // The workers have no room for it.
  kNoRoom,
  // There is room, which is kept for other units.
  kRoomKept,
};

struct PlacementPlan {
  std::vector<OpenedAttempt> open_;
  struct Stop {
    WorkerId worker_;
    AttemptRef attempt_;
  };
  std::vector<Stop> stop_;
  // Filled only if asked for by the options; of a job's units, the first.
  std::map<GraphJobKey, UnitWait> waits_;
  // The pools whose workers' speeds differ widely, by which the plan was made.
  std::map<PoolName, SpeedSpread> spreads_;
};

// Returns when a job became known, on the leader's steady clock.
using JobQueuedAt = std::function<Time(const GraphJob&)>;

// Since when nothing has run of each job that could have something running.
using IdleJobs = std::map<GraphJobKey, Time>;

// Only jobs of priority 0 use the room that `keep_free` names, up to a share of
// each pool.
PlacementPlan PlanPlacement(const GraphState& state, const Fleet& fleet,
                            const GraphPlacementOptions& options,
                            const JobQueuedAt& queued_at, Time now,
                            const ResourcesByPool& keep_free = {},
                            const IdleJobs& idle = {});

// Returns the total estimate of the longest chain of dependent steps.
Duration LongestChain(const GraphSpec& spec);
// Returns the time that the job has from its acceptance: its slack times its
// longest chain, and its queue's objective.
Duration AllowedTime(const GraphJob& job);

// Whether every gang and task of the spec would fit on the pool's known workers
// if they were empty and had the largest capacity that they have reported. One
// that has shrunk may grow again, so its jobs wait.
bool CouldEverRun(const GraphSpec& spec, const PoolName& pool,
                  const Fleet& fleet);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_GRAPH_PLACEMENT_H_
