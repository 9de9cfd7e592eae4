// Callers that wait at this entry for a job's end.
//
// Does no I/O; its only side effects are the callbacks. Each waiter is answered
// exactly once: when the job ends, when its deadline passes, or when the entry
// stops. kMaxWaitingCallers bounds the memory; callers beyond it are answered
// at once.

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
  // Called once with the last known state of the job.
  std::function<void(const JobView&)> answer_;
};

class JobWaiters {
 public:
  // `view` is the job's current state and must not be terminal. Returns false
  // when full; the caller must then answer at once.
  bool Add(const JobView& view, JobWaiter waiter);
  // Records the job's state; answers its waiters when it is terminal.
  void OnJob(const JobView& view);
  // Answers the waiters whose deadline has passed with the last known state.
  void OnTick(Time now);
  // Answers all waiters with the last known state.
  void AnswerAll();

  std::size_t size() const { return size_; }
  std::vector<JobId> Jobs() const;

 private:
  struct Waiting {
    JobView view_;
    std::vector<JobWaiter> waiters_;
  };

  std::map<JobId, Waiting> jobs_;
  // Total number of waiters of all jobs.
  std::size_t size_ = 0;
};

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_JOB_WAITERS_H_
