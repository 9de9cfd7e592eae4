// The scheduler against fake workers: single faults, then random schedules.

#include "flamingohollow/graph_scheduler.h"

#include <doctest/doctest.h>

#include <cstdlib>
#include <iterator>
#include <optional>
#include <string>

#include "flamingohollow/testing/graph_world.h"

namespace flamingohollow::testing {
namespace {

std::string Broken(const GraphWorld& world) {
  std::string all;
  for (const std::string& rule : world.broken()) all += rule + "; ";
  return all;
}

TEST_CASE("a job of two steps runs to its end, each task once") {
  GraphWorld world({});
  StepSpec second = MakeStep(3, 1, Duration(500));
  second.after_ = {0};
  world.Submit(1, {MakeGang(2, 8, Duration(800), true), second}, {});
  world.RunFor(Duration(6000));
  CHECK_EQ(world.JobState(1), GraphJobState::kCompleted);
  CHECK_EQ(world.starts(), 5);
  CHECK_EQ(Broken(world), "");
}

TEST_CASE("a cancelled job stops running") {
  GraphWorld world({});
  world.Submit(1, {MakeStep(4, 1, Duration(60'000))}, {});
  world.RunFor(Duration(3000));
  REQUIRE_EQ(world.RunningTasks(1), 4);
  world.Cancel(1);
  world.RunFor(Duration(600));
  CHECK_EQ(world.RunningTasks(1), 0);
}

TEST_CASE("tasks of a crashed worker run again as soon as it reports") {
  GraphWorld world({.racks_ = 1, .per_rack_ = 1});
  world.Submit(1, {MakeStep(2, 1, Duration(4000))}, {});
  world.RunFor(Duration(2500));
  REQUIRE_EQ(world.RunningTasks(1), 2);
  world.Crash(0);
  world.RunFor(Duration(6000));
  CHECK_EQ(world.JobState(1), GraphJobState::kCompleted);
  CHECK_EQ(Broken(world), "");
}

TEST_CASE("tasks of a worker that is cut off run elsewhere after its lease") {
  GraphWorld world({.racks_ = 1, .per_rack_ = 2});
  world.Submit(1, {MakeStep(1, 8, Duration(30'000))}, {});
  world.RunFor(Duration(2500));
  REQUIRE_EQ(world.RunningTasks(1), 1);
  world.Cut(0);
  world.RunFor(Duration(12'000));
  CHECK_EQ(world.RunningTasks(1), 1);
  CHECK_EQ(world.starts(), 2);
  CHECK_EQ(Broken(world), "");
}

// A start to a worker that can't be reached must not bind the task for as long
// as a full lease.
TEST_CASE("a task whose first order is lost runs elsewhere within seconds") {
  GraphWorld world({.racks_ = 1, .per_rack_ = 2});
  world.RunFor(Duration(2000));
  world.Cut(0);
  world.Submit(1, {MakeStep(1, 8, Duration(1000))}, {});
  world.RunFor(Duration(6500));
  CHECK_EQ(world.JobState(1), GraphJobState::kCompleted);
  CHECK_EQ(Broken(world), "");
}

// Two jobs, one after the other, while one of two workers is cut off: the
// second job must not be sent there too.
TEST_CASE("a worker that left an order unanswered gets no further task") {
  GraphWorld world({.racks_ = 1, .per_rack_ = 2});
  world.RunFor(Duration(2000));
  world.Cut(0);
  world.Submit(1, {MakeStep(1, 4, Duration(1000))}, {});
  world.RunFor(Duration(1300));
  world.Submit(2, {MakeStep(1, 4, Duration(1000))}, {});
  world.RunFor(Duration(1500));
  CHECK_EQ(world.JobState(2), GraphJobState::kCompleted);
}

TEST_CASE("a failing task uses up its attempts and fails the job") {
  GraphWorld world({.fails_ = 1000});
  world.Submit(1, {MakeStep(1, 1, Duration(200))}, {.max_attempts_ = 3});
  world.RunFor(Duration(6000));
  CHECK_EQ(world.JobState(1), GraphJobState::kFailed);
  CHECK_EQ(world.starts(), 3);
}

TEST_CASE("a new leader finds what runs and starts nothing twice") {
  GraphWorld world({});
  world.Submit(1, {MakeStep(6, 4, Duration(3000))}, {});
  world.RunFor(Duration(2500));
  world.ChangeLeader();
  world.RunFor(Duration(5000));
  CHECK_EQ(world.JobState(1), GraphJobState::kCompleted);
  CHECK_EQ(world.starts(), 6);
  CHECK_EQ(Broken(world), "");
}

// Workers report every 1.5 s: too late for what ends meanwhile.
TEST_CASE("a new leader notes ends before the workers report again") {
  GraphWorld world({.racks_ = 1, .per_rack_ = 4});
  world.RunFor(Duration(1510));
  world.Submit(1, {MakeStep(4, 8, Duration(300))}, {});
  world.RunFor(Duration(250));
  REQUIRE_EQ(world.RunningTasks(1), 4);
  world.ChangeLeader();
  world.RunFor(Duration(400));
  CHECK_EQ(world.JobState(1), GraphJobState::kCompleted);
  CHECK_EQ(Broken(world), "");
}

// A worker may be gone without a word just before. The others of the gang would
// wait for its member, holding their room, until they give up by themselves.
TEST_CASE("a gang is stopped when the start of a member has no answer") {
  GraphWorld world({.racks_ = 1, .per_rack_ = 2});
  world.RunFor(Duration(1510));
  world.Cut(1);
  world.Submit(1, {MakeGang(2, 8, Duration(4000), true)}, {});
  world.RunFor(Duration(500));
  REQUIRE_EQ(world.RunningTasks(1), 1);
  world.RunFor(Duration(2300));
  CHECK_EQ(world.RunningTasks(1), 0);
  CHECK_EQ(Broken(world), "");
}

// Load: workers that are taken away within two seconds say nothing when they
// go, and their leases run on for ten.
TEST_CASE("a gang does not wait for a worker that leaves before it ends") {
  GraphWorld world({.racks_ = 1, .per_rack_ = 4});
  world.RunFor(Duration(1510));
  world.Submit(1, {MakeGang(2, 8, Duration(4000), true)}, {});
  world.RunFor(Duration(500));
  REQUIRE_EQ(world.RunningTasks(1), 2);
  world.StartDraining(0, Duration(2000));
  world.StartDraining(1, Duration(2000));
  world.RunFor(Duration(2000));
  world.Cut(0);
  world.Cut(1);
  world.RunFor(Duration(4000));
  CHECK_EQ(world.JobState(1), GraphJobState::kCompleted);
  CHECK_EQ(Broken(world), "");
}

TEST_CASE("a task that ends before its worker leaves is not stopped") {
  GraphWorld world({.racks_ = 1, .per_rack_ = 1});
  world.RunFor(Duration(1510));
  world.Submit(1, {MakeStep(1, 8, Duration(3000))}, {});
  world.RunFor(Duration(2000));
  REQUIRE_EQ(world.RunningTasks(1), 1);
  world.StartDraining(0, Duration(2500));
  world.RunFor(Duration(1500));
  CHECK_EQ(world.JobState(1), GraphJobState::kCompleted);
  CHECK_EQ(world.starts(), 1);
}

// What a look brings must not make the worker's stay seem longer.
TEST_CASE("a task that saves its work is stopped before its worker leaves") {
  GraphWorld world({.racks_ = 1, .per_rack_ = 1});
  world.RunFor(Duration(1510));
  StepSpec step = MakeStep(1, 8, Duration(20'000));
  step.checkpoints_ = true;
  world.Submit(1, {step}, {});
  world.RunFor(Duration(3000));
  REQUIRE_EQ(world.RunningTasks(1), 1);
  world.StartDraining(0, Duration(2000));
  world.RunFor(Duration(1000));
  CHECK_EQ(world.RunningTasks(1), 1);
  world.RunFor(Duration(800));
  CHECK_EQ(world.RunningTasks(1), 0);
  CHECK_EQ(world.wasted(), 0);
}

TEST_CASE("a new leader starts nothing on a worker that drains") {
  GraphWorld world({.racks_ = 1, .per_rack_ = 1});
  world.RunFor(Duration(1510));
  world.StartDraining(0, Duration(4000));
  world.RunFor(Duration(50));
  world.ChangeLeader();
  world.Submit(1, {MakeStep(1, 1, Duration(300))}, {});
  world.RunFor(Duration(1000));
  CHECK_EQ(world.starts(), 0);
}

// Its lease ends on the worker's clock, which the log does not tell.
TEST_CASE("a new leader's first look leaves the lease as it is") {
  GraphState state;
  ApplyRecord(state, WorkerRecord{{MakeReport("w", "r")}, {}});
  Submit(state, 1, {MakeStep(1, 1, Duration(5000))}, {});
  const AttemptRef attempt{{MakeKey(1), {}, {}, {}}, AttemptId(1)};
  ApplyRecord(state, OpenRecord{{{attempt, WorkerId("w"), WorkerLife(1)}}});
  const Time now(50'000'000);
  Scheduler scheduler = MakeScheduler({}, FencingToken(2), state, now, now);
  const auto actions = Step(scheduler, state, SchedulerTick{now}, now);
  REQUIRE_EQ(actions.size(), 1);
  const auto* look = std::get_if<LookOrder>(&actions[0]);
  REQUIRE_NE(look, nullptr);
  CHECK_EQ(look->lease_until_ms_, 0);
  CHECK_EQ(look->target_.address_, MakeReport("w", "r").address_);
}

TEST_CASE("a worker that is silent for long is forgotten") {
  GraphWorld world({.racks_ = 1, .per_rack_ = 2});
  world.RunFor(Duration(1510));
  REQUIRE_EQ(world.state().workers_.size(), 2);
  world.Cut(0);
  world.RunFor(Duration(62'000));
  CHECK_EQ(world.state().workers_.size(), 1);
  world.Heal(0);
  world.RunFor(Duration(2000));
  CHECK_EQ(world.state().workers_.size(), 2);
}

TEST_CASE("a scheduled job runs once an interval") {
  GraphWorld world({});
  GraphState state;
  SubmitRecord record = MakeSubmit(1, {MakeStep(1, 1, Duration(100))}, {});
  record.spec_.occurrences_ = 3;
  record.spec_.first_due_ = Time(1'003'000);
  record.spec_.interval_ = Duration(1000);
  ApplyRecord(state, record);
  CHECK(state.jobs_.at(MakeKey(1)).occurrences_.empty());
  for (std::uint32_t k = 0; k < 3; ++k) {
    ApplyRecord(state, DueRecord{{{MakeKey(1), Occurrence(k)}}});
    // The same occurrence again changes nothing.
    ApplyRecord(state, DueRecord{{{MakeKey(1), Occurrence(k)}}});
  }
  CHECK_EQ(state.jobs_.at(MakeKey(1)).occurrences_.size(), 3);
}

// A scheduler with one worker, driven order by order.
struct OneWorker {
  GraphState state_;
  Scheduler scheduler_;
  Time now_{1'000'000};

  OneWorker() {
    scheduler_ = MakeScheduler({}, FencingToken(1), {}, now_, now_);
  }

  std::vector<SchedulerAction> Feed(const SchedulerEvent& event) {
    now_ = now_ + Duration(20);
    return Step(scheduler_, state_, event, now_);
  }
  std::vector<SchedulerAction> Apply(const GraphRecord& record) {
    ApplyRecord(state_, record);
    return Feed(RecordApplied{&record});
  }
  void Report(std::int64_t life, std::int64_t clock) {
    PoolWorkerReport report = MakeReport("w", "r");
    report.incarnation_ = WorkerLife(life);
    report.clock_ms_ = clock;
    Feed(report);
  }
  // The order of this kind that the next ticks bring.
  template <class Order>
  std::optional<Order> Next(int ticks = 40) {
    for (int i = 0; i < ticks; ++i) {
      for (const SchedulerAction& action : Feed(SchedulerTick{now_})) {
        if (const auto* order = std::get_if<Order>(&action)) return *order;
        const auto* record = std::get_if<GraphRecord>(&action);
        if (record == nullptr) continue;
        for (const SchedulerAction& more : Apply(*record)) {
          if (const auto* order = std::get_if<Order>(&more)) return *order;
        }
      }
    }
    return std::nullopt;
  }
  void Answer(const LookOrder& order, OrderOutcome outcome, std::int64_t clock,
              std::vector<EndRow> ends = {}) {
    LookResult result;
    result.worker_ = WorkerId("w");
    result.life_ = order.target_.life_;
    result.number_ = order.number_;
    result.outcome_ = outcome;
    result.clock_ms_ = clock;
    result.ends_ = std::move(ends);
    for (const SchedulerAction& action : Feed(result)) {
      if (const auto* record = std::get_if<GraphRecord>(&action)) {
        Apply(*record);
      }
    }
  }
  // Runs one task to its end, the worker's first.
  void RunOneTask() {
    Report(1, 900'000);
    Answer(*Next<LookOrder>(), OrderOutcome::kDone, 900'100);
    Apply(MakeSubmit(1, {MakeStep(1, 1, Duration(500))}, {}));
    const auto start = Next<StartOrder>();
    Feed(StartResult{WorkerId("w"), WorkerLife(1), start->attempt_,
                     OrderOutcome::kDone, 900'200, ""});
    Answer(*Next<LookOrder>(), OrderOutcome::kDone, 900'700,
           {{1, start->attempt_, AttemptEnd::kDone, Checkpoint()}});
  }
};

TEST_CASE("ends are noted once they are in the log") {
  OneWorker world;
  world.RunOneTask();
  CHECK_EQ(world.Next<LookOrder>()->last_end_, 1);
}

// The worker may have restarted: a later life would forget ends of its own.
TEST_CASE("after an unanswered call no ends are noted until one is answered") {
  OneWorker world;
  world.RunOneTask();
  const auto look = world.Next<LookOrder>();
  world.Answer(*look, OrderOutcome::kNoAnswer, 0);
  const auto again = world.Next<LookOrder>();
  CHECK_EQ(again->last_end_, 0);
  world.Answer(*again, OrderOutcome::kDone, 901'000);
  CHECK_EQ(world.Next<LookOrder>()->last_end_, 1);
}

TEST_CASE("an answer from a clock that went back is another life's") {
  OneWorker world;
  world.RunOneTask();
  world.Answer(*world.Next<LookOrder>(), OrderOutcome::kDone, 901'000);
  world.Apply(MakeSubmit(2, {MakeStep(1, 1, Duration(500))}, {}));
  const auto start = world.Next<StartOrder>();
  world.Feed(StartResult{WorkerId("w"), WorkerLife(1), start->attempt_,
                         OrderOutcome::kDone, 150, ""});
  CHECK_FALSE(world.Next<LookOrder>(10).has_value());
  world.Report(2, 400);
  const auto look = world.Next<LookOrder>();
  REQUIRE(look.has_value());
  CHECK_EQ(look->target_.life_, WorkerLife(2));
  CHECK_EQ(look->last_end_, 0);
  // The task did run there, and its end counts.
  world.Answer(*look, OrderOutcome::kDone, 900,
               {{1, start->attempt_, AttemptEnd::kDone, Checkpoint()}});
  CHECK_EQ(world.state_.jobs_.at(MakeKey(2)).state_, GraphJobState::kCompleted);
}

std::vector<StepSpec> RandomSteps(std::mt19937_64& random) {
  std::vector<StepSpec> steps;
  const std::uint64_t count = 1 + random() % 3;
  for (std::uint64_t i = 0; i < count; ++i) {
    const auto tasks = static_cast<std::uint32_t>(1 + random() % 4);
    const auto size = std::int64_t{1} << (random() % 4);
    const Duration estimate(200 + static_cast<std::int64_t>(random() % 4000));
    StepSpec step = random() % 2 == 0
                        ? MakeStep(tasks, size, estimate)
                        : MakeGang(tasks, size, estimate, random() % 2 == 0);
    if (i > 0) step.after_ = {static_cast<std::uint32_t>(i - 1)};
    steps.push_back(step);
  }
  return steps;
}

void Disturb(GraphWorld& world, std::mt19937_64& random) {
  const int worker = static_cast<int>(random() % world.workers());
  switch (random() % 8) {
    case 0:
      return world.ChangeLeader();
    case 1:
      return world.Crash(worker);
    case 2:
      return world.Cut(worker);
    case 3:
    case 4:
      return world.Heal(worker);
    case 5:
      return world.StartDraining(worker, Duration(3000));
    case 6:
      return world.Cancel(1 + random() % 12);
    default:
      return;
  }
}

std::uint64_t ScheduleCount() {
  const char* count = std::getenv("FLAMINGOHOLLOW_SCHEDULES");
  return count == nullptr ? 60 : std::strtoull(count, nullptr, 10);
}

// Seeds that once failed: 8, 11 and 44 by a start that reached a worker's next
// life, 83, 410 and 506 by a late one, 703 and 920 by a check that was too
// strict.
constexpr std::uint64_t kRegressionSeeds[] = {8,   11,  44,  83,
                                              410, 506, 703, 920};

TEST_CASE("random schedules: nothing runs twice, and all ends once calm") {
  std::vector<std::uint64_t> seeds(std::begin(kRegressionSeeds),
                                   std::end(kRegressionSeeds));
  for (std::uint64_t seed = 1; seed <= ScheduleCount(); ++seed) {
    seeds.push_back(seed);
  }
  for (const std::uint64_t seed : seeds) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    GraphWorld world({.seed_ = seed,
                      .lost_ = static_cast<int>(random() % 60),
                      .late_ = static_cast<int>(random() % 60),
                      .answer_lost_ = static_cast<int>(random() % 60),
                      .fails_ = static_cast<int>(random() % 50)});
    for (std::uint64_t job = 1; job <= 12; ++job) {
      const auto priority = static_cast<std::uint32_t>(random() % 3);
      world.Submit(job, RandomSteps(random),
                   {.priority_ = priority, .max_attempts_ = 4});
      world.RunFor(Duration(static_cast<std::int64_t>(random() % 1500)));
      Disturb(world, random);
    }
    world.Calm();
    for (int i = 0; i < 12 && !world.AllEnded(); ++i) {
      world.RunFor(Duration(10'000));
    }
    CHECK_EQ(Broken(world), "");
    CHECK(world.AllEnded());
  }
}

}  // namespace
}  // namespace flamingohollow::testing
