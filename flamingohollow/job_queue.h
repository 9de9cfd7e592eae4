// Jobs in the queue: placement, deadlines, and back-off after refusals.
//
// Internal to the job controller.

#ifndef FLAMINGOHOLLOW_JOB_QUEUE_H_
#define FLAMINGOHOLLOW_JOB_QUEUE_H_

#include <string>

#include "flamingohollow/job_state.h"

namespace flamingohollow {

PlacementJob PlacementJobOf(const LiveJob& job);

// Moves the job to kQueued and passes it to placement, at once or after its
// back-off.
void Queue(Step& step, LiveJob& job);
// Passes the job to placement again after its back-off, if it is still queued.
void EndBackOff(Step& step, const LiveJob& job);
// Ends the queued job if it is cancelled or its deadline has passed.
void AdvanceQueued(Step& step, LiveJob& job);

// Handles placement's refusal of a job that fits no known workers. The refusal
// may be due to workers that are not known yet: a job that ran before does fit,
// and workers get one lease time to report to a new leader before it ends jobs
// that its predecessor accepted. Such jobs are placed again later.
void RefuseJob(Step& step, LiveJob& job, const std::string& reason);

void AddDeadline(Step& step, const LiveJob& job);
void RemoveDeadline(Step& step, const LiveJob& job);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_JOB_QUEUE_H_
