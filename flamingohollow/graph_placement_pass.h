// Data and functions of one placement pass; graph_placement.h states the rules.
// Internal to graph_placement*.cc.
//
//   graph_placement_units.cc  collects and orders the waiting units
//   graph_placement_pass.cc   collects free resources and running groups
//   graph_placement_fit.cc    fits a unit into free resources
//   graph_placement_trial.cc  fits a unit, assuming that some groups end
//   graph_placement.cc        decides what starts, waits and stops

#ifndef FLAMINGOHOLLOW_GRAPH_PLACEMENT_PASS_H_
#define FLAMINGOHOLLOW_GRAPH_PLACEMENT_PASS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <vector>

#include "flamingohollow/fleet.h"
#include "flamingohollow/graph_placement.h"
#include "flamingohollow/graph_state.h"
#include "flamingohollow/worker_pace.h"
#include "util/clock.h"

namespace flamingohollow::graph_placement_internal {

enum class Lateness : std::uint8_t {
  kOnTime = 0,
  // The deadline will be missed, but the result still has some value.
  kLate = 1,
  // The result will have no value by the time that it is ready.
  kTooLate = 2,
};

// A whole gang or a single task that waits to start.
struct Unit {
  const GraphJob* job_ = nullptr;
  const StepSpec* spec_ = nullptr;
  const StepRecord* step_ = nullptr;
  Occurrence occurrence_;
  StepIndex index_;
  std::vector<TaskIndex> tasks_;
  // Lateness of the job, if the unit starts now and takes as long as estimated.
  Lateness lateness_ = Lateness::kOnTime;
  Time deadline_;
  // Estimated run time of the rest of the job, if it starts now.
  Duration remaining_;
  Time queued_at_;
};

// A worker's state within one pass.
struct PassWorker {
  const FleetWorker* fleet_worker_ = nullptr;
  bool usable_ = false;
  PaceClass pace_ = PaceClass::kFull;
  // Resources that are free now and not held for a unit.
  Resources free_;
  // Resources that are free once all runs that are being stopped have ended.
  Resources free_after_stops_;
  // Number of tasks per step on this worker, for `max_per_worker_`.
  std::map<StepRef, std::uint32_t> tasks_;
};

// Runs that are stopped together: a whole gang or a single task.
struct RunGroup {
  struct Member {
    // Index into `Pass::workers_`.
    std::size_t worker_ = 0;
    AttemptRef attempt_;
    Resources need_;
  };
  const GraphJob* job_ = nullptr;
  std::vector<Member> members_;
  // Work lost if the group is stopped, plus a fixed cost for each member, in
  // core-milliseconds.
  std::int64_t lost_work_ = 0;
  // Estimated time until the last member ends by itself.
  std::int64_t remaining_ms_ = 0;
  // Only a group whose members all run may be stopped.
  bool all_running_ = true;
  bool preempted_ = false;
};

struct Pass {
  const GraphState& state_;
  const Fleet& fleet_;
  const GraphPlacementOptions& options_;
  Time now_;
  std::vector<PassWorker> workers_;
  std::map<Rack, std::vector<std::size_t>> racks_;
  // Jobs of priority 0 that are within their customer's guarantee.
  std::set<GraphJobKey> guaranteed_;
  std::vector<RunGroup> groups_;
  // For each worker, the indices of the groups with a member on it, ordered by
  // least lost work and by earliest end.
  std::vector<std::vector<std::size_t>> by_loss_;
  std::vector<std::vector<std::size_t>> by_end_;
  // More than half of the usable workers' capacity is in use.
  bool busy_ = false;
  // Number of units that may still hold resources in this pass.
  std::size_t reservations_ = 0;
  PlacementPlan plan_;
};

// Returns the resources of a worker that a unit may be fitted into.
using FreeResourcesFn = std::function<Resources(std::size_t worker)>;

// graph_placement_pass.cc

// Whether the worker's pool and labels allow tasks of the step.
bool MatchesStep(const PoolWorkerReport& report, const StepSpec& spec,
                 const PoolName& pool);
// Fills `guaranteed_`.
void CollectGuaranteed(Pass& pass);
void CollectWorkers(Pass& pass);
void CollectGroups(Pass& pass);
// Sets `busy_`.
void MeasureUse(Pass& pass);
bool MayPreempt(const Pass& pass, const RunGroup& group, const Unit& unit);

// graph_placement_units.cc

// Returns the units in the order in which they are placed.
std::vector<Unit> CollectUnits(const Pass& pass, const JobQueuedAt& queued_at);

// graph_placement_fit.cc

// Returns how many tasks with this need fit into `free`, at most `limit`.
std::uint64_t CountFits(const Resources& need, const Resources& free,
                        std::uint64_t limit);
bool WantsOneRack(const Unit& unit);
bool AnyRackCouldHold(const Pass& pass, const Unit& unit);
// Whether the unit would fit on these workers if they were empty.
bool CouldHold(const Pass& pass, const Unit& unit,
               const std::vector<std::size_t>& workers);
std::vector<std::size_t> AllWorkers(const Pass& pass);
// Returns the number of tasks of the unit's step on the worker.
std::uint32_t StepTasksOn(const PassWorker& worker, const Unit& unit);
// Whether the worker accepts tasks of the unit, regardless of free resources.
bool MayRunOn(const PassWorker& worker, const Unit& unit);
// Lower is better. Compares distance from the data, then the worker's pace as
// it matters to the unit, then the accelerators and memory left over.
using FitRank = std::tuple<bool, int, std::int64_t, std::int64_t>;
FitRank RankFit(const PassWorker& worker, const Unit& unit,
                const Resources& left);
// Returns a worker index for each task, or nothing if not all tasks fit. A unit
// that wants one rack is placed on several only if `may_spread`.
std::optional<std::vector<std::size_t>> FitUnit(const Pass& pass,
                                                const Unit& unit,
                                                const FreeResourcesFn& free_of,
                                                bool may_spread);

// graph_placement_trial.cc

// Cost of assuming that a group has ended.
using GroupCost = std::int64_t (*)(const RunGroup& group);

std::int64_t LostWork(const RunGroup& group);
std::int64_t RemainingMs(const RunGroup& group);

// A placement of a unit that assumes that some groups have ended.
struct TrialPlacement {
  // A worker index for each task.
  std::vector<std::size_t> chosen_;
  // Indices of the groups that must end first.
  std::set<std::size_t> groups_;
  std::int64_t cost_ = 0;
};

// Selects the groups that a trial may assume to have ended, and their cost.
struct TrialOptions {
  GroupCost cost_ = &LostWork;
  // Considers only groups that the unit may preempt; otherwise all groups that
  // are not preempted already.
  bool preemptible_only_ = true;
};

// Returns the cheapest trial placement that was found, or nothing if the unit
// would not fit even if all groups that the options select had ended.
std::optional<TrialPlacement> FindCheapestPlacement(
    const Pass& pass, const Unit& unit, const TrialOptions& trial_options,
    bool may_spread);

}  // namespace flamingohollow::graph_placement_internal

#endif  // FLAMINGOHOLLOW_GRAPH_PLACEMENT_PASS_H_
