// How fast each worker is, learned from the progress of the tasks on it.
//
// Workers of one pool may differ, by their make or because something is wrong
// with them, and say nothing of it. The tasks of one step tell: members of a
// gang have equal work, lone tasks nearly so, and what one of them does in a
// second against the others is the pace of its worker. Estimates play no part;
// they are off by more than the difference that is looked for.
//
// Pure. A pace is a natural logarithm. Only differences mean something: a
// worker is slow against the typical one of its pool.
//
// The load that it is made for: a third of the workers 1.3 times as slow for
// good, or a tenth of them several times as slow for some seconds, while urgent
// gangs have half of their work's length to spare.

#ifndef FLAMINGOHOLLOW_WORKER_PACE_H_
#define FLAMINGOHOLLOW_WORKER_PACE_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "util/clock.h"

namespace flamingohollow {

struct WorkerPace {
  double log_pace_ = 0;
  std::uint32_t samples_ = 0;
  Time sampled_;
};

// What a step's tasks do on a sound worker, in share of their work a second.
struct StepPace {
  double log_rate_ = 0;
  std::uint32_t samples_ = 0;
};

// How far a task was when its worker showed it.
struct ProgressPoint {
  std::int64_t percent_ = 0;
  Time at_;
};

enum class PaceClass : std::uint8_t {
  kFull = 0,
  kSlow = 1,
  // Tasks take more than twice as long: something is wrong with the worker.
  kVerySlow = 2,
};

// The share of its work that a task did in a second between the two points, as
// a logarithm; nothing when they are too close to tell.
std::optional<double> RateBetween(const ProgressPoint& from,
                                  const ProgressPoint& to);

// Learns from the rate of one task. `equal_work`: the step's tasks have equal
// work, as those of a gang do. True when the worker was far off what is known
// of it.
bool LearnPace(WorkerPace& worker, StepPace& step, double log_rate,
               bool equal_work, Time now);

// The median of the paces; 0 for none.
double TypicalPace(std::vector<double> paces);

// A worker that is very slow gets nothing to be measured by; with time it
// counts as merely slow, and is tried again.
PaceClass PaceOf(const WorkerPace& worker, double typical, Time now);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_WORKER_PACE_H_
