// Tests of the workers' speeds, learned from rates of their tasks.

#include "flamingohollow/worker_speed.h"

#include <doctest/doctest.h>

#include <cmath>
#include <cstddef>
#include <random>
#include <vector>

namespace flamingohollow::testing {
namespace {

constexpr Time kNow(1'000'000);
constexpr std::size_t kWorkers = 90;

// Workers `i` of a pool have the speed `factor` to the power of i % 3 - 1.
double TrueSpeed(std::size_t i, double factor) {
  return (static_cast<double>(i % 3) - 1) * std::log(factor);
}

// Simulates steps of 13 tasks on random workers. 3% of the tasks are seven
// times as long.
std::vector<WorkerSpeed> Learn(double factor, bool gangs, int steps) {
  std::mt19937_64 random(5);
  std::normal_distribution<double> normal;
  std::vector<WorkerSpeed> workers(kWorkers);
  for (int i = 0; i < steps; ++i) {
    StepRate step;
    const double rate = std::log(0.1) + normal(random);
    for (int task = 0; task < 13; ++task) {
      const std::size_t worker = random() % kWorkers;
      const double work = gangs ? 0 : 0.15 * normal(random);
      const double odd = !gangs && random() % 100 < 3 ? std::log(7) : 0;
      LearnSpeed(workers[worker], step,
                 rate + TrueSpeed(worker, factor) - work - odd, gangs, kNow);
    }
  }
  return workers;
}

std::optional<SpeedSpread> SpreadOf(const std::vector<WorkerSpeed>& workers) {
  std::vector<double> known;
  for (const WorkerSpeed& worker : workers) {
    if (IsSpeedKnown(worker, kNow)) known.push_back(MeasuredLogSpeed(worker));
  }
  return FindWideSpread(known);
}

void CheckClasses(const std::vector<WorkerSpeed>& workers, int max_wrong) {
  const auto spread = SpreadOf(workers);
  REQUIRE(spread.has_value());
  int wrong = 0;
  for (std::size_t i = 0; i < kWorkers; ++i) {
    const SpeedClass speed = ClassOf(workers[i], *spread, kNow);
    if (speed != static_cast<SpeedClass>(i % 3)) ++wrong;
  }
  CHECK_LE(wrong, max_wrong);
}

TEST_CASE("a few tasks on each worker tell slow workers from fast ones") {
  CheckClasses(Learn(1.6, false, 40), 9);
  CheckClasses(Learn(1.6, true, 40), 9);
}

TEST_CASE("speeds within a factor of 1.6 don't differ widely") {
  CHECK_FALSE(SpreadOf(Learn(1.0, false, 60)).has_value());
  CHECK_FALSE(SpreadOf(Learn(1.25, false, 60)).has_value());
  CHECK_FALSE(SpreadOf(Learn(1.25, true, 60)).has_value());
}

// A new leader may begin with speeds of one measurement each.
TEST_CASE("one measurement of each worker shows that a pool is uneven") {
  std::vector<WorkerSpeed> workers(kWorkers);
  for (std::size_t i = 0; i < kWorkers; ++i) {
    StepRate step{std::log(0.1), 0.05, 5};
    LearnSpeed(workers[i], step, std::log(0.1) + TrueSpeed(i, 1.6), false,
               kNow);
  }
  CheckClasses(workers, 0);
}

TEST_CASE("few known workers say nothing about their pool") {
  CHECK_FALSE(FindWideSpread({}).has_value());
  CHECK_FALSE(FindWideSpread({-1, -1, -1, 0, 0, 0, 1, 1, 1}).has_value());
}

TEST_CASE("a task far longer than its step's others says nothing") {
  WorkerSpeed worker;
  StepRate step{std::log(0.1), 0.01, 5};
  LearnSpeed(worker, step, std::log(0.1 / 7), false, kNow);
  CHECK_EQ(worker.log_speed_, 0);
  CHECK_EQ(step.log_rate_, std::log(0.1));
  SUBCASE("also if it was measured first") {
    StepRate fresh;
    LearnSpeed(worker, fresh, std::log(0.1 / 7), false, kNow);
    LearnSpeed(worker, fresh, std::log(0.1), false, kNow);
    CHECK_EQ(worker.log_speed_, 0);
    CHECK_EQ(fresh.log_rate_, std::log(0.1));
  }
}

TEST_CASE("a worker that has become slow is found in some tasks") {
  WorkerSpeed worker{std::log(1.6), 0.01, kNow};
  for (int i = 1; i <= 6; ++i) {
    StepRate step{std::log(0.1), 0.01, 5};
    LearnSpeed(worker, step, std::log(0.1 / 1.6), false,
               kNow + Duration(5000) * i);
  }
  CHECK_LT(worker.log_speed_, 0);
}

TEST_CASE("knowledge is lost after minutes without measurements") {
  const WorkerSpeed worker{0.5, 0.01, kNow};
  CHECK(IsSpeedKnown(worker, kNow + Duration(60'000)));
  CHECK_FALSE(IsSpeedKnown(worker, kNow + Duration(300'000)));
}

TEST_CASE("a known speed is recorded again only if it changes") {
  WorkerSpeed worker{0.47, 0.02, kNow};
  const auto recorded = SpeedToRecord(worker, nullptr, kNow);
  REQUIRE(recorded.has_value());
  const WorkerSpeed read = SpeedFromRecord(*recorded, kNow);
  CHECK_EQ(read.log_speed_, doctest::Approx(0.47));
  CHECK_EQ(read.variance_, doctest::Approx(0.02));
  CHECK_FALSE(SpeedToRecord(worker, &*recorded, kNow).has_value());
  SUBCASE("far faster") { worker.log_speed_ = 0.7; }
  SUBCASE("far surer") { worker.variance_ = 0.005; }
  CHECK_EQ(SpeedToRecord(worker, &*recorded, kNow).has_value(),
           worker.log_speed_ != 0.47 || worker.variance_ != 0.02);
  worker.variance_ = kUnknownSpeedVariance;
  CHECK_FALSE(SpeedToRecord(worker, nullptr, kNow).has_value());
}

}  // namespace
}  // namespace flamingohollow::testing
