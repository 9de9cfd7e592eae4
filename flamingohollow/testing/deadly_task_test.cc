// Tests what becomes of tasks that crash their workers, and of those beside
// them.

#include <doctest/doctest.h>

#include <cstdint>
#include <random>
#include <set>
#include <string>

#include "flamingohollow/testing/graph_world.h"

namespace flamingohollow::testing {
namespace {

std::string Broken(const GraphWorld& world) {
  std::string all;
  for (const std::string& rule : world.violations()) all += rule + "; ";
  return all;
}

constexpr std::uint64_t kDeadlyJob = 1;

// Runs a deadly job beside sound ones that fill three quarters of the workers.
GraphWorld RunBeside(const GraphWorldOptions& options, StepSpec step,
                     Duration delay) {
  GraphWorld world(options);
  world.RunFor(Duration(2000));
  for (std::uint64_t job = 2; job <= 7; ++job) {
    world.Submit(job, {MakeStep(6, 1, Duration(7000))}, {});
  }
  world.RunFor(Duration(500));
  world.SetDeadly(kDeadlyJob, delay);
  world.Submit(kDeadlyJob, {std::move(step)}, {});
  world.RunFor(Duration(90'000));
  return world;
}

void CheckGivenUp(const GraphWorld& world) {
  CHECK_EQ(world.JobState(kDeadlyJob), GraphJobState::kFailed);
  for (std::uint64_t job = 2; job <= 7; ++job) {
    CHECK_EQ(world.JobState(job), GraphJobState::kCompleted);
  }
  CHECK_EQ(Broken(world), "");
}

TEST_CASE("a task that crashes each worker at its start is given up") {
  for (const bool renamed : {true, false}) {
    for (const Duration down :
         {Duration(1000), Duration(3000), Duration(8000), Duration(20'000)}) {
      CAPTURE(renamed);
      CAPTURE(down.ms());
      const GraphWorld world =
          RunBeside({.down_ = down, .renamed_ = renamed},
                    MakeStep(1, 1, Duration(3000)), Duration());
      CheckGivenUp(world);
      CHECK(world.crashes() <= 5);
    }
  }
}

TEST_CASE("a task that crashes each worker while it runs is given up") {
  for (const Duration delay : {Duration(300), Duration(1500), Duration(2900)}) {
    CAPTURE(delay.ms());
    CheckGivenUp(RunBeside({}, MakeStep(1, 1, Duration(3000)), delay));
  }
}

TEST_CASE("a gang that crashes its workers is given up") {
  for (const Duration delay : {Duration(), Duration(500)}) {
    CAPTURE(delay.ms());
    CheckGivenUp(RunBeside({.per_rack_ = 6},
                           MakeGang(3, 2, Duration(3000), false), delay));
  }
}

TEST_CASE("what is known of a deadly task outlasts a leader") {
  for (const Duration term : {Duration(2000), Duration(5000)}) {
    CAPTURE(term.ms());
    GraphWorld world({.racks_ = 4});
    world.RunFor(Duration(2000));
    world.SetDeadly(kDeadlyJob, Duration(200));
    world.Submit(kDeadlyJob, {MakeStep(1, 1, Duration(3000))}, {});
    for (int i = 0; i < 12; ++i) {
      world.RunFor(term);
      world.ChangeLeader();
    }
    CHECK_EQ(world.JobState(kDeadlyJob), GraphJobState::kFailed);
    CHECK_EQ(Broken(world), "");
  }
}

TEST_CASE("many deadly tasks at once are given up, sound ones are done") {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    CAPTURE(seed);
    GraphWorld world({.seed_ = seed, .racks_ = 4, .per_rack_ = 4});
    world.RunFor(Duration(2000));
    for (std::uint64_t job = 1; job <= 20; ++job) {
      const bool deadly = job % 5 < 3;
      if (deadly) world.SetDeadly(job, Duration(seed % 2 == 0 ? 0 : 400));
      const bool gang = job % 2 == 0;
      world.Submit(job,
                   {gang ? MakeGang(3, 2, Duration(4000), false)
                         : MakeStep(4, 1, Duration(4000))},
                   {});
      world.RunFor(Duration(500));
      if (job == 8) world.ChangeLeader();
    }
    world.RunFor(Duration(120'000));
    for (std::uint64_t job = 1; job <= 20; ++job) {
      CAPTURE(job);
      CHECK_EQ(world.JobState(job), job % 5 < 3 ? GraphJobState::kFailed
                                                : GraphJobState::kCompleted);
    }
    CHECK_EQ(Broken(world), "");
  }
}

void Disturb(GraphWorld& world, std::mt19937_64& random) {
  const int worker = static_cast<int>(random() % world.workers());
  switch (random() % 8) {
    case 0:
      return world.ChangeLeader();
    case 1:
      return world.Disconnect(worker);
    case 2:
    case 3:
      return world.Reconnect(worker);
    case 4:
      return world.StartDraining(worker, Duration(3000));
    case 5:
      return world.Evacuate(worker % 4, random() % 2 == 0);
    case 6: {
      Resources capacity = kWorkerSize;
      capacity.accelerators_ = 4 << (random() % 2);
      return world.SetCapacity(worker, capacity);
    }
    default:
      world.Disconnect(worker);
      return world.Crash(worker);
  }
}

TEST_CASE("random schedules: deadly tasks beside other faults are given up") {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    const auto pick = [&random](int values) {
      return static_cast<std::int64_t>(random() % values);
    };
    GraphWorld world({.seed_ = seed,
                      .racks_ = 4,
                      .per_rack_ = 4,
                      .lost_ = static_cast<int>(pick(40)),
                      .late_ = static_cast<int>(pick(40)),
                      .answer_lost_ = static_cast<int>(pick(40)),
                      .down_ = Duration(500 + pick(9000)),
                      .renamed_ = pick(2) == 0});
    world.RunFor(Duration(2000));
    std::set<std::uint64_t> deadly;
    for (std::uint64_t job = 1; job <= 16; ++job) {
      if (pick(3) == 0) deadly.insert(job);
      if (deadly.contains(job)) world.SetDeadly(job, Duration(pick(4) * 400));
      const auto tasks = static_cast<std::uint32_t>(1 + pick(4));
      const Duration estimate(2000 + pick(4000));
      world.Submit(job,
                   {pick(2) == 0 ? MakeGang(tasks, 2, estimate, false)
                                 : MakeStep(tasks, 1, estimate)},
                   {.priority_ = static_cast<std::uint32_t>(pick(3))});
      world.RunFor(Duration(pick(1500)));
      Disturb(world, random);
      const auto copy = DecodeState(EncodeState(world.state()));
      CHECK(copy->open_on_ == world.state().open_on_);
    }
    world.EndFaults();
    for (int i = 0; i < world.workers(); ++i) {
      world.SetCapacity(i, kWorkerSize);
    }
    for (int i = 0; i < 20 && !world.AllEnded(); ++i) {
      world.RunFor(Duration(10'000));
    }
    for (std::uint64_t job = 1; job <= 16; ++job) {
      CAPTURE(job);
      // A submission may be lost with a leader.
      if (!world.state().jobs_.contains(MakeKey(job))) continue;
      const GraphJobState state = world.JobState(job);
      if (deadly.contains(job)) {
        CHECK_EQ(state, GraphJobState::kFailed);
      } else if (state != GraphJobState::kCompleted) {
        CHECK_EQ(state, GraphJobState::kFailed);
        CHECK(world.HasCrashedTwice(job));
      }
    }
    CHECK_EQ(Broken(world), "");
  }
}

TEST_CASE("sound tasks beside two crashes of workers are not given up") {
  GraphWorld world({.racks_ = 1, .per_rack_ = 2});
  world.RunFor(Duration(2000));
  world.Submit(2, {MakeStep(8, 1, Duration(4000))}, {});
  for (int i = 0; i < 2; ++i) {
    world.RunFor(Duration(2000));
    world.Crash(0);
    world.Crash(1);
  }
  world.RunFor(Duration(20'000));
  CHECK_EQ(world.JobState(2), GraphJobState::kCompleted);
}

// Returns the number of the worker on which the job's only task runs.
int WorkerOf(const GraphWorld& world, std::uint64_t job) {
  const auto& occurrences = world.state().jobs_.at(MakeKey(job)).occurrences_;
  const TaskRecord& task = occurrences.begin()->second.steps_[0].tasks_[0];
  REQUIRE(task.open_);
  return std::stoi(task.worker_.value().substr(1));
}

TEST_CASE("a sound task under two crashes runs in a pool of short tasks") {
  for (const int workers : {1, 2, 4}) {
    CAPTURE(workers);
    GraphWorld world({.racks_ = 1, .per_rack_ = workers});
    world.RunFor(Duration(2000));
    const std::uint64_t job = 2;
    world.Submit(job, {MakeStep(1, 1, Duration(4000))}, {});
    // The tasks take three quarters of the accelerators.
    const auto tasks = static_cast<std::uint32_t>(workers * 6 / 4);
    for (std::uint64_t i = 0; i < 120; ++i) {
      world.Submit(100 + i, {MakeStep(tasks, 1, Duration(1000))}, {});
      if (i == 4 || i == 14) world.Crash(WorkerOf(world, job));
      world.RunFor(Duration(250));
    }
    CHECK_EQ(world.JobState(job), GraphJobState::kCompleted);
  }
}

// Months of a service see more crashes of workers than a deadly task causes.
TEST_CASE("a long-running task survives crashes that are far apart") {
  GraphWorld world({.racks_ = 1, .per_rack_ = 1});
  world.RunFor(Duration(2000));
  StepSpec step = MakeStep(1, 8, Duration(1000));
  step.long_running_ = true;
  world.Submit(2, {step}, {});
  for (int i = 0; i < 6; ++i) {
    world.RunFor(Duration(700'000));
    world.Crash(0);
  }
  world.RunFor(Duration(5000));
  CHECK_EQ(world.JobState(2), GraphJobState::kActive);
}

}  // namespace
}  // namespace flamingohollow::testing
