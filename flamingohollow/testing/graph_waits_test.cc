// Tests of what is said about jobs that wait.

#include "flamingohollow/graph_waits.h"

#include <doctest/doctest.h>

#include <map>

#include "flamingohollow/testing/graph_fixture.h"

namespace flamingohollow::testing {
namespace {

constexpr Time kNow(100'000);

TEST_CASE("a job is idle from when its last task ends until the next runs") {
  GraphState state;
  Fleet fleet = MakeFleet(1, 1, kNow);
  Submit(state, 1, {MakeStep(2, 1, Duration(1000))}, {});
  IdleJobs idle;
  UpdateIdleJobs(idle, state, fleet, kNow);
  UpdateIdleJobs(idle, state, fleet, kNow + Duration(500));
  CHECK_EQ(idle.at(MakeKey(1)), kNow);
  RunTask(state, fleet, 1, 0, "w0", kNow);
  UpdateIdleJobs(idle, state, fleet, kNow + Duration(1000));
  CHECK(idle.empty());
  fleet.begin()->second.runs_.begin()->second.end_proposed_ = true;
  UpdateIdleJobs(idle, state, fleet, kNow + Duration(1500));
  CHECK_EQ(idle.at(MakeKey(1)), kNow + Duration(1500));
  Submit(state, 2, {MakeStep(1, 1, Duration(1000))}, {});
  ApplyRecord(state, CancelRecord{MakeKey(1), kNow});
  UpdateIdleJobs(idle, state, fleet, kNow + Duration(2000));
  CHECK_EQ(idle.size(), 1);
  CHECK(idle.contains(MakeKey(2)));
}

TEST_CASE("what a job waits for") {
  GraphState state;
  Fleet fleet = MakeFleet(1, 1, kNow);
  Submit(state, 1, {MakeStep(1, 1, Duration(1000))}, {});
  const GraphJobKey key = MakeKey(1);
  const auto find = [&](const std::map<GraphJobKey, UnitWait>& waits) {
    return FindWait(key, fleet, waits);
  };
  CHECK_EQ(find({}), JobWait::kNotConsidered);
  CHECK_EQ(find({{key, UnitWait::kNoWorker}}), JobWait::kNoWorker);
  CHECK_EQ(find({{key, UnitWait::kNoRoom}}), JobWait::kNoRoom);
  CHECK_EQ(find({{key, UnitWait::kRoomKept}}), JobWait::kRoomKept);
  RunTask(state, fleet, 1, 0, "w0", kNow);
  Run& run = fleet.begin()->second.runs_.begin()->second;
  const std::map<RunPhase, JobWait> waits = {
      {RunPhase::kProposed, JobWait::kOpening},
      {RunPhase::kStarting, JobWait::kStarting},
      {RunPhase::kStopping, JobWait::kStopping},
      {RunPhase::kStopped, JobWait::kStopping},
      {RunPhase::kRecovering, JobWait::kRecovering}};
  for (const auto& [phase, wait] : waits) {
    run.phase_ = phase;
    CHECK_EQ(find({{key, UnitWait::kNoRoom}}), wait);
  }
  run.end_proposed_ = true;
  CHECK_EQ(find({}), JobWait::kEnding);
}

}  // namespace
}  // namespace flamingohollow::testing
