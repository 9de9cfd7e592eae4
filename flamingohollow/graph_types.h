// Specifications of jobs whose steps form a graph, and references to their
// parts.
//
// A *step* is a set of identical tasks that start once all steps it depends on
// are done. A *gang* is a step whose tasks run only together. In a step that is
// not a gang, each task is scheduled on its own, as a gang of one.
// docs/GRAPH-JOBS.md has the rules.

#ifndef FLAMINGOHOLLOW_GRAPH_TYPES_H_
#define FLAMINGOHOLLOW_GRAPH_TYPES_H_

#include <algorithm>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "flamingohollow/types.h"
#include "util/clock.h"
#include "util/pack.h"
#include "util/strong.h"

namespace flamingohollow {

using QueueName = Strong<struct QueueNameTag, std::string>;
// Names a set of workers that serve the same queues.
using PoolName = Strong<struct PoolNameTag, std::string>;
// Chosen by the caller, unique over all queues.
using GraphJobKey = Strong<struct GraphJobKeyTag, std::string>;
using StepIndex = Strong<struct StepIndexTag, std::uint32_t>;
// Counts the runs of a scheduled job's graph from 0.
using Occurrence = Strong<struct OccurrenceTag, std::uint32_t>;
using CatalogVersion = Strong<struct CatalogVersionTag, std::uint64_t>;
// Commands to workers carry the leader's token. A worker rejects commands whose
// token is lower than the highest that it has seen.
using FencingToken = Strong<struct FencingTokenTag, std::uint64_t>;
// Opaque state saved by a task; empty if there is none.
using Checkpoint = Strong<struct CheckpointTag, std::string>;
// Identifies one run of a worker's process: the Unix time of its start in ms.
// Increases with each restart.
using WorkerIncarnation = Strong<struct WorkerIncarnationTag, std::int64_t>;

struct Resources {
  std::int64_t millicores_ = 0;
  std::int64_t memory_mb_ = 0;
  std::int64_t accelerators_ = 0;

  friend bool operator==(const Resources&, const Resources&) = default;
  friend Resources operator+(const Resources& a, const Resources& b) {
    return {a.millicores_ + b.millicores_, a.memory_mb_ + b.memory_mb_,
            a.accelerators_ + b.accelerators_};
  }
  friend Resources operator-(const Resources& a, const Resources& b) {
    return {a.millicores_ - b.millicores_, a.memory_mb_ - b.memory_mb_,
            a.accelerators_ - b.accelerators_};
  }
  template <class Archive>
  void serialize(Archive& archive) {
    archive(millicores_, memory_mb_, accelerators_);
  }
};

inline bool Fits(const Resources& need, const Resources& free) {
  return need.millicores_ <= free.millicores_ &&
         need.memory_mb_ <= free.memory_mb_ &&
         need.accelerators_ <= free.accelerators_;
}

inline Resources ElementwiseMin(const Resources& a, const Resources& b) {
  return {std::min(a.millicores_, b.millicores_),
          std::min(a.memory_mb_, b.memory_mb_),
          std::min(a.accelerators_, b.accelerators_)};
}

inline Resources ElementwiseMax(const Resources& a, const Resources& b) {
  return {std::max(a.millicores_, b.millicores_),
          std::max(a.memory_mb_, b.memory_mb_),
          std::max(a.accelerators_, b.accelerators_)};
}

// Limit on the steps of a job: more than the users' largest body can name.
inline constexpr std::size_t kMaxJobSteps = 32768;

struct StepSpec {
  std::uint32_t tasks_ = 1;
  // Resources of one task.
  Resources need_;
  // The caller's rough estimate of one task's run time.
  Duration estimate_;
  // Indices of the steps whose tasks must all be done first; they may be lower
  // or higher than this step's own.
  std::vector<std::uint32_t> after_;
  bool gang_ = false;
  // The gang runs slower when its tasks are spread over several racks.
  bool same_rack_ = false;
  // Tasks save checkpoints, from which a later attempt continues.
  bool checkpoints_ = false;
  // Tasks run until the job is cancelled.
  bool long_running_ = false;
  // A filler: uses only processor time that other tasks leave idle.
  bool is_filler_ = false;
  // A label that the worker must have; empty if any worker will do.
  std::string label_;
  // The rack that holds the input data; empty if there is none.
  Rack data_rack_;
  // Maximum of this step's tasks on one worker at a time; 0 for no limit.
  std::uint32_t max_per_worker_ = 0;

