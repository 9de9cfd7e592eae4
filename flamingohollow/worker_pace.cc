// Two unknowns, the worker's pace and the step's rate, are learned in turns
// from each sample; workers that run tasks of several steps tie them together.

#include "flamingohollow/worker_pace.h"

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace flamingohollow {
namespace {

// Progress is told in whole percent: 8 of them give a rate to about 10%.
constexpr std::int64_t kMinPercent = 8;
constexpr Duration kMinSpan(700);
// Over a span like this a task that has done next to nothing stands still.
constexpr Duration kStallSpan(2500);
// Share of a sample that is taken over. Lone tasks of a step differ by about
// 30% in work, which has to average out; members of a gang don't differ.
constexpr double kGainEqualWork = 0.4;
constexpr double kGainLone = 0.06;
// A difference of more than three times is no unevenness of work.
constexpr double kLargeStep = 1.1;
constexpr double kGainLarge = 0.5;
// A step's rate is the mean of its first samples, then follows slowly.
constexpr std::uint32_t kMaxStepSamples = 20;
// Half of the difference between a sound worker and one 1.3 times as slow.
constexpr double kSlowBelow = -0.13;
constexpr double kVerySlowBelow = -0.7;
// After this long without a sample a very slow worker is tried again.
constexpr Duration kRetryAfter(8000);

}  // namespace

std::optional<double> RateBetween(const ProgressPoint& from,
                                  const ProgressPoint& to) {
  const Duration span = to.at_ - from.at_;
  const std::int64_t done = to.percent_ - from.percent_;
  const bool stalled = span >= kStallSpan && done < kMinPercent;
  if (!stalled && (span < kMinSpan || done < kMinPercent)) return std::nullopt;
  // Less than one percent counts as half of one.
  const double share = std::max(static_cast<double>(done), 0.5) / 100;
  return std::log(share * 1000 / static_cast<double>(span.ms()));
}

bool LearnPace(WorkerPace& worker, StepPace& step, double log_rate,
               bool equal_work, Time now) {
  const double seen = log_rate - worker.log_pace_;
  if (step.samples_ == 0) {
    step.log_rate_ = seen;
    step.samples_ = 1;
    return false;
  }
  const double off = seen - step.log_rate_;
  const bool large = std::abs(off) > kLargeStep;
  const double steady = equal_work ? kGainEqualWork : kGainLone;
  worker.log_pace_ += (large ? kGainLarge : steady) * off;
  worker.sampled_ = now;
  ++worker.samples_;
  step.samples_ = std::min(step.samples_ + 1, kMaxStepSamples);
  // What is far off says something about the worker, not about the step.
  if (!large) step.log_rate_ += off / step.samples_;
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
    return now - worker.sampled_ < kRetryAfter ? PaceClass::kVerySlow
                                               : PaceClass::kSlow;
  }
  return pace < kSlowBelow ? PaceClass::kSlow : PaceClass::kFull;
}

}  // namespace flamingohollow
