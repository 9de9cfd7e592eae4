// Tests of placement: one test for each rule, under the load that the rule is
// made for.

#include "flamingohollow/graph_placement.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "flamingohollow/graph_scheduler.h"
#include "flamingohollow/testing/graph_fixture.h"

namespace flamingohollow::testing {
namespace {

constexpr Time kNow(100'000);
// A job with 1 s of work that has been queued since this time preempts at kNow,
// since it might miss its deadline if it waited longer.
constexpr Time kUrgentQueuedAt(97'500);

PlacementPlan Plan(const GraphState& state, const Fleet& fleet,
                   Time queued_at = kNow) {
  const GraphPlacementOptions options;
  return PlanPlacement(
      state, fleet, options, [queued_at](const GraphJob&) { return queued_at; },
      kNow);
}

std::set<std::string> RacksOf(const PlacementPlan& plan, const Fleet& fleet) {
  std::set<std::string> racks;
  for (const OpenedAttempt& opened : plan.open_) {
    racks.insert(fleet.at(opened.worker_).report_.rack_.value());
  }
  return racks;
}

std::set<std::string> JobsOf(const PlacementPlan& plan) {
  std::set<std::string> jobs;
  for (const OpenedAttempt& opened : plan.open_) {
    jobs.insert(opened.attempt_.task_.job_.value());
  }
  return jobs;
}

// The job's first step.
StepRecord& StepOf(GraphState& state, std::uint64_t job) {
  return state.jobs_.at(MakeKey(job)).occurrences_.begin()->second.steps_[0];
}

std::set<std::string> StoppedJobs(const PlacementPlan& plan) {
  std::set<std::string> jobs;
  for (const PlacementPlan::Stop& stop : plan.stop_) {
    jobs.insert(stop.attempt_.task_.job_.value());
  }
  return jobs;
}

TEST_CASE("a gang starts as a whole or not at all") {
  GraphState state;
  Fleet fleet = MakeFleet(1, 2, kNow);
  Submit(state, 1, {MakeGang(3, 8, Duration(1000), false)}, {});
  CHECK(Plan(state, fleet).open_.empty());
  fleet = MakeFleet(1, 3, kNow);
  CHECK_EQ(Plan(state, fleet).open_.size(), 3);
}

TEST_CASE("a gang that wants one rack gets the fullest that holds it") {
  GraphState state;
  Fleet fleet = MakeFleet(2, 2, kNow);
  Submit(state, 1, {MakeStep(1, 4, Duration(1000))}, {});
  RunTask(state, fleet, 1, 0, "w2", kNow);
  Submit(state, 2, {MakeGang(2, 4, Duration(1000), true)}, {});
  CHECK_EQ(RacksOf(Plan(state, fleet), fleet), std::set<std::string>{"r1"});
}

// Spread over racks, a gang runs three times as long; a new leader hears from
// all workers within a fraction of a second.
TEST_CASE(
    "a gang is not spread while workers have yet to answer a new leader") {
  GraphState state;
  Fleet fleet = MakeFleet(3, 4, kNow);
  for (const char* id : {"w0", "w1", "w4", "w5", "w8", "w9"}) {
    fleet.at(WorkerId(id)).answered_poll_ = false;
  }
  Submit(state, 1, {MakeGang(4, 8, Duration(1000), true)}, {.priority_ = 0});
  CHECK(Plan(state, fleet).open_.empty());
  SUBCASE("once a rack has answered it starts there") {
    fleet.at(WorkerId("w4")).answered_poll_ = true;
    fleet.at(WorkerId("w5")).answered_poll_ = true;
    CHECK_EQ(RacksOf(Plan(state, fleet), fleet), std::set<std::string>{"r1"});
  }
  SUBCASE("workers that stay silent are not waited for") {
    for (auto& [id, worker] : fleet) {
      if (worker.answered_poll_) continue;
      worker.last_heard_at_ = kNow - kReportInterval * kMissedReports;
    }
    CHECK_EQ(Plan(state, fleet).open_.size(), 4);
  }
}

// A pool of four workers: a task that runs for another minute is on each of the
// first three, and a gang waits for all four. The job of two small tasks has
// had nothing running since `idle_since`.
struct WaitingGang {
  GraphState state_;
  Fleet fleet_ = MakeFleet(1, 4, kNow);

  explicit WaitingGang(bool lasts) {
    StepSpec running = MakeStep(3, 1, Duration(60'000));
    running.long_running_ = lasts;
    Submit(state_, 1, {running}, {});
    for (std::uint32_t i = 0; i < 3; ++i) {
      RunTask(state_, fleet_, 1, i, "w" + std::to_string(i), kNow);
    }
    Submit(state_, 2, {MakeGang(4, 8, Duration(1000), false)}, {.slack_ = 100});
    Submit(state_, 3, {MakeStep(2, 1, Duration(1000))}, {.slack_ = 200});
  }

  PlacementPlan Plan(Time idle_since = kNow) const {
    GraphPlacementOptions options;
    options.explain_waits_ = true;
    return PlanPlacement(state_, fleet_, options,
                         [](const GraphJob&) { return kNow; }, kNow, {},
                         {{MakeKey(3), idle_since}});
  }
};

// Guards against small jobs that never start beside a gang that waits for tasks
// that last.
TEST_CASE("a gang holds no room while tasks that last are in its way") {
  CHECK_EQ(WaitingGang(true).Plan().open_.size(), 2);
}

// Guards against jobs that stand still in a pool that is mostly idle.
TEST_CASE("an idle job uses held room once it has waited for too long") {
  const Duration wait = GraphPlacementOptions().max_kept_wait_;
  WaitingGang pool(false);
  SUBCASE("not before") {
    const PlacementPlan plan = pool.Plan(kNow - wait + Duration(1));
    CHECK(plan.open_.empty());
    CHECK_EQ(plan.waits_.at(MakeKey(2)), UnitWait::kNoRoom);
    CHECK_EQ(plan.waits_.at(MakeKey(3)), UnitWait::kRoomKept);
  }
  SUBCASE("one task, as the rest is held") {
    const PlacementPlan plan = pool.Plan(kNow - wait);
    REQUIRE_EQ(plan.open_.size(), 1);
    CHECK_EQ(plan.open_[0].attempt_.task_.job_, MakeKey(3));
  }
  SUBCASE("not in a busy pool") {
    Submit(pool.state_, 4, {MakeStep(3, 5, Duration(60'000))}, {});
    for (std::uint32_t i = 0; i < 3; ++i) {
      RunTask(pool.state_, pool.fleet_, 4, i, "w" + std::to_string(i), kNow);
    }
    CHECK(pool.Plan(kNow - wait).open_.empty());
  }
  SUBCASE("not the last of the room") {
    pool.state_.jobs_.at(MakeKey(3)).spec_.steps_[0].need_.accelerators_ = 8;
    CHECK(pool.Plan(kNow - wait).open_.empty());
  }
}

// Guards against a lasting task that stays down while gangs wait for room.
TEST_CASE("a task that lasts is started again beside gangs that wait") {
  GraphState state;
  Fleet fleet = MakeFleet(1, 2, kNow);
  Submit(state, 1, {MakeStep(2, 5, Duration(3000))}, {});
  RunTask(state, fleet, 1, 0, "w0", kNow);
  RunTask(state, fleet, 1, 1, "w1", kNow);
  Submit(state, 2, {MakeGang(2, 5, Duration(3000), false)}, {.slack_ = 100});
  StepSpec lasting = MakeStep(1, 1, Duration(100));
  lasting.long_running_ = true;
  Submit(state, 3, {lasting}, {.priority_ = 2});
  // Long after six times the time that a job of this length has.
  const Time queued_at = kNow - Duration(60'000);
  CHECK(Plan(state, fleet, queued_at).open_.empty());
  StepOf(state, 3).tasks_[0].attempt_ = AttemptId(1);
  CHECK_EQ(JobsOf(Plan(state, fleet, queued_at)),
           std::set<std::string>{MakeKey(3).value()});
}

TEST_CASE("a task that lasts is never too late") {
  GraphState state;
  const Fleet fleet = MakeFleet(1, 1, kNow);
  StepSpec lasting = MakeStep(1, 8, Duration(100));
  lasting.long_running_ = true;
  Submit(state, 1, {lasting}, {});
  Submit(state, 2, {MakeStep(1, 8, Duration(60'000))}, {});
  CHECK_EQ(JobsOf(Plan(state, fleet, kNow - Duration(30'000))),
           std::set<std::string>{MakeKey(1).value()});
}

TEST_CASE("small tasks leave whole workers free") {
  GraphState state;
  Fleet fleet = MakeFleet(1, 2, kNow);
  Submit(state, 1, {MakeStep(1, 4, Duration(1000))}, {});
  RunTask(state, fleet, 1, 0, "w1", kNow);
  Submit(state, 2, {MakeStep(1, 1, Duration(1000))}, {});
  const PlacementPlan plan = Plan(state, fleet);
  REQUIRE_EQ(plan.open_.size(), 1);
  CHECK_EQ(plan.open_[0].worker_, WorkerId("w1"));
}

TEST_CASE("workers that are draining, unresponsive or avoided get no tasks") {
  GraphState state;
  Submit(state, 1, {MakeStep(1, 1, Duration(1000))}, {});
  Fleet fleet = MakeFleet(1, 1, kNow);
  FleetWorker& worker = fleet.begin()->second;
  REQUIRE_EQ(Plan(state, fleet).open_.size(), 1);
  SUBCASE("draining") { worker.report_.draining_ = true; }
  SUBCASE("no recent message") {
    worker.last_heard_at_ = kNow - Duration(10000);
  }
  SUBCASE("not answering") { worker.unanswered_calls_ = kMaxUnansweredCalls; }
  SUBCASE("avoided") { worker.avoid_until_ = kNow + Duration(1); }
  SUBCASE("not polled yet") { worker.answered_poll_ = false; }
  SUBCASE("another pool") { worker.report_.pool_ = PoolName("other"); }
  CHECK(Plan(state, fleet).open_.empty());
}

void SetPace(Fleet& fleet, const std::string& worker, double log_pace) {
  fleet.at(WorkerId(worker)).pace_ = {
      .log_pace_ = log_pace, .samples_ = 5, .last_sample_at_ = kNow};
}

// Urgent gangs have slack of half of their work's length, and a third of the
// workers is 1.3 times as slow.
TEST_CASE("urgent gangs get workers of full pace") {
  GraphState state;
  Fleet fleet = MakeFleet(1, 5, kNow);
  for (const char* worker : {"w2", "w3", "w4"}) SetPace(fleet, worker, 0);
  for (const char* worker : {"w0", "w1"}) SetPace(fleet, worker, -0.26);
  Submit(state, 1, {MakeGang(2, 8, Duration(1000), true)}, {.priority_ = 0});
  const PlacementPlan plan = Plan(state, fleet);
  REQUIRE_EQ(plan.open_.size(), 2);
  for (const OpenedAttempt& opened : plan.open_) {
    CHECK_GE(opened.worker_, WorkerId("w2"));
  }
}

// After an evacuation a third of the pool comes back cold.
TEST_CASE("gangs get warm workers, and other tasks leave these to them") {
  GraphState state;
  Fleet fleet = MakeFleet(1, 3, kNow);
  fleet.at(WorkerId("w0")).warm_at_ = kNow + Duration(1);
  fleet.at(WorkerId("w1")).warm_at_ = kNow;
  std::uint32_t priority = 1;
  SUBCASE("an urgent gang") { priority = 0; }
  SUBCASE("another gang") {}
  Submit(state, 1, {MakeGang(2, 8, Duration(1000), true)},
         {.priority_ = priority});
  Submit(state, 2, {MakeStep(1, 8, Duration(1000))}, {.priority_ = 1});
  const PlacementPlan plan = Plan(state, fleet);
  REQUIRE_EQ(plan.open_.size(), 3);
  for (const OpenedAttempt& opened : plan.open_) {
    const bool gang = opened.attempt_.task_.job_ == MakeKey(1);
    CHECK_EQ(gang, opened.worker_ != WorkerId("w0"));
  }
}

TEST_CASE("an urgent gang starts on cold workers when no others have room") {
  GraphState state;
  Fleet fleet = MakeFleet(1, 2, kNow);
  for (auto& [id, worker] : fleet) worker.warm_at_ = kNow + Duration(5000);
  Submit(state, 1, {MakeGang(2, 8, Duration(1000), true)}, {.priority_ = 0});
  CHECK_EQ(Plan(state, fleet).open_.size(), 2);
}

// Makes a pool of one rack, a third each of whose workers is `factor` times as
// slow (w0, w3, ..), typical (w1, ..) and `factor` times as fast (w2, ..).
Fleet MakeUnevenFleet(double factor) {
  Fleet fleet = MakeFleet(1, 15, kNow);
  for (int i = 0; i < 15; ++i) {
    fleet.at(WorkerId("w" + std::to_string(i))).speed_ = {
        (i % 3 - 1) * std::log(factor), 0.01, kNow};
  }
  return fleet;
}

// Returns how many tasks were placed on slow, typical and fast workers.
std::array<int, 3> CountBySpeed(const PlacementPlan& plan) {
  std::array<int, 3> counts{};
  for (const OpenedAttempt& opened : plan.open_) {
    const int worker = std::stoi(opened.worker_.value().substr(1));
    ++counts.at(static_cast<std::size_t>(worker % 3));
  }
  return counts;
}

// A third each of the workers is 0.6, 1 and 1.6 times as fast.
TEST_CASE("urgent gangs get fast workers, work with much slack slow ones") {
  GraphState state;
  const Fleet fleet = MakeUnevenFleet(1.6);
  StepSpec gang = MakeGang(4, 8, Duration(2000), true);
  SUBCASE("urgent") {
    Submit(state, 1, {gang}, {.priority_ = 0});
    CHECK_EQ(CountBySpeed(Plan(state, fleet)), std::array{0, 0, 4});
  }
  SUBCASE("much slack") {
    Submit(state, 1, {gang}, {.priority_ = 1, .slack_ = 4});
    CHECK_EQ(CountBySpeed(Plan(state, fleet)), std::array{4, 0, 0});
  }
  SUBCASE("little slack") {
    Submit(state, 1, {gang}, {.priority_ = 1, .slack_ = 1.8});
    CHECK_EQ(CountBySpeed(Plan(state, fleet)), std::array{0, 4, 0});
  }
  SUBCASE("no worker is left idle") {
    Submit(state, 1, {MakeStep(15, 8, Duration(2000))}, {.slack_ = 4});
    CHECK_EQ(CountBySpeed(Plan(state, fleet)), std::array{5, 5, 5});
  }
}

std::vector<WorkerId> WorkersOf(const PlacementPlan& plan) {
  std::vector<WorkerId> workers;
  for (const OpenedAttempt& opened : plan.open_) {
    workers.push_back(opened.worker_);
  }
  return workers;
}

TEST_CASE("the plan ignores speeds that don't differ widely") {
  for (const std::uint32_t priority : {0U, 1U}) {
    GraphState state;
    Submit(state, 1, {MakeGang(4, 3, Duration(2000), true)},
           {.priority_ = priority, .slack_ = 4});
    Submit(state, 2, {MakeStep(9, 1, Duration(2000))},
           {.priority_ = priority, .slack_ = 4});
    const PlacementPlan equal = Plan(state, MakeUnevenFleet(1));
    CHECK_EQ(WorkersOf(Plan(state, MakeUnevenFleet(1.25))), WorkersOf(equal));
    CHECK_EQ(WorkersOf(Plan(state, MakeFleet(1, 15, kNow))), WorkersOf(equal));
    CHECK_NE(WorkersOf(Plan(state, MakeUnevenFleet(1.6))), WorkersOf(equal));
  }
}

TEST_CASE("a worker on which tasks hardly progress gets no tasks") {
  GraphState state;
  Fleet fleet = MakeFleet(1, 5, kNow);
  for (int i = 0; i < 5; ++i) {
    SetPace(fleet, "w" + std::to_string(i), i == 0 ? -2 : 0);
  }
  Submit(state, 1, {MakeStep(5, 8, Duration(1000))}, {});
  const PlacementPlan plan = Plan(state, fleet);
  CHECK_EQ(plan.open_.size(), 4);
  for (const OpenedAttempt& opened : plan.open_) {
    CHECK_NE(opened.worker_, WorkerId("w0"));
  }
}

TEST_CASE("paces are compared only within a pool") {
  GraphState state;
  Fleet fleet = MakeFleet(1, 9, kNow);
  for (int i = 0; i < 9; ++i) {
    const std::string worker = "w" + std::to_string(i);
    SetPace(fleet, worker, i < 2 ? -2 : 0);
    if (i >= 2) fleet.at(WorkerId(worker)).report_.pool_ = PoolName("other");
  }
  Submit(state, 1, {MakeStep(2, 8, Duration(1000))}, {});
  CHECK_EQ(Plan(state, fleet).open_.size(), 2);
}

TEST_CASE("labels and the limit per worker are respected") {
  GraphState state;
  Fleet fleet = MakeFleet(1, 2, kNow);
  fleet.at(WorkerId("w1")).report_.labels_ = {"b", "r0"};
  StepSpec step = MakeStep(4, 1, Duration(1000));
  step.label_ = "b";
  step.max_per_worker_ = 2;
  Submit(state, 1, {step}, {});
  const PlacementPlan plan = Plan(state, fleet);
  REQUIRE_EQ(plan.open_.size(), 2);
  CHECK_EQ(plan.open_[0].worker_, WorkerId("w1"));
  CHECK_EQ(plan.open_[1].worker_, WorkerId("w1"));
}

// Guards against an accepted job that never starts on idle workers, as
// thousands of tasks wait for the only worker of their kind.
TEST_CASE("what waits for one worker keeps no other task waiting") {
  constexpr std::uint64_t kOther = 100;
  GraphState state;
  Fleet fleet = MakeFleet(2, 4, kNow);
  fleet.at(WorkerId("w0")).report_.labels_ = {"b", "r0"};
  StepSpec step = MakeStep(64, 1, Duration(6100));
  JobOptions options;
  SUBCASE("single tasks") {}
  SUBCASE("single tasks, one of a step on a worker") {
    step.max_per_worker_ = 1;
  }
  SUBCASE("urgent tasks") { options.priority_ = 0; }
  SUBCASE("gangs") { step = MakeGang(64, 1, Duration(6100), false); }
  SUBCASE("gangs that want one rack") {
    step = MakeGang(64, 1, Duration(6100), true);
  }
  SUBCASE("tasks that last") { step.long_running_ = true; }
  step.label_ = "b";
  for (std::uint64_t job = 1; job <= 40; ++job) {
    Submit(state, job, {step}, options);
  }
  Submit(state, kOther, {MakeStep(1, 1, Duration(500))}, {.priority_ = 2});
  CHECK(JobsOf(Plan(state, fleet)).contains(MakeKey(kOther).value()));
}

// A record of starts must not grow with the room.
TEST_CASE("a pass starts a limited number of tasks") {
  GraphState state;
  const Fleet fleet = MakeFleet(50, 8, kNow);
  for (std::uint64_t job = 1; job <= 50; ++job) {
    Submit(state, job, {MakeStep(64, 1, Duration(6100))}, {});
  }
  CHECK_EQ(Plan(state, fleet).open_.size(), 2000);
}

TEST_CASE("a step waits for the steps before it") {
  GraphState state;
  Fleet fleet = MakeFleet(1, 2, kNow);
  StepSpec second = MakeStep(1, 1, Duration(1000));
  second.after_ = {0};
  Submit(state, 1, {MakeStep(2, 1, Duration(1000)), second}, {});
  for (const OpenedAttempt& opened : Plan(state, fleet).open_) {
    CHECK_EQ(opened.attempt_.task_.step_, StepIndex(0));
  }
}

// An urgent task that can still wait preempts nothing, since resources may
// become free without preemption.
TEST_CASE("urgent work waits as long as its deadline allows") {
  GraphState state;
  Fleet fleet = MakeFleet(1, 1, kNow);
  Submit(state, 1, {MakeStep(1, 8, Duration(5000))}, {});
  RunTask(state, fleet, 1, 0, "w0", kNow - Duration(2000));
  Submit(state, 2, {MakeStep(1, 8, Duration(1000))}, {.priority_ = 0});
  // The deadline is 3 x 1000 + 1000 ms after submission; the work takes
  // 1000 ms.
  CHECK(Plan(state, fleet, kNow - Duration(1000)).stop_.empty());
  CHECK_EQ(Plan(state, fleet, kNow - Duration(2500)).stop_.size(), 1);
}

// Guards against starvation: small tasks of a later job would take the
// resources that a gang waits for as soon as they become free.
TEST_CASE(
    "a gang that does not fit holds the resources that become free first") {
  GraphState state;
  Fleet fleet = MakeFleet(1, 2, kNow);
  Submit(state, 1, {MakeStep(1, 8, Duration(3000))}, {});
  RunTask(state, fleet, 1, 0, "w0", kNow - Duration(2000));
  Submit(state, 2, {MakeGang(2, 8, Duration(9000), false)}, {});
  Submit(state, 3, {MakeStep(4, 1, Duration(9000))}, {.priority_ = 2});
  CHECK(Plan(state, fleet).open_.empty());
}

TEST_CASE("an urgent job preempts a less urgent one") {
  GraphState state;
  Fleet fleet = MakeFleet(1, 1, kNow);
  Submit(state, 1, {MakeStep(1, 8, Duration(5000))}, {});
  RunTask(state, fleet, 1, 0, "w0", kNow - Duration(2000));
  Submit(state, 2, {MakeStep(1, 8, Duration(1000))}, {.priority_ = 0});
  const PlacementPlan plan = Plan(state, fleet, kUrgentQueuedAt);
  CHECK(plan.open_.empty());
  CHECK_EQ(StoppedJobs(plan), std::set<std::string>{MakeKey(1).value()});
}

// A late result has too little value to lose other work for it.
TEST_CASE("an urgent job that will be late preempts only within a guarantee") {
  GraphState state;
  Fleet fleet = MakeFleet(1, 1, kNow);
  Submit(state, 1, {MakeStep(1, 8, Duration(5000))}, {});
  RunTask(state, fleet, 1, 0, "w0", kNow - Duration(2000));
  Submit(state, 2, {MakeStep(1, 8, Duration(1000))}, {.priority_ = 0});
  const Time queued_at = kNow - Duration(3500);
  CHECK(Plan(state, fleet, queued_at).stop_.empty());
  SetGuarantee(state, "acme", 8);
  CHECK_EQ(Plan(state, fleet, queued_at).stop_.size(), 1);
}

TEST_CASE(
    "a job within its customer's guarantee preempts urgent jobs beyond "
    "theirs") {
  GraphState state;
  SetGuarantee(state, "owner", 8);
  Fleet fleet = MakeFleet(1, 1, kNow);
  Submit(state, 1, {MakeStep(1, 8, Duration(5000))},
         {.priority_ = 0, .customer_ = "borrower"});
  RunTask(state, fleet, 1, 0, "w0", kNow - Duration(2000));
  Submit(state, 2, {MakeStep(1, 8, Duration(1000))},
         {.priority_ = 0, .customer_ = "owner"});
  CHECK_EQ(StoppedJobs(Plan(state, fleet, kUrgentQueuedAt)),
           std::set<std::string>{MakeKey(1).value()});
}

// The pool is full of a long gang and a single task, and an urgent task needs
// one worker. Stopping one member of the gang loses the work of the whole gang.
TEST_CASE("the least work is lost, with a gang counted as a whole") {
  GraphState state;
  Fleet fleet = MakeFleet(1, 4, kNow);
  Submit(state, 1, {MakeGang(3, 8, Duration(9000), false)}, {});
  for (int i = 0; i < 3; ++i) {
    RunTask(state, fleet, 1, i, "w" + std::to_string(i), kNow - Duration(2000));
  }
  Submit(state, 2, {MakeStep(1, 8, Duration(9000))}, {});
  RunTask(state, fleet, 2, 0, "w3", kNow - Duration(3000));
  Submit(state, 3, {MakeStep(1, 8, Duration(1000))}, {.priority_ = 0});
  CHECK_EQ(StoppedJobs(Plan(state, fleet, kUrgentQueuedAt)),
           std::set<std::string>{MakeKey(2).value()});
}

void SetAttempt(FleetWorker& worker, AttemptId attempt) {
  auto run = worker.runs_.extract(worker.runs_.begin());
  run.key().attempt_ = attempt;
  worker.runs_.insert(std::move(run));
}

// A task that is stopped whenever it has just begun would never end.
TEST_CASE("a task with several earlier attempts is stopped last") {
  GraphState state;
  Fleet fleet = MakeFleet(1, 2, kNow);
  Submit(state, 1, {MakeStep(1, 8, Duration(9000))}, {});
  RunTask(state, fleet, 1, 0, "w0", kNow - Duration(500));
  Submit(state, 2, {MakeStep(1, 8, Duration(9000))}, {});
  RunTask(state, fleet, 2, 0, "w1", kNow - Duration(5000));
  Submit(state, 3, {MakeStep(1, 8, Duration(1000))}, {.priority_ = 0});
  const auto stopped = [&] {
    return StoppedJobs(Plan(state, fleet, kUrgentQueuedAt));
  };
  CHECK_EQ(stopped(), std::set<std::string>{MakeKey(1).value()});
  SetAttempt(fleet.at(WorkerId("w0")), AttemptId(4));
  CHECK_EQ(stopped(), std::set<std::string>{MakeKey(2).value()});
  SetAttempt(fleet.at(WorkerId("w1")), AttemptId(4));
  CHECK_EQ(stopped(), std::set<std::string>{MakeKey(1).value()});
}

TEST_CASE("a gang is stopped as a whole") {
  GraphState state;
  Fleet fleet = MakeFleet(1, 2, kNow);
  Submit(state, 1, {MakeGang(2, 8, Duration(9000), false)}, {});
  RunTask(state, fleet, 1, 0, "w0", kNow - Duration(2000));
  RunTask(state, fleet, 1, 1, "w1", kNow - Duration(2000));
  Submit(state, 2, {MakeStep(1, 8, Duration(1000))}, {.priority_ = 0});
  CHECK_EQ(Plan(state, fleet, kUrgentQueuedAt).stop_.size(), 2);
}

// While the load is three times the capacity, a job that is too late to have
// any value must not take resources from one that can still be on time,
// whatever their priorities.
TEST_CASE("jobs that are too late to have any value come last") {
  GraphState state;
  Fleet fleet = MakeFleet(1, 1, kNow);
  Submit(state, 1, {MakeStep(1, 8, Duration(1000))}, {.priority_ = 1});
  Submit(state, 2, {MakeStep(1, 8, Duration(1000))}, {.priority_ = 2});
  const GraphPlacementOptions options;
  const JobQueuedAt queued_at = [](const GraphJob& job) {
    return job.key_ == MakeKey(1) ? kNow - Duration(60'000) : kNow;
  };
  const PlacementPlan plan =
      PlanPlacement(state, fleet, options, queued_at, kNow);
  CHECK_EQ(JobsOf(plan), std::set<std::string>{MakeKey(2).value()});
}

// A job within its guarantee has become too late while workers were
// disconnected. The resources that are freed for it must not go to the jobs
// that were preempted for it.
TEST_CASE("a late job within its guarantee comes before those it may preempt") {
  GraphState state;
  SetGuarantee(state, "owner", 8);
  Fleet fleet = MakeFleet(1, 1, kNow);
  Submit(state, 1, {MakeStep(1, 8, Duration(1000))}, {.priority_ = 1});
  Submit(state, 2, {MakeStep(1, 8, Duration(1000))},
         {.priority_ = 0, .customer_ = "owner"});
  const GraphPlacementOptions options;
  const JobQueuedAt queued_at = [](const GraphJob& job) {
    return job.key_ == MakeKey(2) ? kNow - Duration(60'000) : kNow;
  };
  const PlacementPlan plan =
      PlanPlacement(state, fleet, options, queued_at, kNow);
  CHECK_EQ(JobsOf(plan), std::set<std::string>{MakeKey(2).value()});
}

// One worker in each rack is busy. Spread over both racks, the gang would run
// three times as long.
TEST_CASE("an urgent gang preempts within one rack rather than spread") {
  GraphState state;
  SetGuarantee(state, "owner", 32);
  Fleet fleet = MakeFleet(2, 2, kNow);
  Submit(state, 1, {MakeStep(2, 8, Duration(9000))}, {.priority_ = 2});
  RunTask(state, fleet, 1, 0, "w0", kNow - Duration(500));
  RunTask(state, fleet, 1, 1, "w2", kNow - Duration(500));
  Submit(state, 2, {MakeGang(2, 8, Duration(2500), true)},
         {.priority_ = 0, .customer_ = "owner"});
  const PlacementPlan plan = Plan(state, fleet, kNow - Duration(1500));
  CHECK(plan.open_.empty());
  CHECK_EQ(plan.stop_.size(), 1);
}

// After workers were removed, no rack has enough idle workers left for the
// gang, while most of the pool is idle.
TEST_CASE("a gang spreads over racks after waiting for a single rack") {
  GraphState state;
  Fleet fleet = MakeFleet(2, 3, kNow);
  Submit(state, 1, {MakeStep(2, 1, Duration(9000))}, {});
  RunTask(state, fleet, 1, 0, "w0", kNow);
  RunTask(state, fleet, 1, 1, "w3", kNow);
  Submit(state, 2, {MakeGang(3, 8, Duration(9000), true)}, {});
  CHECK(Plan(state, fleet, kNow - Duration(500)).open_.empty());
  CHECK_EQ(Plan(state, fleet, kNow - Duration(2500)).open_.size(), 3);
}

// Two of three racks have one idle worker each. A job that has not begun may
// have to spread to get its guarantee in time; one that was stopped since would
// run three times as long.
TEST_CASE("a gang that has begun waits for a rack rather than spread") {
  GraphState state;
  SetGuarantee(state, "owner", 48);
  Fleet fleet = MakeFleet(3, 2, kNow);
  Submit(state, 1, {MakeGang(2, 8, Duration(2500), true)},
         {.priority_ = 0, .customer_ = "owner"});
  Submit(state, 2, {MakeGang(4, 8, Duration(2500), true)},
         {.priority_ = 0, .customer_ = "owner"});
  const std::vector<std::string> busy = {"w0", "w2", "w4", "w5"};
  for (std::uint32_t i = 0; i < busy.size(); ++i) {
    RunTask(state, fleet, 2, i, busy[i], kNow - Duration(500));
  }
  const Time queued_at = kNow - Duration(2500);
  SUBCASE("not begun") {
    CHECK_EQ(Plan(state, fleet, queued_at).open_.size(), 2);
  }
  SUBCASE("stopped after its first attempt") {
    for (TaskRecord& task : StepOf(state, 1).tasks_) {
      task.attempt_ = Next(task.attempt_);
    }
    CHECK(Plan(state, fleet, queued_at).open_.empty());
  }
}

// A job within its guarantee needs a worker. The urgent run there has begun
// later than the other, so less of its work would be lost.
TEST_CASE("urgent runs are stopped only if no others can be") {
  GraphState state;
  SetGuarantee(state, "owner", 8);
  Fleet fleet = MakeFleet(1, 2, kNow);
  Submit(state, 1, {MakeStep(1, 8, Duration(9000))}, {.priority_ = 2});
  RunTask(state, fleet, 1, 0, "w0", kNow - Duration(5000));
  Submit(state, 2, {MakeStep(1, 8, Duration(2500))},
         {.priority_ = 0, .customer_ = "other"});
  RunTask(state, fleet, 2, 0, "w1", kNow - Duration(200));
  Submit(state, 3, {MakeStep(1, 8, Duration(1000))},
         {.priority_ = 0, .customer_ = "owner"});
  CHECK_EQ(StoppedJobs(Plan(state, fleet, kUrgentQueuedAt)),
           std::set<std::string>{MakeKey(1).value()});
}

// A job that was estimated at half of its length has value for twice as long.
TEST_CASE("a job is not taken for worthless by its estimate alone") {
  GraphState state;
  Fleet fleet = MakeFleet(1, 1, kNow);
  Submit(state, 1, {MakeStep(1, 8, Duration(1000))},
         {.priority_ = 0, .slack_ = 1.5});
  Submit(state, 2, {MakeStep(1, 8, Duration(1000))}, {.priority_ = 2});
  const GraphPlacementOptions options;
  const JobQueuedAt queued_at = [](const GraphJob& job) {
    return job.key_ == MakeKey(1) ? kNow - Duration(10'000) : kNow;
  };
  const PlacementPlan plan =
      PlanPlacement(state, fleet, options, queued_at, kNow);
  CHECK_EQ(JobsOf(plan), std::set<std::string>{MakeKey(1).value()});
}

// The only idle worker failed a task a moment ago; such workers are idle since
// they fail all that they start.
TEST_CASE("an urgent gang preempts rather than start on a suspect") {
  GraphState state;
  Fleet fleet = MakeFleet(1, 4, kNow);
  RecordOutcome(fleet.at(WorkerId("w3")).suspicion_, true, kNow);
  Submit(state, 1, {MakeStep(3, 8, Duration(9000))}, {.priority_ = 2});
  RunTask(state, fleet, 1, 0, "w0", kNow - Duration(500));
  RunTask(state, fleet, 1, 1, "w1", kNow - Duration(700));
  RunTask(state, fleet, 1, 2, "w2", kNow - Duration(700));
  Submit(state, 2, {MakeGang(1, 8, Duration(1000), false)}, {.priority_ = 0});
  SUBCASE("few suspects") {
    const PlacementPlan plan = Plan(state, fleet, kUrgentQueuedAt);
    CHECK(plan.open_.empty());
    REQUIRE_EQ(plan.stop_.size(), 1);
    CHECK_EQ(plan.stop_[0].worker_, WorkerId("w0"));
  }
  SUBCASE("many suspects") {
    RecordOutcome(fleet.at(WorkerId("w2")).suspicion_, true, kNow);
    CHECK_EQ(Plan(state, fleet, kUrgentQueuedAt).open_.size(), 1);
  }
}

// Three of four workers have one accelerator free each; the fourth is empty, so
// the room is kept there.
TEST_CASE("room kept for urgent jobs is used by no other job") {
  const ResourcesByPool room = {{PoolName("pool"), {.accelerators_ = 8}}};
  const auto plan = [&room](const GraphState& state, const Fleet& fleet) {
    return PlanPlacement(
        state, fleet, {}, [](const GraphJob&) { return kNow; }, kNow, room);
  };
  GraphState state;
  Fleet fleet = MakeFleet(1, 4, kNow);
  Submit(state, 1, {MakeStep(3, 7, Duration(5000))}, {});
  const int busy = 3;
  for (int i = 0; i < busy; ++i) {
    RunTask(state, fleet, 1, i, "w" + std::to_string(i), kNow);
  }
  SUBCASE("other jobs get what is left") {
    Submit(state, 2, {MakeStep(9, 1, Duration(5000))}, {.priority_ = 2});
    CHECK_EQ(plan(state, fleet).open_.size(), 3);
    CHECK_EQ(Plan(state, fleet).open_.size(), 9);
  }
  SUBCASE("an urgent job gets it") {
    Submit(state, 2, {MakeStep(1, 8, Duration(5000))}, {.priority_ = 0});
    CHECK_EQ(plan(state, fleet).open_.size(), 1);
  }
  SUBCASE("a pool that is not busy keeps none") {
    fleet.at(WorkerId("w0")) = MakeFleetWorker("w0", "r0", kNow);
    fleet.at(WorkerId("w1")) = MakeFleetWorker("w1", "r0", kNow);
    Submit(state, 2, {MakeStep(3, 8, Duration(5000))}, {.priority_ = 2});
    CHECK_EQ(plan(state, fleet).open_.size(), 3);
  }
}

TEST_CASE("CouldEverRun is false only if a job does not fit on empty workers") {
  const Fleet fleet = MakeFleet(1, 2, kNow);
  GraphSpec spec;
  spec.steps_ = {MakeGang(2, 8, Duration(1000), false)};
  CHECK(CouldEverRun(spec, PoolName("pool"), fleet));
  CHECK_FALSE(CouldEverRun(spec, PoolName("other"), fleet));
  spec.steps_ = {MakeGang(3, 8, Duration(1000), false)};
  CHECK_FALSE(CouldEverRun(spec, PoolName("pool"), fleet));
  spec.steps_ = {MakeStep(3, 8, Duration(1000))};
  CHECK(CouldEverRun(spec, PoolName("pool"), fleet));
  spec.steps_ = {MakeStep(1, 9, Duration(1000))};
  CHECK_FALSE(CouldEverRun(spec, PoolName("pool"), fleet));
}

TEST_CASE("a job that waits for a worker to grow again is not refused") {
  GraphState state;
  Scheduler scheduler = MakeScheduler({}, FencingToken(1), state, kNow, kNow);
  PoolWorkerReport report = MakeReport("w", "r");
  report.sequence_ = 1;
  Step(scheduler, state, report, kNow);
  report.capacity_.accelerators_ = 2;
  report.sequence_ = 2;
  Step(scheduler, state, report, kNow);
  GraphSpec spec;
  spec.steps_ = {MakeStep(1, 8, Duration(1000))};
  CHECK(CouldEverRun(spec, PoolName("pool"), scheduler.fleet_));
  spec.steps_ = {MakeStep(1, 9, Duration(1000))};
  CHECK_FALSE(CouldEverRun(spec, PoolName("pool"), scheduler.fleet_));
}

// Returns a fleet whose first three workers are silent, each with an attempt of
// job 1 that was lost there. The attempts are numbered from 1 if `several`.
Fleet LoseOnThree(GraphState& state, bool several) {
  Fleet fleet = MakeFleet(1, 6, kNow);
  OccurrenceRecord& occurrence =
      state.jobs_.at(MakeKey(1)).occurrences_.at(Occurrence());
  for (TaskRecord& task : occurrence.steps_.front().tasks_) {
    task.attempt_ = AttemptId(several ? 3 : 1);
  }
  for (std::uint64_t i = 0; i < 3; ++i) {
    const WorkerId id("w" + std::to_string(i));
    FleetWorker& worker = fleet.at(id);
    worker.unanswered_calls_ = 1;
    const AttemptRef attempt{{MakeKey(1), {}, {}, {}},
                             AttemptId(several ? i + 1 : 1)};
    NoteEnded(state.crashes_, attempt, id, worker.report_.incarnation_,
              /*lost=*/true, Time(1));
  }
  return fleet;
}

TEST_CASE("a gang that was lost once on three workers does not wait for them") {
  GraphState state;
  Submit(state, 1, {MakeGang(3, 4, Duration(1000), false)}, {});
  const Fleet fleet = LoseOnThree(state, /*several=*/false);
  CHECK_EQ(Plan(state, fleet).open_.size(), 3);
}

TEST_CASE("a task lost three times waits while it may be a deadly one") {
  GraphState state;
  Submit(state, 1, {MakeStep(1, 1, Duration(1000))}, {});
  Fleet fleet = LoseOnThree(state, /*several=*/true);
  CHECK(Plan(state, fleet).open_.empty());
  SUBCASE("one of the workers answers again") {
    fleet.at(WorkerId("w0")).unanswered_calls_ = 0;
  }
  SUBCASE("the workers don't come back") {
    for (int i = 0; i < 3; ++i) {
      FleetWorker& worker = fleet.at(WorkerId("w" + std::to_string(i)));
      worker.last_heard_at_ = kNow - kMaxRestartTime;
    }
  }
  CHECK_EQ(Plan(state, fleet).open_.size(), 1);
}

TEST_CASE("suspects of one step are placed apart where there is room") {
  GraphState state;
  Fleet fleet = MakeFleet(1, 5, kNow);
  const WorkerId lost("w0");
  ApplyRecord(state, WorkerRecord{{fleet.at(lost).report_}, {}});
  Submit(state, 1, {MakeStep(4, 1, Duration(6000))}, {});
  for (std::uint32_t task = 0; task < 4; ++task) {
    RunTask(state, fleet, 1, task, lost.value(), kNow);
  }
  ApplyRecord(state, WorkerRecord{{}, {lost}});
  EndRecord ends;
  for (const AttemptRef& attempt : state.open_on_.at(lost)) {
    ends.attempts_.push_back({attempt, AttemptEnd::kLost, {}});
  }
  ApplyRecord(state, ends);
  fleet.erase(lost);
  std::set<WorkerId> workers;
  for (const OpenedAttempt& opened : Plan(state, fleet).open_) {
    workers.insert(opened.worker_);
  }
  CHECK_EQ(workers.size(), 4);
}

// A pass that takes longer than the pause between passes leaves no time for the
// workers and the other control nodes.
TEST_CASE("a job of many dependent steps does not hold up a leader") {
  GraphState state;
  std::vector<StepSpec> steps;
  for (std::uint32_t i = 0; i < kMaxStepsPerJob; ++i) {
    StepSpec step = MakeStep(1, 1, Duration(1000));
    for (std::uint32_t j = 1; j <= 60; ++j) {
      if (i + j < kMaxStepsPerJob) step.after_.push_back(i + j);
    }
    steps.push_back(step);
  }
  for (std::uint64_t job = 1; job <= 5; ++job) Submit(state, job, steps, {});
  const Fleet fleet = MakeFleet(1, 1, kNow);
  const auto start = std::chrono::steady_clock::now();
  CHECK_EQ(Plan(state, fleet).open_.size(), 5);
  CHECK(std::chrono::steady_clock::now() - start <
        std::chrono::milliseconds(250));
}

}  // namespace
}  // namespace flamingohollow::testing
