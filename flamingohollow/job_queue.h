// A job in the queue: placement, deadlines, and waiting after refusals.
//
// Internal to the job controller.

#ifndef FLAMINGOHOLLOW_JOB_QUEUE_H_
#define FLAMINGOHOLLOW_JOB_QUEUE_H_

#include <string>

#include "flamingohollow/job_state.h"

namespace flamingohollow {

PlacementJob PlacementJobOf(const LiveJob& job);

// Puts the job into the queue, at once or after its back-off.
void Queue(Step& step, LiveJob& job);
// A refused job has waited long enough: back to placement.
void EndBackOff(Step& step, const LiveJob& job);
// Cancels the queued job or gives it up, when asked to.
void AdvanceQueued(Step& step, LiveJob& job);

// Placement says that the job can never run here. That is only as true as the
// workers are known: a job that ran before does fit, and a new leader must give
// the workers of its predecessor's jobs a lease's time to be heard of.
void RefuseJob(Step& step, LiveJob& job, const std::string& reason);

void WatchDeadline(Step& step, const LiveJob& job);
void ForgetDeadline(Step& step, const LiveJob& job);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_JOB_QUEUE_H_
