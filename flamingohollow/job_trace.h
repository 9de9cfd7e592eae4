// What delayed a job: how long it waited, what was begun again and why, and how
// long its last attempt ran.
//
// Soft state of the leader, kept from a job's acceptance until its end, for one
// log line a job. Pure functions. A new leader's trace of a job begins with its
// leadership; only the time since the acceptance is inherited.

#ifndef FLAMINGOHOLLOW_JOB_TRACE_H_
#define FLAMINGOHOLLOW_JOB_TRACE_H_

#include <cstdint>
#include <optional>
#include <string_view>

#include "flamingohollow/graph_state.h"
#include "util/clock.h"

namespace flamingohollow {

struct JobTrace {
  // When the job was accepted, on the leader's steady clock.
  Time queued_at_;
  // When its first and its newest attempt were opened.
  std::optional<Time> first_open_;
  std::optional<Time> last_open_;
  std::uint64_t attempts_ = 0;
  // Attempts that were stopped for more urgent work, those that were stopped
  // since their worker leaves, those that failed, and those that were lost.
  std::uint64_t preempted_ = 0;
  std::uint64_t evacuated_ = 0;
  std::uint64_t failed_ = 0;
  std::uint64_t lost_ = 0;
};

void RecordOpened(JobTrace& trace, Time now);

// What took most of a late job's time.
enum class DelayCause : std::uint8_t {
  // The job was on time.
  kNone,
  // No attempt had been opened.
  kWaited,
  // Attempts were opened again after these ends.
  kPreempted,
  kEvacuated,
  kFailed,
  kLost,
  // The newest attempts ran for longer than estimated.
  kSlow,
};

std::string_view DelayCauseName(DelayCause cause);

struct JobTimes {
  Duration total_;
  // Until the first attempt, from then until the newest, and from then on.
  Duration waited_;
  Duration repeated_;
  Duration ran_;
  // How much later than the objective the job ended; negative if on time.
  Duration late_;
};

JobTimes MeasureTimes(const JobTrace& trace, const GraphJob& job, Time now);
DelayCause FindDelayCause(const JobTrace& trace, const JobTimes& times,
                          const GraphJob& job);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_JOB_TRACE_H_
