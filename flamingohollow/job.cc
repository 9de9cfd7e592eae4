// The job controller's events: see job.h and job_state.h.

#include "flamingohollow/job.h"

#include <algorithm>
#include <utility>

#include "flamingohollow/job_phases.h"
#include "flamingohollow/job_queue.h"
#include "flamingohollow/job_state.h"
#include "flamingohollow/job_workers.h"

namespace flamingohollow {
namespace {

LiveJob* FindJob(JobController& controller, JobId job) {
  const auto found = controller.jobs_.find(job);
  return found == controller.jobs_.end() ? nullptr : &found->second;
}

void ApplyDecision(Step& step, const PlaceDecision& place) {
  LiveJob* job = FindJob(step.controller_, place.job_);
  const bool waits = job != nullptr && job->phase_ == JobPhase::kQueued &&
                     !job->proposed_ && !place.slices_.empty();
  if (!waits) return;
  BeginAttempt(step, *job, place.slices_);
}

void ApplyDecision(Step& step, const ReclaimDecision& reclaim) {
  LiveJob* job = FindJob(step.controller_, reclaim.job_);
  if (job == nullptr || !job->attempt_) return;
  job->reclaim_requested_ = true;
  Advance(step, reclaim.job_);
}

void ApplyDecision(Step& step, const RefuseDecision& refuse) {
  LiveJob* job = FindJob(step.controller_, refuse.job_);
  const bool waits =
      job != nullptr && job->phase_ == JobPhase::kQueued && !job->proposed_;
  if (!waits) return;
  RefuseJob(step, *job, refuse.reason_);
  Advance(step, refuse.job_);
}

void RunPlacement(Step& step) {
  step.controller_.placement_due_ = false;
  step.controller_.decided_at_ = step.now_;
  const PlacementDecisions decisions =
      Decide(*step.controller_.placement_, step.now_);
  for (const RefuseDecision& refuse : decisions.refuse_)
    ApplyDecision(step, refuse);
  for (const ReclaimDecision& reclaim : decisions.reclaim_) {
    ApplyDecision(step, reclaim);
  }
  for (const PlaceDecision& place : decisions.place_)
    ApplyDecision(step, place);
}

// Ends the handling of an event. Runs placement if something changed, unless it
// ran within kDecideInterval; the next tick runs it then.
JobActions Finish(Step& step) {
  const bool due = step.now_ - step.controller_.decided_at_ >= kDecideInterval;
  if (step.controller_.placement_due_ && due) RunPlacement(step);
  return std::move(step.actions_);
}

// Removes the jobs whose time has come from `due` and returns them.
std::vector<JobId> PopDue(std::set<std::pair<Time, JobId>>& due, Time now) {
  std::vector<JobId> jobs;
  while (!due.empty() && due.begin()->first <= now) {
    jobs.push_back(due.begin()->second);
    due.erase(due.begin());
  }
  return jobs;
}

void TickDeadlines(Step& step) {
  for (const JobId id : PopDue(step.controller_.deadlines_, step.now_)) {
    LiveJob* job = FindJob(step.controller_, id);
    if (job == nullptr) continue;
    job->deadline_passed_ = true;
    Advance(step, id);
  }
}

void TickBackOffs(Step& step) {
  for (const JobId id : PopDue(step.controller_.back_offs_, step.now_)) {
    LiveJob* job = FindJob(step.controller_, id);
    if (job != nullptr) EndBackOff(step, *job);
  }
}

// Advances jobs on workers that have sent nothing for a whole lease time.
void AdvanceJobsOnLostWorkers(Step& step) {
  std::vector<JobId> jobs;
  for (const auto& [id, worker] : step.controller_.workers_) {
    if (worker.tasks_.empty()) continue;
    if (!IsLost(step.controller_, worker, step.now_)) continue;
    for (const LeaseKey& key : worker.tasks_) jobs.push_back(key.job_);
  }
  for (const JobId job : jobs) {
    if (FindJob(step.controller_, job) != nullptr) Advance(step, job);
  }
}

// Advances the busy jobs in turn, starting after the last one that the previous
// tick advanced, until the command limit is reached.
void TickBusy(Step& step) {
  const std::set<JobId>& busy = step.controller_.busy_;
  const std::size_t count = busy.size();
  for (std::size_t i = 0; i < count && !busy.empty(); ++i) {
    if (step.commands_ >= kMaxCommandsPerTick) return;
    auto next = busy.upper_bound(step.controller_.busy_cursor_);
    if (next == busy.end()) next = busy.begin();
    step.controller_.busy_cursor_ = *next;
    Advance(step, *next);
  }
}

// Time in the queue according to the records and the wall clock. 0 for a job
// that has run, as the records don't hold the time of its return to the queue.
Duration AgeOf(const JobRecord& record, Time wall_now) {
  if (wall_now == Time()) return Duration(0);
  if (record.may_run_attempt_ != AttemptId(0)) return Duration(0);
  return std::max(Duration(0), wall_now - record.accepted_at_);
}

JobId JobOf(const Command& command) {
  if (const auto* may_run = std::get_if<JobMayRun>(&command)) {
    return may_run->job_;
  }
  if (const auto* requeued = std::get_if<JobRequeued>(&command)) {
    return requeued->job_;
  }
  if (const auto* ended = std::get_if<JobEnded>(&command)) return ended->job_;
  return JobId(0);
}

void HandleCommitted(Step& step, const Command& command,
                     const JobApplyResult& result) {
  if (result.outcome_ != ApplyOutcome::kApplied) return;
  if (const auto* order = std::get_if<EvacuationOrder>(&command)) {
    return UpdateDomain(step, order->domain_);
  }
  if (std::holds_alternative<JobAccepted>(command)) {
    const auto record = step.controller_.records_->jobs_.find(result.job_);
    if (record == step.controller_.records_->jobs_.end()) return;
    AddJob(step, record->second, step.now_, false);
    step.actions_.emplace_back(std::in_place_type<NotifyAction>,
                               NotifyAction{result.job_});
    return;
  }
  LiveJob* job = FindJob(step.controller_, JobOf(command));
  if (job == nullptr) return;
  if (std::holds_alternative<JobMayRun>(command)) OnMayRunCommitted(step, *job);
  if (std::holds_alternative<JobRequeued>(command))
    OnRequeuedCommitted(step, *job);
  if (std::holds_alternative<JobEnded>(command)) OnEndedCommitted(step, *job);
}

}  // namespace

void JobControllerDeleter::operator()(JobController* controller) const {
  delete controller;
}

JobControllerPtr MakeJobController(const JobControllerOptions& options,
                                   const JobRecords* records,
                                   const Table& table, Term term, Time now) {
  JobControllerPtr controller(new JobController);
  controller->options_ = options;
  controller->records_ = records;
  controller->term_ = term;
  controller->became_leader_at_ = now;
  controller->placement_ = MakePlacement(options.placement_, now);
  controller->decided_at_ = now;
  SetTable(*controller->placement_, table);
  // The actions of this step are dropped. No worker is known yet, so none of
  // them is a command; commands follow with the first ticks and reports.
  Step step{*controller, now, {}, 0};
  for (const auto& [id, record] : records->jobs_) {
    if (record.end_) continue;
    AddJob(step, record, now - AgeOf(record, options.wall_at_start_), true);
  }
  return controller;
}

JobActions OnTable(JobController& controller, const Table& table, Time now) {
  Step step{controller, now, {}, 0};
  SetTable(*controller.placement_, table);
  controller.placement_due_ = true;
  return Finish(step);
}

JobActions OnCommitted(JobController& controller, const Command& command,
                       const JobApplyResult& result, Time now) {
  Step step{controller, now, {}, 0};
  HandleCommitted(step, command, result);
  return Finish(step);
}

JobActions OnWorkerReport(JobController& controller, const WorkerReport& report,
                          Time now) {
  Step step{controller, now, {}, 0};
  for (const JobId job : ApplyReport(step, report)) {
    if (FindJob(controller, job) != nullptr) Advance(step, job);
  }
  return Finish(step);
}

JobActions OnWorkersAlive(JobController& controller,
                          const std::vector<WorkerId>& workers, Time now) {
  Step step{controller, now, {}, 0};
  for (const WorkerId& worker : workers) MarkAlive(step, worker);
  return Finish(step);
}

JobActions OnCancel(JobController& controller, JobId job, Time now) {
  Step step{controller, now, {}, 0};
  if (LiveJob* live = FindJob(controller, job)) {
    live->cancel_requested_ = true;
    Advance(step, job);
  }
  return Finish(step);
}

JobActions OnTick(JobController& controller, Time now) {
  Step step{controller, now, {}, 0};
  TickWorkers(step);
  AdvanceJobsOnLostWorkers(step);
  TickDeadlines(step);
  TickBackOffs(step);
  TickBusy(step);
  RunPlacement(step);
  return std::move(step.actions_);
}

std::optional<JobView> ViewJob(const JobController& controller, JobId job) {
  std::optional<JobView> view = ViewRecord(*controller.records_, job);
  if (!view || IsTerminal(view->outcome_)) return view;
  const auto found = controller.jobs_.find(job);
  if (found == controller.jobs_.end()) return view;
  const LiveJob& live = found->second;
  view->outcome_ = OutcomeOf(live);
  if (live.attempt_) {
    view->attempt_ = live.attempt_->id_;
    view->slices_ = SlicesOf(*live.attempt_);
  }
  return view;
}

std::vector<WorkerView> ViewWorkers(const JobController& controller) {
  std::vector<WorkerView> views;
  for (const auto& [id, worker] : controller.workers_) {
    if (!worker.known_) continue;
    WorkerView& view = views.emplace_back();
    view.report_ = worker.report_;
    view.free_ = FreeAccelerators(*controller.placement_, id);
    // As of the last event or tick.
    view.silent_ = worker.silent_;
    view.quarantined_ = IsQuarantined(*controller.placement_, id);
  }
  return views;
}

std::map<CustomerId, std::uint32_t> QueuedJobs(
    const JobController& controller) {
  return controller.queued_;
}

const PlacementState& Placement(const JobController& controller) {
  return *controller.placement_;
}

}  // namespace flamingohollow
