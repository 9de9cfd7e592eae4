// The replicated state of graph jobs, built from the committed records.
//
// Applying a record is deterministic and never fails. A record that no longer
// matches the state (the end of an attempt that is not open, a job that already
// exists) changes nothing, so a record may be proposed again if it is unknown
// whether it was committed.

#ifndef FLAMINGOHOLLOW_GRAPH_STATE_H_
#define FLAMINGOHOLLOW_GRAPH_STATE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "flamingohollow/catalog.h"
#include "flamingohollow/evacuation.h"
#include "flamingohollow/graph_records.h"
#include "flamingohollow/graph_types.h"
#include "flamingohollow/worker_crashes.h"

namespace flamingohollow {

struct TaskRecord {
  // The newest attempt; 0 before the first. All members of a gang have the same
  // number.
  AttemptId attempt_;
  // Failed attempts; for gangs, StepRecord counts them instead.
  std::uint32_t failures_ = 0;
  // `attempt_` has not ended. It is assigned to `worker_` in `incarnation_`.
  bool open_ = false;
  bool done_ = false;
  WorkerId worker_;
  WorkerIncarnation incarnation_;
  Checkpoint checkpoint_;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(attempt_, failures_, open_, done_, worker_, incarnation_,
            checkpoint_);
  }
};

struct StepRecord {
  std::vector<TaskRecord> tasks_;
  // How many of `tasks_` are open, and how many are done.
  std::uint32_t open_ = 0;
  std::uint32_t done_ = 0;
  // Failed attempts of a gang.
  std::uint32_t failures_ = 0;
  // The newest failed attempt of a gang. Keeps an attempt from being counted
  // again when several members fail.
  AttemptId failed_attempt_;
  // The newest checkpoint of a gang, shared by all members.
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

// For log lines.
std::string_view GraphJobStateName(GraphJobState state);

struct GraphJob {
  GraphJobKey key_;
  QueueName queue_;
  CustomerId customer_;
  JobTerms terms_;
  GraphSpec spec_;
  Time accepted_;
  // Not part of the job's archive, which earlier versions read.
  QueuePlace place_;
  GraphJobState state_ = GraphJobState::kActive;
  // Unix time at which the job stopped being active; unset before.
  Time ended_;
  // Whether an attempt has ended that may have started.
  bool begun_ = false;
  // Occurrences that are due. One is finished, and removed, once its steps are
  // all done and none of its attempts is open.
  std::map<Occurrence, OccurrenceRecord> occurrences_;
  // The next occurrence to become due.
  std::uint32_t next_due_ = 0;
  // Number of finished occurrences.
  std::uint32_t finished_occurrences_ = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(key_, queue_, customer_, terms_, spec_, accepted_, state_, ended_,
            begun_, occurrences_, next_due_, finished_occurrences_);
  }
};

struct GraphState {
  Catalog catalog_;
  std::map<GraphJobKey, GraphJob> jobs_;
  // The last report of each worker; at most one worker per address.
  std::map<WorkerId, PoolWorkerReport> workers_;
  Evacuations evacuations_;
  // Of workers in `workers_`.
  std::map<WorkerId, LearnedSpeed> worker_speeds_;
  CrashLedger crashes_;
  // The open attempts of the tasks in `jobs_`, by worker. Not part of
  // snapshots, since it follows from `jobs_`.
  std::map<WorkerId, std::set<AttemptRef>> open_on_;
  // The crashes that the last applied WorkerRecord has shown, and the tasks
  // that the last applied WorkerRecord or GiveUpRecord gave up; for logs and
  // metrics. Not part of snapshots.
  std::vector<WorkerCrash> new_crashes_;
  std::vector<TaskRef> new_given_up_;
};

// A snapshot of the state. Parts that a version of the program does not know
// are ignored, and parts that a snapshot lacks are empty, so that nodes of
// different versions can read each other's snapshots.
std::string EncodeState(const GraphState& state);
// Returns nothing if the bytes are no snapshot.
std::optional<GraphState> DecodeState(std::string_view bytes);

// Total number of occurrences of the job's graph: 1 for a plain job.
std::uint32_t TotalOccurrences(const GraphSpec& spec);

// Applies one committed record to the state.
void ApplyRecord(GraphState& state, const GraphRecord& record);

const GraphJob* FindJob(const GraphState& state, const GraphJobKey& key);
// Whether the state holds the report, ignoring its sequence number, clock and
// remaining time.
bool IsListed(const GraphState& state, const PoolWorkerReport& report);
// Whether a worker may report itself: the catalog names its pool, or it is
// listed in that pool and an active job runs there. No catalog yet names every
// pool. O(1) for pools of the catalog, else O(jobs).
bool MayReport(const GraphState& state, const PoolWorkerReport& report);
// Null if the occurrence is not due yet, has finished or does not exist.
const StepRecord* FindStep(const GraphJob& job, Occurrence occurrence,
                           StepIndex step);
// As above; also null if the job is unknown.
const StepRecord* FindStep(const GraphState& state, const TaskRef& task);
// Whether the task's job is active and the task is not done. False if it is
// unknown, as a task of an occurrence that is over.
bool IsTaskUnfinished(const GraphState& state, const TaskRef& task);
// Whether an attempt of the task has not ended.
bool IsTaskOpen(const GraphState& state, const TaskRef& task);
// Whether the attempt is the task's newest and has not ended.
bool IsOpen(const GraphState& state, const AttemptRef& attempt);

// "pending", "running", "completed", "failed" or "cancelled". A job runs as
// soon as an attempt is open; see HasBegun for what its worker has said.
std::string_view JobStateName(const GraphJob& job);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_GRAPH_STATE_H_