  friend bool operator==(const StepSpec&, const StepSpec&) = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(tasks_, need_, estimate_, after_, gang_, same_rack_, checkpoints_,
            long_running_, is_filler_, label_, data_rack_, max_per_worker_);
  }
};

// The resources that one task reserves on a worker. A filler reserves no
// processor time.
inline Resources ReservedResources(const StepSpec& spec) {
  Resources need = spec.need_;
  if (spec.is_filler_) need.millicores_ = 0;
  return need;
}

// Whether tasks on the rack run slower because their data is on another rack.
inline bool IsAwayFromData(const StepSpec& spec, const Rack& rack) {
  return spec.data_rack_ != Rack() && rack != spec.data_rack_;
}

struct GraphSpec {
  // Passed to every task unchanged.
  std::string payload_;
  std::vector<StepSpec> steps_;
  // A scheduled job runs its graph `occurrences_` times; 0 for a plain job.
  std::uint32_t occurrences_ = 0;
  // Unix time at which occurrence 0 is due.
  Time first_due_;
  Duration interval_;

  friend bool operator==(const GraphSpec&, const GraphSpec&) = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(payload_, steps_, occurrences_, first_due_, interval_);
  }
};

// One task of a job.
struct TaskRef {
  GraphJobKey job_;
  Occurrence occurrence_;
  StepIndex step_;
  TaskIndex index_;

  friend auto operator<=>(const TaskRef&, const TaskRef&) = default;
  friend bool operator==(const TaskRef&, const TaskRef&) = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(job_, occurrence_, step_, index_);
  }
};

// A step of one run of a job's graph.
struct StepRef {
  GraphJobKey job_;
  Occurrence occurrence_;
  StepIndex step_;

  friend auto operator<=>(const StepRef&, const StepRef&) = default;
  friend bool operator==(const StepRef&, const StepRef&) = default;
};

inline StepRef StepOf(const TaskRef& task) {
  return {task.job_, task.occurrence_, task.step_};
}

// One attempt to run a task. Attempts of a task are numbered from 1.
struct AttemptRef {
  TaskRef task_;
  AttemptId attempt_;

  friend auto operator<=>(const AttemptRef&, const AttemptRef&) = default;
  friend bool operator==(const AttemptRef&, const AttemptRef&) = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(task_, attempt_);
  }
};

// Whether the attempts belong to tasks of one step that start together, such as
// the members of a gang.
inline bool IsSameStart(const AttemptRef& a, const AttemptRef& b) {
  return a.attempt_ == b.attempt_ && StepOf(a.task_) == StepOf(b.task_);
}

// How an attempt ended.
enum class AttemptEnd : std::uint8_t {
  kDone = 0,
  // The task failed, through its own fault or its worker's.
  kFailed = 1,
  kStopped = 2,
  // The worker ended it because its lease had expired.
  kLeaseExpired = 3,
  // Stopped because another member of its gang ended.
  kGangBroken = 4,
  // The other members of its gang did not start.
  kGangIncomplete = 5,
  // Its worker crashed, left or restarted, or the worker's lease is known to
  // have expired.
  kLost = 6,
  // Its start was not confirmed, and it is known not to start any more. It may
  // have run on a worker that crashed under it.
  kNeverStarted = 7,
  // Its start was rejected or never sent.
  kRejected = 8,
};

std::string_view AttemptEndName(AttemptEnd end);

// Maximum number of tasks of a job over all its steps; bounds the size of log
// records.
inline constexpr std::uint32_t kMaxTasksPerJob = 10'000;
inline constexpr std::size_t kMaxStepsPerJob = 1'000;

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_GRAPH_TYPES_H_
