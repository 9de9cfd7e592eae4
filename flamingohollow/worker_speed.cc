// A Kalman filter over two unknowns, the worker's speed and the step's rate,
// which takes their errors as independent.

#include "flamingohollow/worker_speed.h"

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace flamingohollow {
namespace {

// Variance of one measured rate. Progress is reported in whole percent and
// measured over a second or more; tasks of a step that is no gang also differ
// in work, mostly by less than a fifth.
constexpr double kNoiseEqualWork = 0.01;
constexpr double kNoiseUnevenWork = 0.04;
// A worker's speed changes: after five minutes nothing is known any more.
constexpr double kVariancePerSecond = kUnknownSpeedVariance / 300;
// A rate this far from what is expected is not explained by speed.
constexpr double kMaxDeviation = 1.1;
// A worker's speed is known from this variance down: one rate of a step whose
// rate is known suffices.
constexpr double kKnownVariance = 0.06;
// So many known workers show how the speeds of a pool differ.
constexpr std::size_t kMinKnownWorkers = 12;
// Urgent work has slack of about its own length: below this ratio of fast to
// slow workers most of it ends in time on any worker.
constexpr double kWideSpread = 1.9;

// Units of a recorded speed.
constexpr double kPerLog = 100;
constexpr double kPerVariance = 1000;
// A change of a speed by less than 15% is not recorded.
constexpr std::int32_t kRecordedCentilogs = 15;

double VarianceAt(const WorkerSpeed& worker, Time now) {
  if (worker.at_ == Time()) return worker.variance_;
  constexpr double kMsPerSecond = 1000;
  const double aged =
      worker.variance_ + kVariancePerSecond *
                             static_cast<double>((now - worker.at_).ms()) /
                             kMsPerSecond;
  return std::min(aged, kUnknownSpeedVariance);
}

}  // namespace

void LearnSpeed(WorkerSpeed& worker, StepRate& step, double log_rate,
                bool equal_work, Time now) {
  const double noise = equal_work ? kNoiseEqualWork : kNoiseUnevenWork;
  const double of_worker = VarianceAt(worker, now);
  const StepRate alone{log_rate - worker.log_speed_, of_worker + noise, 1};
  if (step.samples_ == 0) {
    step = alone;
    return;
  }
  const double deviation = alone.log_rate_ - step.log_rate_;
  if (std::abs(deviation) > kMaxDeviation) {
    // Either of a step's first two tasks may be the odd one.
    if (step.samples_ == 1) step = alone;
    return;
  }
  ++step.samples_;
  const double total = of_worker + step.variance_ + noise;
  worker.log_speed_ += of_worker / total * deviation;
  worker.variance_ = of_worker - of_worker * of_worker / total;
  worker.at_ = now;
  step.log_rate_ += step.variance_ / total * deviation;
  step.variance_ -= step.variance_ * step.variance_ / total;
}

std::optional<LearnedSpeed> SpeedToRecord(const WorkerSpeed& worker,
                                          const LearnedSpeed* recorded,
                                          Time now) {
  if (!IsSpeedKnown(worker, now)) return std::nullopt;
  const LearnedSpeed speed{
      .incarnation_ = {},
      .centilogs_ =
          static_cast<std::int32_t>(std::lround(worker.log_speed_ * kPerLog)),
      .milli_variance_ = static_cast<std::uint32_t>(
          std::ceil(VarianceAt(worker, now) * kPerVariance))};
  if (recorded == nullptr) return speed;
  const bool changed =
      std::abs(speed.centilogs_ - recorded->centilogs_) >= kRecordedCentilogs;
  const bool surer = speed.milli_variance_ * 2 < recorded->milli_variance_;
  if (!changed && !surer) return std::nullopt;
  return speed;
}

WorkerSpeed SpeedFromRecord(const LearnedSpeed& recorded, Time now) {
  return {
      recorded.centilogs_ / kPerLog,
      std::min(recorded.milli_variance_ / kPerVariance, kUnknownSpeedVariance),
      now};
}

bool IsSpeedKnown(const WorkerSpeed& worker, Time now) {
  return VarianceAt(worker, now) <= kKnownVariance;
}

double MeasuredLogSpeed(const WorkerSpeed& worker) {
  const double weight = 1 - worker.variance_ / kUnknownSpeedVariance;
  return weight > 0 ? worker.log_speed_ / weight : 0;
}

std::optional<SpeedSpread> FindWideSpread(std::vector<double> log_speeds) {
  const std::size_t count = log_speeds.size();
  if (count < kMinKnownWorkers) return std::nullopt;
  std::sort(log_speeds.begin(), log_speeds.end());
  const double slow = log_speeds[count / 4];
  const double fast = log_speeds[count - 1 - count / 4];
  if (fast - slow < std::log(kWideSpread)) return std::nullopt;
  const double typical = log_speeds[count / 2];
  return SpeedSpread{typical, std::exp(slow - typical),
                     std::exp(fast - typical)};
}

double SpeedOf(const WorkerSpeed& worker, const SpeedSpread& spread, Time now) {
  if (!IsSpeedKnown(worker, now)) return 1;
  return std::exp(MeasuredLogSpeed(worker) - spread.log_typical_);
}

SpeedClass ClassOf(const WorkerSpeed& worker, const SpeedSpread& spread,
                   Time now) {
  if (!IsSpeedKnown(worker, now)) return SpeedClass::kUnknown;
  const double speed = SpeedOf(worker, spread, now);
  // The limits are in the middle between neighbours.
  if (speed * speed < spread.slow_) return SpeedClass::kSlow;
  return speed * speed > spread.fast_ ? SpeedClass::kFast
                                      : SpeedClass::kTypical;
}

}  // namespace flamingohollow
