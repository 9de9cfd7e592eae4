// Callers that wait at this entry for a job's end.
//
// Pure but for the callbacks. Each waiter is answered exactly once: when the
// job ends, when its time is over, or when the entry stops. Memory is bounded
// by kMaxWaitingCallers; beyond it callers get their answer at once.

#ifndef FLAMINGOHOLLOW_JOB_WAITERS_H_
#define FLAMINGOHOLLOW_JOB_WAITERS_H_

#include <cstddef>
#include <functional>
#include <map>
#include <vector>

#include "flamingohollow/job.h"
#include "flamingohollow/types.h"
#include "util/clock.h"

namespace flamingohollow {

inline constexpr std::size_t kMaxWaitingCallers = 20000;

struct JobWaiter {
  Time deadline_;
  // Gets the job's newest known state.
  std::function<void(const JobView&)> answer_;
};

class JobWaiters {
 public:
  // `view` is the job's present state, not terminal. False when full; the
  // caller is then to be answered at once.
  bool Add(const JobView& view, JobWaiter waiter);
  // Answers all that wait for the job when `view` is terminal.
  void OnJob(const JobView& view);
  // Answers those whose time is over with the state known last.
  void OnTick(Time now);
  // Answers all with the state known last.
  void AnswerAll();

  std::size_t size() const { return size_; }
  std::vector<JobId> Jobs() const;

 private:
  struct Waiting {
    JobView view_;
    std::vector<JobWaiter> waiters_;
  };

  std::map<JobId, Waiting> jobs_;
  // Waiters over all jobs.
  std::size_t size_ = 0;
};

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_JOB_WAITERS_H_
