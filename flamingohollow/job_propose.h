// Proposes a job's records to the log.
//
// Internal to the job controller. A job has at most one record that is proposed
// and not committed. The same record, with a new time, is proposed again until
// it is committed.

#ifndef FLAMINGOHOLLOW_JOB_PROPOSE_H_
#define FLAMINGOHOLLOW_JOB_PROPOSE_H_

#include <string>

#include "flamingohollow/job_state.h"

namespace flamingohollow {

inline const JobControllerOptions& OptionsOf(const Step& step) {
  return step.controller_.options_;
}

void Propose(Step& step, LiveJob& job, Command command);
// Repeats a proposal that has not been committed for kProposeInterval.
void Repropose(Step& step, LiveJob& job);

// Proposes the job's end. The parts of a completed job come from its attempt.
void ProposeEnd(Step& step, LiveJob& job, Outcome outcome, std::string reason,
                Duration retry_after = Duration(0));
// Proposes the end of a job of which no attempt runs: kNotRun, or kFailed if an
// earlier attempt may have run.
void ProposeNotRun(Step& step, LiveJob& job, const std::string& reason,
                   Duration retry_after);

// A JobMayRun of the job has been committed.
bool RanBefore(const Step& step, const LiveJob& job);
std::string DeadlineReason(const LiveJob& job);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_JOB_PROPOSE_H_
