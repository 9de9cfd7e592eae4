// The workers as known to the leader, and the commands sent to them.
//
// Internal to the job controller. A reported lease that belongs to no live
// attempt is orphaned: it is stopped, then released. This covers the leases of
// a former leader, of late prepares and of ended attempts. A worker gets no new
// work while an orphaned lease may still hold accelerators on it, so that no
// accelerator is allocated twice.

#ifndef FLAMINGOHOLLOW_JOB_WORKERS_H_
#define FLAMINGOHOLLOW_JOB_WORKERS_H_

#include <vector>

#include "flamingohollow/job_state.h"

namespace flamingohollow {

LeaseKey LeaseKeyOf(const LiveJob& job, std::size_t task);

// The worker has sent nothing for `worker_silence_` and gets no new work.
bool IsSilent(const JobController& controller, const WorkerInfo& worker,
              Time now);
// The worker has sent nothing for a whole lease time, so its leases may have
// expired.
bool IsLost(const JobController& controller, const WorkerInfo& worker,
            Time now);
// The task's worker is ready, not silent, and in the task's incarnation.
bool TakesWork(const Step& step, const AttemptTask& task);
// The task's worker is silent.
bool IsUnreachable(const Step& step, const AttemptTask& task);
// The task's worker has sent nothing for a whole lease time.
bool IsWorkerLost(const Step& step, const AttemptTask& task);

// Marks a task as lost if its worker is not silent and its lease has been
// missing from the worker's reports for a whole lease time. If the first report
// without the lease had been an old one, a newer report with the lease would
// have arrived by then.
void MarkLongMissing(const Step& step, Attempt& attempt);

// Whether the task's worker is in a failure domain that is evacuated.
bool IsEvacuated(const Step& step, const AttemptTask& task);

// Adds the attempt's tasks to their workers. A worker without an entry gets
// one, with `now_` as the time of its last message.
void AddTasks(Step& step, LiveJob& job);
// Removes the attempt's tasks from their workers. Leases that a worker may
// still have become orphaned.
void RemoveTasks(Step& step, const LiveJob& job);

// Sends a command for a task unless one was sent within `resend_interval_`.
void SendTask(Step& step, LiveJob& job, std::size_t task,
              WorkerCommandKind kind);
// Makes the next SendTask of each task send at once.
void ResetSendTimes(Attempt& attempt);

// Applies a report and returns the jobs whose tasks it changed. Reports older
// than the known one are ignored.
std::vector<JobId> ApplyReport(Step& step, const WorkerReport& report);
// Records that the worker is alive and that its report is unchanged.
void MarkAlive(Step& step, const WorkerId& worker);
// Updates placement if the worker's availability for new work has changed.
void UpdateAvailable(Step& step, WorkerInfo& worker);
// Updates the availability of all workers, removes those that have long been
// silent, and sends commands for orphaned leases.
// Passes the workers of the domain to placement as the newest order demands.
void UpdateDomain(Step& step, const FailureDomain& domain);
void TickWorkers(Step& step);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_JOB_WORKERS_H_
