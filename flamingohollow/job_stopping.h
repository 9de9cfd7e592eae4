// Stops an attempt, and then ends its job or returns it to the queue.
//
// Internal to the job controller. Stops are sent until each task's end is
// confirmed. If a worker is unreachable or a stop had to be repeated, the
// leases are also excluded from renewal. The attempt is dropped and its
// accelerators are freed only when all its leases are over or can never start.
// job_outcome decides whether the job ends or returns to the queue.

#ifndef FLAMINGOHOLLOW_JOB_STOPPING_H_
#define FLAMINGOHOLLOW_JOB_STOPPING_H_

#include <string>

#include "flamingohollow/job_state.h"

namespace flamingohollow {

void BeginStop(Step& step, LiveJob& job, StopCause cause, std::string reason);
void AdvanceStopping(Step& step, LiveJob& job);
// Continues to stop the attempt of a job whose end is committed, until its
// leases are over too.
void AdvanceEnded(Step& step, LiveJob& job);

// Drops the attempt and frees its accelerators. Call only when its leases are
// over or can never start.
void DropAttempt(Step& step, LiveJob& job);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_JOB_STOPPING_H_
