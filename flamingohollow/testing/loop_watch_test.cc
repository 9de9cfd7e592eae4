// Tests when a request that a loop reads can have arrived, with random turns.

#include "util/loop_watch.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdint>
#include <random>

namespace flamingohollow {
namespace {

TEST_CASE("a request of a gap is as old as the gap") {
  LoopWatch watch = MakeLoopWatch(Time(1000));
  RecordTurn(watch, Time(1100));
  SUBCASE("read before the turn after the gap") {}
  SUBCASE("read after that turn") { RecordTurn(watch, Time(8101)); }
  CHECK_EQ(EarliestArrival(watch, Time(8102)), Time(1100));
  for (std::int64_t turn = 8202; turn <= 9202; turn += 100) {
    RecordTurn(watch, Time(turn));
    const Time expected = turn < 9102 ? Time(1100) : Time(turn - 100);
    CHECK_EQ(EarliestArrival(watch, Time(turn)), expected);
  }
}

TEST_CASE("a second gap is as old as the first until the loop has caught up") {
  LoopWatch watch = MakeLoopWatch(Time(1000));
  CHECK_EQ(EarliestArrival(watch, Time(1500)), Time(1000));
  CHECK_EQ(EarliestArrival(watch, Time(1900)), Time(1000));
  CHECK_EQ(EarliestArrival(watch, Time(2250)), Time(1000));
}

// Guards against a late request that counts as fresh, and against fresh ones
// that are refused without a gap.
TEST_CASE("random turns: no request is taken for younger than it is") {
  for (std::uint64_t seed = 1; seed <= 2000; ++seed) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    const auto pick = [&random](std::int64_t most) {
      return Duration(static_cast<std::int64_t>(random() % most));
    };
    Time now(100'000);
    LoopWatch watch = MakeLoopWatch(now);
    for (int turn = 0; turn < 60; ++turn) {
      const bool suspended = random() % 8 == 0;
      const Duration pause = kTurnInterval + pick(suspended ? 8000 : 100);
      const Time arrived = now + pick(pause.ms() + 1);
      const bool caught_up = now >= watch.caught_up_;
      now = now + pause;
      if (!suspended || random() % 2 == 0) RecordTurn(watch, now);
      // The loop reads what waits within the time that it has to catch up.
      const Duration most =
          suspended ? std::min(pause, kMaxCatchUp) : kTurnInterval;
      const Time read = now + pick(most.ms());
      const Time earliest = EarliestArrival(watch, read);
      CHECK_LE(earliest, arrived);
      if (!suspended && caught_up) {
        CHECK_LE(read - earliest, kTurnInterval * 6);
      }
      now = read;
      RecordTurn(watch, now);
    }
  }
}

}  // namespace
}  // namespace flamingohollow
