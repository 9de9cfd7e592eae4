// Each sample updates two unknowns, the worker's pace and the step's rate.
// Workers that run tasks of several steps make the rates of these comparable.

#include "flamingohollow/worker_pace.h"

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace flamingohollow {
namespace {

// Progress is reported in whole percent: 8 of them give a rate accurate to
// about 10%.
constexpr std::int64_t kMinPercent = 8;
constexpr Duration kMinSpan(700);
// A task that made less than kMinPercent progress in this time is stalled.
constexpr Duration kStallSpan(2500);
// Weight of a sample in a worker's pace. Tasks of a step that is no gang differ
// by about 30% in work, which has to average out; members of a gang don't.
constexpr double kGainEqualWork = 0.4;
constexpr double kGainUnevenWork = 0.06;
// A rate that differs by more than a factor of three is not explained by uneven
// work.
constexpr double kLargeDeviation = 1.1;
constexpr double kGainLargeDeviation = 0.5;
// A step's rate is the mean of this many samples, then a moving average.
constexpr std::uint32_t kMaxStepSamples = 20;
// Half of the difference between a normal worker and one 1.3 times as slow.
constexpr double kSlowBelow = -0.13;
constexpr double kVerySlowBelow = -0.7;
// A very slow worker is tried again after this long without a sample.
constexpr Duration kRetryAfter(8000);

}  // namespace

std::optional<double> RateBetween(const ProgressPoint& from,
                                  const ProgressPoint& to) {
  const Duration span = to.at_ - from.at_;
  const std::int64_t done = to.percent_ - from.percent_;
  const bool stalled = span >= kStallSpan && done < kMinPercent;
  if (!stalled && (span < kMinSpan || done < kMinPercent)) return std::nullopt;
  // Less than one percent counts as half a percent.
  const double share = std::max(static_cast<double>(done), 0.5) / 100;
  return std::log(share * 1000 / static_cast<double>(span.ms()));
}

bool LearnPace(WorkerPace& worker, StepPace& step, double log_rate,
               bool equal_work, Time now) {
  const double rate_at_full_pace = log_rate - worker.log_pace_;
  if (step.samples_ == 0) {
    step.log_rate_ = rate_at_full_pace;
    step.samples_ = 1;
    return false;
  }
  const double deviation = rate_at_full_pace - step.log_rate_;
  const bool large = std::abs(deviation) > kLargeDeviation;
  const double gain_small = equal_work ? kGainEqualWork : kGainUnevenWork;
  worker.log_pace_ += (large ? kGainLargeDeviation : gain_small) * deviation;
  worker.last_sample_at_ = now;
  ++worker.samples_;
  step.samples_ = std::min(step.samples_ + 1, kMaxStepSamples);
  // A large deviation is attributed to the worker, not to the step.
  if (!large) step.log_rate_ += deviation / step.samples_;
  return large;
}

double TypicalPace(std::vector<double> paces) {
  if (paces.empty()) return 0;
  const auto middle =
      paces.begin() + static_cast<std::ptrdiff_t>(paces.size() / 2);
  std::nth_element(paces.begin(), middle, paces.end());
  return *middle;
}

PaceClass PaceOf(const WorkerPace& worker, double typical, Time now) {
  if (worker.samples_ == 0) return PaceClass::kFull;
  const double pace = worker.log_pace_ - typical;
  if (pace < kVerySlowBelow) {
    return now - worker.last_sample_at_ < kRetryAfter ? PaceClass::kVerySlow
                                                      : PaceClass::kSlow;
  }
  return pace < kSlowBelow ? PaceClass::kSlow : PaceClass::kFull;
}

}  // namespace flamingohollow
