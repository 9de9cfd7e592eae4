// Applies committed records to the state, with one function for each kind.

#include "flamingohollow/graph_state.h"

#include <algorithm>
#include <array>
#include <istream>
#include <utility>

#include "util/pack.h"

namespace flamingohollow {
namespace {

OccurrenceRecord MakeOccurrence(const GraphSpec& spec) {
  OccurrenceRecord record;
  record.steps_.resize(spec.steps_.size());
  for (std::size_t i = 0; i < spec.steps_.size(); ++i) {
    record.steps_[i].tasks_.resize(spec.steps_[i].tasks_);
  }
  return record;
}

GraphJob* FindJob(GraphState& state, const GraphJobKey& key) {
  const auto found = state.jobs_.find(key);
  return found == state.jobs_.end() ? nullptr : &found->second;
}

StepRecord* FindStep(GraphJob& job, Occurrence occurrence, StepIndex step) {
  const auto found = job.occurrences_.find(occurrence);
  if (found == job.occurrences_.end()) return nullptr;
  auto& steps = found->second.steps_;
  return step.value() < steps.size() ? &steps[step.value()] : nullptr;
}

void EndJob(GraphJob& job, GraphJobState state, Time at) {
  if (job.state_ != GraphJobState::kActive) return;
  job.state_ = state;
  job.ended_ = at;
}

bool AllStepsDone(const OccurrenceRecord& occurrence) {
  return std::all_of(occurrence.steps_.begin(), occurrence.steps_.end(),
                     &IsDone);
}

bool AnyOpen(const OccurrenceRecord& occurrence) {
  return std::any_of(occurrence.steps_.begin(), occurrence.steps_.end(),
                     [](const StepRecord& step) { return step.open_ > 0; });
}

bool AnyOpen(const GraphJob& job) {
  return std::any_of(job.occurrences_.begin(), job.occurrences_.end(),
                     [](const auto& item) { return AnyOpen(item.second); });
}

// Removes the occurrence if it is finished, and completes the job if that was
// its last one.
void FinishOccurrence(GraphState& state, GraphJob& job, Occurrence occurrence,
                      Time at) {
  const auto found = job.occurrences_.find(occurrence);
  if (found == job.occurrences_.end()) return;
  if (!AllStepsDone(found->second) || AnyOpen(found->second)) return;
  job.occurrences_.erase(found);
  ForgetOccurrence(state.crashes_, job.key_, occurrence);
  ++job.finished_occurrences_;
  if (job.finished_occurrences_ == TotalOccurrences(job.spec_)) {
    EndJob(job, GraphJobState::kCompleted, at);
  }
}

void RemoveFromIndex(GraphState& state, const TaskRef& ref,
                     const TaskRecord& task) {
  const auto here = state.open_on_.find(task.worker_);
  if (here == state.open_on_.end()) return;
  here->second.erase({ref, task.attempt_});
  if (here->second.empty()) state.open_on_.erase(here);
}

void CloseTask(GraphState& state, const TaskRef& ref, StepRecord& step,
               TaskRecord& task) {
  if (!task.open_) return;
  RemoveFromIndex(state, ref, task);
  task.open_ = false;
  --step.open_;
}

void MarkDone(GraphState& state, const TaskRef& ref, StepRecord& step,
              TaskRecord& task) {
  CloseTask(state, ref, step, task);
  if (task.done_) return;
  task.done_ = true;
  ++step.done_;
}

// Calls `visit` with each open task of the job.
template <class Visitor>
void ForEachOpen(const GraphJob& job, const Visitor& visit) {
  for (const auto& [number, occurrence] : job.occurrences_) {
    for (std::uint32_t i = 0; i < occurrence.steps_.size(); ++i) {
      const StepRecord& step = occurrence.steps_[i];
      if (step.open_ == 0) continue;
      for (std::uint32_t index = 0; index < step.tasks_.size(); ++index) {
        const TaskRecord& task = step.tasks_[index];
        if (!task.open_) continue;
        visit(TaskRef{job.key_, number, StepIndex(i), TaskIndex(index)}, task);
      }
    }
  }
}

void IndexOpenAttempts(GraphState& state) {
  for (const auto& [key, job] : state.jobs_) {
    ForEachOpen(job, [&state](const TaskRef& ref, const TaskRecord& task) {
      state.open_on_[task.worker_].insert({ref, task.attempt_});
    });
  }
}

// Counts a failed attempt. Returns true if no further attempt is allowed.
bool CountFailure(const GraphJob& job, const StepSpec& spec, StepRecord& step,
                  TaskRecord& task) {
  if (spec.long_running_) return false;
  if (!spec.gang_) return ++task.failures_ >= job.terms_.max_attempts_;
  if (step.failed_attempt_ == task.attempt_) return false;
  step.failed_attempt_ = task.attempt_;
  return ++step.failures_ >= job.terms_.max_attempts_;
}

void ApplyEnd(GraphState& state, const EndedAttempt& ended, Time at) {
  const TaskRef& ref = ended.attempt_.task_;
  if (!IsOpen(state, ended.attempt_)) return;
  GraphJob& job = *FindJob(state, ref.job_);
  StepRecord& step = *FindStep(job, ref.occurrence_, ref.step_);
  const StepSpec& spec = job.spec_.steps_[ref.step_.value()];
  TaskRecord& task = step.tasks_[ref.index_.value()];
  CloseTask(state, ref, step, task);
  if (ended.end_ != AttemptEnd::kRejected) job.begun_ = true;
  // Once the worker's next process is listed, the crash has been counted.
  const auto worker = state.workers_.find(task.worker_);
  const bool listed = worker != state.workers_.end() &&
                      worker->second.incarnation_ == task.incarnation_;
  NoteEnded(state.crashes_, ended.attempt_, task.worker_, task.incarnation_,
            listed && ended.end_ == AttemptEnd::kLost, at);
  if (ended.checkpoint_ != Checkpoint()) {
    task.checkpoint_ = ended.checkpoint_;
    step.checkpoint_ = ended.checkpoint_;
  }
  const bool finite = !spec.long_running_;
  if (ended.end_ == AttemptEnd::kDone && finite) {
    // If one member is done, the whole gang is.
    if (spec.gang_) {
      TaskRef member = ref;
      for (std::uint32_t i = 0; i < step.tasks_.size(); ++i) {
        member.index_ = TaskIndex(i);
        MarkDone(state, member, step, step.tasks_[i]);
      }
    } else {
      MarkDone(state, ref, step, task);
    }
  }
  if (ended.end_ == AttemptEnd::kFailed &&
      CountFailure(job, spec, step, task)) {
    EndJob(job, GraphJobState::kFailed, at);
  }
  FinishOccurrence(state, job, ref.occurrence_, at);
}

void Apply(GraphState& state, const CatalogRecord& record) {
  if (record.catalog_.version_ <= state.catalog_.version_) return;
  state.catalog_ = record.catalog_;
}

void Apply(GraphState& state, const SubmitRecord& record) {
  if (state.jobs_.contains(record.key_)) return;
  GraphJob job{.key_ = record.key_,
               .queue_ = record.queue_,
               .customer_ = record.customer_,
               .terms_ = record.terms_,
               .spec_ = record.spec_,
               .accepted_ = record.accepted_,
               .place_ = record.place_,
               .ended_ = Time(),
               .occurrences_ = {}};
  if (record.spec_.occurrences_ == 0) {
    job.occurrences_[Occurrence()] = MakeOccurrence(record.spec_);
    job.next_due_ = 1;
  }
  state.jobs_.emplace(record.key_, std::move(job));
}

void Apply(GraphState& state, const CancelRecord& record) {
  GraphJob* job = FindJob(state, record.key_);
  if (job != nullptr)
    EndJob(*job, GraphJobState::kCancelled, record.cancelled_);
}

void Apply(GraphState& state, const OpenRecord& record) {
  for (const OpenedAttempt& opened : record.attempts_) {
    const TaskRef& ref = opened.attempt_.task_;
    GraphJob* job = FindJob(state, ref.job_);
    if (job == nullptr || job->state_ != GraphJobState::kActive) continue;
    StepRecord* step = FindStep(*job, ref.occurrence_, ref.step_);
    if (step == nullptr || ref.index_.value() >= step->tasks_.size()) continue;
    TaskRecord& task = step->tasks_[ref.index_.value()];
    const bool stale = opened.attempt_.attempt_ <= task.attempt_;
    if (stale || task.open_ || task.done_) continue;
    task.attempt_ = opened.attempt_.attempt_;
    task.open_ = true;
    task.worker_ = opened.worker_;
    task.incarnation_ = opened.incarnation_;
    state.open_on_[opened.worker_].insert(opened.attempt_);
    ++step->open_;
    NoteOpened(state.crashes_, ref, opened.worker_);
  }
}

void Apply(GraphState& state, const EndRecord& record) {
  for (const EndedAttempt& ended : record.attempts_) {
    ApplyEnd(state, ended, record.ended_);
  }
}

void Apply(GraphState& state, const DueRecord& record) {
  for (const DueRecord::Item& item : record.items_) {
    GraphJob* job = FindJob(state, item.key_);
    if (job == nullptr || job->state_ != GraphJobState::kActive) continue;
    if (item.occurrence_.value() != job->next_due_) continue;
    job->occurrences_[item.occurrence_] = MakeOccurrence(job->spec_);
    ++job->next_due_;
  }
}

void Apply(GraphState& state, const ForgetRecord& record) {
  for (const GraphJobKey& key : record.keys_) {
    const GraphJob* job = FindJob(state, key);
    if (job == nullptr || job->state_ == GraphJobState::kActive) continue;
    ForEachOpen(*job, [&state](const TaskRef& ref, const TaskRecord& task) {
      RemoveFromIndex(state, ref, task);
    });
    state.jobs_.erase(key);
    ForgetJob(state.crashes_, key);
  }
}

// Returns the attempts that are open on the worker.
std::vector<AttemptRef> OpenAttemptsOn(const GraphState& state,
                                       const PoolWorkerReport& worker) {
  std::vector<AttemptRef> open;
  const auto here = state.open_on_.find(worker.id_);
  if (here == state.open_on_.end()) return open;
  for (const AttemptRef& attempt : here->second) {
    const TaskRef& ref = attempt.task_;
    const StepRecord& step = *FindStep(state, ref);
    const TaskRecord& task = step.tasks_[ref.index_.value()];
    if (task.incarnation_ != worker.incarnation_) continue;
    open.push_back(attempt);
  }
  return open;
}

void GiveUp(GraphState& state, const TaskRef& task) {
  state.new_given_up_.push_back(task);
  const Time at = state.crashes_.histories_.at(task).last_crash_;
  GraphJob* job = FindJob(state, task.job_);
  if (job != nullptr) EndJob(*job, GraphJobState::kFailed, at);
}

std::size_t PoolSize(const GraphState& state, const PoolName& pool) {
  return static_cast<std::size_t>(std::count_if(
      state.workers_.begin(), state.workers_.end(),
      [&pool](const auto& item) { return item.second.pool_ == pool; }));
}

// The worker's process is over without having left. `restarted` is the start of
// the next process, if there is one.
void ApplyCrash(GraphState& state, const PoolWorkerReport& worker,
                Time restarted) {
  const CrashedWorker crashed{worker.id_, worker.incarnation_, worker.pool_,
                              PoolSize(state, worker.pool_), restarted};
  WorkerCrash crash =
      CountCrash(state.crashes_, crashed, OpenAttemptsOn(state, worker));
  for (const TaskRef& task : crash.tasks_) {
    if (IsTaskUnfinished(state, task) &&
        VerdictOn(state.crashes_, task) == Verdict::kGiveUp) {
      GiveUp(state, task);
    }
  }
  if (!crash.tasks_.empty()) state.new_crashes_.push_back(std::move(crash));
}

// Whether the report replaces the listed worker, which is then over.
bool IsReplacedBy(const PoolWorkerReport& worker,
                  const PoolWorkerReport& report) {
  return worker.id_ == report.id_ ? worker.incarnation_ < report.incarnation_
                                  : worker.address_ == report.address_;
}

void Apply(GraphState& state, const WorkerRecord& record) {
  state.new_crashes_.clear();
  state.new_given_up_.clear();
  for (const PoolWorkerReport& report : record.reports_) {
    const auto known = state.workers_.find(report.id_);
    const bool stale =
        known != state.workers_.end() &&
        std::pair(known->second.incarnation_, known->second.sequence_) >
            std::pair(report.incarnation_, report.sequence_);
    if (stale) continue;
    for (const auto& [id, worker] : state.workers_) {
      if (!IsReplacedBy(worker, report)) continue;
      // A worker's incarnation is the Unix time of its start.
      if (worker.incarnation_ < report.incarnation_) {
        ApplyCrash(state, worker, Time(report.incarnation_.value()));
      }
      ForgetWorker(state.crashes_, id);
    }
    std::erase_if(state.workers_, [&state, &report](const auto& item) {
      if (item.second.address_ != report.address_) return false;
      if (item.first != report.id_) state.worker_speeds_.erase(item.first);
      return true;
    });
    state.workers_[report.id_] = report;
  }
  for (const WorkerId& id : record.gone_) {
    const auto found = state.workers_.find(id);
    if (found != state.workers_.end()) {
      if (!found->second.draining_) ApplyCrash(state, found->second, Time());
      ForgetWorker(state.crashes_, id);
    }
    state.workers_.erase(id);
    state.worker_speeds_.erase(id);
  }
}

void Apply(GraphState& state, const EvacuationRecord& record) {
  ApplyEvacuation(state.evacuations_, record.order_);
}

void Apply(GraphState& state, const WorkerSpeedsRecord& record) {
  for (const auto& [id, speed] : record.speeds_) {
    if (state.workers_.contains(id)) state.worker_speeds_[id] = speed;
  }
}

void Apply(GraphState& state, const ConfirmedRecord& record) {
  for (const AttemptRef& attempt : record.attempts_) {
    if (!IsOpen(state, attempt)) continue;
    NoteConfirmed(state.crashes_, attempt, record.worker_);
  }
}

void Apply(GraphState& state, const GiveUpRecord& record) {
  state.new_given_up_.clear();
  for (const TaskRef& task : record.tasks_) {
    if (!IsTaskUnfinished(state, task)) continue;
    // A wave of crashes may have become known since it was proposed.
    if (VerdictOn(state.crashes_, task) == Verdict::kGoOn) continue;
    if (!IsTaskOpen(state, task)) GiveUp(state, task);
  }
}

// The parts of a snapshot that every version knows.
template <class State>
struct BaseParts {
  State& state_;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(state_.catalog_, state_.jobs_, state_.workers_);
  }
};

// The numbers of the other parts in a snapshot. They never change.
enum class SnapshotPart : std::uint32_t {
  kEvacuations = 1,
  kWorkerSpeeds = 2,
  // Parts 3 and 4 were earlier ledgers: one listed a gang as one task, the
  // other did not tell what had begun.
  kCrashes = 5,
  kPlaces = 6,
};

using SnapshotParts = std::map<std::uint32_t, std::string>;

// The jobs by their places, of which there are few.
using JobsByPlace = std::map<QueuePlace, std::vector<GraphJobKey>>;

JobsByPlace ListPlaces(const GraphState& state) {
  JobsByPlace places;
  for (const auto& [key, job] : state.jobs_) places[job.place_].push_back(key);
  return places;
}

void SetPlaces(GraphState& state, const JobsByPlace& places) {
  for (const auto& [place, keys] : places) {
    for (const GraphJobKey& key : keys) {
      GraphJob* job = FindJob(state, key);
      if (job != nullptr) job->place_ = place;
    }
  }
}

// Returns false if the part is there but can't be read.
template <class Value>
bool ReadPart(const SnapshotParts& parts, SnapshotPart part, Value& value) {
  const auto found = parts.find(static_cast<std::uint32_t>(part));
  if (found == parts.end()) return true;
  auto read = Unpack<Value>(found->second);
  if (!read.has_value()) return false;
  value = std::move(*read);
  return true;
}

}  // namespace

