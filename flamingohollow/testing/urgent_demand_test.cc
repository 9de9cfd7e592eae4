// Tests how the room kept for urgent jobs follows what they needed.

#include "flamingohollow/urgent_demand.h"

#include <doctest/doctest.h>

#include "flamingohollow/testing/graph_fixture.h"

namespace flamingohollow::testing {
namespace {

constexpr Time kNow(100'000);
const PoolName kPool("pool");

ResourcesByPool Need(std::int64_t accelerators) {
  return {{kPool, {.millicores_ = 0, .accelerators_ = accelerators}}};
}

// Returns the accelerators that are kept free beside `needed`.
std::int64_t Kept(const UrgentDemands& demands, std::int64_t needed,
                  Time now = kNow) {
  const ResourcesByPool room = RoomToKeep(demands, Need(needed), now);
  const auto found = room.find(kPool);
  return found == room.end() ? 0 : found->second.accelerators_;
}

TEST_CASE("urgent need counts the unfinished tasks that may run now") {
  GraphState state;
  Fleet fleet = MakeFleet(1, 1, kNow);
  StepSpec second = MakeStep(5, 8, Duration(1000));
  second.after_ = {0};
  Submit(state, 1, {MakeStep(3, 2, Duration(1000)), second}, {.priority_ = 0});
  Submit(state, 2, {MakeStep(9, 8, Duration(1000))}, {.priority_ = 1});
  RunTask(state, fleet, 1, 0, "w0", kNow);
  CHECK_EQ(UrgentNeed(state).at(kPool).accelerators_, 6);
  CHECK_EQ(UrgentNeed(state).at(kPool).millicores_, 3000);
}

TEST_CASE("without preempted tasks no room is kept") {
  UrgentDemands demands;
  RecordNeed(demands, Need(100), kNow);
  CHECK(RoomToKeep(demands, Need(0), kNow).empty());
}

TEST_CASE("under contention the room of the last seconds is kept") {
  UrgentDemands demands;
  RecordNeed(demands, Need(100), kNow);
  RecordPreempted(demands, kPool, 100, kNow);
  CHECK_EQ(Kept(demands, 40), 60);
  CHECK_EQ(Kept(demands, 200), 0);
  SUBCASE("a smaller need does not replace it at once") {
    RecordNeed(demands, Need(10), kNow + Duration(1000));
    CHECK_GT(Kept(demands, 0, kNow + Duration(1000)), 80);
  }
  SUBCASE("it is forgotten within a minute") {
    CHECK_EQ(Kept(demands, 0, kNow + Duration(60'000)), 0);
  }
}

}  // namespace
}  // namespace flamingohollow::testing
