// Tests how failures and successes change the suspicion of a worker.

#include "flamingohollow/worker_suspicion.h"

#include <doctest/doctest.h>

#include <random>

namespace flamingohollow {
namespace {

constexpr Time kNow(100'000);

WorkerSuspicion After(int failures, int successes) {
  WorkerSuspicion suspicion;
  for (int i = 0; i < failures; ++i) RecordOutcome(suspicion, true, kNow);
  for (int i = 0; i < successes; ++i) RecordOutcome(suspicion, false, kNow);
  return suspicion;
}

TEST_CASE("one failure makes a suspect, two a worker that is likely faulty") {
  CHECK_FALSE(IsSuspect(After(0, 0), kNow));
  CHECK(IsSuspect(After(1, 0), kNow));
  CHECK_FALSE(IsLikelyFaulty(After(1, 0), kNow));
  CHECK(IsLikelyFaulty(After(2, 0), kNow));
}

TEST_CASE("successes clear a suspect") {
  CHECK_FALSE(IsSuspect(After(1, 3), kNow));
  CHECK_FALSE(IsLikelyFaulty(After(2, 2), kNow));
}

TEST_CASE("earlier successes don't hide a fault that begins now") {
  WorkerSuspicion suspicion = After(0, 1000);
  RecordOutcome(suspicion, true, kNow);
  CHECK(IsSuspect(suspicion, kNow));
}

TEST_CASE("a worker is trusted again some seconds after its failures") {
  const WorkerSuspicion suspicion = After(20, 0);
  CHECK(IsLikelyFaulty(suspicion, kNow + Duration(4000)));
  CHECK_FALSE(IsLikelyFaulty(suspicion, kNow + Duration(10'000)));
  CHECK_FALSE(IsSuspect(suspicion, kNow + Duration(30'000)));
}

// A pool in which every task may fail by its own fault must not lose workers
// that are sound.
TEST_CASE("a sound worker is rarely excluded") {
  std::mt19937_64 random(1);
  WorkerSuspicion suspicion;
  int excluded = 0;
  constexpr int kTasks = 10'000;
  for (int i = 0; i < kTasks; ++i) {
    const Time now = kNow + Duration(700) * i;
    RecordOutcome(suspicion, random() % 1000 < 35, now);
    if (IsLikelyFaulty(suspicion, now)) ++excluded;
  }
  CHECK(excluded < kTasks / 100);
}

}  // namespace
}  // namespace flamingohollow