std::string EncodeState(const GraphState& state) {
  SnapshotParts parts;
  parts[static_cast<std::uint32_t>(SnapshotPart::kEvacuations)] =
      Pack(state.evacuations_);
  parts[static_cast<std::uint32_t>(SnapshotPart::kWorkerSpeeds)] =
      Pack(state.worker_speeds_);
  parts[static_cast<std::uint32_t>(SnapshotPart::kCrashes)] =
      Pack(state.crashes_);
  parts[static_cast<std::uint32_t>(SnapshotPart::kPlaces)] =
      Pack(ListPlaces(state));
  return Pack(BaseParts<const GraphState>{state}) + Pack(parts);
}

std::optional<GraphState> DecodeState(std::string_view bytes) {
  GraphState state;
  SnapshotParts parts;
  try {
    UnpackArchive archive(bytes);
    BaseParts<GraphState> base{state};
    archive(base);
    if (!archive.at_end()) archive(parts);
  } catch (const std::exception&) {
    return std::nullopt;
  }
  JobsByPlace places;
  if (!ReadPart(parts, SnapshotPart::kPlaces, places) ||
      !ReadPart(parts, SnapshotPart::kEvacuations, state.evacuations_) ||
      !ReadPart(parts, SnapshotPart::kWorkerSpeeds, state.worker_speeds_) ||
      !ReadPart(parts, SnapshotPart::kCrashes, state.crashes_)) {
    return std::nullopt;
  }
  SetPlaces(state, places);
  IndexOpenAttempts(state);
  return state;
}

