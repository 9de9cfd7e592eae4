// Which urgent work is moved off slow workers.

#include "flamingohollow/slow_runs.h"

#include <doctest/doctest.h>

#include <cstdint>
#include <string>
#include <vector>

#include "flamingohollow/testing/graph_fixture.h"

namespace flamingohollow::testing {
namespace {

constexpr Time kNow(100'000);
constexpr Duration kSpan(1000);

// A pool of eight workers and an urgent gang of two tasks on the first two.
struct Pool {
  GraphState state_;
  Fleet fleet_ = MakeFleet(2, 4, kNow);

  explicit Pool(std::uint32_t priority = 0) {
    Submit(state_, 1, {MakeGang(2, 8, Duration(2500), false)},
           {.priority_ = priority});
    RunTask(state_, fleet_, 1, 0, "w0", kNow - kSpan);
    RunTask(state_, fleet_, 1, 1, "w1", kNow - kSpan);
  }

  Run& RunOn(const std::string& worker) {
    return fleet_.at(WorkerId(worker)).runs_.begin()->second;
  }
  // Sets the progress that the task on the worker made in kSpan.
  void SetProgress(const std::string& worker, std::int64_t percent) {
    RunOn(worker).first_progress_ = {.percent_ = 0, .at_ = kNow - kSpan};
    RunOn(worker).progress_ = {.percent_ = percent, .at_ = kNow};
  }
  std::vector<std::string> Slow() {
    std::vector<std::string> workers;
    for (const SlowRun& slow : FindSlowRuns(state_, fleet_, {}, kNow)) {
      workers.push_back(slow.worker_.value());
    }
    return workers;
  }
};

const std::vector<std::string> kNone;

TEST_CASE("a gang with a member that stands still is moved") {
  Pool pool;
  pool.SetProgress("w0", 40);
  CHECK_EQ(pool.Slow(), kNone);
  pool.SetProgress("w1", 0);
  CHECK_EQ(pool.Slow(), std::vector<std::string>{"w1"});
  SUBCASE("a member that is being stopped") {
    pool.RunOn("w0").phase_ = RunPhase::kStopping;
    CHECK_EQ(pool.Slow(), kNone);
  }
}

TEST_CASE("a gang stays if a new attempt would not end sooner") {
  Pool pool;
  pool.SetProgress("w0", 40);
  pool.SetProgress("w1", 25);
  CHECK_EQ(pool.Slow(), kNone);
  // None of the members has begun, as another one is still being started.
  pool.SetProgress("w0", 0);
  pool.SetProgress("w1", 0);
  CHECK_EQ(pool.Slow(), kNone);
}

TEST_CASE("only urgent work is moved") {
  Pool pool(1);
  pool.SetProgress("w0", 40);
  pool.SetProgress("w1", 0);
  CHECK_EQ(pool.Slow(), kNone);
}

TEST_CASE("work is moved twice at most") {
  Pool pool;
  pool.SetProgress("w0", 40);
  pool.SetProgress("w1", 0);
  for (const char* id : {"w0", "w1"}) {
    auto& runs = pool.fleet_.at(WorkerId(id)).runs_;
    auto run = runs.extract(runs.begin());
    run.key().attempt_ = AttemptId(3);
    runs.insert(std::move(run));
  }
  CHECK_EQ(pool.Slow(), kNone);
}

// A quarter of the pool is slow already, so it is no fault of single workers.
TEST_CASE("few workers of a pool are left for slowness") {
  Pool pool;
  pool.SetProgress("w0", 40);
  pool.SetProgress("w1", 0);
  pool.fleet_.at(WorkerId("w5")).avoid_until_ = kNow + Duration(1);
  CHECK_EQ(pool.Slow(), std::vector<std::string>{"w1"});
  pool.fleet_.at(WorkerId("w6")).avoid_until_ = kNow + Duration(1);
  CHECK_EQ(pool.Slow(), kNone);
}

TEST_CASE("a task without other members is compared with its estimate") {
  Pool pool;
  GraphState state;
  Fleet fleet = MakeFleet(2, 4, kNow);
  Submit(state, 1, {MakeStep(1, 8, Duration(2500))}, {.priority_ = 0});
  RunTask(state, fleet, 1, 0, "w0", kNow - kSpan);
  Run& run = fleet.at(WorkerId("w0")).runs_.begin()->second;
  run.first_progress_ = {.percent_ = 0, .at_ = kNow - kSpan};
  run.progress_ = {.percent_ = 20, .at_ = kNow};
  CHECK(FindSlowRuns(state, fleet, {}, kNow).empty());
  run.progress_ = {.percent_ = 5, .at_ = kNow};
  CHECK_EQ(FindSlowRuns(state, fleet, {}, kNow).size(), 1);
}

}  // namespace
}  // namespace flamingohollow::testing
