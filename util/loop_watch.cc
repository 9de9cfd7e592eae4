// Keeps the last turns and the last gap.

#include "util/loop_watch.h"

#include <algorithm>

namespace flamingohollow {
namespace {

void NoteGap(LoopWatch& watch, Time now) {
  const Duration gap = now - watch.turn_;
  if (gap <= kMaxTurnGap) return;
  // The loop may not have caught up since an earlier gap.
  if (now >= watch.caught_up_) watch.gap_began_ = watch.turn_;
  watch.caught_up_ = now + std::min(gap, kMaxCatchUp);
}

}  // namespace

LoopWatch MakeLoopWatch(Time now) {
  LoopWatch watch;
  watch.turn_ = now;
  watch.previous_turn_ = now;
  return watch;
}

void RecordTurn(LoopWatch& watch, Time now) {
  NoteGap(watch, now);
  watch.previous_turn_ = watch.turn_;
  watch.turn_ = now;
}

Time EarliestArrival(LoopWatch& watch, Time now) {
  // After a gap, requests may be read before the turn is recorded.
  if (now - watch.turn_ > kMaxTurnGap) RecordTurn(watch, now);
  return now < watch.caught_up_ ? watch.gap_began_ : watch.previous_turn_;
}

}  // namespace flamingohollow