std::string_view GraphJobStateName(GraphJobState state) {
  static constexpr std::array<std::string_view, 4> kNames = {
      "active", "completed", "failed", "cancelled"};
  return kNames.at(static_cast<std::size_t>(state));
}

std::uint32_t TotalOccurrences(const GraphSpec& spec) {
  return std::max<std::uint32_t>(1, spec.occurrences_);
}

void ApplyRecord(GraphState& state, const GraphRecord& record) {
  std::visit([&state](const auto& body) { Apply(state, body); }, record);
}

const GraphJob* FindJob(const GraphState& state, const GraphJobKey& key) {
  const auto found = state.jobs_.find(key);
  return found == state.jobs_.end() ? nullptr : &found->second;
}

bool IsListed(const GraphState& state, const PoolWorkerReport& report) {
  const auto found = state.workers_.find(report.id_);
  if (found == state.workers_.end()) return false;
  PoolWorkerReport listed = found->second;
  listed.sequence_ = report.sequence_;
  listed.clock_ms_ = report.clock_ms_;
  listed.remaining_ = report.remaining_;
  return listed == report;
}

bool MayReport(const GraphState& state, const PoolWorkerReport& report) {
  const PoolName& pool = report.pool_;
  if (state.catalog_.version_ == CatalogVersion()) return true;
  if (FindPool(state.catalog_, pool) != nullptr) return true;
  const auto listed = state.workers_.find(report.id_);
  if (listed == state.workers_.end() || listed->second.pool_ != pool) {
    return false;
  }
  return std::any_of(
      state.jobs_.begin(), state.jobs_.end(), [&pool](const auto& item) {
        const GraphJob& job = item.second;
        return job.state_ == GraphJobState::kActive && job.terms_.pool_ == pool;
      });
}

