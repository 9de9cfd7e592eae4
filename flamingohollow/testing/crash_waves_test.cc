// Tests jobs, sound and deadly ones, while workers crash in waves behind cuts.

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "flamingohollow/testing/graph_world.h"

namespace flamingohollow::testing {
namespace {

std::string Broken(const GraphWorld& world) {
  std::string all;
  for (const std::string& rule : world.violations()) all += rule + "; ";
  return all;
}

// Cuts off a share of the workers, which crash meanwhile and return as one.
void CrashBehindCut(GraphWorld& world, std::mt19937_64& random, int per_mille) {
  std::vector<int> cut;
  for (int i = 0; i < world.workers(); ++i) {
    if (static_cast<int>(random() % 1000) < per_mille) cut.push_back(i);
  }
  for (const int worker : cut) world.Disconnect(worker);
  world.RunFor(Duration(2000));
  for (const int worker : cut) world.Crash(worker);
  world.RunFor(Duration(2000));
  for (const int worker : cut) world.Reconnect(worker);
}

// Runs gangs and single tasks while waves of workers crash. The first `deadly`
// jobs crash their workers.
GraphWorld RunInWaves(std::uint64_t seed, std::uint64_t deadly) {
  std::mt19937_64 random(seed);
  GraphWorld world({.seed_ = seed, .racks_ = 6, .per_rack_ = 8});
  world.RunFor(Duration(2000));
  for (std::uint64_t job = 1; job <= 12; ++job) {
    if (job <= deadly) world.SetDeadly(job, Duration(500));
    const bool gang = job % 2 == 0;
    world.Submit(job,
                 {gang ? MakeGang(7, 8, Duration(11'000), false)
                       : MakeStep(3, 4, Duration(9000))},
                 {});
  }
  for (int wave = 0; wave < 4; ++wave) {
    world.RunFor(Duration(3000 + static_cast<std::int64_t>(random() % 3000)));
    CrashBehindCut(world, random, 300);
  }
  world.RunFor(Duration(50'000));
  return world;
}

constexpr std::uint64_t kWaveSeeds = 10;

TEST_CASE("sound jobs are not given up in waves of crashes behind cuts") {
  for (std::uint64_t seed = 1; seed <= kWaveSeeds; ++seed) {
    CAPTURE(seed);
    const GraphWorld world = RunInWaves(seed, 0);
    for (std::uint64_t job = 1; job <= 12; ++job) {
      CAPTURE(job);
      CHECK_EQ(world.JobState(job), GraphJobState::kCompleted);
    }
    CHECK_EQ(Broken(world), "");
  }
}

TEST_CASE("sound jobs are not given up in the waves of seed 22") {
  const GraphWorld world = RunInWaves(22, 0);
  for (std::uint64_t job = 1; job <= 12; ++job) {
    CAPTURE(job);
    CHECK_EQ(world.JobState(job), GraphJobState::kCompleted);
  }
}

TEST_CASE("deadly jobs are given up in waves of crashes, sound ones are not") {
  constexpr std::uint64_t kDeadlyJobs = 4;
  for (std::uint64_t seed = 1; seed <= kWaveSeeds; ++seed) {
    CAPTURE(seed);
    const GraphWorld world = RunInWaves(seed, kDeadlyJobs);
    for (std::uint64_t job = 1; job <= 12; ++job) {
      CAPTURE(job);
      CHECK_EQ(world.JobState(job), job <= kDeadlyJobs
                                        ? GraphJobState::kFailed
                                        : GraphJobState::kCompleted);
    }
    CHECK_EQ(Broken(world), "");
  }
}

// Finds jobs of which nothing runs though a task's turn has come, most of the
// pool is free, and there is room for the task or gang twice over.
class IdleJobs {
 public:
  void Observe(const GraphWorld& world) {
    CollectUsed(world);
    std::map<GraphJobKey, Time> idle;
    for (const auto& [key, job] : world.state().jobs_) {
      const bool waits = job.state_ == GraphJobState::kActive &&
                         world.RunningTasks(key) == 0 &&
                         HasRoomTwice(world, job);
      if (!waits) continue;
      const auto since = since_.find(key);
      idle[key] = since == since_.end() ? world.now() : since->second;
    }
    for (const auto& [key, since] : idle) {
      longest_ = std::max(longest_, world.now() - since);
    }
    since_ = std::move(idle);
  }
  Duration longest() const { return longest_; }

 private:
  void CollectUsed(const GraphWorld& world) {
    used_.clear();
    sum_ = {};
    for (const auto& [key, job] : world.state().jobs_) {
      for (const auto& [number, occurrence] : job.occurrences_) {
        for (std::size_t i = 0; i < occurrence.steps_.size(); ++i) {
          for (const TaskRecord& task : occurrence.steps_[i].tasks_) {
            if (!task.open_) continue;
            const Resources& need = job.spec_.steps_[i].need_;
            used_[task.worker_] = used_[task.worker_] + need;
            sum_ = sum_ + need;
          }
        }
      }
    }
  }
  // Jobs have one step each.
  bool HasRoomTwice(const GraphWorld& world, const GraphJob& job) const {
    const std::int64_t all = world.workers() * kWorkerSize.accelerators_;
    if (sum_.accelerators_ * 2 >= all) return false;
    const StepSpec& step = job.spec_.steps_.front();
    const std::int64_t need = step.need_.accelerators_;
    std::int64_t places = 0;
    for (int i = 0; i < world.workers(); ++i) {
      const auto used = used_.find(WorkerId("w" + std::to_string(i)));
      const std::int64_t taken =
          used == used_.end() ? 0 : used->second.accelerators_;
      places += (kWorkerSize.accelerators_ - taken) / need;
    }
    return places >=
           2 * static_cast<std::int64_t>(step.gang_ ? step.tasks_ : 1);
  }

  // What the open tasks take, by worker and in all.
  std::map<WorkerId, Resources> used_;
  Resources sum_;
  // Since when each job idles.
  std::map<GraphJobKey, Time> since_;
  Duration longest_;
};

// Submits `jobs` jobs before each of several waves of crashes, and returns for
// how long at most a job idles from `calm` after the last wave on.
Duration LongestIdleAfterWaves(std::uint64_t seed, int jobs, int per_mille,
                               Duration calm) {
  std::mt19937_64 random(seed);
  GraphWorld world({.seed_ = seed, .racks_ = 6, .per_rack_ = 8});
  world.RunFor(Duration(2000));
  std::uint64_t job = 0;
  for (int wave = 0; wave < 7; ++wave) {
    for (int i = 0; i < jobs; ++i) {
      const std::array<StepSpec, 3> steps = {
          MakeGang(4, 8, Duration(2500), false),
          MakeGang(5, 8, Duration(11'000), true),
          MakeStep(16, 1, Duration(9500))};
      const std::uint32_t kind = random() % steps.size();
      world.Submit(++job, {steps[kind]}, {.priority_ = kind});
    }
    world.RunFor(Duration(1000));
    CrashBehindCut(world, random, per_mille);
  }
  world.RunFor(calm);
  IdleJobs idle;
  for (int i = 0; i < 600 && !world.AllEnded(); ++i) {
    world.RunFor(Duration(100));
    idle.Observe(world);
  }
  CHECK(world.AllEnded());
  CHECK_EQ(Broken(world), "");
  return idle.longest();
}

TEST_CASE("no job idles in a free pool after waves of crashes") {
  for (const int jobs : {2, 4}) {
    for (const int per_mille : {200, 300, 500}) {
      for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        CAPTURE(jobs);
        CAPTURE(per_mille);
        CAPTURE(seed);
        CHECK(LongestIdleAfterWaves(seed, jobs, per_mille, Duration(4000)) <=
              Duration(3000));
      }
    }
  }
}

// Cuts off half of the workers, which crash at once and return later.
void CrashBeforeLongCut(GraphWorld& world) {
  for (int i = 0; i < world.workers(); i += 2) {
    world.Disconnect(i);
    world.Crash(i);
  }
  world.RunFor(Duration(8000));
  for (int i = 0; i < world.workers(); i += 2) world.Reconnect(i);
}

TEST_CASE("no job idles when it becomes known late that workers had crashed") {
  GraphWorld world({.racks_ = 6, .per_rack_ = 8});
  world.RunFor(Duration(2000));
  for (std::uint64_t job = 1; job <= 8; ++job) {
    world.Submit(job, {MakeGang(8, 4, Duration(9000), false)}, {});
  }
  for (int wave = 0; wave < 3; ++wave) {
    world.RunFor(Duration(2000));
    CrashBeforeLongCut(world);
  }
  IdleJobs idle;
  for (int i = 0; i < 300; ++i) {
    world.RunFor(Duration(100));
    idle.Observe(world);
  }
  CHECK(world.AllEnded());
  CHECK(idle.longest() <= Duration(3000));
}

TEST_CASE("sound jobs are not given up when all workers crash repeatedly") {
  for (std::uint64_t seed = 1; seed <= kWaveSeeds; ++seed) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    GraphWorld world({.seed_ = seed, .racks_ = 4, .per_rack_ = 4});
    world.RunFor(Duration(2000));
    for (std::uint64_t job = 1; job <= 16; ++job) {
      world.Submit(job, {MakeStep(1, 8, Duration(20'000))}, {});
    }
    for (int wave = 0; wave < 4; ++wave) {
      world.RunFor(Duration(12'000));
      CrashBehindCut(world, random, 1000);
    }
    world.RunFor(Duration(60'000));
    for (std::uint64_t job = 1; job <= 16; ++job) {
      CAPTURE(job);
      CHECK_EQ(world.JobState(job), GraphJobState::kCompleted);
    }
    CHECK_EQ(Broken(world), "");
  }
}

// Runs jobs of which a share is deadly while failure domains, or other shares
// of the workers, crash behind cuts.
void RunThroughLosses(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  const auto pick = [&random](int values) {
    return static_cast<int>(random() % values);
  };
  GraphWorldOptions options{.seed_ = seed};
  options.per_rack_ = 4 + 4 * pick(3);
  options.racks_ = 4 + 2 * pick(3);
  options.lost_ = pick(30);
  options.late_ = pick(30);
  options.answer_lost_ = pick(30);
  options.down_ = Duration(500 + pick(4000));
  options.renamed_ = pick(2) == 0;
  GraphWorld world(options);
  world.RunFor(Duration(2000));
  const int deadly_percent = pick(7) * 10;
  const int per_mille = 100 + 100 * pick(10);
  const bool domains = pick(3) == 0;
  const int waves = 2 + pick(5);
  for (int job = 1; job <= world.workers() / 2; ++job) {
    if (pick(100) < deadly_percent) {
      world.SetDeadly(job, Duration(pick(4) * 1000));
    }
    const int kind = pick(3);
    const Duration length(4000 + pick(14'000));
    StepSpec step = MakeStep(kind == 0 ? 1 : 3, kind == 0 ? 8 : 4, length);
    if (kind == 2) step = MakeGang(2 + pick(5), 8, length, false);
    world.Submit(job, {step}, {});
  }
  for (int wave = 0; wave < waves; ++wave) {
    world.RunFor(Duration(3000 + pick(12'000)));
    const int domain = pick(options.racks_);
    std::vector<int> cut;
    for (int i = 0; i < world.workers(); ++i) {
      const bool lost =
          domains ? i / options.per_rack_ == domain : pick(1000) < per_mille;
      if (lost) cut.push_back(i);
    }
    for (const int worker : cut) world.Disconnect(worker);
    world.RunFor(Duration(2000));
    for (const int worker : cut) world.Crash(worker);
    if (pick(4) == 0) world.ChangeLeader();
    world.RunFor(Duration(500 + pick(3000)));
    for (const int worker : cut) world.Reconnect(worker);
  }
  world.EndFaults();
  for (int i = 0; i < 12 && !world.AllEnded(); ++i) {
    world.RunFor(Duration(20'000));
  }
  CHECK(world.AllEnded());
  CHECK_EQ(Broken(world), "");
}

TEST_CASE("random losses of workers: no deadly task is started for ever") {
  for (std::uint64_t seed = 1; seed <= 15; ++seed) {
    CAPTURE(seed);
    RunThroughLosses(seed);
  }
}

TEST_CASE(
    "losses of failure domains: seeds that start a deadly task too often") {
  for (const std::uint64_t seed : {162, 165, 839}) {
    CAPTURE(seed);
    RunThroughLosses(seed);
  }
}

}  // namespace
}  // namespace flamingohollow::testing
