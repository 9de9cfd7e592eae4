// Bounds when a request that an event loop reads can have arrived.
//
// A request may wait in its socket while the process is suspended or starved.
// The loop records its turns; what it reads has arrived since an earlier turn.
// After a gap between two turns it may read requests of that gap for a while.
// Times are of the monotonic clock, which also counts suspension.

#ifndef UTIL_LOOP_WATCH_H_
#define UTIL_LOOP_WATCH_H_

#include "util/clock.h"

namespace flamingohollow {

// Interval of a loop's turns.
inline constexpr Duration kTurnInterval = Duration(100);
// A longer time between two turns is a gap.
inline constexpr Duration kMaxTurnGap = Duration(300);
// A loop takes at most this long, and at most as long as the gap, to read what
// has arrived in a gap.
inline constexpr Duration kMaxCatchUp = Duration(1000);

struct LoopWatch {
  // The last two turns.
  Time turn_;
  Time previous_turn_;
  // The last turn before the last gap, and until when requests of the gap may
  // be read.
  Time gap_began_;
  Time caught_up_;
};

LoopWatch MakeLoopWatch(Time now);
// Must be called every kTurnInterval.
void RecordTurn(LoopWatch& watch, Time now);
// Returns a time before which no request has arrived that is read now. If the
// loop has no gaps, at most two turn intervals ago.
Time EarliestArrival(LoopWatch& watch, Time now);

}  // namespace flamingohollow

#endif  // UTIL_LOOP_WATCH_H_
