// Estimates whether a worker makes its tasks fail, from how they end.
//
// Tasks also fail by their own fault, so one failure proves little; but in a
// gang it costs the work of all members, and few attempts are allowed. Each end
// changes the odds that the worker is faulty by Bayes' rule. A suspect gets
// gangs and urgent tasks only if no other worker has room; a worker that is
// more likely faulty than not gets no tasks for a while. Faults last seconds,
// so the odds return to their prior with time.
//
// Designed for pools where a tenth of the workers fails half of its tasks for
// some seconds with good health checks, while one task in thirty fails by its
// own fault, and gangs of 26 tasks have two attempts.

#ifndef FLAMINGOHOLLOW_WORKER_SUSPICION_H_
#define FLAMINGOHOLLOW_WORKER_SUSPICION_H_

#include "util/clock.h"

namespace flamingohollow {

// Prior probability that a worker is faulty.
inline constexpr double kFaultyPrior = 0.01;

struct WorkerSuspicion {
  // Natural logarithm of the odds that the worker is faulty, at `updated_`,
  // relative to the prior odds. Never negative: past successes don't speak
  // against a fault that begins now.
  double evidence_ = 0;
  Time updated_;
};

void RecordOutcome(WorkerSuspicion& suspicion, bool failed, Time now);

// Whether the worker failed a task recently and has not made up for it.
bool IsSuspect(const WorkerSuspicion& suspicion, Time now);

// Whether the worker is more likely faulty than not.
bool IsLikelyFaulty(const WorkerSuspicion& suspicion, Time now);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_WORKER_SUSPICION_H_
