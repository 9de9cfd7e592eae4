// Estimates the speed (pace) of each worker from the progress of its tasks.
//
// Workers of one pool may differ in speed, because of their hardware or because
// of a fault, and don't report it. It is inferred by comparing tasks of one
// step: members of a gang have equal work and other tasks nearly equal work, so
// differences in their progress per second are differences between their
// workers. Estimates of a task's duration are not used: their error is larger
// than the differences to be found.
//
// All functions are pure. A pace is a natural logarithm. Only differences are
// meaningful: a worker is slow relative to the typical pace of its pool.
//
// Designed for pools where a third of the workers is permanently 1.3 times as
// slow, or a tenth is several times as slow for some seconds, while urgent
// gangs have slack of half of their work's length.

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
  Time last_sample_at_;
};

// The rate of a step's tasks on a worker without faults, as the logarithm of
// the share of their work done per second.
struct StepPace {
  double log_rate_ = 0;
  std::uint32_t samples_ = 0;
};

// A task's progress when its worker reported it.
struct ProgressPoint {
  std::int64_t percent_ = 0;
  Time at_;
};

enum class PaceClass : std::uint8_t {
  kFull = 0,
  kSlow = 1,
  // Tasks take more than twice as long; the worker is likely to be faulty.
  kVerySlow = 2,
};

// Returns the logarithm of the share of its work that a task did per second
// between the two points, or nothing if they are too close to give a rate.
std::optional<double> RateBetween(const ProgressPoint& from,
                                  const ProgressPoint& to);

// Updates both paces from the rate of one task. `equal_work` means that the
// step's tasks have equal work, as those of a gang do. Returns true if the rate
// deviates far from what the known paces predict.
bool LearnPace(WorkerPace& worker, StepPace& step, double log_rate,
               bool equal_work, Time now);

// Returns the median of the paces, or 0 if there are none.
double TypicalPace(std::vector<double> paces);

// Classifies a worker's pace relative to the `typical` pace of its pool. A very
// slow worker gets no tasks and so no new samples; after some time without any
// it counts as only slow, so that it is tried again.
PaceClass PaceOf(const WorkerPace& worker, double typical, Time now);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_WORKER_PACE_H_
