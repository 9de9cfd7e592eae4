// Decides the outcome of a stopped job: see job_outcome.h.

#include "flamingohollow/job_outcome.h"

#include <fmt/format.h>

#include <utility>

namespace flamingohollow {
namespace {

StopDecision Wait() { return {}; }

StopDecision End(Outcome outcome, std::string reason,
                 Duration retry_after = Duration(0)) {
  return {StopDecisionKind::kEnd, outcome, std::move(reason), retry_after};
}

StopDecision DecideCancelled(const StopFacts& facts) {
  if (facts.all_never_ran_) {
    return End(Outcome::kCancelled, "cancelled; this attempt never ran");
  }
  if (!facts.guaranteed_over_ && !facts.no_confirmation_expected_)
    return Wait();
  return End(Outcome::kCancelled, facts.any_started_
                                      ? "cancelled; it ran in part"
                                      : "cancelled; it may have run in part");
}

StopDecision DecideFailed(const StopFacts& facts) {
  if (!facts.guaranteed_over_ && !facts.no_confirmation_expected_)
    return Wait();
  return End(Outcome::kFailed, facts.reason_);
}

// The old attempt must be guaranteed over before the next one may run.
StopDecision DecideIdempotent(const StopFacts& facts) {
  if (!facts.guaranteed_over_) return Wait();
  if (facts.attempts_left_) return {StopDecisionKind::kRequeue, {}, {}, {}};
  return End(Outcome::kFailed,
             fmt::format("no attempts left; the last: {}", facts.reason_),
             kRetryAfterNotRun);
}

// kNotRun needs the confirmation of every worker. A job that is known to have
// started is kUnknown at once, unless it was reclaimed, as its lost tasks may
// have finished.
StopDecision DecideNonIdempotent(const StopFacts& facts) {
  if (facts.all_never_ran_) {
    return End(Outcome::kNotRun, facts.reason_, kRetryAfterNotRun);
  }
  if (facts.cause_ == StopCause::kReclaimed) {
    if (facts.all_over_) {
      return End(Outcome::kFailed, facts.reason_ + "; it ran in part");
    }
  } else if (facts.any_started_) {
    return End(Outcome::kUnknown, facts.reason_);
  }
  if (facts.guaranteed_over_ || facts.no_confirmation_expected_) {
    return End(Outcome::kUnknown, facts.reason_);
  }
  return Wait();
}

}  // namespace

StopDecision DecideStopped(const StopFacts& facts) {
  // All parts arrived: the job completed, even if it was also to be cancelled
  // or stopped.
  if (facts.all_finished_) return End(Outcome::kCompleted, "");
  if (facts.cause_ == StopCause::kCancelled) return DecideCancelled(facts);
  // Until placement blames the job, the failure may be due to the worker, so an
  // idempotent job runs again elsewhere.
  const bool failed = facts.cause_ == StopCause::kTaskFailed;
  if (failed && (facts.job_blamed_ || !facts.idempotent_)) {
    return DecideFailed(facts);
  }
  if (facts.idempotent_) return DecideIdempotent(facts);
  return DecideNonIdempotent(facts);
}

}  // namespace flamingohollow
