// Plays streams of graph jobs against the scheduler and tells what callers get,
// policy beside policy.
//
//   graph_load_bench [--workers=N] [--seeds=N] [--load=TIMES] [--only=TROUBLE]
//
// Every policy plays the same seeds. Prints a row of a Markdown table for each
// load and policy: the share of the worth that callers got, of each queue's
// jobs the share in time, and the work in vain as a share of the work asked
// for. docs/LOAD.md holds its output.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <fmt/format.h>

#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "flamingohollow/testing/graph_load.h"

ABSL_FLAG(int, workers, 48, "workers in the pool, 8 to a rack");
ABSL_FLAG(double, load, 1, "times the users' usual rate of jobs");
ABSL_FLAG(int, seeds, 4, "seeds to play of each load");
ABSL_FLAG(int, threads, 4, "seeds that are played at one time");
ABSL_FLAG(std::string, only, "", "play only troubles whose name holds this");

namespace flamingohollow::testing {
namespace {

struct Policy {
  std::string name_;
  SchedulerOptions options_;
};

std::vector<Policy> MakePolicies() {
  std::vector<Policy> policies;
  policies.push_back({"present", {}});
  // Urgent jobs stop others only when their estimate just fits.
  Policy& late = policies.emplace_back(Policy{"stops late", {}});
  late.options_.placement_.estimate_safety_factor_ = 1;
  // Whoever fits starts; gangs hold no room.
  Policy& greedy = policies.emplace_back(Policy{"no room held", {}});
  greedy.options_.placement_.min_reservations_ = 0;
  greedy.options_.placement_.max_reservations_ = 0;
  return policies;
}

struct NamedTrouble {
  std::string name_;
  LoadTrouble trouble_;
};

const std::vector<NamedTrouble>& Troubles() {
  static const std::vector<NamedTrouble> troubles = {
      {"steady", LoadTrouble::kNone},
      {"burst of large", LoadTrouble::kBurst},
      {"slow workers", LoadTrouble::kSlowWorkers},
      {"cut workers", LoadTrouble::kCutWorkers},
      {"cancels", LoadTrouble::kCancels}};
  return troubles;
}

LoadResult PlaySeeds(const GraphLoad& load, const SchedulerOptions& options) {
  const int seeds = absl::GetFlag(FLAGS_seeds);
  const int threads = absl::GetFlag(FLAGS_threads);
  std::vector<LoadResult> results(static_cast<std::size_t>(seeds));
  std::vector<std::thread> pool;
  pool.reserve(static_cast<std::size_t>(threads));
  for (int t = 0; t < threads; ++t) {
    pool.emplace_back([&, t] {
      for (int seed = t; seed < seeds; seed += threads) {
        results[static_cast<std::size_t>(seed)] =
            PlayLoad(load, options, static_cast<std::uint64_t>(seed) + 1);
      }
    });
  }
  for (std::thread& thread : pool) thread.join();
  LoadResult sum;
  sum.queues_.resize(load.queues_.size());
  for (const LoadResult& result : results) {
    sum.owed_ += result.owed_;
    sum.earned_ += result.earned_;
    sum.wasted_ += result.wasted_;
    sum.asked_ += result.asked_;
    sum.broken_ += result.broken_;
    for (std::size_t i = 0; i < sum.queues_.size(); ++i) {
      sum.queues_[i].jobs_ += result.queues_[i].jobs_;
      sum.queues_[i].in_time_ += result.queues_[i].in_time_;
      sum.queues_[i].late_ += result.queues_[i].late_;
    }
  }
  return sum;
}

double Share(double part, double whole) { return whole > 0 ? part / whole : 0; }

void Print(const std::string& load, const std::string& trouble,
           const std::string& policy, const LoadResult& result) {
  std::vector<double> shares;
  for (const QueueResult& queue : result.queues_) {
    shares.push_back(Share(queue.in_time_, queue.jobs_));
  }
  fmt::print("| {} | {} | {} | {:.3f} | {:.3f} | {:.3f} | {:.3f} | {:.3f} |\n",
             load, trouble, policy, Share(result.earned_, result.owed_),
             shares[0], shares[1], shares[2],
             Share(result.wasted_, result.asked_));
  if (!result.broken_.empty()) fmt::print("broken: {}\n", result.broken_);
  std::fflush(stdout);
}

int Main() {
  const int workers = absl::GetFlag(FLAGS_workers);
  fmt::print(
      "| load | trouble | policy | worth | urgent in time | rebuild in time | "
      "replan in time | in vain |\n|---|---|---|--:|--:|--:|--:|--:|\n");
  const std::vector<Policy> policies = MakePolicies();
  for (const auto& make : {&MakeDispatchLoad, &MakeTimecastLoad}) {
    for (const NamedTrouble& trouble : Troubles()) {
      const std::string only = absl::GetFlag(FLAGS_only);
      if (trouble.name_.find(only) == std::string::npos) continue;
      GraphLoad load = make(workers, trouble.trouble_);
      for (QueueLoad& queue : load.queues_) {
        queue.jobs_per_s_ *= absl::GetFlag(FLAGS_load);
      }
      for (const Policy& policy : policies) {
        Print(load.name_, trouble.name_, policy.name_,
              PlaySeeds(load, policy.options_));
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
