// What becomes of a job whose attempt is being stopped.
//
// Internal to the job controller: one pure function from what is known to what
// may truthfully be said. It answers as soon as the truth can't change any
// more, or when waiting longer would hold the answer back; but it lets an
// idempotent job run again only when nothing of the old attempt can run.

#ifndef FLAMINGOHOLLOW_JOB_OUTCOME_H_
#define FLAMINGOHOLLOW_JOB_OUTCOME_H_

#include <cstdint>
#include <string>

#include "flamingohollow/command.h"
#include "flamingohollow/job_attempt.h"
#include "util/clock.h"

namespace flamingohollow {

// When a caller should come back after a job that could not be run.
inline constexpr Duration kRetryAfterNotRun = Duration(1000);
inline constexpr Duration kRetryAfterDeadline = Duration(5000);

// What is known of an attempt that may have run and is being stopped.
struct StopFacts {
  StopCause cause_ = StopCause::kLost;
  std::string reason_;
  bool idempotent_ = false;
  // It failed on several good workers: another try would fail too.
  bool blames_job_ = false;
  bool all_finished_ = false;
  // Every worker confirmed that its task never started and never will.
  bool all_never_ran_ = false;
  bool any_started_ = false;
  // Every task's end is confirmed by a report or a restart.
  bool all_over_ = false;
  // Nothing runs any more, confirmed or by the leases' end.
  bool surely_over_ = false;
  // A task whose end is not confirmed is on a worker that is not heard from,
  // or the confirmations take too long: more can't be learnt soon.
  bool out_of_reach_ = false;
  bool attempts_left_ = false;
};

enum class StopVerdictKind : std::uint8_t { kWait, kRequeue, kEnd };

struct StopVerdict {
  StopVerdictKind kind_ = StopVerdictKind::kWait;
  // For kEnd.
  Outcome outcome_ = Outcome::kUnknown;
  std::string reason_;
  Duration retry_after_;
};

StopVerdict JudgeStopped(const StopFacts& facts);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_JOB_OUTCOME_H_
