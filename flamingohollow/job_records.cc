// Applies the log's commands to the durable records of jobs.
//
// Every voter applies the same commands in the same order. All must ignore the
// same obsolete commands (the job has ended, or the attempt is old), so each
// function checks the records and nothing else. Two rules hold whatever a
// leader proposes: a job has at most one end, and a non-idempotent job has at
// most one attempt that may run.

#include "flamingohollow/job.h"

namespace flamingohollow {
namespace {

std::size_t BytesOf(const JobEnded& ended) {
  std::size_t bytes = ended.reason_.size();
  for (const std::string& part : ended.parts_) bytes += part.size();
  return bytes;
}

void AddEnded(JobRecords& records, JobId job, const JobEnded& ended) {
  records.ended_.emplace(ended.at_, job);
  records.ended_bytes_ += BytesOf(ended);
}

void RebuildEndedIndex(JobRecords& records) {
  if (records.ended_index_built_) return;
  for (const auto& [id, record] : records.jobs_) {
    if (record.end_) AddEnded(records, id, *record.end_);
  }
  records.ended_index_built_ = true;
}

void EvictOldestEnded(JobRecords& records) {
  const JobId job = records.ended_.begin()->second;
  records.ended_.erase(records.ended_.begin());
  const auto found = records.jobs_.find(job);
  records.ended_bytes_ -= BytesOf(*found->second.end_);
  const JobSpec& spec = found->second.spec_;
  records.by_request_.erase({spec.customer_, spec.request_id_});
  records.jobs_.erase(found);
}

void EvictOldEnded(JobRecords& records) {
  while (records.ended_.size() > 1 && (records.ended_.size() > kMaxEndedJobs ||
                                       records.ended_bytes_ > kMaxEndedBytes)) {
    EvictOldestEnded(records);
  }
}

JobApplyResult ApplyAccepted(JobRecords& records, LogIndex index,
                             const JobAccepted& accepted) {
  const JobId id(index.value());
  const JobSpec& spec = accepted.spec_;
  const auto [known, inserted] = records.by_request_.emplace(
      std::pair(spec.customer_, spec.request_id_), id);
  if (!inserted) {
    const JobId first = known->second;
    const bool same_body = records.jobs_.at(first).spec_ == spec;
    return {
        same_body ? ApplyOutcome::kDuplicate : ApplyOutcome::kRequestIdReused,
        first};
  }
  JobRecord record;
  record.id_ = id;
  record.spec_ = spec;
  record.accepted_at_ = accepted.at_;
  records.jobs_.emplace(id, std::move(record));
  return {ApplyOutcome::kApplied, id};
}

// Returns the job's record, or null when it has ended or is not known.
JobRecord* FindOpen(JobRecords& records, JobId job) {
  const auto found = records.jobs_.find(job);
  if (found == records.jobs_.end() || found->second.end_) return nullptr;
  return &found->second;
}

bool ApplyMayRun(JobRecords& records, const JobMayRun& may_run) {
  JobRecord* record = FindOpen(records, may_run.job_);
  if (record == nullptr || record->may_be_running_) return false;
  if (may_run.attempt_ <= record->may_run_attempt_) return false;
  const bool ran_before = record->may_run_attempt_ != AttemptId(0);
  if (ran_before && !record->spec_.idempotent_) return false;
  record->may_run_attempt_ = may_run.attempt_;
  ++record->may_run_attempts_;
  record->slices_ = may_run.slices_;
  record->may_be_running_ = true;
  return true;
}

bool ApplyRequeued(JobRecords& records, const JobRequeued& requeued) {
  JobRecord* record = FindOpen(records, requeued.job_);
  if (record == nullptr || !record->may_be_running_) return false;
  if (requeued.attempt_ != record->may_run_attempt_) return false;
  if (!record->spec_.idempotent_) return false;
  record->may_be_running_ = false;
  if (requeued.on_order_) ++record->attempts_stopped_on_order_;
  record->slices_.clear();
  return true;
}

bool ApplyEnded(JobRecords& records, const JobEnded& ended) {
  JobRecord* record = FindOpen(records, ended.job_);
  if (record == nullptr || !IsTerminal(ended.outcome_)) return false;
  record->end_ = ended;
  record->may_be_running_ = false;
  AddEnded(records, ended.job_, ended);
  EvictOldEnded(records);
  return true;
}

JobApplyResult ResultOf(bool applied, JobId job) {
  return {applied ? ApplyOutcome::kApplied : ApplyOutcome::kIgnored, job};
}

}  // namespace

JobApplyResult ApplyJobCommand(JobRecords& records, LogIndex index,
                               const Command& command) {
  RebuildEndedIndex(records);
  if (const auto* accepted = std::get_if<JobAccepted>(&command)) {
    return ApplyAccepted(records, index, *accepted);
  }
  if (const auto* may_run = std::get_if<JobMayRun>(&command)) {
    return ResultOf(ApplyMayRun(records, *may_run), may_run->job_);
  }
  if (const auto* requeued = std::get_if<JobRequeued>(&command)) {
    return ResultOf(ApplyRequeued(records, *requeued), requeued->job_);
  }
  if (const auto* ended = std::get_if<JobEnded>(&command)) {
    return ResultOf(ApplyEnded(records, *ended), ended->job_);
  }
  if (const auto* order = std::get_if<EvacuationOrder>(&command)) {
    ApplyEvacuation(records.evacuations_, *order);
    return ResultOf(true, JobId());
  }
  return {};
}

std::optional<JobView> ViewRecord(const JobRecords& records, JobId job) {
  const auto found = records.jobs_.find(job);
  if (found == records.jobs_.end()) return std::nullopt;
  const JobRecord& record = found->second;
  JobView view;
  view.job_ = job;
  view.spec_ = record.spec_;
  view.attempt_ = record.may_run_attempt_;
  view.slices_ = record.slices_;
  if (record.end_) {
    view.outcome_ = record.end_->outcome_;
    view.reason_ = record.end_->reason_;
    view.retry_after_ = record.end_->retry_after_;
    view.parts_ = record.end_->parts_;
    return view;
  }
  view.outcome_ =
      record.may_be_running_ ? Outcome::kRunning : Outcome::kAccepted;
  return view;
}

}  // namespace flamingohollow
