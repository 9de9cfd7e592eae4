// The replicated state of graph jobs: what the committed records say.
//
// Applying is deterministic and total: a record that no longer fits the state
// (an end of an attempt that is not open, a job that is there already) changes
// nothing, so a record may be proposed again after an unclear outcome.

#ifndef FLAMINGOHOLLOW_GRAPH_STATE_H_
#define FLAMINGOHOLLOW_GRAPH_STATE_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "flamingohollow/catalog.h"
#include "flamingohollow/graph_records.h"
#include "flamingohollow/graph_types.h"

namespace flamingohollow {

struct TaskRecord {
  // The newest attempt; 0 before the first. Members of a gang share theirs.
  AttemptId attempt_;
  // Attempts of a lone task that ended failed.
  std::uint32_t failures_ = 0;
  // `attempt_` has not ended, on `worker_` in its `life_`.
  bool open_ = false;
  bool done_ = false;
  WorkerId worker_;
  WorkerLife life_;
  Checkpoint checkpoint_;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(attempt_, failures_, open_, done_, worker_, life_, checkpoint_);
  }
};

struct StepRecord {
  std::vector<TaskRecord> tasks_;
  // Counts over `tasks_`.
  std::uint32_t open_ = 0;
  std::uint32_t done_ = 0;
  // Attempts of a gang that ended failed.
  std::uint32_t failures_ = 0;
  // The newest failed attempt of a gang, so that it counts once.
  AttemptId failed_attempt_;
  // Of a gang, shared by all members.
  Checkpoint checkpoint_;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(tasks_, open_, done_, failures_, failed_attempt_, checkpoint_);
  }
};

inline bool IsDone(const StepRecord& step) {
  return step.done_ == step.tasks_.size();
}

// One run of the graph.
struct OccurrenceRecord {
  std::vector<StepRecord> steps_;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(steps_);
  }
};

enum class GraphJobState : std::uint8_t {
  kActive = 0,
  kCompleted = 1,
  kFailed = 2,
  kCancelled = 3,
};

struct GraphJob {
  GraphJobKey key_;
  QueueName queue_;
  CustomerId customer_;
  JobTerms terms_;
  GraphSpec spec_;
  Time accepted_;
  GraphJobState state_ = GraphJobState::kActive;
  // Unix time, set once the job is no longer active.
  Time ended_;
  // Some attempt was opened.
  bool begun_ = false;
  // Those due and not finished; a finished one is dropped once none of its
  // attempts is open.
  std::map<Occurrence, OccurrenceRecord> occurrences_;
  // The next occurrence to become due.
  std::uint32_t due_ = 0;
  // Occurrences whose steps are all done.
  std::uint32_t finished_ = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(key_, queue_, customer_, terms_, spec_, accepted_, state_, ended_,
            begun_, occurrences_, due_, finished_);
  }
};

struct GraphState {
  Catalog catalog_;
  std::map<GraphJobKey, GraphJob> jobs_;
  // As they last described themselves; one an address.
  std::map<WorkerId, PoolWorkerReport> workers_;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(catalog_, jobs_, workers_);
  }
};

// Occurrences that the job's graph runs in all: 1 for a plain job.
std::uint32_t OccurrencesOf(const GraphSpec& spec);

// Takes one committed record in.
void ApplyRecord(GraphState& state, const GraphRecord& record);

const GraphJob* FindJob(const GraphState& state, const GraphJobKey& key);
// The state holds what the report says, all but its time and number.
bool IsListed(const GraphState& state, const PoolWorkerReport& report);
// Null when the task's occurrence is not due, is finished, or never was.
const StepRecord* FindStep(const GraphJob& job, Occurrence occurrence,
                           StepIndex step);
// Null, too, when the job is unknown.
const StepRecord* FindStep(const GraphState& state, const TaskRef& task);
// The attempt is the task's newest and has not ended.
bool IsOpen(const GraphState& state, const AttemptRef& attempt);

// "pending", "running", "completed", "failed" or "cancelled".
std::string_view JobStateName(const GraphJob& job);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_GRAPH_STATE_H_
