// Data and functions of one placement pass; graph_placement.h states the rules.
// Internal to graph_placement*.cc.
//
//   graph_placement_units.cc  collects and orders the waiting units
//   graph_placement_pass.cc   collects free resources and running groups
//   graph_placement_fit.cc    fits a unit into free resources
//   graph_placement_trial.cc  fits a unit, assuming that some groups end
//   graph_placement.cc        decides what starts, waits and stops
//
// A pass refers to jobs, steps and attempts by pointers into the replicated
// state and the fleet, which don't change during the pass, and to workers by
// index. Free resources are kept in arrays of their own, because most of a
// pass's time goes into scanning them.

#ifndef FLAMINGOHOLLOW_GRAPH_PLACEMENT_PASS_H_
#define FLAMINGOHOLLOW_GRAPH_PLACEMENT_PASS_H_

#include <boost/container/small_vector.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_set>
#include <utility>
#include <vector>

#include "flamingohollow/fleet.h"
#include "flamingohollow/graph_placement.h"
#include "flamingohollow/graph_state.h"
#include "flamingohollow/worker_pace.h"
#include "flamingohollow/worker_speed.h"
#include "util/clock.h"

namespace flamingohollow::graph_placement_internal {

enum class Lateness : std::uint8_t {
  kOnTime = 0,
  // The deadline will be missed, but the result still has some value.
  kLate = 1,
  // The result will have no value by the time that it is ready.
  kTooLate = 2,
};

// The workers that accept tasks of a pool and with a label, in the order of the
// pass.
struct EligibleWorkers {
  std::vector<std::size_t> all_;
  struct OnRack {
    // Index into `Pass::racks_`.
    std::size_t rack_ = 0;
    std::vector<std::size_t> workers_;
    // `workers_`, and those that are likely to accept tasks soon.
    std::vector<std::size_t> expected_;
  };
  // Racks with at least one expected worker.
  std::vector<OnRack> racks_;
};

// Workers that a unit leaves out, beside those that accept no tasks.
enum class LeftOut : std::uint8_t {
  kNone = 0,
  // Suspects, unless they are many.
  kSuspects = 1,
  // The slow workers of a pool whose speeds differ widely.
  kSlow = 2,
};

using EligibleKey = std::tuple<PoolName, std::string, LeftOut>;

// A whole gang that waits to start, or the waiting tasks of a step that is no
// gang, which start one by one.
struct Unit {
  const GraphJob* job_ = nullptr;
  const StepSpec* spec_ = nullptr;
  const StepRecord* step_ = nullptr;
  Occurrence occurrence_;
  StepIndex index_;
  std::vector<TaskIndex> tasks_;
  // Resources that one task reserves.
  Resources need_;
  // Lateness of the job, if the unit starts now and takes as long as estimated.
  Lateness lateness_ = Lateness::kOnTime;
  Time deadline_;
  // Estimated run time of the rest of the job, if it starts now.
  Duration remaining_;
  // Speed of a worker on which the rest of the job would end in time, also if
  // it is longer than estimated by the usual error of estimates; infinite if
  // the deadline has passed.
  double required_speed_ = 0;
  Time queued_at_;
  // The job is within its customer's guarantee.
  bool guaranteed_ = false;
  // Whether its tasks may have crashed workers.
  Suspicion suspicion_ = Suspicion::kNone;
  // Whether nothing of the step runs, and no other strong suspect of it comes
  // before this one.
  bool first_suspect_ = false;
  // Set before the unit is placed.
  const EligibleWorkers* eligible_ = nullptr;
};

// A worker's state within one pass, except its resources.
struct PassWorker {
  const FleetWorker* fleet_worker_ = nullptr;
  bool usable_ = false;
  // Not usable yet, but likely to be soon.
  bool awaited_ = false;
  PaceClass pace_ = PaceClass::kFull;
  // Null unless the speeds of the worker's pool differ widely.
  const SpeedSpread* spread_ = nullptr;
  SpeedClass speed_class_ = SpeedClass::kUnknown;
  // Relative to a typical worker of its pool (1).
  double speed_ = 1;
  bool suspect_ = false;
  // A suspect that urgent gangs leave out, as its pool has few suspects.
  bool shunned_ = false;
  // Slow because it was started lately.
  bool cold_ = false;
  // The newest start of a task that has run for too short a time to have proved
  // harmless, and the highest suspicion against such tasks.
  std::optional<Time> recent_start_;
  Suspicion recent_suspicion_ = Suspicion::kNone;
  // Takes no other task in this pass; see FindQuietWorkers.
  bool held_ = false;
  // Steps of the tasks that this pass has placed here or holds resources for;
  // only steps with `max_per_worker_`.
  std::vector<const StepRecord*> placed_;
};

struct PassRack {
  const Rack* name_ = nullptr;
  std::vector<std::size_t> workers_;
};

// Runs that are stopped together: a whole gang or a single task.
struct RunGroup {
  struct Member {
    std::size_t worker_ = 0;
    const AttemptRef* attempt_ = nullptr;
    Resources need_;
  };
  const GraphJob* job_ = nullptr;
  boost::container::small_vector<Member, 1> members_;
  // Work lost if the group is stopped, plus a fixed cost for each member, in
  // core-milliseconds.
  std::int64_t lost_work_ = 0;
  // Estimated time until the last member ends by itself.
  std::int64_t remaining_ms_ = 0;
  // Only a group whose members all run may be stopped.
  bool all_running_ = true;
  // Its tasks last, so it won't end by itself.
  bool lasts_ = false;
  bool preempted_ = false;
};

// A group's share of a worker.
struct GroupOnWorker {
  // Index into `Pass::groups_`.
  std::size_t group_ = 0;
  // Sum of the needs of its members there.
  Resources need_;
};

// A request that was found not to fit: tasks of one need on eligible workers.
struct FailedFit {
  const EligibleWorkers* eligible_ = nullptr;
  Resources need_;
  std::size_t tasks_ = 0;
  bool one_rack_ = false;
  // Only for preemption, which depends on it.
  bool guaranteed_ = false;
};

struct Pass {
  const GraphState& state_;
  const Fleet& fleet_;
  const GraphPlacementOptions& options_;
  const IdleJobs& idle_;
  Time now_;
  std::vector<PassWorker> workers_;
  // By worker: its whole capacity.
  std::vector<Resources> capacity_;
  // What is free now, less what is kept for units that runs are stopped for.
  std::vector<Resources> unused_;
  // What of that is not held for a unit that doesn't fit.
  std::vector<Resources> free_;
  // What is free once all runs that are being stopped have ended.
  std::vector<Resources> free_after_stops_;
  std::vector<PassRack> racks_;
  std::map<EligibleKey, EligibleWorkers> eligible_;
  // Jobs of priority 0 that are within their customer's guarantee.
  std::unordered_set<const GraphJob*> guaranteed_;
  // Filled by CollectGroups when a unit first needs them.
  bool groups_collected_ = false;
  std::vector<RunGroup> groups_;
  // For each worker, the groups with a member on it, ordered by least lost work
  // and by earliest end.
  std::vector<std::vector<GroupOnWorker>> by_loss_;
  std::vector<std::vector<GroupOnWorker>> by_end_;
  // Some worker is shunned.
  bool any_shunned_ = false;
  // The pools of which more than half of the usable workers' capacity is in
  // use.
  std::set<PoolName> busy_;
  // Number of units that may still hold resources in this pass.
  std::size_t reservations_ = 0;
  // Fits into `free_` and into `unused_` that failed. They fail for the rest of
  // the pass, as both only decrease.
  std::vector<FailedFit> failed_fits_;
  std::vector<FailedFit> failed_kept_fits_;
  // The same of preemption: what is free after stops and what could be stopped
  // for a unit only decrease together.
  std::vector<FailedFit> failed_preemptions_;
  // Fits into `free_after_stops_` that failed since groups were last stopped.
  std::vector<FailedFit> failed_after_stops_;
  // Gangs that some rack could hold, and gangs that none could.
  std::vector<FailedFit> rack_holds_;
  std::vector<FailedFit> no_rack_holds_;
  // Searches that this pass may still make.
  std::size_t searches_left_ = 0;
  PlacementPlan plan_;
};

// The array of a pass that a unit is fitted into.
using ResourcesOf = std::vector<Resources> Pass::*;

// graph_placement_pass.cc

// Whether the worker's pool and labels allow tasks of the step.
bool MatchesStep(const PoolWorkerReport& report, const StepSpec& spec,
                 const PoolName& pool);
// Fills `guaranteed_`.
void CollectGuaranteed(Pass& pass);
void CollectWorkers(Pass& pass);
// Does nothing if the groups are collected already.
void CollectGroups(Pass& pass);
// Sets `busy_`.
void MeasureUse(Pass& pass);
bool IsBusy(const Pass& pass, const Unit& unit);
const EligibleWorkers& FindEligible(Pass& pass, const Unit& unit,
                                    LeftOut left_out);
bool MayPreempt(const Pass& pass, const RunGroup& group, const Unit& unit);

// graph_placement_units.cc

// Returns the units in the order in which they are placed.
std::vector<Unit> CollectUnits(const Pass& pass, const JobQueuedAt& queued_at);

// graph_placement_fit.cc

// Returns how many tasks with this need fit into `free`, at most `limit`.
std::uint64_t CountFits(const Resources& need, const Resources& free,
                        std::uint64_t limit);
bool WantsOneRack(const Unit& unit);
// Whether some rack could hold the unit with the workers that are expected
// there. A new leader's first passes see only part of each rack.
bool AnyRackCouldHold(const Pass& pass, const Unit& unit);
// Whether the suspicion against the unit, or against tasks that started lately
// on the worker, allows the unit there.
bool MayShare(const PassWorker& worker, const Unit& unit);
// Whether the unit would fit on these workers if they were empty.
bool CouldHold(const Pass& pass, const Unit& unit,
               const std::vector<std::size_t>& workers);
// Returns the number of tasks of the unit's step on the worker.
std::uint32_t StepTasksOn(const PassWorker& worker, const Unit& unit);
// Lower is better. Compares distance from the data, then the worker's pace and
// suspicion as they matter to the unit, then the accelerators and memory left
// over. `holds_part` says that another task of the unit goes there too.
using FitRank = std::tuple<bool, int, std::int64_t, std::int64_t>;
FitRank RankFit(const Pass& pass, std::size_t worker, const Unit& unit,
                const Resources& left, bool holds_part);
// Returns a worker index for each of the first `tasks` tasks of the unit, or
// nothing if not all fit. A unit that wants one rack is placed on several only
// if `may_spread`.
std::optional<std::vector<std::size_t>> FitUnit(const Pass& pass,
                                                const Unit& unit,
                                                std::size_t tasks,
                                                ResourcesOf free,
                                                bool may_spread);
// Whether the eligible workers that may take a task of the unit have room for
// `tasks` of its size twice over.
bool HaveRoomTwice(const Pass& pass, const Unit& unit, std::size_t tasks,
                   ResourcesOf free);
// For a strong suspect that only has to wait until the tasks on the workers
// have proved harmless: returns the workers with room for it whose newest start
// is the oldest, or nothing if it doesn't fit. In a pool of short tasks, each
// worker has recent starts until it is held.
std::vector<std::size_t> FindQuietWorkers(const Pass& pass, const Unit& unit,
                                          bool may_spread);
// Returns worker indices for as many of the unit's first `tasks` tasks as fit.
std::vector<std::size_t> FitMost(const Pass& pass, const Unit& unit,
                                 std::size_t tasks, ResourcesOf free);

// graph_placement_trial.cc

// Cost of assuming that a group has ended.
using GroupCost = std::int64_t (*)(const RunGroup& group);

std::int64_t LostWork(const RunGroup& group);
std::int64_t RemainingMs(const RunGroup& group);

// A placement of a unit that assumes that some groups have ended.
struct TrialPlacement {
  // A worker index for each task.
  std::vector<std::size_t> chosen_;
  // Indices of the groups that must end first, ascending.
  std::vector<std::size_t> groups_;
  std::int64_t cost_ = 0;
};

// Selects the groups that a trial may assume to have ended, and their cost.
struct TrialOptions {
  GroupCost cost_ = &LostWork;
  // Considers only groups that the unit may preempt; otherwise all groups that
  // are not preempted already and end by themselves.
  bool preemptible_only_ = true;
};

// Returns the cheapest trial placement of the unit's first `tasks` tasks that
// was found, or nothing if they would not fit even if all groups that the
// options select had ended.
std::optional<TrialPlacement> FindCheapestPlacement(
    Pass& pass, const Unit& unit, std::size_t tasks,
    const TrialOptions& trial_options, bool may_spread);

}  // namespace flamingohollow::graph_placement_internal

#endif  // FLAMINGOHOLLOW_GRAPH_PLACEMENT_PASS_H_
