// Decides the outcome of a job whose attempt is being stopped.
//
// Internal to the job controller: one pure function from the known facts to the
// outcome that they justify. It decides as soon as the outcome can't change any
// more, or when no further confirmation is expected soon. It lets an idempotent
// job run again only when no task of the old attempt can still run.

#ifndef FLAMINGOHOLLOW_JOB_OUTCOME_H_
#define FLAMINGOHOLLOW_JOB_OUTCOME_H_

#include <cstdint>
#include <string>

#include "flamingohollow/command.h"
#include "flamingohollow/job_attempt.h"
#include "util/clock.h"

namespace flamingohollow {

// When a caller should retry a job that could not be run.
inline constexpr Duration kRetryAfterNotRun = Duration(1000);
inline constexpr Duration kRetryAfterDeadline = Duration(5000);

// Known facts about an attempt that may have run and is being stopped.
struct StopFacts {
  StopCause cause_ = StopCause::kLost;
  std::string reason_;
  bool idempotent_ = false;
  // Placement blames the job: it failed on several good workers, so another
  // attempt would fail too.
  bool job_blamed_ = false;
  bool all_finished_ = false;
  // Every worker confirmed that its task never started and never will.
  bool all_never_ran_ = false;
  bool any_started_ = false;
  // Every task's end is confirmed by a report, by a restart of its worker, or
  // by a lease that was missing from reports for a whole lease time.
  bool all_over_ = false;
  // No task can run any more: confirmed, or because all leases have expired.
  bool guaranteed_over_ = false;
  // A task without a confirmed end is on a silent worker, or the stop has timed
  // out.
  bool no_confirmation_expected_ = false;
  bool attempts_left_ = false;
};

enum class StopDecisionKind : std::uint8_t { kWait, kRequeue, kEnd };

struct StopDecision {
  StopDecisionKind kind_ = StopDecisionKind::kWait;
  // The other fields are set only for kEnd.
  Outcome outcome_ = Outcome::kUnknown;
  std::string reason_;
  Duration retry_after_;
};

StopDecision DecideStopped(const StopFacts& facts);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_JOB_OUTCOME_H_
