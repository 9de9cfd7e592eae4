// Estimates the lasting speed of each worker, with its certainty.
//
// worker_pace.h finds workers that are likely to be faulty. This finds out how
// fast a sound worker is, so that a task's end on it can be predicted. Members
// of a gang have equal work and other tasks of a step nearly equal work; so the
// share of its work that a task does per second tells of its worker, once the
// step's rate on a typical worker is known. Both are estimated together.
//
// All functions are pure. Speeds and rates are natural logarithms with a
// variance. Only differences of speeds are meaningful.
//
// Designed for pools of 350 workers, a third each 0.6, 1.0 and 1.6 times as
// fast, where the work of a step's tasks differs by 15%, 3% of the tasks take
// seven times as long and each worker runs a few tasks a minute.

#ifndef FLAMINGOHOLLOW_WORKER_SPEED_H_
#define FLAMINGOHOLLOW_WORKER_SPEED_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "flamingohollow/graph_types.h"
#include "util/clock.h"

namespace flamingohollow {

// The variance of a worker's speed before anything was measured: most workers
// of a pool are within a factor of 1.6 of its typical speed.
inline constexpr double kUnknownSpeedVariance = 0.16;

// The speed of a worker as it was at `at_`.
struct WorkerSpeed {
  double log_speed_ = 0;
  double variance_ = kUnknownSpeedVariance;
  Time at_;
};

// The speed of one incarnation of a worker as its leader knew it, rounded.
struct LearnedSpeed {
  WorkerIncarnation incarnation_;
  // Natural logarithm of the speed, in hundredths.
  std::int32_t centilogs_ = 0;
  // Variance of the logarithm, in thousandths.
  std::uint32_t milli_variance_ = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(incarnation_, centilogs_, milli_variance_);
  }
};

// The share of their work that a step's tasks do per second on a worker of
// speed 1.
struct StepRate {
  double log_rate_ = 0;
  double variance_ = 0;
  // Tasks whose rates agree.
  std::uint32_t samples_ = 0;
};

// Updates both from the rate of one task, measured once (a natural logarithm).
// `equal_work` means that the step's tasks have equal work, as those of a gang
// do. Ignores a rate that speed does not explain: that of a task that stands
// still or is far longer than the others.
void LearnSpeed(WorkerSpeed& worker, StepRate& step, double log_rate,
                bool equal_work, Time now);

// Returns the speed as it is recorded in the log, without an incarnation, or
// nothing if it is not known or hardly differs from `recorded`, which may be
// null.
std::optional<LearnedSpeed> SpeedToRecord(const WorkerSpeed& worker,
                                          const LearnedSpeed* recorded,
                                          Time now);
WorkerSpeed SpeedFromRecord(const LearnedSpeed& recorded, Time now);

// Whether enough was measured on the worker to tell slow workers from fast
// ones. Knowledge is lost slowly without new measurements.
bool IsSpeedKnown(const WorkerSpeed& worker, Time now);

// Returns what the measurements alone say of a worker of known speed.
// `log_speed_` lies between that and the speed of a worker of which nothing is
// known, so that differences would seem too small while there are few
// measurements.
double MeasuredLogSpeed(const WorkerSpeed& worker);

// How fast a worker is beside the others of its pool.
enum class SpeedClass : std::uint8_t {
  kSlow = 0,
  kTypical = 1,
  kFast = 2,
  kUnknown = 3,
};

// The speeds of a pool whose workers are known to differ widely.
struct SpeedSpread {
  double log_typical_ = 0;
  // Medians of the slower and of the faster half, relative to the typical
  // speed (1).
  double slow_ = 1;
  double fast_ = 1;
};

// Returns nothing unless enough workers are known and the fast ones are at
// least kWideSpread times as fast as the slow ones. `log_speeds` are those
// measured of the workers of known speed.
std::optional<SpeedSpread> FindWideSpread(std::vector<double> log_speeds);

// Returns the worker's speed relative to the pool's typical speed (1), or 1 if
// it is not known.
double SpeedOf(const WorkerSpeed& worker, const SpeedSpread& spread, Time now);
SpeedClass ClassOf(const WorkerSpeed& worker, const SpeedSpread& spread,
                   Time now);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_WORKER_SPEED_H_
