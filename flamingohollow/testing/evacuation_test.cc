// Tests the evacuation of failure domains: the orders, and what they stop.

#include "flamingohollow/evacuation.h"

#include <doctest/doctest.h>

#include <string>

#include "flamingohollow/testing/graph_world.h"

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

}  // namespace
}  // namespace flamingohollow::testing
