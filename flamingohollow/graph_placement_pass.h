// The parts of one pass of placement; graph_placement.h tells the rules.
// Internal to graph_placement*.cc.
//
//   graph_placement_units.cc  which units wait, in which order
//   graph_placement_pass.cc   the workers' room, and what runs in it
//   graph_placement_fit.cc    fitting a unit into room
//   graph_placement_trial.cc  fitting a unit once some of what runs is gone
//   graph_placement.cc        the decisions

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

// The job can no longer end in time for any use.
constexpr int kTooLate = 2;

// A gang, or a lone task, that waits to start.
struct Unit {
  const GraphJob* job_ = nullptr;
  const StepSpec* spec_ = nullptr;
  const StepRecord* step_ = nullptr;
  Occurrence occurrence_;
  StepIndex index_;
  std::vector<TaskIndex> tasks_;
  // 0 can still be on time, 1 can still be late, 2 neither.
  int lateness_ = 0;
  Time deadline_;
  // Of what is left of the job, once it runs.
  Duration remaining_;
  Time since_;
};

// A worker as one pass sees it.
struct Room {
  const FleetWorker* worker_ = nullptr;
  bool usable_ = false;
  PaceClass pace_ = PaceClass::kFull;
  // Free now.
  Resources free_;
  // Free once everything that is being stopped has ended.
  Resources soon_;
  // Tasks of each step here, for the limit on one worker.
  std::map<StepRef, std::uint32_t> tasks_;
};

// Runs that stop together: a whole gang, or a lone task.
struct Group {
  struct Member {
    std::size_t room_ = 0;
    AttemptRef attempt_;
    Resources need_;
  };
  const GraphJob* job_ = nullptr;
  std::vector<Member> members_;
  // Work that would be lost, in core-milliseconds.
  std::int64_t lost_ = 0;
  // Until it ends by itself, as estimated.
  std::int64_t remaining_ms_ = 0;
  // All members run, so it may be stopped.
  bool running_ = true;
  bool taken_ = false;
};

struct Pass {
  const GraphState& state_;
  const Fleet& fleet_;
  const GraphPlacementOptions& options_;
  Time now_;
  std::vector<Room> rooms_;
  std::map<Rack, std::vector<std::size_t>> racks_;
  // Jobs of priority 0 that are within their customer's guarantee.
  std::set<GraphJobKey> guaranteed_;
  std::vector<Group> groups_;
  // Indices of the groups with a member in each room, the least lost work
  // first, and the earliest end first.
  std::vector<std::vector<std::size_t>> by_loss_;
  std::vector<std::vector<std::size_t>> by_end_;
  // More than half of the usable workers' capacity is in use.
  bool busy_ = false;
  // Units that may still hold room for themselves in this pass.
  std::size_t reservations_ = 0;
  PlacementPlan plan_;
};

// Which sum of a room a unit is fitted into.
using RoomView = std::function<Resources(std::size_t room)>;

// graph_placement_pass.cc

// Workers on which the step's tasks may run when there is room.
bool Suits(const PoolWorkerReport& report, const StepSpec& spec,
           const PoolName& pool);
void CollectGuaranteed(Pass& pass);
void CollectRooms(Pass& pass);
void CollectGroups(Pass& pass);
void MeasureUse(Pass& pass);
bool MayStop(const Pass& pass, const Group& group, const Unit& unit);

// graph_placement_units.cc

// In the order in which they are placed.
std::vector<Unit> CollectUnits(const Pass& pass, const JobSince& since);

// graph_placement_fit.cc

// How many tasks of this need fit into `free`, at most `limit`.
std::uint64_t CountFits(const Resources& need, const Resources& free,
                        std::uint64_t limit);
bool WantsOneRack(const Unit& unit);
bool SomeRackCouldHold(const Pass& pass, const Unit& unit);
// Whether the rooms could hold the unit if they were empty.
bool CouldHold(const Pass& pass, const Unit& unit,
               const std::vector<std::size_t>& rooms);
std::vector<std::size_t> AllRooms(const Pass& pass);
// Tasks of the unit's step in the room.
std::uint32_t TasksHere(const Room& room, const Unit& unit);
// Whether the unit's tasks may run in the room at all.
bool Allowed(const Room& room, const Unit& unit);
// Lower is better: near the data, at the pace that suits the unit, then what is
// left over after the task.
using FitRank = std::tuple<bool, int, std::int64_t, std::int64_t>;
FitRank RankFit(const Room& room, const Unit& unit, const Resources& left);
// One room a task, or nothing when not all fit. A unit that wants one rack gets
// several only if it may `spread`.
std::optional<std::vector<std::size_t>> FitUnit(const Pass& pass,
                                                const Unit& unit,
                                                const RoomView& view,
                                                bool spread);

// graph_placement_trial.cc

// What it costs to have a group gone.
using GroupCost = std::int64_t (*)(const Group& group);

std::int64_t LostWork(const Group& group);
std::int64_t WaitForEnd(const Group& group);

// A way to place a unit once some groups are gone.
struct Trial {
  std::vector<std::size_t> chosen_;
  std::set<std::size_t> groups_;
  std::int64_t cost_ = 0;
};

// What the unit may count on in a trial.
struct TrialRules {
  GroupCost cost_ = &LostWork;
  // Only groups that may be stopped for the unit; otherwise all that run.
  bool stop_ = true;
};

// The cheapest way; nothing when the unit does not fit even then.
std::optional<Trial> TryUnit(const Pass& pass, const Unit& unit,
                             const TrialRules& rules, bool spread);

}  // namespace flamingohollow::graph_placement_internal

#endif  // FLAMINGOHOLLOW_GRAPH_PLACEMENT_PASS_H_