const StepRecord* FindStep(const GraphJob& job, Occurrence occurrence,
                           StepIndex step) {
  const auto found = job.occurrences_.find(occurrence);
  if (found == job.occurrences_.end()) return nullptr;
  const auto& steps = found->second.steps_;
  return step.value() < steps.size() ? &steps[step.value()] : nullptr;
}

const StepRecord* FindStep(const GraphState& state, const TaskRef& task) {
  const GraphJob* job = FindJob(state, task.job_);
  return job == nullptr ? nullptr
                        : FindStep(*job, task.occurrence_, task.step_);
}

bool IsTaskUnfinished(const GraphState& state, const TaskRef& task) {
  const GraphJob* job = FindJob(state, task.job_);
  if (job == nullptr || job->state_ != GraphJobState::kActive) return false;
  const StepRecord* step = FindStep(*job, task.occurrence_, task.step_);
  return step != nullptr && task.index_.value() < step->tasks_.size() &&
         !step->tasks_[task.index_.value()].done_;
}

bool IsTaskOpen(const GraphState& state, const TaskRef& task) {
  const StepRecord* step = FindStep(state, task);
  return step != nullptr && task.index_.value() < step->tasks_.size() &&
         step->tasks_[task.index_.value()].open_;
}

bool IsOpen(const GraphState& state, const AttemptRef& attempt) {
  const TaskRef& ref = attempt.task_;
  const StepRecord* step = FindStep(state, ref);
  if (step == nullptr || ref.index_.value() >= step->tasks_.size()) {
    return false;
  }
  const TaskRecord& task = step->tasks_[ref.index_.value()];
  return task.open_ && task.attempt_ == attempt.attempt_;
}

std::string_view JobStateName(const GraphJob& job) {
  switch (job.state_) {
    case GraphJobState::kActive:
      return job.begun_ || AnyOpen(job) ? "running" : "pending";
    case GraphJobState::kCompleted:
      return "completed";
    case GraphJobState::kFailed:
      return "failed";
    case GraphJobState::kCancelled:
      return "cancelled";
  }
  return "";
}

std::string_view AttemptEndName(AttemptEnd end) {
  switch (end) {
    case AttemptEnd::kDone:
      return "done";
    case AttemptEnd::kFailed:
      return "failed";
    case AttemptEnd::kStopped:
      return "stopped";
    case AttemptEnd::kLeaseExpired:
      return "lapsed";
    case AttemptEnd::kGangBroken:
      return "broken";
    case AttemptEnd::kGangIncomplete:
      return "alone";
    case AttemptEnd::kLost:
      return "lost";
    case AttemptEnd::kNeverStarted:
      return "never began";
    case AttemptEnd::kRejected:
      return "rejected";
  }
  return "";
}

}  // namespace flamingohollow
