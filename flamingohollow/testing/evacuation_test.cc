// Tests the evacuation of failure domains: the orders, and what they stop.

#include "flamingohollow/evacuation.h"

#include <doctest/doctest.h>

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "flamingohollow/graph_state.h"
#include "flamingohollow/testing/graph_world.h"
#include "flamingohollow/testing/replica_group.h"
#include "util/pack.h"

namespace flamingohollow::testing {
namespace {

const FailureDomain kNorth("north");
const FailureDomain kSouth("south");
const EvacuationOrder kEvacuate{kNorth, true, 0, Time(1)};
const EvacuationOrder kTakeBack{kNorth, false, 0, Time(2)};

Evacuations After(const std::vector<EvacuationOrder>& orders) {
  Evacuations evacuations;
  for (const EvacuationOrder& order : orders) {
    ApplyEvacuation(evacuations, order);
  }
  return evacuations;
}

TEST_CASE("the last order without a number is in force") {
  CHECK_FALSE(IsEvacuated({}, kNorth));
  CHECK(IsEvacuated(After({kEvacuate}), kNorth));
  CHECK_FALSE(IsEvacuated(After({kEvacuate}), kSouth));
  CHECK_FALSE(IsEvacuated(After({kEvacuate, kTakeBack}), kNorth));
}

TEST_CASE("an order that is repeated late does not undo a newer one") {
  const EvacuationOrder evacuate{kNorth, true, 1, Time(1)};
  const EvacuationOrder take_back{kNorth, false, 2, Time(2)};
  CHECK_FALSE(IsEvacuated(After({evacuate, take_back, evacuate}), kNorth));
  CHECK_FALSE(IsEvacuated(After({take_back, evacuate}), kNorth));
  const EvacuationOrder again{kNorth, true, 3, Time(3)};
  CHECK(IsEvacuated(After({take_back, again, take_back}), kNorth));
}

TEST_CASE("a repeated order leaves the time of the first") {
  const auto evacuations =
      After({{kNorth, true, 0, Time(1)}, {kNorth, true, 0, Time(5)}});
  CHECK_EQ(evacuations.at(kNorth).ordered_, Time(1));
}

// A third of the pool leaves while twice its room is asked for.
TEST_CASE("under load nothing starts in an evacuated domain, and all is done") {
  GraphWorld world({.racks_ = 3, .per_rack_ = 4});
  for (std::uint64_t job = 1; job <= 12; ++job) {
    world.Submit(job, {MakeGang(4, 8, Duration(1500), true)},
                 {.priority_ = static_cast<std::uint32_t>(job % 3)});
  }
  world.RunFor(Duration(700));
  world.Evacuate(0, true);
  world.RunFor(Duration(300));
  const int started_before = world.running_on_rack(0);
  world.RunFor(Duration(2500));
  CHECK_GT(started_before, 0);
  CHECK_EQ(world.running_on_rack(0), 0);
  CHECK_EQ(world.stops(), 0);
  world.RunFor(Duration(30'000));
  CHECK(world.AllEnded());
  CHECK(world.violations().empty());
}

TEST_CASE("a new leader starts nothing in an evacuated domain") {
  GraphWorld world({.racks_ = 2, .per_rack_ = 1});
  world.RunFor(Duration(500));
  world.Evacuate(0, true);
  world.RunFor(Duration(100));
  world.ChangeLeader();
  world.Submit(1, {MakeStep(2, 8, Duration(1000))}, {});
  world.RunFor(Duration(4000));
  CHECK_EQ(world.JobState(1), GraphJobState::kCompleted);
  CHECK(world.violations().empty());
}

TEST_CASE("an unanswered start is not repeated in an evacuated domain") {
  GraphWorld world({.racks_ = 1, .per_rack_ = 1});
  world.RunFor(Duration(500));
  world.Disconnect(0);
  world.Submit(1, {MakeStep(1, 8, Duration(1000))}, {});
  world.RunFor(Duration(100));
  world.Evacuate(0, true);
  world.RunFor(Duration(100));
  world.Reconnect(0);
  world.RunFor(Duration(8000));
  CHECK_EQ(world.starts(), 0);
  CHECK(world.violations().empty());
  world.Evacuate(0, false);
  world.RunFor(Duration(8000));
  CHECK_EQ(world.JobState(1), GraphJobState::kCompleted);
}

TEST_CASE("a start of an earlier leader arrives after the order") {
  GraphWorld world({.racks_ = 1, .per_rack_ = 1});
  world.RunFor(Duration(500));
  world.SetLate(1000);
  world.Submit(1, {MakeStep(1, 8, Duration(1000))}, {});
  world.RunFor(Duration(100));
  world.SetLate(0);
  world.ChangeLeader();
  world.Evacuate(0, true);
  world.RunFor(Duration(15'000));
  CHECK_EQ(world.starts(), 0);
  CHECK(world.violations().empty());
}

TEST_CASE("a worker is cold as its newest report says") {
  const Time now(1'000'000);
  const GraphState state;
  Scheduler scheduler = MakeScheduler({}, FencingToken(1), state, now, now);
  PoolWorkerReport report = MakeReport("w", "r");
  const auto hear = [&](std::uint64_t sequence, Duration left) {
    report.sequence_ = sequence;
    Step(scheduler, state, report, now);
    Step(scheduler, state,
         WorkerCold{report.id_, report.incarnation_, sequence, left}, now);
    return IsCold(scheduler.fleet_.at(report.id_), now + Duration(500));
  };
  CHECK(hear(1, Duration(2000)));
  CHECK_FALSE(hear(3, Duration(0)));
  CHECK_FALSE(hear(2, Duration(1000)));
  CHECK_FALSE(hear(4, Duration(500)));
  report.incarnation_ = WorkerIncarnation(report.incarnation_.value() + 1);
  CHECK(hear(1, Duration(2000)));
}

// Holds the state of graph jobs.
class StateOwner : public RecordingOwner {
 public:
  void ApplyCommitted(LogIndex, std::string_view command) override {
    const auto record = Unpack<GraphRecord>(command);
    if (record.has_value()) ApplyRecord(state_, *record);
  }
  std::string EncodeSnapshot() override { return EncodeState(state_); }
  bool RestoreSnapshot(std::string_view snapshot) override {
    auto state = DecodeState(snapshot);
    if (!state.has_value()) return false;
    state_ = std::move(*state);
    ++restored_;
    return true;
  }

  GraphState state_;
  int restored_ = 0;
};

const StateOwner& OwnerOf(const ReplicaGroup::Node& node) {
  return static_cast<const StateOwner&>(*node.owner_);
}

TEST_CASE("orders survive lost disks and a restart of all nodes") {
  ReplicaOptions options;
  options.snapshot_log_entries_ = 4;
  options.raft_.keep_entries_ = 0;
  ReplicaGroup group(3, options, [] { return std::make_unique<StateOwner>(); });
  REQUIRE(group.Form());
  const auto order = [&group](const FailureDomain& domain, bool evacuate) {
    std::optional<ProposeOutcome> outcome;
    group.Leader()->replica_->Propose(
        Pack(GraphRecord(EvacuationRecord{{domain, evacuate, 0, Time(1)}})),
        [&outcome](const ProposeResult& r) { outcome = r.outcome_; });
    group.RunUntil([&outcome] { return outcome.has_value(); });
    return outcome == ProposeOutcome::kCommitted;
  };
  REQUIRE(order(kNorth, true));
  for (int i = 0; i < 5; ++i) {
    REQUIRE(order(kSouth, true));
    REQUIRE(order(kSouth, false));
  }
  const auto in_force = [](const ReplicaGroup::Node& node) {
    const Evacuations& evacuations = OwnerOf(node).state_.evacuations_;
    return evacuations.contains(kSouth) && IsEvacuated(evacuations, kNorth) &&
           !IsEvacuated(evacuations, kSouth);
  };
  std::size_t wiped = 0;
  while (&group.nodes()[wiped] == group.Leader()) ++wiped;
  group.Stop(wiped);
  group.Wipe(wiped);
  REQUIRE(group.Start(wiped));
  const ReplicaGroup::Node& node = group.nodes()[wiped];
  CHECK(group.RunUntil([&] { return in_force(node); }));
  CHECK_GT(OwnerOf(node).restored_, 0);
  for (std::size_t i = 0; i < 3; ++i) group.Stop(i);
  for (std::size_t i = 0; i < 3; ++i) REQUIRE(group.Start(i));
  REQUIRE(group.RunUntil([&] { return group.Leader() != nullptr; }));
  CHECK(in_force(*group.Leader()));
}

}  // namespace
}  // namespace flamingohollow::testing
