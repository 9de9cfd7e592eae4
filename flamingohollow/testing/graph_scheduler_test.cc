// Tests the scheduler with fake workers: single faults, then random schedules.

#include "flamingohollow/graph_scheduler.h"

#include <doctest/doctest.h>

#include <cmath>
#include <cstdint>
#include <cstdlib>
#include <iterator>
#include <optional>
#include <string>

#include "flamingohollow/testing/graph_world.h"

namespace flamingohollow::testing {
namespace {

std::string Broken(const GraphWorld& world) {
  std::string all;
  for (const std::string& rule : world.violations()) all += rule + "; ";
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

// Submits a job of `tasks` tasks of 4 s each, and waits until they run.
void RunManyTasks(GraphWorld& world, std::uint32_t tasks) {
  StepSpec step = MakeStep(tasks, 0, Duration(4000));
  step.need_ = {1, 1, 0};
  world.Submit(1, {step}, {});
  world.RunFor(Duration(2500));
  REQUIRE_EQ(world.RunningTasks(1), tasks);
}

// Guards against tasks that ran again because their ends were not listed yet.
TEST_CASE("tasks whose ends are not listed yet do not run again") {
  constexpr std::uint32_t kTasks = 30;
  GraphWorld world({.racks_ = 1, .per_rack_ = 1, .listed_ends_ = 10});
  RunManyTasks(world, kTasks);
  world.Disconnect(0);
  world.RunFor(Duration(4000));
  SUBCASE("for the leader that started them") {}
  SUBCASE("for a new leader") { world.ChangeLeader(); }
  world.Reconnect(0);
  world.RunFor(Duration(4000));
  CHECK_EQ(world.JobState(1), GraphJobState::kCompleted);
  CHECK_EQ(world.starts(), kTasks);
  CHECK_EQ(Broken(world), "");
}

// How long the world takes until `number` of the job's tasks run; at most 20 s.
Duration WaitRunning(GraphWorld& world, std::uint64_t job, int number) {
  const Time began = world.now();
  while (world.now() - began < Duration(20'000) &&
         world.RunningTasks(job) != number) {
    world.RunFor(Duration(20));
  }
  return world.now() - began;
}

// A task that lasts runs again within 6 s of its last run.
constexpr Duration kLastingRestart(6000);

// Guards against lost runs that are noticed too late behind thousands of ends.
TEST_CASE("what ran on a worker that crashes with unlisted ends runs again") {
  constexpr std::uint32_t kTasks = 3000;
  GraphWorld world({.racks_ = 1, .per_rack_ = 1});
  StepSpec lasting = MakeStep(1, 0, Duration(1'000'000));
  lasting.long_running_ = true;
  world.Submit(2, {lasting}, {});
  RunManyTasks(world, kTasks);
  world.Disconnect(0);
  world.RunFor(Duration(4000));
  world.Reconnect(0);
  SUBCASE("before any end is listed") {}
  SUBCASE("once some ends are listed") { world.RunFor(Duration(100)); }
  SUBCASE("as a new leader takes over") {
    world.RunFor(Duration(50));
    world.ChangeLeader();
    world.RunFor(Duration(50));
  }
  world.Crash(0);
  REQUIRE_EQ(world.RunningTasks(2), 0);
  const Duration waited = WaitRunning(world, 2, 1);
  MESSAGE("runs again after " << waited.ms() << " ms");
  CHECK_LE(waited, kLastingRestart);
  world.RunFor(Duration(12'000));
  CHECK_EQ(world.JobState(1), GraphJobState::kCompleted);
  CHECK_EQ(Broken(world), "");
}

// A job has a task running within 3 s of the moment at which one could run, so
// that the leader must know of ends by then.
constexpr Duration kNothingRunning(3000);

TEST_CASE("a backlog of 3,000 ends is read in time for what depends on it") {
  constexpr std::uint32_t kTasks = 3000;
  GraphWorld world({.racks_ = 1, .per_rack_ = 1});
  RunManyTasks(world, kTasks);
  world.Disconnect(0);
  world.RunFor(Duration(4000));
  world.Reconnect(0);
  const Time began = world.now();
  while (!world.AllEnded() && world.now() - began < Duration(10'000)) {
    world.RunFor(Duration(20));
  }
  const Duration took = world.now() - began;
  MESSAGE("read in " << took.ms() << " ms");
  CHECK_LE(took, kNothingRunning);
  CHECK_EQ(world.starts(), kTasks);
  CHECK_EQ(Broken(world), "");
}

TEST_CASE("tasks of a worker that is cut off run elsewhere after its lease") {
  GraphWorld world({.racks_ = 1, .per_rack_ = 2});
  world.Submit(1, {MakeStep(1, 8, Duration(30'000))}, {});
  world.RunFor(Duration(2500));
  REQUIRE_EQ(world.RunningTasks(1), 1);
  world.Disconnect(0);
  world.RunFor(Duration(12'000));
  CHECK_EQ(world.RunningTasks(1), 1);
  CHECK_EQ(world.starts(), 2);
  CHECK_EQ(Broken(world), "");
}

// A worker of each rack stands still. The objective of the gang is 8.5 s.
TEST_CASE("an urgent gang leaves a worker that stands still") {
  GraphWorld world({.racks_ = 2, .per_rack_ = 4});
  world.RunFor(Duration(2000));
  for (const int worker : {0, 4}) world.SlowDown(worker, 100);
  world.Submit(1, {MakeGang(4, 8, Duration(2500), false)}, {.priority_ = 0});
  world.RunFor(Duration(8000));
  CHECK_EQ(world.JobState(1), GraphJobState::kCompleted);
  CHECK_GT(world.starts(), 4);
  CHECK_EQ(Broken(world), "");
}

// A lost start command must not block the task for as long as a full lease.
TEST_CASE("a task whose start command is lost runs elsewhere within seconds") {
  GraphWorld world({.racks_ = 1, .per_rack_ = 2});
  world.RunFor(Duration(2000));
  world.Disconnect(0);
  world.Submit(1, {MakeStep(1, 8, Duration(1000))}, {});
  world.RunFor(Duration(6500));
  CHECK_EQ(world.JobState(1), GraphJobState::kCompleted);
  CHECK_EQ(Broken(world), "");
}

// One of two workers is cut off. Once the first job's start there had no
// answer, the second job must not be placed there.
TEST_CASE("a worker that left a command unanswered gets no further task") {
  GraphWorld world({.racks_ = 1, .per_rack_ = 2});
  world.RunFor(Duration(2000));
  world.Disconnect(0);
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

TEST_CASE("a new leader finds running attempts and starts nothing twice") {
  GraphWorld world({});
  world.Submit(1, {MakeStep(6, 4, Duration(3000))}, {});
  world.RunFor(Duration(2500));
  world.ChangeLeader();
  world.RunFor(Duration(5000));
  CHECK_EQ(world.JobState(1), GraphJobState::kCompleted);
  CHECK_EQ(world.starts(), 6);
  CHECK_EQ(Broken(world), "");
}

// A third each of the workers is 0.6, 1 and 1.6 times as fast.
TEST_CASE("a new leader knows which workers are fast") {
  GraphWorld world({.racks_ = 1, .per_rack_ = 15});
  for (int i = 0; i < 15; ++i) world.SlowDown(i, std::pow(1.6, 1 - i % 3));
  world.RunFor(Duration(2000));
  for (std::uint64_t job = 1; job <= 3; ++job) {
    world.Submit(job, {MakeStep(30, 4, Duration(3000))}, {});
  }
  world.RunFor(Duration(20'000));
  CHECK_EQ(world.state().worker_speeds_.size(), 15);
  world.ChangeLeader();
  world.RunFor(Duration(2000));
  world.Submit(4, {MakeGang(4, 8, Duration(3000), true)}, {.priority_ = 0});
  world.RunFor(Duration(500));
  const GraphJob& urgent = *FindJob(world.state(), MakeKey(4));
  for (std::uint32_t i = 0; i < 4; ++i) {
    const StepRecord* step = FindStep(urgent, Occurrence(), StepIndex());
    REQUIRE(step != nullptr);
    REQUIRE(step->tasks_[i].open_);
    const int worker = std::stoi(step->tasks_[i].worker_.value().substr(1));
    CHECK_EQ(worker % 3, 2);
  }
  CHECK_EQ(Broken(world), "");
}

// Workers report only every 1.5 s, so a new leader that waited for reports
// would record ends late.
TEST_CASE("a new leader records ends before the workers report again") {
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

// A worker may leave without notice just before a start. If the gang were not
// stopped, its other members would hold their resources until they give up
// waiting.
TEST_CASE("a gang is stopped when the start of a member has no answer") {
  GraphWorld world({.racks_ = 1, .per_rack_ = 2});
  world.RunFor(Duration(1510));
  world.Disconnect(1);
  world.Submit(1, {MakeGang(2, 8, Duration(4000), true)}, {});
  world.RunFor(Duration(500));
  REQUIRE_EQ(world.RunningTasks(1), 1);
  world.RunFor(Duration(2300));
  CHECK_EQ(world.RunningTasks(1), 0);
  CHECK_EQ(Broken(world), "");
}

// Workers that are removed within two seconds go without notice, and their
// leases last ten. A gang left running there would wait for the leases to
// expire.
TEST_CASE("a gang does not wait for a worker that leaves before it ends") {
  GraphWorld world({.racks_ = 1, .per_rack_ = 4});
  world.RunFor(Duration(1510));
  world.Submit(1, {MakeGang(2, 8, Duration(4000), true)}, {});
  world.RunFor(Duration(500));
  REQUIRE_EQ(world.RunningTasks(1), 2);
  world.StartDraining(0, Duration(2000));
  world.StartDraining(1, Duration(2000));
  world.RunFor(Duration(2000));
  world.Disconnect(0);
  world.Disconnect(1);
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

// A poll result must not extend the time that the draining worker is expected
// to stay.
TEST_CASE("a task with checkpoints is stopped before its worker leaves") {
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
  CHECK_EQ(world.wasted_work(), 0);
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

// A lease ends on the worker's clock, which the log does not hold, so a new
// leader can't grant a lease before the worker answers.
TEST_CASE("a new leader's first poll leaves the lease unchanged") {
  GraphState state;
  ApplyRecord(state, WorkerRecord{{MakeReport("w", "r")}, {}});
  Submit(state, 1, {MakeStep(1, 1, Duration(5000))}, {});
  const AttemptRef attempt{{MakeKey(1), {}, {}, {}}, AttemptId(1)};
  ApplyRecord(state,
              OpenRecord{{{attempt, WorkerId("w"), WorkerIncarnation(1)}}});
  const Time now(50'000'000);
  Scheduler scheduler = MakeScheduler({}, FencingToken(2), state, now, now);
  const auto actions = Step(scheduler, state, SchedulerTick{now}, now);
  REQUIRE_EQ(actions.size(), 1);
  const auto* poll = std::get_if<PollCommand>(&actions[0]);
  REQUIRE_NE(poll, nullptr);
  CHECK_EQ(poll->lease_until_ms_, 0);
  CHECK_EQ(poll->target_.address_, MakeReport("w", "r").address_);
}

TEST_CASE("a worker that sends nothing for a long time is removed") {
  GraphWorld world({.racks_ = 1, .per_rack_ = 2});
  world.RunFor(Duration(1510));
  REQUIRE_EQ(world.state().workers_.size(), 2);
  world.Disconnect(0);
  world.RunFor(Duration(62'000));
  CHECK_EQ(world.state().workers_.size(), 1);
  world.Reconnect(0);
  world.RunFor(Duration(2000));
  CHECK_EQ(world.state().workers_.size(), 2);
}

TEST_CASE("each occurrence of a scheduled job becomes due once") {
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

// Each occurrence takes memory on all control nodes.
TEST_CASE("a schedule that is due all at once becomes due bit by bit") {
  GraphWorld world({.racks_ = 1, .per_rack_ = 1});
  SubmitRecord record =
      MakeSubmit(1, {MakeStep(4000, 1, Duration(60'000))}, {});
  record.spec_.occurrences_ = 1'000'000;
  world.Submit(record, {std::vector<Duration>(4000, Duration(60'000))});
  world.RunFor(Duration(4000));
  const GraphJob& job = *FindJob(world.state(), MakeKey(1));
  CHECK_EQ(job.occurrences_.size(), 3);
  CHECK_EQ(JobStateName(job), "running");
}

// A scheduler with one worker, driven one command at a time.
struct OneWorker {
  GraphState state_;
  Scheduler scheduler_;
  Time now_{1'000'000};
  std::uint64_t reports_ = 0;

  OneWorker() { Lead(1); }

  // Makes the scheduler of the leader of this term.
  void Lead(std::uint64_t term) {
    scheduler_ = MakeScheduler({}, FencingToken(term), state_, now_, now_);
  }

  std::vector<SchedulerAction> Feed(const SchedulerEvent& event) {
    now_ = now_ + Duration(20);
    return Step(scheduler_, state_, event, now_);
  }
  std::vector<SchedulerAction> Apply(const GraphRecord& record) {
    ApplyRecord(state_, record);
    return Feed(RecordApplied{&record});
  }
  void ApplyRecords(const std::vector<SchedulerAction>& actions) {
    for (const SchedulerAction& action : actions) {
      if (const auto* record = std::get_if<GraphRecord>(&action)) {
        Apply(*record);
      }
    }
  }
  void Report(std::int64_t incarnation, std::int64_t clock,
              const Resources& capacity = kWorkerSize) {
    PoolWorkerReport report = MakeReport("w", "r");
    report.incarnation_ = WorkerIncarnation(incarnation);
    report.clock_ms_ = clock;
    report.capacity_ = capacity;
    report.sequence_ = ++reports_;
    ApplyRecords(Feed(report));
  }
  // The first command of this kind sent in the next ticks; empty if none is.
  template <class Command>
  std::optional<Command> Next(int ticks = 40) {
    for (int i = 0; i < ticks; ++i) {
      for (const SchedulerAction& action : Feed(SchedulerTick{now_})) {
        if (const auto* command = std::get_if<Command>(&action))
          return *command;
        const auto* record = std::get_if<GraphRecord>(&action);
        if (record == nullptr) continue;
        for (const SchedulerAction& more : Apply(*record)) {
          if (const auto* command = std::get_if<Command>(&more))
            return *command;
        }
      }
    }
    return std::nullopt;
  }
  void Answer(const PollCommand& command, CommandOutcome outcome,
              std::int64_t clock, std::vector<ReportedEnd> ends = {}) {
    PollResult result;
    result.worker_ = WorkerId("w");
    result.incarnation_ = command.target_.incarnation_;
    result.number_ = command.number_;
    result.outcome_ = outcome;
    result.clock_ms_ = clock;
    result.ends_ = std::move(ends);
    ApplyRecords(Feed(result));
  }
  // Lets time pass; records are applied at once and commands get no answer.
  void Pass(Duration span) {
    const Time end = now_ + span;
    while (now_ < end) ApplyRecords(Feed(SchedulerTick{now_}));
  }
  bool IsTaskOpen(std::uint64_t job) const {
    return state_.jobs_.at(MakeKey(job))
        .occurrences_.at(Occurrence())
        .steps_[0]
        .tasks_[0]
        .open_;
  }
  // Runs one task to its end, which is the worker's end number 1.
  void RunOneTask() {
    Report(1, 900'000);
    Answer(*Next<PollCommand>(), CommandOutcome::kDone, 900'100);
    Apply(MakeSubmit(1, {MakeStep(1, 1, Duration(500))}, {}));
    const auto start = Next<StartCommand>();
    Feed(StartResult{WorkerId("w"), WorkerIncarnation(1), start->attempt_,
                     CommandOutcome::kDone, 900'200, ""});
    Answer(*Next<PollCommand>(), CommandOutcome::kDone, 900'700,
           {{1, start->attempt_, AttemptEnd::kDone, Checkpoint()}});
  }
};

TEST_CASE("a poll acknowledges ends once they are in the log") {
  OneWorker world;
  world.RunOneTask();
  CHECK_EQ(world.Next<PollCommand>()->last_end_, 1);
}

// The worker may have restarted, and the new incarnation would forget its own
// ends up to the acknowledged number.
TEST_CASE("no ends are acknowledged while calls are unanswered") {
  OneWorker world;
  world.RunOneTask();
  const auto poll = world.Next<PollCommand>();
  world.Answer(*poll, CommandOutcome::kNoAnswer, 0);
  const auto again = world.Next<PollCommand>();
  CHECK_EQ(again->last_end_, 0);
  world.Answer(*again, CommandOutcome::kDone, 901'000);
  CHECK_EQ(world.Next<PollCommand>()->last_end_, 1);
}

// Guards against ends that the leader never sees, as a delayed poll makes the
// worker's next incarnation forget them.
TEST_CASE("each end is acknowledged once") {
  OneWorker world;
  world.RunOneTask();
  const auto poll = world.Next<PollCommand>();
  REQUIRE_EQ(poll->last_end_, 1);
  world.Apply(MakeSubmit(2, {MakeStep(1, 1, Duration(60'000))}, {}));
  const auto start = world.Next<StartCommand>();
  world.Answer(*poll, CommandOutcome::kDone, 901'000);
  world.Feed(StartResult{WorkerId("w"), WorkerIncarnation(1), start->attempt_,
                         CommandOutcome::kDone, 901'100, ""});
  const auto next = world.Next<PollCommand>();
  REQUIRE(next.has_value());
  CHECK_EQ(next->last_end_, 0);
  world.Answer(*next, CommandOutcome::kDone, 901'200,
               {{2, start->attempt_, AttemptEnd::kStopped, Checkpoint()}});
  CHECK_EQ(world.Next<PollCommand>()->last_end_, 2);
}

TEST_CASE("an answer whose clock went back is from a later incarnation") {
  OneWorker world;
  world.RunOneTask();
  world.Answer(*world.Next<PollCommand>(), CommandOutcome::kDone, 901'000);
  world.Apply(MakeSubmit(2, {MakeStep(1, 1, Duration(500))}, {}));
  const auto start = world.Next<StartCommand>();
  world.Feed(StartResult{WorkerId("w"), WorkerIncarnation(1), start->attempt_,
                         CommandOutcome::kDone, 150, ""});
  CHECK_FALSE(world.Next<PollCommand>(10).has_value());
  world.Report(2, 400);
  const auto poll = world.Next<PollCommand>();
  REQUIRE(poll.has_value());
  CHECK_EQ(poll->target_.incarnation_, WorkerIncarnation(2));
  CHECK_EQ(poll->last_end_, 0);
  // The task ran in the new incarnation, so its end counts.
  world.Answer(*poll, CommandOutcome::kDone, 900,
               {{1, start->attempt_, AttemptEnd::kDone, Checkpoint()}});
  CHECK_EQ(world.state_.jobs_.at(MakeKey(2)).state_, GraphJobState::kCompleted);
}

// An answer can also look late because the leader handled a newer one first.
TEST_CASE(
    "a start is sent again after an answer taken for a later incarnation's") {
  OneWorker world;
  world.RunOneTask();
  world.Apply(MakeSubmit(2, {MakeStep(1, 1, Duration(500))}, {}));
  const auto start = world.Next<StartCommand>();
  world.Feed(StartResult{WorkerId("w"), WorkerIncarnation(1), start->attempt_,
                         CommandOutcome::kRetryLater, 150, ""});
  world.Report(1, 901'500);
  const auto again = world.Next<StartCommand>();
  REQUIRE(again.has_value());
  CHECK(again->attempt_ == start->attempt_);
}

// Guards against sound jobs that were given up because a connection ended that
// had nothing to do with them.
TEST_CASE("a start that broke off is evidence only if the worker is gone") {
  OneWorker world;
  world.RunOneTask();
  world.Apply(MakeSubmit(2, {MakeStep(1, 1, Duration(9000))}, {}));
  const auto first = world.Next<StartCommand>();
  world.Feed(StartResult{WorkerId("w"), WorkerIncarnation(1), first->attempt_,
                         CommandOutcome::kDone, 901'000, ""});
  world.Report(2, 500);
  world.Feed(StopResult{WorkerId("w"), WorkerIncarnation(2), first->attempt_,
                        CommandOutcome::kDone, 600});
  world.Answer(*world.Next<PollCommand>(), CommandOutcome::kDone, 700);
  const auto start = world.Next<StartCommand>(200);
  REQUIRE(start.has_value());
  CHECK_FALSE(first->new_connection_);
  CHECK(start->new_connection_);
  world.Feed(StartResult{WorkerId("w"), WorkerIncarnation(2), start->attempt_,
                         CommandOutcome::kNoAnswer, 0, "", true});
  bool gone = false;
  SUBCASE("it answers") {}
  SUBCASE("it does not answer") { gone = true; }
  const auto poll = world.Next<PollCommand>();
  REQUIRE(poll.has_value());
  world.Answer(*poll, gone ? CommandOutcome::kNoAnswer : CommandOutcome::kDone,
               gone ? 0 : 5000);
  world.Report(3, 100);
  const CrashHistory& history =
      world.state_.crashes_.histories_.at(start->attempt_.task_);
  CHECK_EQ(history.crashes_, 2);
  CHECK_EQ(history.blamed_, gone ? 1 : 0);
}

TEST_CASE("a report at the address of a worker that answers ends no task") {
  OneWorker world;
  world.RunOneTask();
  world.Answer(*world.Next<PollCommand>(), CommandOutcome::kDone, 901'000);
  world.Apply(MakeSubmit(2, {MakeStep(1, 1, Duration(60'000))}, {}));
  const auto start = world.Next<StartCommand>();
  world.Feed(StartResult{WorkerId("w"), WorkerIncarnation(1), start->attempt_,
                         CommandOutcome::kDone, 901'100, ""});
  const auto poll = world.Next<PollCommand>();
  REQUIRE(poll.has_value());
  PoolWorkerReport other = MakeReport("v", "r");
  other.address_ = MakeReport("w", "r").address_;
  other.incarnation_ = WorkerIncarnation(2);
  SUBCASE("started later") {}
  SUBCASE("started earlier, by its clock") {
    other.incarnation_ = WorkerIncarnation();
  }
  const auto asked = world.Feed(other);
  REQUIRE_EQ(asked.size(), 1);
  const auto& question = std::get<PollCommand>(asked[0]);
  CHECK_EQ(question.target_.worker_, WorkerId("v"));
  CHECK_EQ(question.wait_, Duration(0));
  const auto is_taken = [&world] {
    const auto& workers = world.state_.workers_;
    REQUIRE_EQ(workers.size(), 1);
    CHECK_EQ(world.IsTaskOpen(2), workers.contains(WorkerId("w")));
    return workers.contains(WorkerId("v"));
  };
  CHECK_FALSE(is_taken());
  PollResult answer{.worker_ = WorkerId("v"),
                    .incarnation_ = other.incarnation_,
                    .number_ = question.number_,
                    .running_ = {},
                    .ends_ = {}};
  SUBCASE("the former process answers there") {
    answer.outcome_ = CommandOutcome::kOtherWorker;
    world.ApplyRecords(world.Feed(answer));
    ++other.sequence_;
    world.ApplyRecords(world.Feed(other));
    CHECK_FALSE(is_taken());
  }
  SUBCASE("the new process answers there") {
    answer.outcome_ = CommandOutcome::kDone;
    world.ApplyRecords(world.Feed(answer));
    CHECK(is_taken());
  }
  SUBCASE("the former process is known to be gone") {
    world.Answer(*poll, CommandOutcome::kOtherWorker, 0);
    CHECK_FALSE(is_taken());
    SUBCASE("and the new one reports") {
      ++other.sequence_;
      world.ApplyRecords(world.Feed(other));
      CHECK(is_taken());
    }
    SUBCASE("and the new one reports no more") {
      world.Pass(Duration(1000));
      CHECK_FALSE(world.IsTaskOpen(2));
    }
  }
  SUBCASE("nothing answers there") {
    world.Answer(*poll, CommandOutcome::kNoAnswer, 0);
    world.ApplyRecords(world.Feed(answer));
    ++other.sequence_;
    world.ApplyRecords(world.Feed(other));
    CHECK_FALSE(is_taken());
    const FleetWorker& former = world.scheduler_.fleet_.at(WorkerId("w"));
    world.Pass(former.lease_end_ - world.now_ - Duration(100));
    CHECK(world.IsTaskOpen(2));
    world.Pass(Duration(200));
    CHECK_FALSE(world.IsTaskOpen(2));
  }
}

// Polls are numbered anew for each incarnation.
TEST_CASE("a task whose end got lost with a restart ends with the first poll") {
  OneWorker world;
  world.RunOneTask();
  world.Answer(*world.Next<PollCommand>(), CommandOutcome::kDone, 901'000);
  world.scheduler_.fleet_.at(WorkerId("w")).polls_sent_ = 20;
  world.Apply(MakeSubmit(2, {MakeStep(1, 1, Duration(500))}, {}));
  const auto start = world.Next<StartCommand>();
  world.Feed(StartResult{WorkerId("w"), WorkerIncarnation(1), start->attempt_,
                         CommandOutcome::kDone, 901'100, ""});
  const auto poll = world.Next<PollCommand>();
  REQUIRE(poll.has_value());
  PollResult result{.worker_ = WorkerId("w"),
                    .incarnation_ = WorkerIncarnation(1),
                    .number_ = poll->number_,
                    .outcome_ = CommandOutcome::kDone,
                    .clock_ms_ = 901'700,
                    .running_ = {},
                    .ends_ = {{2, start->attempt_, AttemptEnd::kDone, {}}}};
  const auto actions = world.Feed(result);
  REQUIRE_EQ(actions.size(), 1);
  world.Report(2, 400);
  world.Feed(RecordLost{std::get<GraphRecord>(actions[0])});
  world.Answer(*world.Next<PollCommand>(), CommandOutcome::kDone, 500);
  CHECK_FALSE(world.IsTaskOpen(2));
}

// Guards against a task that runs twice, as a delayed leave of an earlier
// process is taken for that of the present one, which drains too.
TEST_CASE("a leave ends a run once the worker is known to be gone") {
  OneWorker world;
  world.RunOneTask();
  world.Answer(*world.Next<PollCommand>(), CommandOutcome::kDone, 901'000);
  world.Apply(MakeSubmit(2, {MakeStep(1, 1, Duration(500))}, {}));
  const auto start = world.Next<StartCommand>();
  world.Feed(StartResult{WorkerId("w"), WorkerIncarnation(1), start->attempt_,
                         CommandOutcome::kDone, 901'100, ""});
  PoolWorkerReport report = MakeReport("w", "r");
  report.sequence_ = 10;
  report.draining_ = true;
  report.remaining_ = Duration(5000);
  world.ApplyRecords(world.Feed(report));
  world.ApplyRecords(world.Feed(WorkerLeft{WorkerId("w")}));
  CHECK(world.IsTaskOpen(2));
  auto poll = world.Next<PollCommand>(5);
  REQUIRE(poll.has_value());
  PollResult silent{.worker_ = WorkerId("w"),
                    .incarnation_ = WorkerIncarnation(1),
                    .number_ = poll->number_,
                    .running_ = {},
                    .ends_ = {}};
  const FleetWorker& worker = world.scheduler_.fleet_.at(WorkerId("w"));
  SUBCASE("it refuses connections") {
    silent.refused_ = true;
    world.ApplyRecords(world.Feed(silent));
    CHECK_FALSE(world.IsTaskOpen(2));
    CHECK_FALSE(world.state_.workers_.contains(WorkerId("w")));
    return;
  }
  SUBCASE("it is silent") {
    world.ApplyRecords(world.Feed(silent));
    CHECK(world.Next<PollCommand>(5).has_value());
    world.Pass(worker.lease_end_ - world.now_ - Duration(100));
    CHECK(world.IsTaskOpen(2));
    world.Pass(Duration(200));
    CHECK_FALSE(world.IsTaskOpen(2));
    return;
  }
  SUBCASE("it is there: it answers and reports again") {
    silent.outcome_ = CommandOutcome::kDone;
    silent.clock_ms_ = 901'300;
    silent.running_ = {{start->attempt_, {}, {}}};
    world.ApplyRecords(world.Feed(silent));
    CHECK(world.IsTaskOpen(2));
    ++report.sequence_;
    world.ApplyRecords(world.Feed(report));
    // From now on a refused connection may be that of a cut.
    poll = world.Next<PollCommand>(5);
    REQUIRE(poll.has_value());
    world.ApplyRecords(
        world.Feed(PollResult{.worker_ = WorkerId("w"),
                              .incarnation_ = WorkerIncarnation(1),
                              .number_ = poll->number_,
                              .running_ = {},
                              .ends_ = {},
                              .refused_ = true}));
    CHECK(world.IsTaskOpen(2));
  }
}

TEST_CASE("a task of a worker that leaves soon runs elsewhere") {
  GraphWorld world({.racks_ = 1, .per_rack_ = 2});
  world.Submit(1, {MakeStep(1, 8, Duration(30'000))}, {});
  world.RunFor(Duration(2500));
  world.StartDraining(0, Duration(40'000));
  world.RunFor(Duration(500));
  REQUIRE_EQ(world.RunningTasks(1), 1);
  world.Leave(0, Duration(60'000));
  const Duration waited = WaitRunning(world, 1, 1);
  MESSAGE("runs again after " << waited.ms() << " ms");
  CHECK_LE(waited, Duration(200));
  CHECK_EQ(Broken(world), "");
}

// Guards against a task that runs twice, as its delayed start reaches a process
// that has returned under the id of a worker that left.
TEST_CASE("a worker that returns after it left is told what must not start") {
  OneWorker world;
  world.RunOneTask();
  world.Answer(*world.Next<PollCommand>(), CommandOutcome::kDone, 901'000);
  world.Apply(MakeSubmit(2, {MakeStep(1, 1, Duration(500))}, {}));
  const auto start = world.Next<StartCommand>();
  REQUIRE(start.has_value());
  world.Feed(StartResult{WorkerId("w"), WorkerIncarnation(1), start->attempt_,
                         CommandOutcome::kNoAnswer, 0, ""});
  FleetWorker& worker = world.scheduler_.fleet_.at(WorkerId("w"));
  worker.runs_.clear();
  worker.report_.draining_ = true;
  Duration away(1000);
  SUBCASE("soon") {}
  SUBCASE("too late for the start") { away = kLateCommandBound; }
  world.ApplyRecords(world.Feed(WorkerLeft{WorkerId("w")}));
  REQUIRE(world.scheduler_.fleet_.empty());
  world.now_ = world.now_ + away;
  PoolWorkerReport report = MakeReport("w", "r");
  report.incarnation_ = WorkerIncarnation(2);
  world.ApplyRecords(world.Feed(report));
  const bool expected = away < kLateCommandBound;
  // The first is lost with a connection of the worker's former life.
  for (const CommandOutcome outcome :
       {CommandOutcome::kNoAnswer, CommandOutcome::kDone}) {
    const auto stop = world.Next<StopCommand>();
    REQUIRE_EQ(stop.has_value(), expected);
    if (!expected) return;
    CHECK_EQ(stop->attempt_, start->attempt_);
    CHECK_EQ(stop->target_.incarnation_, WorkerIncarnation(2));
    world.Feed(StopResult{WorkerId("w"), WorkerIncarnation(2), start->attempt_,
                          outcome, 500});
  }
  CHECK_FALSE(world.Next<StopCommand>().has_value());
}

// Guards against an attempt that waits for ever for the answer to a command
// that was sent to an earlier life of its worker.
TEST_CASE("a restart ends the wait for answers, also of ends that get lost") {
  OneWorker world;
  world.RunOneTask();
  world.Answer(*world.Next<PollCommand>(), CommandOutcome::kDone, 901'000);
  world.Apply(MakeSubmit(2, {MakeStep(1, 1, Duration(500))}, {}));
  REQUIRE(world.Next<StartCommand>().has_value());
  world.scheduler_.fleet_.at(WorkerId("w")).lease_end_ = world.now_;
  std::optional<GraphRecord> lost;
  for (const SchedulerAction& action : world.Feed(SchedulerTick{world.now_})) {
    const auto* record = std::get_if<GraphRecord>(&action);
    if (record != nullptr && std::holds_alternative<EndRecord>(*record)) {
      lost = *record;
    }
  }
  REQUIRE(lost.has_value());
  world.Report(2, 400);
  world.Feed(RecordLost{*lost});
  CHECK(world.Next<StartCommand>().has_value());
}

constexpr Duration kPassCost(40);

// How long it takes until a job that is accepted right after a placement pass
// is placed, if each pass takes kPassCost.
Duration WaitForPass(std::uint32_t priority) {
  OneWorker world;
  world.RunOneTask();
  const auto tick = [&world] {
    return world.Feed(SchedulerTick{world.now_, kPassCost});
  };
  const Time last_pass = world.scheduler_.last_placement_;
  while (world.scheduler_.last_placement_ == last_pass) tick();
  tick();
  world.Apply(
      MakeSubmit(2, {MakeStep(1, 1, Duration(500))}, {.priority_ = priority}));
  const Time accepted = world.now_;
  while (world.now_ - accepted < Duration(1000)) {
    for (const SchedulerAction& action : tick()) {
      const auto* record = std::get_if<GraphRecord>(&action);
      if (record != nullptr && std::holds_alternative<OpenRecord>(*record)) {
        return world.now_ - accepted;
      }
    }
  }
  return Duration(1000);
}

TEST_CASE("placement passes leave time for other work, urgent jobs wait less") {
  CHECK(WaitForPass(1) >= Duration(100));
  CHECK(WaitForPass(1) <= Duration(220));
  CHECK(WaitForPass(0) <= Duration(120));
}

// A leader that is short of connections must not take its workers for silent.
TEST_CASE("a poll that was not sent says nothing about the worker") {
  OneWorker world;
  world.RunOneTask();
  world.Answer(*world.Next<PollCommand>(), CommandOutcome::kNotSent, 0);
  const FleetWorker& worker = world.scheduler_.fleet_.at(WorkerId("w"));
  CHECK_EQ(worker.unanswered_calls_, 0);
  CHECK(AcceptsTasks(worker, kReportInterval, world.now_));
  CHECK(world.Next<PollCommand>().has_value());
}

TEST_CASE("a start that was not sent is sent again") {
  OneWorker world;
  world.RunOneTask();
  world.Apply(MakeSubmit(2, {MakeStep(1, 1, Duration(500))}, {}));
  for (int i = 0; i < 4; ++i) {
    const auto start = world.Next<StartCommand>();
    REQUIRE(start.has_value());
    world.Feed(StartResult{WorkerId("w"), WorkerIncarnation(1), start->attempt_,
                           CommandOutcome::kNotSent, 0, ""});
  }
  CHECK(world.IsTaskOpen(2));
}

TEST_CASE("no more polls are held open than allowed") {
  GraphWorldOptions options{.racks_ = 1, .per_rack_ = 4};
  options.scheduler_.max_held_polls_ = 2;
  GraphWorld world(options);
  world.Submit(1, {MakeStep(4, 8, Duration(6000))}, {});
  for (int i = 0; i < 70; ++i) {
    world.RunFor(Duration(100));
    CHECK(world.held_polls() <= 2);
  }
  world.RunFor(Duration(4000));
  CHECK_EQ(world.JobState(1), GraphJobState::kCompleted);
  CHECK_EQ(world.starts(), 4);
}

// A lease counts for the whole worker and never shortens, so a start command
// with a short lease may run on under a longer lease of an earlier leader.
TEST_CASE("a new leader waits for leases that earlier leaders granted") {
  OneWorker world;
  world.RunOneTask();
  const SchedulerOptions& options = world.scheduler_.options_;
  world.Lead(2);
  const Time leads_since = world.now_;
  const auto poll = world.Next<PollCommand>();
  world.Answer(*poll, CommandOutcome::kDone, 900'800);
  world.Apply(MakeSubmit(2, {MakeStep(1, 1, Duration(8000))}, {}));
  REQUIRE(world.Next<StartCommand>().has_value());
  world.Pass(leads_since + options.lease_ - world.now_);
  CHECK(world.IsTaskOpen(2));
  // Allowances for drift and margins are below a second.
  world.Pass(Duration(1000));
  CHECK_FALSE(world.IsTaskOpen(2));
}

constexpr Resources kShrunk{
    .millicores_ = 32000, .memory_mb_ = 128000, .accelerators_ = 2};

TEST_CASE("nothing starts on a worker that shrank after the placement") {
  OneWorker world;
  world.RunOneTask();
  world.Apply(MakeSubmit(2, {MakeStep(1, 4, Duration(500))}, {}));
  std::optional<GraphRecord> open;
  while (!open.has_value()) {
    for (const SchedulerAction& action :
         world.Feed(SchedulerTick{world.now_})) {
      const auto* record = std::get_if<GraphRecord>(&action);
      if (record != nullptr && std::holds_alternative<OpenRecord>(*record)) {
        open = *record;
      }
    }
  }
  world.Report(1, 900'800, kShrunk);
  for (const SchedulerAction& action : world.Apply(*open)) {
    CHECK_FALSE(std::holds_alternative<StartCommand>(action));
  }
}

TEST_CASE("a start without an answer is not sent again to a shrunken worker") {
  OneWorker world;
  world.RunOneTask();
  world.Apply(MakeSubmit(2, {MakeStep(1, 4, Duration(500))}, {}));
  const auto start = world.Next<StartCommand>();
  REQUIRE(start.has_value());
  world.Feed(StartResult{WorkerId("w"), WorkerIncarnation(1), start->attempt_,
                         CommandOutcome::kNoAnswer, 0, ""});
  world.Report(1, 900'800, kShrunk);
  CHECK_FALSE(world.Next<StartCommand>().has_value());
}

TEST_CASE("a run that should not be there takes capacity until it has ended") {
  OneWorker world;
  world.RunOneTask();
  world.Apply(MakeSubmit(2, {MakeStep(1, 6, Duration(500))}, {}));
  world.Apply(CancelRecord{MakeKey(2), world.now_});
  const AttemptRef stray{{MakeKey(2), {}, {}, {}}, AttemptId(1)};
  PollResult result{.worker_ = WorkerId("w"),
                    .incarnation_ = WorkerIncarnation(1),
                    .number_ = world.Next<PollCommand>()->number_,
                    .outcome_ = CommandOutcome::kDone,
                    .clock_ms_ = 900'900,
                    .running_ = {{stray, {}, {}}},
                    .ends_ = {}};
  world.Feed(result);
  const auto poll = world.Next<PollCommand>();
  REQUIRE(poll.has_value());
  world.Apply(MakeSubmit(3, {MakeStep(1, 4, Duration(500))}, {}));
  CHECK_FALSE(world.Next<StartCommand>(10).has_value());
  world.Answer(*poll, CommandOutcome::kDone, 901'400,
               {{2, stray, AttemptEnd::kStopped, {}}});
  CHECK(world.Next<StartCommand>().has_value());
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
      return world.Disconnect(worker);
    case 3:
    case 4:
      return world.Reconnect(worker);
    case 5:
      return world.StartDraining(worker, Duration(3000));
    case 6:
      return world.Cancel(1 + random() % 12);
    default:
      return;
  }
}

// Shrinks a worker to a part of its size, or restores it.
void ChangeCapacity(GraphWorld& world, std::mt19937_64& random) {
  Resources capacity = kWorkerSize;
  capacity.accelerators_ = 2 << (random() % 3);
  world.SetCapacity(static_cast<int>(random() % world.workers()), capacity);
}

std::uint64_t ScheduleCount() {
  const char* count = std::getenv("FLAMINGOHOLLOW_SCHEDULES");
  return count == nullptr ? 60 : std::strtoull(count, nullptr, 10);
}

// Seeds that once failed: 8, 11 and 44 because a start reached a worker's next
// incarnation; 83, 410 and 506 because of a delayed start; 703 and 920 because
// a check was too strict; 11780 because the model granted a lease of 500 s.
constexpr std::uint64_t kRegressionSeeds[] = {8,   11,  44,  83,   410,
                                              506, 703, 920, 11780};

// Workers that carry out each start, and whose capacity changes all the time. A
// smaller capacity counts two reports after the worker has announced it.
TEST_CASE("random schedules: no start exceeds a capacity that changes") {
  for (std::uint64_t seed = 1; seed <= ScheduleCount(); ++seed) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    GraphWorld world({.seed_ = seed,
                      .lost_ = static_cast<int>(random() % 100),
                      .answer_lost_ = static_cast<int>(random() % 100),
                      .guarded_ = false});
    for (std::uint64_t job = 1; job <= 20; ++job) {
      world.Submit(job, RandomSteps(random), {.max_attempts_ = 4});
      world.RunFor(Duration(static_cast<std::int64_t>(random() % 1500)));
      ChangeCapacity(world, random);
      if (random() % 8 == 0) world.ChangeLeader();
    }
    for (int i = 0; i < world.workers(); ++i) world.SetCapacity(i, kWorkerSize);
    for (int i = 0; i < 12 && !world.AllEnded(); ++i) {
      world.RunFor(Duration(10'000));
    }
    CHECK_EQ(Broken(world), "");
    CHECK(world.AllEnded());
  }
}

// Makes a worker that drains leave, or a delayed copy of its leave arrive.
void LeaveOrRepeat(GraphWorld& world, std::mt19937_64& random) {
  const int worker = static_cast<int>(random() % world.workers());
  if (random() % 2 == 0) return world.LeaveAgain(worker);
  if (!world.drains(worker)) {
    return world.StartDraining(worker, Duration(3000));
  }
  world.Leave(worker, Duration(static_cast<std::int64_t>(random() % 4000)));
}

enum class More : std::uint8_t { kNone, kAnotherWriter, kLeaves };

void RunRandomSchedule(std::uint64_t seed, std::size_t listed_ends,
                       More more = More::kNone) {
  std::mt19937_64 random(seed);
  GraphWorld world({.seed_ = seed,
                    .lost_ = static_cast<int>(random() % 60),
                    .late_ = static_cast<int>(random() % 60),
                    .answer_lost_ = static_cast<int>(random() % 60),
                    .fails_ = static_cast<int>(random() % 50),
                    .listed_ends_ = listed_ends});
  for (std::uint64_t job = 1; job <= 12; ++job) {
    const auto priority = static_cast<std::uint32_t>(random() % 3);
    world.Submit(job, RandomSteps(random),
                 {.priority_ = priority, .max_attempts_ = 4});
    world.RunFor(Duration(static_cast<std::int64_t>(random() % 1500)));
    Disturb(world, random);
    if (more == More::kAnotherWriter) {
      world.ReportAnother(static_cast<int>(job) % world.workers());
    }
    if (more != More::kLeaves) continue;
    for (int i = 0; i < 4; ++i) LeaveOrRepeat(world, random);
  }
  if (seed % 2 == 0) world.Evacuate(static_cast<int>(seed / 2 % 2), true);
  world.RunFor(Duration(static_cast<std::int64_t>(seed % 5) * 1000));
  world.EndFaults();
  for (int i = 0; i < 12 && !world.AllEnded(); ++i) {
    world.RunFor(Duration(10'000));
  }
  CHECK_EQ(Broken(world), "");
  CHECK(world.AllEnded());
}

TEST_CASE("random schedules: no task runs twice, and all jobs end") {
  std::vector<std::uint64_t> seeds(std::begin(kRegressionSeeds),
                                   std::end(kRegressionSeeds));
  for (std::uint64_t seed = 1; seed <= ScheduleCount(); ++seed) {
    seeds.push_back(seed);
  }
  for (const std::uint64_t seed : seeds) {
    CAPTURE(seed);
    RunRandomSchedule(seed, GraphWorldOptions().listed_ends_);
  }
}

// Guards against tasks that run twice as another writer, or a delayed report of
// an earlier process, claims the address of a worker.
TEST_CASE("random schedules: the same with reports at workers' addresses") {
  for (std::uint64_t seed = 1; seed <= ScheduleCount(); ++seed) {
    CAPTURE(seed);
    RunRandomSchedule(seed, GraphWorldOptions().listed_ends_,
                      More::kAnotherWriter);
  }
}

// Guards against tasks that run twice after a delayed leave.
TEST_CASE("random schedules: the same with workers that leave and return") {
  for (std::uint64_t seed = 1; seed <= ScheduleCount(); ++seed) {
    CAPTURE(seed);
    RunRandomSchedule(seed, GraphWorldOptions().listed_ends_, More::kLeaves);
  }
}

// Guards against tasks that ran again because their ends were not listed yet.
TEST_CASE("random schedules: the same with workers that list one end a time") {
  for (std::uint64_t seed = 1; seed <= ScheduleCount(); ++seed) {
    CAPTURE(seed);
    RunRandomSchedule(seed, 1);
  }
}

}  // namespace
}  // namespace flamingohollow::testing
