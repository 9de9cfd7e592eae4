// Checks service levels under loads like those of the first users. The bounds
// are the product's targets.

#include "flamingohollow/testing/graph_load.h"

#include <doctest/doctest.h>

#include <cstdint>

namespace flamingohollow::testing {
namespace {

constexpr int kWorkers = 48;
constexpr std::uint64_t kSeeds = 6;
constexpr std::size_t kUrgent = 0;
// Minimum share of the jobs of priority 0 that are on time at the usual load.
constexpr double kMinUrgentOnTime = 0.95;
// Maximum share of the requested work that may be wasted at that load.
constexpr double kMaxWastedShare = 0.1;

// Maximum share of jobs that use up their attempts while a tenth of the workers
// makes tasks fail.
constexpr double kMaxFailedShare = 0.01;

struct FailedJobs {
  double jobs_ = 0;
  double failed_ = 0;
  double value_ = 0;
  std::string violations_;

  void Add(const LoadResult& result) {
    for (const QueueResult& queue : result.queues_) {
      jobs_ += queue.jobs_;
      failed_ += queue.failed_;
    }
    value_ += result.earned_value_;
    violations_ += result.violations_;
  }
};

struct Totals {
  double jobs_ = 0;
  double on_time_ = 0;
  double wasted_work_ = 0;
  double requested_work_ = 0;
  std::string violations_;
};

Totals SimulateSeeds(const GraphLoad& load) {
  Totals sum;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const LoadResult result = SimulateLoad(load, {}, seed);
    sum.jobs_ += result.queues_[kUrgent].jobs_;
    sum.on_time_ += result.queues_[kUrgent].on_time_;
    sum.wasted_work_ += result.wasted_work_;
    sum.requested_work_ += result.requested_work_;
    sum.violations_ += result.violations_;
  }
  return sum;
}

// Guards against preempting too late: a gang that preempts only when its
// estimate just fits its deadline misses it if its work takes longer than
// estimated or its workers are slow.
TEST_CASE("urgent jobs are on time at the usual load") {
  const Totals totals =
      SimulateSeeds(MakeDispatchLoad(kWorkers, LoadDisturbance::kNone));
  CHECK_GE(totals.on_time_, totals.jobs_ * kMinUrgentOnTime);
  CHECK_LE(totals.wasted_work_, totals.requested_work_ * kMaxWastedShare);
  CHECK_EQ(totals.violations_, "");
}

TEST_CASE("urgent jobs stay on time during a burst of large jobs") {
  const Totals totals =
      SimulateSeeds(MakeDispatchLoad(kWorkers, LoadDisturbance::kBurst));
  CHECK_GE(totals.on_time_, totals.jobs_ * kMinUrgentOnTime);
  CHECK_EQ(totals.violations_, "");
}

TEST_CASE("sound jobs go on while most urgent jobs crash their workers") {
  GraphLoad load = MakeTimecastLoad(kWorkers, LoadDisturbance::kNone);
  load.deadly_share_ = 0.6;
  for (std::uint64_t seed = 1; seed <= kSeeds / 2; ++seed) {
    CAPTURE(seed);
    const LoadResult result = SimulateLoad(load, {}, seed);
    CHECK_EQ(result.violations_, "");
    for (const QueueResult& queue : result.queues_) {
      CHECK_EQ(queue.failed_, 0);
    }
    CHECK_GT(result.deadly_failed_, result.deadly_ / 2);
  }
}

// A member that fails breaks its gang, and gangs have few attempts, so workers
// that fail half of their tasks must be found by their first failures.
TEST_CASE(
    "few jobs fail while a tenth of the workers fails half of its tasks") {
  const GraphLoad load =
      MakeDispatchLoad(kWorkers, LoadDisturbance::kFailingWorkers);
  SchedulerOptions trusting;
  trusting.placement_.avoid_suspects_ = false;
  FailedJobs with;
  FailedJobs without;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    with.Add(SimulateLoad(load, {}, seed));
    without.Add(SimulateLoad(load, trusting, seed));
  }
  CHECK_EQ(with.violations_, "");
  CHECK_LE(with.failed_, with.jobs_ * kMaxFailedShare);
  CHECK_LT(with.failed_, without.failed_);
  CHECK_GT(with.value_, without.value_);
}

TEST_CASE("no rule is violated while workers are disconnected or slow") {
  for (const LoadDisturbance disturbance :
       {LoadDisturbance::kDisconnectedWorkers, LoadDisturbance::kSlowWorkers}) {
    CHECK_EQ(SimulateLoad(MakeTimecastLoad(kWorkers, disturbance), {}, 1)
                 .violations_,
             "");
  }
}

}  // namespace
}  // namespace flamingohollow::testing
