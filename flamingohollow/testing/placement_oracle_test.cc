// Compares PlanPlacement with the slow pass that tries every task on every
// worker, over random pools and queues.

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <cstdlib>
#include <random>
#include <string>

#include "flamingohollow/graph_placement.h"
#include "flamingohollow/testing/graph_fixture.h"
#include "flamingohollow/testing/slow_placement.h"

namespace flamingohollow::testing {
namespace {

constexpr Time kNow(100'000);
// One pool in this many has a backlog.
constexpr std::uint64_t kBacklogSeeds = 10;

std::string Describe(const PlacementPlan& plan) {
  std::string text;
  for (const OpenedAttempt& opened : plan.open_) {
    const TaskRef& task = opened.attempt_.task_;
    text +=
        fmt::format("open {}.{}.{}#{} {}\n", task.job_.value(),
                    task.step_.value(), task.index_.value(),
                    opened.attempt_.attempt_.value(), opened.worker_.value());
  }
  for (const PlacementPlan::Stop& stop : plan.stop_) {
    text +=
        fmt::format("stop {}.{} {}\n", stop.attempt_.task_.job_.value(),
                    stop.attempt_.task_.index_.value(), stop.worker_.value());
  }
  return text;
}

struct RandomPool {
  std::mt19937_64 random_;
  // For what does not concern the rest of the pool.
  std::mt19937_64 lasting_random_;
  GraphState state_;
  Fleet fleet_;
  IdleJobs idle_;
  std::uint64_t jobs_ = 0;
  int workers_ = 0;

  explicit RandomPool(std::uint64_t seed)
      : random_(seed), lasting_random_(seed) {
    const int racks = 1 + Below(5);
    const int per_rack = 1 + Below(6);
    workers_ = racks * per_rack;
    fleet_ = MakeFleet(racks, per_rack, kNow);
    for (auto& [id, worker] : fleet_) Vary(worker);
    if (Chance(40)) VarySpeeds();
    SetGuarantee(state_, "c0", Below(40));
    SetGuarantee(state_, "c1", Below(40));
    const int running = Below(4 * workers_);
    for (int i = 0; i < running; ++i) AddRunning();
    const int waiting = 1 + Below(25);
    for (int i = 0; i < waiting; ++i) AddWaiting();
    if (seed % kBacklogSeeds == 7) AddBacklog();
    for (const auto& [key, job] : state_.jobs_) {
      if (lasting_random_() % 2 == 0) {
        const auto ms = static_cast<std::int64_t>(lasting_random_() % 20'000);
        idle_[key] = kNow - Duration(ms);
      }
    }
  }

  int Below(int limit) {
    return static_cast<int>(random_() % static_cast<std::uint64_t>(limit));
  }
  bool Chance(int percent) { return Below(100) < percent; }

  void Vary(FleetWorker& worker) {
    if (Chance(10)) worker.report_.draining_ = true;
    if (Chance(5)) worker.reported_ = false;
    if (Chance(10)) worker.unanswered_calls_ = 1;
    if (Chance(20)) worker.answered_poll_ = false;
    if (Chance(20)) worker.report_.labels_.assign(1, "b");
    if (Chance(20)) worker.report_.capacity_ = {16000, 64000, 4};
    for (int failures = Chance(15) ? Below(4) : 0; failures > 0; --failures) {
      RecordOutcome(worker.suspicion_, true, kNow - Duration(Below(4000)));
    }
    if (Chance(30)) {
      worker.pace_ = {-0.3 * Below(4), 5, kNow - Duration(100)};
    }
  }
  void VarySpeeds() {
    for (auto& [id, worker] : fleet_) {
      worker.speed_ = {0.47 * (Below(3) - 1), Chance(80) ? 0.02 : 0.1, kNow};
    }
  }
  JobOptions Options() {
    JobOptions options;
    options.priority_ = static_cast<std::uint32_t>(Below(3));
    options.customer_ = fmt::format("c{}", Below(3));
    options.accepted_ = kNow - Duration(Below(9000));
    return options;
  }
  StepSpec Step() {
    const auto tasks = static_cast<std::uint32_t>(1 + Below(9));
    const std::int64_t size = std::int64_t{1} << Below(4);
    const Duration estimate(300 + Below(9000));
    StepSpec step = Chance(50) ? MakeStep(tasks, size, estimate)
                               : MakeGang(tasks, size, estimate, Chance(70));
    step.need_.millicores_ = 1000 * (1 + Below(13));
    step.checkpoints_ = Chance(40);
    if (Chance(15)) step.label_.assign(1, Chance(50) ? 'a' : 'b');
    if (Chance(15)) step.data_rack_ = Rack(fmt::format("r{}", Below(5)));
    if (Chance(15)) step.max_per_worker_ = 1 + Below(2);
    if (Chance(5)) step.is_filler_ = true;
    step.long_running_ = lasting_random_() % 10 == 0;
    return step;
  }
  void AddWaiting() {
    std::vector<StepSpec> steps = {Step()};
    if (Chance(30)) {
      steps.push_back(Step());
      if (Chance(50)) steps[1].after_ = {0};
    }
    Submit(state_, ++jobs_, std::move(steps), Options());
  }
  // Many tasks of a few kinds.
  void AddBacklog() {
    for (int kind = 0; kind < 3; ++kind) {
      const JobOptions options = Options();
      StepSpec step = Step();
      if (!step.gang_) step.tasks_ += static_cast<std::uint32_t>(Below(60));
      for (int i = 0; i < 6; ++i) Submit(state_, ++jobs_, {step}, options);
    }
  }
  // A job whose tasks run as far as they fit; others of its tasks wait.
  void AddRunning() {
    Submit(state_, ++jobs_, {Step()}, Options());
    const StepSpec spec = FindJob(state_, MakeKey(jobs_))->spec_.steps_[0];
    for (std::uint32_t i = 0; i < spec.tasks_; ++i) {
      const std::string id = fmt::format("w{}", Below(workers_));
      FleetWorker& worker = fleet_.at(WorkerId(id));
      const Resources used = worker.used_ + ReservedResources(spec);
      if (!Fits(used, worker.report_.capacity_)) continue;
      RunTask(state_, fleet_, jobs_, i, id, kNow - Duration(Below(8000)));
      Run& run = worker.runs_.rbegin()->second;
      if (Chance(15)) run.phase_ = RunPhase::kStarting;
      if (Chance(15)) run.phase_ = RunPhase::kStopping;
      if (Chance(30)) {
        run.first_progress_ = ProgressPoint{0, kNow - Duration(2000)};
        run.progress_ = ProgressPoint{Below(100), kNow - Duration(50)};
      }
    }
  }
};

std::uint64_t PoolCount() {
  const char* count = std::getenv("FLAMINGOHOLLOW_POOLS");
  return count == nullptr ? 3000 : std::strtoull(count, nullptr, 10);
}

TEST_CASE("random pools: the plan equals the slow pass's") {
  std::size_t opened = 0;
  std::size_t stopped = 0;
  for (std::uint64_t seed = 1; seed <= PoolCount(); ++seed) {
    CAPTURE(seed);
    RandomPool pool(seed);
    GraphPlacementOptions options;
    options.max_starts_ = pool.Chance(20) ? 1 + pool.Below(30) : 2000;
    const Duration age(pool.Below(6000));
    const JobQueuedAt queued_at = [&](const GraphJob& job) {
      return job.accepted_ - age;
    };
    ResourcesByPool keep_free;
    if (pool.Chance(40)) {
      const std::int64_t size = pool.Below(60);
      keep_free[PoolName("pool")] = {.millicores_ = 4000 * size,
                                     .accelerators_ = size};
    }
    const PlacementPlan plan =
        PlanPlacement(pool.state_, pool.fleet_, options, queued_at, kNow,
                      keep_free, pool.idle_);
    const PlacementPlan slow =
        SlowPlanPlacement(pool.state_, pool.fleet_, options, queued_at, kNow,
                          keep_free, pool.idle_);
    REQUIRE_EQ(Describe(plan), Describe(slow));
    opened += plan.open_.size();
    stopped += plan.stop_.size();
  }
  // The pools are neither all empty nor all full.
  CHECK(opened > PoolCount());
  CHECK(stopped > PoolCount() / 10);
}

}  // namespace
}  // namespace flamingohollow::testing
