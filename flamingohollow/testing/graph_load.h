// Streams of graph jobs like the users', played against the scheduler under a
// virtual clock, and what their callers get.
//
// All is drawn from a seed: two policies that play one seed meet the same jobs
// at the same times, and the same troubles.

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
  // A job is on time within `slack_` times its longest chain and `objective_`
  // more, late within three times that.
  double slack_ = 3;
  Duration objective_;
  // What a job of mean size is worth on time, and late.
  double worth_ = 1;
  double late_worth_ = 0;
  // Tasks of a step: log-normal.
  double mean_tasks_ = 4;
  double max_tasks_ = 32;
  // Of one task; the accelerators are drawn from the list.
  Resources need_;
  std::vector<std::int64_t> accelerators_{1};
  // Of one task: log-normal around the mean.
  Duration mean_work_;
  double work_spread_ = 0.3;
  // Estimates are off by about this factor's logarithm.
  double estimate_spread_ = 0.2;
  // Shares of the jobs.
  double gangs_ = 0;
  double same_rack_ = 0;
  double saves_ = 0;
};

enum class LoadTrouble : std::uint8_t {
  kNone,
  // The second queue's callers come three times as often for a while.
  kBurst,
  // A tenth of the workers takes eight times as long for a while.
  kSlowWorkers,
  // A tenth of the workers is cut off for a while.
  kCutWorkers,
  // A quarter of the jobs is cancelled soon after it came.
  kCancels,
};

struct GraphLoad {
  std::string name_;
  int racks_ = 6;
  int per_rack_ = 8;
  int customers_ = 4;
  // Of the accelerators, guaranteed to customers for jobs of priority 0.
  double guaranteed_ = 0.6;
  Duration length_ = Duration(35'000);
  LoadTrouble trouble_ = LoadTrouble::kNone;
  // Every third worker takes this many times as long.
  double third_slowness_ = 1.3;
  std::vector<QueueLoad> queues_;
};

struct QueueResult {
  std::uint32_t jobs_ = 0;
  std::uint32_t in_time_ = 0;
  std::uint32_t late_ = 0;
  // By worth, as `QueueLoad` gives it, weighted by the jobs' work.
  double owed_ = 0;
  double earned_ = 0;
};

struct LoadResult {
  std::vector<QueueResult> queues_;
  double owed_ = 0;
  double earned_ = 0;
  // Core-seconds of work that ran in vain, an accelerator counted as 8 cores.
  double wasted_ = 0;
  // Core-seconds of work that the jobs asked for.
  double asked_ = 0;
  // What broke a rule of the model; empty.
  std::string broken_;
};

// Loads like the first users', on `workers` workers in racks of 8: one with
// scarce memory, and one with three times as many urgent jobs.
GraphLoad MakeDispatchLoad(int workers, LoadTrouble trouble);
GraphLoad MakeTimecastLoad(int workers, LoadTrouble trouble);

LoadResult PlayLoad(const GraphLoad& load, const SchedulerOptions& options,
                    std::uint64_t seed);

}  // namespace flamingohollow::testing

#endif  // FLAMINGOHOLLOW_TESTING_GRAPH_LOAD_H_
