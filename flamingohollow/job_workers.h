// What the leader knows of the workers, and the commands that go to them.
//
// Internal to the job controller. A lease that a worker reports and that
// belongs to no live attempt is unwanted: it is stopped, then released. So a
// former leader's leavings, late prepares and the leases of ended attempts all
// go the same way. A worker takes no new work while an unwanted lease may still
// hold accelerators on it: none is ever booked twice.

#ifndef FLAMINGOHOLLOW_JOB_WORKERS_H_
#define FLAMINGOHOLLOW_JOB_WORKERS_H_

#include <vector>

#include "flamingohollow/job_state.h"

namespace flamingohollow {

LeaseKey TaskKey(const LiveJob& job, std::size_t task);

// Heard from lately enough to be given new work.
bool IsSilent(const JobController& controller, const WorkerInfo& worker,
              Time now);
// Unheard of for so long that its leases may have ended by themselves.
bool IsLost(const JobController& controller, const WorkerInfo& worker,
            Time now);
// The task's worker takes new work.
bool TakesWork(const Step& step, const AttemptTask& task);
// The task's worker is silent.
bool IsOutOfReach(const Step& step, const AttemptTask& task);
// The task's worker has been unheard of for a whole lease.
bool IsWorkerLost(const Step& step, const AttemptTask& task);

// Tasks whose lease their worker, heard from all the while, has not shown for a
// whole lease are lost: were the report an old one, a newer one had come.
void MarkLongMissing(const Step& step, Attempt& attempt);

// Enters the attempt's tasks at their workers; those not known yet are
// entered as heard from now.
void AddTasks(Step& step, LiveJob& job);
// Takes them out again; leases still there become unwanted.
void RemoveTasks(Step& step, const LiveJob& job);

// Sends a command for a task unless one went out lately.
void SendTask(Step& step, LiveJob& job, std::size_t task,
              WorkerCommandKind kind);
// Makes the next SendTask of every task send at once.
void ForgetSent(Attempt& attempt);

// Takes in a report; gives the jobs whose tasks it changed.
std::vector<JobId> TakeReport(Step& step, const WorkerReport& report);
// The worker is alive with the report that is known.
void TakeAlive(Step& step, const WorkerId& worker);
// Tells placement whether the worker takes new work, when that changed.
void UpdateAvailable(Step& step, WorkerInfo& worker);
// Availability of all workers, and unwanted leases.
void TickWorkers(Step& step);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_JOB_WORKERS_H_
