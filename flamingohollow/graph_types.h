// Jobs as graphs of steps: what a caller submits, and the resources it needs.
//
// A *step* is a set of equal tasks that begin once the steps before it are
// done. A *gang* is a step whose tasks work only together. A step whose tasks
// are no gang is as many gangs of one. docs/GRAPH-JOBS.md tells the rules.

#ifndef FLAMINGOHOLLOW_GRAPH_TYPES_H_
#define FLAMINGOHOLLOW_GRAPH_TYPES_H_

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
// A pool is a set of workers that serve the same queues.
using PoolName = Strong<struct PoolNameTag, std::string>;
// Chosen by the caller, unique over all queues.
using GraphJobKey = Strong<struct GraphJobKeyTag, std::string>;
using StepIndex = Strong<struct StepIndexTag, std::uint32_t>;
// Counts the runs of a scheduled job's graph from 0.
using Occurrence = Strong<struct OccurrenceTag, std::uint32_t>;
using CatalogVersion = Strong<struct CatalogVersionTag, std::uint64_t>;
// Orders to workers carry the leader's token; a worker ignores lower ones than
// the highest that it has seen.
using FencingToken = Strong<struct FencingTokenTag, std::uint64_t>;
// Opaque state that a task saved; empty for none.
using Checkpoint = Strong<struct CheckpointTag, std::string>;
// A worker's life: Unix time of its start in ms. Grows with each restart.
using WorkerLife = Strong<struct WorkerLifeTag, std::int64_t>;

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

inline bool Fits(const Resources& need, const Resources& room) {
  return need.millicores_ <= room.millicores_ &&
         need.memory_mb_ <= room.memory_mb_ &&
         need.accelerators_ <= room.accelerators_;
}

struct StepSpec {
  std::uint32_t tasks_ = 1;
  // Of one task.
  Resources need_;
  // The caller's rough guess of one task's run time.
  Duration estimate_;
  // Steps, all of lower or higher index, whose tasks must be done first.
  std::vector<std::uint32_t> after_;
  bool gang_ = false;
  // Runs slower when spread over racks.
  bool same_rack_ = false;
  bool checkpoints_ = false;
  // Runs until the job is cancelled.
  bool long_running_ = false;
  // Uses only processor time that other tasks leave.
  bool fills_ = false;
  // A label that the worker must have; empty for none.
  std::string label_;
  // The rack that holds the input; empty for none.
  Rack data_rack_;
  // Tasks of this step on one worker at one time; 0 for any number.
  std::uint32_t max_per_worker_ = 0;

  friend bool operator==(const StepSpec&, const StepSpec&) = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(tasks_, need_, estimate_, after_, gang_, same_rack_, checkpoints_,
            long_running_, fills_, label_, data_rack_, max_per_worker_);
  }
};

// What one task takes of a worker. A filler's share of the processor is what
// others leave.
inline Resources Need(const StepSpec& spec) {
  Resources need = spec.need_;
  if (spec.fills_) need.millicores_ = 0;
  return need;
}

// Tasks on the rack run away from their data, and so slower.
inline bool IsAwayFromData(const StepSpec& spec, const Rack& rack) {
  return spec.data_rack_ != Rack() && rack != spec.data_rack_;
}

struct GraphSpec {
  // Handed to every task as it is.
  std::string payload_;
  std::vector<StepSpec> steps_;
  // A scheduled job runs its graph `occurrences_` times; 0 for a plain job.
  std::uint32_t occurrences_ = 0;
  // Unix time of occurrence 0.
  Time first_due_;
  Duration interval_;

  friend bool operator==(const GraphSpec&, const GraphSpec&) = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(payload_, steps_, occurrences_, first_due_, interval_);
  }
};

// One task of a job. An attempt numbers its starts from 1.
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

// One start of a task.
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

// Of tasks of one step that start together, such as the members of a gang.
inline bool IsSameStart(const AttemptRef& a, const AttemptRef& b) {
  return a.attempt_ == b.attempt_ && StepOf(a.task_) == StepOf(b.task_);
}

// How an attempt ended.
enum class AttemptEnd : std::uint8_t {
  kDone = 0,
  // The task's own fault, or its worker's.
  kFailed = 1,
  kStopped = 2,
  // The worker's lease ran out.
  kLapsed = 3,
  // Another member of its gang ended.
  kBroken = 4,
  // The rest of its gang did not come.
  kAlone = 5,
  // Its worker is gone: crashed, or its lease is surely over.
  kLost = 6,
  // It never began, and never will.
  kNeverBegan = 7,
};

std::string_view AttemptEndName(AttemptEnd end);

// A bound of the records: a job has at most this many tasks, over all steps.
inline constexpr std::uint32_t kMaxTasksPerJob = 10'000;
inline constexpr std::size_t kMaxStepsPerJob = 1'000;

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_GRAPH_TYPES_H_
