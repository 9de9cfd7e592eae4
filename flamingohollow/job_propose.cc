// Proposals of the job controller: see job_propose.h.

#include "flamingohollow/job_propose.h"

#include <fmt/format.h>

#include <utility>

namespace flamingohollow {

void Propose(Step& step, LiveJob& job, Command command) {
  const Time wall_now = OptionsOf(step).wall_at_start_ +
                        (step.now_ - step.controller_.became_leader_at_);
  const auto set_time = [wall_now](auto& record) {
    if constexpr (requires { record.at_; }) record.at_ = wall_now;
  };
  std::visit(set_time, command);
  job.proposed_ = command;
  job.proposed_at_ = step.now_;
  step.actions_.push_back(ProposeAction{std::move(command)});
}

void Repropose(Step& step, LiveJob& job) {
  if (!job.proposed_) return;
  if (step.now_ - job.proposed_at_ < kProposeInterval) return;
  Propose(step, job, Command(*job.proposed_));
}

void ProposeEnd(Step& step, LiveJob& job, Outcome outcome, std::string reason,
                Duration retry_after) {
  JobEnded ended;
  ended.job_ = job.id_;
  ended.outcome_ = outcome;
  ended.reason_ = std::move(reason);
  ended.retry_after_ = retry_after;
  if (outcome == Outcome::kCompleted) ended.parts_ = PartsOf(*job.attempt_);
  Propose(step, job, std::move(ended));
}

bool RanBefore(const Step& step, const LiveJob& job) {
  const JobRecord& record = step.controller_.records_->jobs_.at(job.id_);
  return record.may_run_attempt_ != AttemptId(0);
}

// kNotRun is correct only if no earlier attempt may have run either.
void ProposeNotRun(Step& step, LiveJob& job, const std::string& reason,
                   Duration retry_after) {
  if (RanBefore(step, job)) {
    ProposeEnd(step, job, Outcome::kFailed,
               reason + "; an earlier attempt may have run in part",
               retry_after);
    return;
  }
  ProposeEnd(step, job, Outcome::kNotRun, reason, retry_after);
}

std::string DeadlineReason(const LiveJob& job) {
  return fmt::format("not started within its deadline of {} ms",
                     job.spec_.deadline_.ms());
}

}  // namespace flamingohollow
