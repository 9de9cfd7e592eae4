// Divides a job's time among waiting, repeated attempts and its last run.

#include "flamingohollow/job_trace.h"

#include <algorithm>
#include <array>

#include "flamingohollow/graph_placement.h"

namespace flamingohollow {

void RecordOpened(JobTrace& trace, Time now) {
  if (!trace.first_open_.has_value()) trace.first_open_ = now;
  trace.last_open_ = now;
  ++trace.attempts_;
}

std::string_view DelayCauseName(DelayCause cause) {
  static constexpr std::array<std::string_view, 7> kNames = {
      "none", "waited", "preempted", "evacuated", "failed", "lost", "slow"};
  return kNames.at(static_cast<std::size_t>(cause));
}

JobTimes MeasureTimes(const JobTrace& trace, const GraphJob& job, Time now) {
  const Time first = trace.first_open_.value_or(now);
  const Time last = trace.last_open_.value_or(now);
  JobTimes times;
  times.total_ = now - trace.queued_at_;
  times.waited_ = first - trace.queued_at_;
  times.repeated_ = last - first;
  times.ran_ = now - last;
  times.late_ = times.total_ - AllowedTime(job);
  return times;
}

DelayCause FindDelayCause(const JobTrace& trace, const JobTimes& times,
                          const GraphJob& job) {
  const bool failed = job.state_ == GraphJobState::kFailed;
  if (failed)
    return trace.lost_ > trace.failed_ ? DelayCause::kLost
                                       : DelayCause::kFailed;
  // Each occurrence of a scheduled job has an objective of its own.
  if (times.late_ <= Duration() || job.spec_.occurrences_ > 0) {
    return DelayCause::kNone;
  }
  const Duration over = times.ran_ - LongestChain(job.spec_);
  const std::uint64_t repeats =
      trace.preempted_ + trace.evacuated_ + trace.failed_ + trace.lost_;
  const Duration repeated = repeats > 0 ? times.repeated_ : Duration();
  if (times.waited_ >= repeated && times.waited_ >= over) {
    return DelayCause::kWaited;
  }
  if (over >= repeated) return DelayCause::kSlow;
  const std::uint64_t most = std::max(
      {trace.preempted_, trace.evacuated_, trace.failed_, trace.lost_});
  if (trace.preempted_ == most) return DelayCause::kPreempted;
  if (trace.evacuated_ == most) return DelayCause::kEvacuated;
  return trace.failed_ == most ? DelayCause::kFailed : DelayCause::kLost;
}

}  // namespace flamingohollow
