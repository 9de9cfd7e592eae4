// Proposing a job's records.
//
// Internal to the job controller. A job has at most one record proposed and not
// committed; it is proposed again until it has come back, always the same.

#ifndef FLAMINGOHOLLOW_JOB_PROPOSE_H_
#define FLAMINGOHOLLOW_JOB_PROPOSE_H_

#include <string>

#include "flamingohollow/job_state.h"

namespace flamingohollow {

inline const JobControllerOptions& OptionsOf(const Step& step) {
  return step.controller_.options_;
}

void Propose(Step& step, LiveJob& job, Command command);
// Proposes again what has not come back for kProposeInterval.
void Repropose(Step& step, LiveJob& job);

// The job's end. A completed job's parts come from its attempt.
void ProposeEnd(Step& step, LiveJob& job, Outcome outcome, std::string reason,
                Duration retry_after = Duration(0));
// The end of a job of which no attempt runs.
void ProposeNotRun(Step& step, LiveJob& job, const std::string& reason,
                   Duration retry_after);

// A JobMayRun of the job was committed.
bool RanBefore(const Step& step, const LiveJob& job);
std::string DeadlineReason(const LiveJob& job);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_JOB_PROPOSE_H_
