// What becomes of a stopped job: see job_outcome.h.

#include "flamingohollow/job_outcome.h"

#include <fmt/format.h>

#include <utility>

namespace flamingohollow {
namespace {

StopVerdict Wait() { return {}; }

StopVerdict End(Outcome outcome, std::string reason,
                Duration retry_after = Duration(0)) {
  return {StopVerdictKind::kEnd, outcome, std::move(reason), retry_after};
}

StopVerdict JudgeCancelled(const StopFacts& facts) {
  if (facts.all_never_ran_) {
    return End(Outcome::kCancelled, "cancelled; this attempt never ran");
  }
  if (!facts.surely_over_ && !facts.out_of_reach_) return Wait();
  return End(Outcome::kCancelled, facts.any_started_
                                      ? "cancelled; it ran in part"
                                      : "cancelled; it may have run in part");
}

StopVerdict JudgeFailed(const StopFacts& facts) {
  if (!facts.surely_over_ && !facts.out_of_reach_) return Wait();
  return End(Outcome::kFailed, facts.reason_);
}

// An old attempt must be surely over before the next one may run.
StopVerdict JudgeIdempotent(const StopFacts& facts) {
  if (!facts.surely_over_) return Wait();
  if (facts.attempts_left_) return {StopVerdictKind::kRequeue, {}, {}, {}};
  return End(Outcome::kFailed,
             fmt::format("no attempts left; the last: {}", facts.reason_),
             kRetryAfterNotRun);
}

// "Not run" needs every worker's word. A job that is known to have started is
// "unknown" at once, for its lost part may have run to its end.
StopVerdict JudgeNonIdempotent(const StopFacts& facts) {
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
  if (facts.surely_over_ || facts.out_of_reach_) {
    return End(Outcome::kUnknown, facts.reason_);
  }
  return Wait();
}

}  // namespace

StopVerdict JudgeStopped(const StopFacts& facts) {
  // The whole answer arrived after all: it is the truth, whatever else was
  // wanted.
  if (facts.all_finished_) return End(Outcome::kCompleted, "");
  if (facts.cause_ == StopCause::kCancelled) return JudgeCancelled(facts);
  // Until the job is blamed, its failure may be the worker's: work that may
  // run again is tried elsewhere.
  const bool failed = facts.cause_ == StopCause::kTaskFailed;
  if (failed && (facts.blames_job_ || !facts.idempotent_)) {
    return JudgeFailed(facts);
  }
  if (facts.idempotent_) return JudgeIdempotent(facts);
  return JudgeNonIdempotent(facts);
}

}  // namespace flamingohollow
