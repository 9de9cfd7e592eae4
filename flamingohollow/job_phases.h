// The phases of a job, from the queue to its end.
//
// Internal to the job controller. Advance moves one job as far as its phase and
// the known state of its tasks allow:
//
//   queued > preparing > confirming > running > (ended)
//              |                        |
//              +------> stopping <------+   > queued again, or ended
//
// Three rules keep the reported outcomes correct:
// - Starts are sent only in `running`, which only a committed JobMayRun begins.
//   So a job without that record never ran.
// - While a record is proposed, the job takes no other decision: the record may
//   be committed at any time and must still be correct then.
// - A job returns from `stopping` to the queue only when its old attempt is
//   guaranteed to be over, or never had a JobMayRun.

#ifndef FLAMINGOHOLLOW_JOB_PHASES_H_
#define FLAMINGOHOLLOW_JOB_PHASES_H_

#include <string>
#include <vector>

#include "flamingohollow/job_state.h"

namespace flamingohollow {

// Adds an accepted job: queues it, or resumes the attempt that may be running
// according to its record. If `inherited`, an earlier leader accepted the job.
void AddJob(Step& step, const JobRecord& record, Time queued_at,
            bool inherited);

// Begins a new attempt on the slices that placement chose.
void BeginAttempt(Step& step, LiveJob& job, const std::vector<Slice>& slices);
// Advances the job as far as possible now. May remove the job, which
// invalidates references to it.
void Advance(Step& step, JobId job);

// Each handles a committed record of the job, after ApplyJobCommand.
void OnMayRunCommitted(Step& step, LiveJob& job);
void OnRequeuedCommitted(Step& step, LiveJob& job);
void OnEndedCommitted(Step& step, LiveJob& job);

// The outcome shown to callers while the job has not ended.
Outcome OutcomeOf(const LiveJob& job);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_JOB_PHASES_H_
