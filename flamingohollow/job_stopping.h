// Stopping an attempt, and what becomes of its job.
//
// Internal to the job controller. Stops are sent until each task's end is
// confirmed; where that takes long, entries are told not to renew the leases.
// The attempt is dropped, and its accelerators given back, only when all of it
// is over; the job's end or return to the queue is judged by job_outcome.

#ifndef FLAMINGOHOLLOW_JOB_STOPPING_H_
#define FLAMINGOHOLLOW_JOB_STOPPING_H_

#include <string>

#include "flamingohollow/job_state.h"

namespace flamingohollow {

void BeginStop(Step& step, LiveJob& job, StopCause cause, std::string reason);
void AdvanceStopping(Step& step, LiveJob& job);
// The job's end is committed; goes on until its leases are over too.
void AdvanceEnded(Step& step, LiveJob& job);

// The attempt's leases are over, or never start: frees its accelerators.
void DropAttempt(Step& step, LiveJob& job);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_JOB_STOPPING_H_
