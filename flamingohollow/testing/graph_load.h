// Simulates streams of graph jobs like those of the first users against the
// scheduler, under a virtual clock, and measures the value that callers get.
//
// All random values derive from a seed: two policies simulated with the same
// seed get the same jobs at the same times, and the same disturbances.

#ifndef FLAMINGOHOLLOW_TESTING_GRAPH_LOAD_H_
#define FLAMINGOHOLLOW_TESTING_GRAPH_LOAD_H_

#include <cstdint>
#include <string>
#include <vector>

#include "flamingohollow/graph_scheduler.h"
#include "flamingohollow/testing/graph_world.h"

namespace flamingohollow::testing {

// The jobs of one queue.
struct QueueLoad {
  std::string name_;
  double jobs_per_s_ = 1;
  std::uint32_t priority_ = 1;
  std::uint32_t max_attempts_ = 3;
  // A job is on time if it ends within `slack_` times its longest chain plus
  // `objective_`, and late if it ends within three times that.
  double slack_ = 3;
  Duration objective_;
  // Value of a job of mean size if it ends on time, and if it ends late.
  double on_time_value_ = 1;
  double late_value_ = 0;
  // Number of tasks of a step: log-normal.
  double mean_tasks_ = 4;
  double max_tasks_ = 32;
  // Need of one task; its accelerators are picked from the list.
  Resources need_;
  std::vector<std::int64_t> accelerators_{1};
  // Work of one task: log-normal with this mean.
  Duration mean_work_;
  double work_spread_ = 0.3;
  // Share of the tasks, or of the gangs, that take seven times as long.
  double long_share_ = 0;
  // Standard deviation of the logarithm of the estimates' relative error.
  double estimate_spread_ = 0.2;
  // Share of the jobs that are gangs, share of the gangs that want one rack,
  // and share of the jobs that take checkpoints.
  double gang_share_ = 0;
  double same_rack_share_ = 0;
  double checkpoint_share_ = 0;
};

enum class LoadDisturbance : std::uint8_t {
  kNone,
  // The second queue gets jobs at three times its rate for a while.
  kBurst,
  // A tenth of the workers is eight times as slow for a while.
  kSlowWorkers,
  // A tenth of the workers is disconnected for a while.
  kDisconnectedWorkers,
  // A tenth of the workers fails half of its tasks for a while.
  kFailingWorkers,
  // A quarter of the jobs is cancelled soon after its submission.
  kCancels,
};

struct GraphLoad {
  std::string name_;
  int racks_ = 6;
  int per_rack_ = 8;
  int customers_ = 4;
  // Share of the accelerators guaranteed to customers for jobs of priority 0.
  double guaranteed_share_ = 0.6;
  Duration length_ = Duration(35'000);
  LoadDisturbance disturbance_ = LoadDisturbance::kNone;
  // Every third worker is this many times as slow.
  double slow_third_factor_ = 1.3;
  // Every other third is this many times as fast.
  double fast_third_factor_ = 1;
  // Share of the first queue's jobs that crash each worker that starts one of
  // their tasks. If there are any, the leader changes in between.
  double deadly_share_ = 0;
  std::vector<QueueLoad> queues_;
};

struct QueueResult {
  std::uint32_t jobs_ = 0;
  std::uint32_t on_time_ = 0;
  std::uint32_t late_ = 0;
  // Jobs that used up their attempts.
  std::uint32_t failed_ = 0;
  // Values as given by `QueueLoad`, weighted by the jobs' work: if all jobs
  // were on time, and as measured.
  double max_value_ = 0;
  double earned_value_ = 0;
};

struct LoadResult {
  // Without deadly jobs.
  std::vector<QueueResult> queues_;
  std::uint32_t deadly_ = 0;
  // Of these, those that were given up.
  std::uint32_t deadly_failed_ = 0;
  double max_value_ = 0;
  double earned_value_ = 0;
  // Core-seconds of work that was lost. An accelerator counts as 8 cores.
  double wasted_work_ = 0;
  // Core-seconds of work in all jobs.
  double requested_work_ = 0;
  // Violated rules of the model; expected to be empty.
  std::string violations_;
};

// Loads like those of the first users, on `workers` workers in racks of 8. In
// the first memory is scarce; the second has twice as many urgent jobs.
GraphLoad MakeDispatchLoad(int workers, LoadDisturbance disturbance);
GraphLoad MakeTimecastLoad(int workers, LoadDisturbance disturbance);
// As the first, but a third each of the workers is 0.6, 1 and 1.6 times as
// fast, estimates of urgent jobs are off by up to half, and 3% of the tasks
// take seven times as long.
GraphLoad MakeUnevenLoad(int workers, LoadDisturbance disturbance);

LoadResult SimulateLoad(const GraphLoad& load, const SchedulerOptions& options,
                        std::uint64_t seed);

}  // namespace flamingohollow::testing

#endif  // FLAMINGOHOLLOW_TESTING_GRAPH_LOAD_H_
