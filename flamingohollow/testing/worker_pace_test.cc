// Tests of the workers' paces, estimated from the progress of their tasks.

#include "flamingohollow/worker_pace.h"

#include <doctest/doctest.h>

#include <cmath>
#include <random>
#include <vector>

namespace flamingohollow::testing {
namespace {

constexpr Time kNow(1'000'000);

TEST_CASE("two points that are too close give no rate") {
  CHECK_FALSE(RateBetween({10, kNow}, {40, kNow + Duration(300)}).has_value());
  CHECK_FALSE(RateBetween({10, kNow}, {13, kNow + Duration(1500)}).has_value());
  const auto rate = RateBetween({10, kNow}, {60, kNow + Duration(1000)});
  REQUIRE(rate.has_value());
  CHECK_EQ(std::exp(*rate), doctest::Approx(0.5));
}

TEST_CASE("a stalled task has a rate near zero") {
  const auto rate = RateBetween({10, kNow}, {10, kNow + Duration(3000)});
  REQUIRE(rate.has_value());
  CHECK_LT(std::exp(*rate), 0.01);
}

// Simulates `steps` steps of 8 tasks on random workers. One worker in `one_in`
// is slower by a factor of `slowness` and should be classified as `slow`, the
// others as kFull. Returns the number of workers that are classified otherwise.
int CountMisclassified(bool gangs, int one_in, double slowness, PaceClass slow,
                       int steps) {
  std::mt19937_64 random(7);
  std::normal_distribution<double> normal;
  constexpr int kWorkers = 48;
  std::vector<WorkerPace> workers(kWorkers);
  const auto is_slow = [one_in](int i) { return i % one_in == 2; };
  for (int i = 0; i < steps; ++i) {
    StepPace step;
    const double rate = std::log(0.1) + normal(random);
    for (int task = 0; task < 8; ++task) {
      const int worker = static_cast<int>(random() % kWorkers);
      const double pace = is_slow(worker) ? -std::log(slowness) : 0;
      const double uneven = gangs ? 0 : 0.3 * normal(random);
      LearnPace(workers[static_cast<std::size_t>(worker)], step,
                rate + pace + uneven, gangs, kNow);
    }
  }
  std::vector<double> paces;
  paces.reserve(workers.size());
  for (const WorkerPace& worker : workers) paces.push_back(worker.log_pace_);
  const double typical = TypicalPace(paces);
  int misclassified = 0;
  for (int i = 0; i < kWorkers; ++i) {
    const PaceClass pace =
        PaceOf(workers[static_cast<std::size_t>(i)], typical, kNow);
    const PaceClass real = is_slow(i) ? slow : PaceClass::kFull;
    if (pace != real) ++misclassified;
  }
  return misclassified;
}

TEST_CASE("gangs reveal which workers are slower") {
  CHECK_LE(CountMisclassified(true, 3, 1.3, PaceClass::kSlow, 100), 2);
}

TEST_CASE("tasks of uneven work reveal most slow workers over time") {
  CHECK_LE(CountMisclassified(false, 3, 1.3, PaceClass::kSlow, 300), 10);
}

TEST_CASE("a worker that is several times as slow is found in a few tasks") {
  CHECK_LE(CountMisclassified(false, 10, 6, PaceClass::kVerySlow, 60), 5);
}

TEST_CASE("a very slow worker is tried again after a while") {
  WorkerPace worker{.log_pace_ = -2, .samples_ = 5, .last_sample_at_ = kNow};
  CHECK_EQ(PaceOf(worker, 0, kNow + Duration(1000)), PaceClass::kVerySlow);
  CHECK_EQ(PaceOf(worker, 0, kNow + Duration(10'000)), PaceClass::kSlow);
}

TEST_CASE("a single task says nothing about its worker") {
  WorkerPace worker;
  StepPace step;
  LearnPace(worker, step, std::log(0.01), false, kNow);
  CHECK_EQ(PaceOf(worker, 0, kNow), PaceClass::kFull);
}

}  // namespace
}  // namespace flamingohollow::testing
