// Simulates streams of graph jobs against the scheduler and compares the value
// that callers get under different policies.
//
//   graph_load_bench [--workers=N] [--seeds=N] [--load=FACTOR] [--only=NAME]
//
// Every policy is simulated with the same seeds. Prints a row of a Markdown
// table for each load, disturbance and policy: the share of the possible value
// that callers got, the share of each queue's jobs that were on time, and the
// share of the requested work that was wasted. Its output is kept in
// docs/LOAD.md.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <fmt/format.h>

#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "flamingohollow/testing/graph_load.h"

ABSL_FLAG(int, workers, 48, "workers in the pool, 8 to a rack");
ABSL_FLAG(double, load, 1, "factor on the usual rate of jobs");
ABSL_FLAG(int, seeds, 4, "seeds to simulate for each load");
ABSL_FLAG(int, threads, 4, "seeds simulated in parallel");
ABSL_FLAG(std::string, only, "",
          "simulate only disturbances whose name contains this");

namespace flamingohollow::testing {
namespace {

struct Policy {
  std::string name_;
  SchedulerOptions options_;
};

std::vector<Policy> MakePolicies() {
  std::vector<Policy> policies;
  policies.push_back({"present", {}});
  // Urgent jobs preempt only when their estimate just fits their deadline.
  Policy& late = policies.emplace_back(Policy{"stops late", {}});
  late.options_.placement_.estimate_safety_factor_ = 1;
  // No unit holds the resources that are likely to become free first.
  Policy& greedy = policies.emplace_back(Policy{"no room held", {}});
  greedy.options_.placement_.min_reservations_ = 0;
  greedy.options_.placement_.max_reservations_ = 0;
  // Workers that make tasks fail are treated like all others.
  Policy& trusting = policies.emplace_back(Policy{"trusts all", {}});
  trusting.options_.placement_.avoid_suspects_ = false;
  return policies;
}

struct NamedDisturbance {
  std::string name_;
  LoadDisturbance disturbance_;
};

const std::vector<NamedDisturbance>& Disturbances() {
  static const std::vector<NamedDisturbance> disturbances = {
      {"steady", LoadDisturbance::kNone},
      {"burst of large", LoadDisturbance::kBurst},
      {"slow workers", LoadDisturbance::kSlowWorkers},
      {"cut workers", LoadDisturbance::kDisconnectedWorkers},
      {"failing workers", LoadDisturbance::kFailingWorkers},
      {"cancels", LoadDisturbance::kCancels}};
  return disturbances;
}

LoadResult SimulateSeeds(const GraphLoad& load,
                         const SchedulerOptions& options) {
  const int seeds = absl::GetFlag(FLAGS_seeds);
  const int threads = absl::GetFlag(FLAGS_threads);
  std::vector<LoadResult> results(static_cast<std::size_t>(seeds));
  std::vector<std::thread> pool;
  pool.reserve(static_cast<std::size_t>(threads));
  for (int t = 0; t < threads; ++t) {
    pool.emplace_back([&, t] {
      for (int seed = t; seed < seeds; seed += threads) {
        results[static_cast<std::size_t>(seed)] =
            SimulateLoad(load, options, static_cast<std::uint64_t>(seed) + 1);
      }
    });
  }
  for (std::thread& thread : pool) thread.join();
  LoadResult sum;
  sum.queues_.resize(load.queues_.size());
  for (const LoadResult& result : results) {
    sum.max_value_ += result.max_value_;
    sum.earned_value_ += result.earned_value_;
    sum.wasted_work_ += result.wasted_work_;
    sum.requested_work_ += result.requested_work_;
    sum.violations_ += result.violations_;
    for (std::size_t i = 0; i < sum.queues_.size(); ++i) {
      sum.queues_[i].jobs_ += result.queues_[i].jobs_;
      sum.queues_[i].on_time_ += result.queues_[i].on_time_;
      sum.queues_[i].late_ += result.queues_[i].late_;
    }
  }
  return sum;
}

double Share(double part, double whole) { return whole > 0 ? part / whole : 0; }

void Print(const std::string& load, const std::string& disturbance,
           const std::string& policy, const LoadResult& result) {
  std::vector<double> shares;
  for (const QueueResult& queue : result.queues_) {
    shares.push_back(Share(queue.on_time_, queue.jobs_));
  }
  fmt::print("| {} | {} | {} | {:.3f} | {:.3f} | {:.3f} | {:.3f} | {:.3f} |\n",
             load, disturbance, policy,
             Share(result.earned_value_, result.max_value_), shares[0],
             shares[1], shares[2],
             Share(result.wasted_work_, result.requested_work_));
  if (!result.violations_.empty())
    fmt::print("violated rules: {}\n", result.violations_);
  std::fflush(stdout);
}

int Main() {
  const int workers = absl::GetFlag(FLAGS_workers);
  fmt::print(
      "| load | trouble | policy | worth | urgent in time | rebuild in time | "
      "replan in time | in vain |\n|---|---|---|--:|--:|--:|--:|--:|\n");
  const std::vector<Policy> policies = MakePolicies();
  for (const auto& make :
       {&MakeDispatchLoad, &MakeTimecastLoad, &MakeUnevenLoad}) {
    for (const NamedDisturbance& disturbance : Disturbances()) {
      const std::string only = absl::GetFlag(FLAGS_only);
      if (disturbance.name_.find(only) == std::string::npos) continue;
      GraphLoad load = make(workers, disturbance.disturbance_);
      for (QueueLoad& queue : load.queues_) {
        queue.jobs_per_s_ *= absl::GetFlag(FLAGS_load);
      }
      for (const Policy& policy : policies) {
        Print(load.name_, disturbance.name_, policy.name_,
              SimulateSeeds(load, policy.options_));
      }
    }
  }
  return 0;
}

}  // namespace
}  // namespace flamingohollow::testing

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  return flamingohollow::testing::Main();
}
