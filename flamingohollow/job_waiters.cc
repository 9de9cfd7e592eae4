// Callers that wait for a job's end: see job_waiters.h.

#include "flamingohollow/job_waiters.h"

#include <utility>

namespace flamingohollow {

bool JobWaiters::Add(const JobView& view, JobWaiter waiter) {
  if (size_ >= kMaxWaitingCallers) return false;
  Waiting& waiting = jobs_[view.job_];
  waiting.view_ = view;
  waiting.waiters_.push_back(std::move(waiter));
  ++size_;
  return true;
}

void JobWaiters::OnJob(const JobView& view) {
  const auto found = jobs_.find(view.job_);
  if (found == jobs_.end()) return;
  found->second.view_ = view;
  if (!IsTerminal(view.outcome_)) return;
  const Waiting ended = std::move(found->second);
  jobs_.erase(found);
  size_ -= ended.waiters_.size();
  for (const JobWaiter& waiter : ended.waiters_) waiter.answer_(ended.view_);
}

void JobWaiters::OnTick(Time now) {
  for (auto it = jobs_.begin(); it != jobs_.end();) {
    Waiting& waiting = it->second;
    size_ -= std::erase_if(waiting.waiters_, [&](const JobWaiter& waiter) {
      if (now < waiter.deadline_) return false;
      waiter.answer_(waiting.view_);
      return true;
    });
    it = waiting.waiters_.empty() ? jobs_.erase(it) : std::next(it);
  }
}

void JobWaiters::AnswerAll() {
  const auto jobs = std::exchange(jobs_, {});
  size_ = 0;
  for (const auto& [id, waiting] : jobs) {
    for (const JobWaiter& waiter : waiting.waiters_) {
      waiter.answer_(waiting.view_);
    }
  }
}

std::vector<JobId> JobWaiters::Jobs() const {
  std::vector<JobId> ids;
  ids.reserve(jobs_.size());
  for (const auto& [id, waiting] : jobs_) ids.push_back(id);
  return ids;
}

}  // namespace flamingohollow
