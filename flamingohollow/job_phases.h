// A job's way from the queue to its end.
//
// Internal to the job controller. Advance looks at one job and does whatever
// its phase and what is known allow:
//
//   queued > preparing > confirming > running > (ended)
//              |                        |
//              +------> stopping <------+   > queued again, or ended
//
// Three rules carry the outcomes' truth:
// - A start goes out only in `running`, which only a committed JobMayRun
//   begins. So a job without that record never ran.
// - While a record is proposed, the job's course is left alone: the record may
//   be committed at any time, and by then must still be true.
// - A job leaves `stopping` for the queue only when its old attempt is surely
//   over, or never had a JobMayRun.

#ifndef FLAMINGOHOLLOW_JOB_PHASES_H_
#define FLAMINGOHOLLOW_JOB_PHASES_H_

#include <string>
#include <vector>

#include "flamingohollow/job_state.h"

namespace flamingohollow {

// Takes up an accepted job: queues it, or goes on with the attempt that its
// record says may run.
void AddJob(Step& step, const JobRecord& record, Time queued_at,
            bool inherited);

// Begins an attempt on the slices that placement chose.
void BeginAttempt(Step& step, LiveJob& job, const std::vector<Slice>& slices);
// Does what can be done now. May remove the job.
void Advance(Step& step, JobId job);

// A committed record of the job, applied.
void TakeMayRun(Step& step, LiveJob& job);
void TakeRequeued(Step& step, LiveJob& job);
void TakeEnded(Step& step, LiveJob& job);

// What callers are shown while the job has no end.
Outcome OutcomeOf(const LiveJob& job);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_JOB_PHASES_H_
