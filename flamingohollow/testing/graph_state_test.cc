// Tests the catalog and the replicated state of graph jobs.

#include "flamingohollow/graph_state.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <cereal/types/tuple.hpp>
#include <set>
#include <tuple>

#include "flamingohollow/catalog.h"
#include "flamingohollow/graph_service.h"
#include "flamingohollow/testing/graph_fixture.h"
#include "util/pack.h"

namespace flamingohollow::testing {
namespace {

Catalog MakeCatalog(std::uint64_t version) {
  Catalog catalog;
  catalog.version_ = CatalogVersion(version);
  catalog.text_ = "text " + std::to_string(version);
  catalog.pools_ = {{PoolName("pool"), true}};
  QueueRow queue;
  queue.name_ = QueueName("short");
  queue.host_ = "h.example";
  queue.path_prefix_ = "/a/";
  queue.pool_ = PoolName("pool");
  queue.timeout_ = Duration(1000);
  catalog.queues_.push_back(queue);
  queue.name_ = QueueName("long");
  queue.path_prefix_ = "/a/b/";
  catalog.queues_.push_back(queue);
  catalog.customers_ = {{CustomerId("acme"), {"key-1", "key-2"}, 8},
                        {CustomerId("globex"), {"key-3"}, 0}};
  return catalog;
}

TEST_CASE("the host and the longest matching prefix select the queue") {
  const Catalog catalog = MakeCatalog(1);
  CHECK_EQ(FindQueue(catalog, "h.example", "/a/1")->name_, QueueName("short"));
  CHECK_EQ(FindQueue(catalog, "h.example", "/a/b/1")->name_, QueueName("long"));
  CHECK_EQ(FindQueue(catalog, "h.example", "/b/1"), nullptr);
  CHECK_EQ(FindQueue(catalog, "other", "/a/1"), nullptr);
  CHECK_EQ(FindCustomerByKey(catalog, "key-2")->name_, CustomerId("acme"));
  CHECK_EQ(FindCustomerByKey(catalog, ""), nullptr);
  CHECK_EQ(FindCustomerByKey(catalog, "key"), nullptr);
  CHECK_EQ(GuaranteeOf(catalog, CustomerId("acme")), 8);
  CHECK_EQ(GuaranteeOf(catalog, CustomerId("none")), 0);
}

TEST_CASE("each mistake of a catalog is found") {
  Catalog catalog = MakeCatalog(1);
  CHECK_FALSE(FindCatalogMistake(catalog).has_value());
  SUBCASE("no version") { catalog.version_ = CatalogVersion(); }
  SUBCASE("unknown pool") { catalog.queues_[0].pool_ = PoolName("other"); }
  SUBCASE("the same prefix twice") {
    catalog.queues_[0].path_prefix_ = "/a/b/";
  }
  SUBCASE("no timeout") { catalog.queues_[1].timeout_ = Duration(0); }
  SUBCASE("a shared key") { catalog.customers_[1].keys_ = {"key-1"}; }
  CHECK(FindCatalogMistake(catalog).has_value());
}

TEST_CASE("the highest version stays in force, with its own text") {
  GraphState state;
  ApplyRecord(state, CatalogRecord{MakeCatalog(5)});
  Catalog other = MakeCatalog(5);
  other.text_ = "other content";
  ApplyRecord(state, CatalogRecord{other});
  ApplyRecord(state, CatalogRecord{MakeCatalog(4)});
  CHECK_EQ(state.catalog_.text_, "text 5");
  ApplyRecord(state, CatalogRecord{MakeCatalog(9)});
  CHECK_EQ(state.catalog_.version_, CatalogVersion(9));
}

AttemptRef Attempt(std::uint32_t step, std::uint32_t index,
                   std::uint32_t attempt) {
  return {{MakeKey(1), Occurrence(), StepIndex(step), TaskIndex(index)},
          AttemptId(attempt)};
}

void Open(GraphState& state, const AttemptRef& attempt,
          const std::string& worker = "w") {
  ApplyRecord(state,
              OpenRecord{{{attempt, WorkerId(worker), WorkerIncarnation(1)}}});
}

void End(GraphState& state, const AttemptRef& attempt, AttemptEnd end) {
  EndRecord record;
  record.attempts_ = {{attempt, end, Checkpoint()}};
  ApplyRecord(state, record);
}

TEST_CASE("a repeated submission is one job") {
  GraphState state;
  Submit(state, 1, {MakeStep(1, 1, Duration(1))}, {});
  Open(state, Attempt(0, 0, 1));
  Submit(state, 1, {MakeStep(5, 1, Duration(1))}, {});
  CHECK_EQ(state.jobs_.size(), 1);
  CHECK_EQ(FindJob(state, MakeKey(1))->spec_.steps_[0].tasks_, 1);
  CHECK_EQ(JobStateName(*FindJob(state, MakeKey(1))), "running");
}

TEST_CASE("a job whose starts were rejected is pending") {
  GraphState state;
  Submit(state, 1, {MakeStep(1, 1, Duration(1))}, {});
  Open(state, Attempt(0, 0, 1));
  End(state, Attempt(0, 0, 1), AttemptEnd::kRejected);
  CHECK_EQ(JobStateName(*FindJob(state, MakeKey(1))), "pending");
  Open(state, Attempt(0, 0, 2));
  CHECK_EQ(JobStateName(*FindJob(state, MakeKey(1))), "running");
  // A task that was stopped had begun; a start without an answer may have.
  SUBCASE("stopped") { End(state, Attempt(0, 0, 2), AttemptEnd::kStopped); }
  SUBCASE("start without an answer") {
    End(state, Attempt(0, 0, 2), AttemptEnd::kNeverStarted);
  }
  CHECK_EQ(JobStateName(*FindJob(state, MakeKey(1))), "running");
  Open(state, Attempt(0, 0, 3));
  End(state, Attempt(0, 0, 3), AttemptEnd::kRejected);
  CHECK_EQ(JobStateName(*FindJob(state, MakeKey(1))), "running");
}

TEST_CASE("one member's end completes a gang") {
  GraphState state;
  Submit(state, 1, {MakeGang(3, 1, Duration(1), false)}, {});
  for (std::uint32_t i = 0; i < 3; ++i) Open(state, Attempt(0, i, 1));
  End(state, Attempt(0, 1, 1), AttemptEnd::kDone);
  CHECK_EQ(JobStateName(*FindJob(state, MakeKey(1))), "completed");
}

TEST_CASE("a gang's failure counts once, and the limit ends the job") {
  GraphState state;
  Submit(state, 1, {MakeGang(2, 1, Duration(1), false)}, {.max_attempts_ = 2});
  for (std::uint32_t attempt = 1; attempt <= 2; ++attempt) {
    CHECK_EQ(FindJob(state, MakeKey(1))->state_, GraphJobState::kActive);
    Open(state, Attempt(0, 0, attempt));
    Open(state, Attempt(0, 1, attempt));
    End(state, Attempt(0, 0, attempt), AttemptEnd::kFailed);
    End(state, Attempt(0, 1, attempt), AttemptEnd::kFailed);
  }
  CHECK_EQ(FindJob(state, MakeKey(1))->state_, GraphJobState::kFailed);
}

TEST_CASE("ends of attempts that are not open change nothing") {
  GraphState state;
  Submit(state, 1, {MakeStep(1, 1, Duration(1))}, {});
  End(state, Attempt(0, 0, 1), AttemptEnd::kDone);
  Open(state, Attempt(0, 0, 2));
  End(state, Attempt(0, 0, 1), AttemptEnd::kDone);
  CHECK(IsOpen(state, Attempt(0, 0, 2)));
  // An attempt is opened only if its number is higher than the last one's.
  End(state, Attempt(0, 0, 2), AttemptEnd::kStopped);
  Open(state, Attempt(0, 0, 2));
  CHECK_FALSE(IsOpen(state, Attempt(0, 0, 2)));
}

TEST_CASE("a cancelled job stays cancelled") {
  GraphState state;
  Submit(state, 1, {MakeStep(1, 1, Duration(1))}, {});
  Open(state, Attempt(0, 0, 1));
  ApplyRecord(state, CancelRecord{MakeKey(1), Time(5)});
  End(state, Attempt(0, 0, 1), AttemptEnd::kDone);
  CHECK_EQ(JobStateName(*FindJob(state, MakeKey(1))), "cancelled");
  Open(state, Attempt(0, 0, 2));
  CHECK_FALSE(IsOpen(state, Attempt(0, 0, 2)));
}

TEST_CASE("only ended jobs are forgotten") {
  GraphState state;
  Submit(state, 1, {MakeStep(1, 1, Duration(1))}, {});
  ApplyRecord(state, ForgetRecord{{MakeKey(1)}});
  CHECK_EQ(state.jobs_.size(), 1);
  ApplyRecord(state, CancelRecord{MakeKey(1), Time(5)});
  ApplyRecord(state, ForgetRecord{{MakeKey(1)}});
  CHECK(state.jobs_.empty());
}

PoolWorkerReport MakeReport(const std::string& id) {
  PoolWorkerReport report;
  report.id_ = WorkerId(id);
  report.address_ = "10.0.0.1:1";
  report.incarnation_ = WorkerIncarnation(1);
  report.sequence_ = 1;
  return report;
}

TEST_CASE("a snapshot restores the state, and a truncated one is rejected") {
  GraphState state;
  ApplyRecord(state, CatalogRecord{MakeCatalog(5)});
  Submit(state, 1, {MakeGang(2, 8, Duration(1), true)}, {});
  Open(state, Attempt(0, 0, 1));
  ApplyRecord(state, EvacuationRecord{{FailureDomain("a"), true, 0, {}}});
  ApplyRecord(state, WorkerRecord{{MakeReport("w0")}, {}});
  ApplyRecord(state, WorkerSpeedsRecord{{{WorkerId("w0"), {{}, 47, 9}}}});
  Open(state, Attempt(0, 1, 1), "w0");
  PoolWorkerReport restarted = MakeReport("w0");
  restarted.incarnation_ = WorkerIncarnation(2);
  ApplyRecord(state, WorkerRecord{{restarted}, {}});
  const std::string bytes = EncodeState(state);
  const auto copy = DecodeState(bytes);
  REQUIRE(copy.has_value());
  CHECK_EQ(EncodeState(*copy), bytes);
  CHECK_EQ(copy->catalog_.text_, "text 5");
  CHECK(IsOpen(*copy, Attempt(0, 0, 1)));
  CHECK(IsEvacuated(copy->evacuations_, FailureDomain("a")));
  CHECK_EQ(copy->worker_speeds_.at(WorkerId("w0")).centilogs_, 47);
  const TaskRef first{MakeKey(1), {}, {}, TaskIndex(0)};
  const TaskRef second{MakeKey(1), {}, {}, TaskIndex(1)};
  CHECK_EQ(SuspicionOf(copy->crashes_, first), Suspicion::kNone);
  CHECK_EQ(SuspicionOf(copy->crashes_, second), Suspicion::kWeak);
  // The first versions wrote no further parts.
  const std::size_t first_version =
      Pack(std::tie(state.catalog_, state.jobs_, state.workers_)).size();
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    const auto truncated = DecodeState(bytes.substr(0, size));
    CHECK_EQ(truncated.has_value(), size == first_version);
  }
}

TEST_CASE("the speed of a worker that left is forgotten") {
  GraphState state;
  const WorkerSpeedsRecord speeds{{{WorkerId("w0"), {{}, 47, 9}}}};
  ApplyRecord(state, speeds);
  CHECK(state.worker_speeds_.empty());
  ApplyRecord(state, WorkerRecord{{MakeReport("w0")}, {}});
  ApplyRecord(state, speeds);
  CHECK_EQ(state.worker_speeds_.size(), 1);
  SUBCASE("it is gone") {
    ApplyRecord(state, WorkerRecord{{}, {WorkerId("w0")}});
  }
  SUBCASE("another uses its address") {
    ApplyRecord(state, WorkerRecord{{MakeReport("w1")}, {}});
  }
  CHECK(state.worker_speeds_.empty());
}

TEST_CASE("only a later process shows that a worker has crashed") {
  GraphState state;
  PoolWorkerReport report = MakeReport("w0");
  report.incarnation_ = WorkerIncarnation(5);
  Submit(state, 1, {MakeStep(1, 1, Duration(1))}, {});
  ApplyRecord(state, WorkerRecord{{report}, {}});
  ApplyRecord(
      state, OpenRecord{{{Attempt(0, 0, 1), report.id_, report.incarnation_}}});
  bool crashed = false;
  SUBCASE("its next report") { report.sequence_ = 2; }
  SUBCASE("a delayed report of an earlier process at its address") {
    report = MakeReport("w1");
  }
  SUBCASE("a later process at its address") {
    report = MakeReport("w1");
    report.incarnation_ = WorkerIncarnation(6);
    crashed = true;
  }
  ApplyRecord(state, WorkerRecord{{report}, {}});
  CHECK_EQ(state.new_crashes_.size(), crashed ? 1 : 0);
}

// Opens the next attempt of the job's task on a worker, which then restarts, or
// is removed after a long silence.
void LoseWorkerUnder(GraphState& state, std::uint32_t attempt, bool confirmed,
                     bool returns) {
  const std::string id = "w" + std::to_string(attempt);
  PoolWorkerReport report = MakeReport(id);
  report.address_ = id;
  ApplyRecord(state, WorkerRecord{{report}, {}});
  Open(state, Attempt(0, 0, attempt), id);
  if (confirmed) {
    ApplyRecord(state, ConfirmedRecord{WorkerId(id), {Attempt(0, 0, attempt)}});
  }
  if (returns) {
    report.incarnation_ = WorkerIncarnation(1000 + attempt);
    ApplyRecord(state, WorkerRecord{{report}, {}});
  } else {
    ApplyRecord(state, WorkerRecord{{}, {WorkerId(id)}});
  }
  End(state, Attempt(0, 0, attempt), AttemptEnd::kLost);
}

// A start that was lost on its way has not crashed the worker.
TEST_CASE("crashes are blamed on a task that the worker had confirmed only") {
  for (const bool confirmed : {true, false}) {
    CAPTURE(confirmed);
    GraphState state;
    Submit(state, 1, {MakeStep(1, 1, Duration(1))}, {});
    for (std::uint32_t i = 1; i <= 3; ++i) {
      LoseWorkerUnder(state, i, confirmed, /*returns=*/true);
    }
    ApplyRecord(state, GiveUpRecord{{{MakeKey(1), {}, {}, {}}}});
    CHECK_EQ(FindJob(state, MakeKey(1))->state_,
             confirmed ? GraphJobState::kFailed : GraphJobState::kActive);
  }
}

// Opens the attempt of each task on a worker of its own. Some workers restart.
void LoseWorkers(GraphState& state, std::uint32_t attempt, int tasks,
                 const std::set<int>& crashed) {
  std::vector<PoolWorkerReport> reports;
  for (int task = 0; task < tasks; ++task) {
    const std::string id = fmt::format("w{}", task);
    PoolWorkerReport report = MakeReport(id);
    report.address_ = id;
    report.incarnation_ = WorkerIncarnation(attempt * 100'000);
    ApplyRecord(state, WorkerRecord{{report}, {}});
    const AttemptRef opened = Attempt(0, task, attempt);
    ApplyRecord(state, OpenRecord{{{opened, report.id_, report.incarnation_}}});
    ApplyRecord(state, ConfirmedRecord{report.id_, {opened}});
    report.incarnation_ = WorkerIncarnation(attempt * 100'000 + 50'000);
    if (crashed.contains(task)) reports.push_back(report);
  }
  for (const PoolWorkerReport& report : reports) {
    ApplyRecord(state, WorkerRecord{{report}, {}});
  }
  for (int task = 0; task < tasks; ++task) {
    End(state, Attempt(0, task, attempt), AttemptEnd::kLost);
  }
}

GiveUpRecord MakeGiveUp(int tasks) {
  GiveUpRecord record;
  for (int task = 0; task < tasks; ++task) {
    record.tasks_.push_back({MakeKey(1), {}, {}, TaskIndex(task)});
  }
  return record;
}

TEST_CASE("crashes under different members of a gang do not add up") {
  GraphState state;
  Submit(state, 1, {MakeGang(7, 8, Duration(1), false)}, {});
  for (int i = 0; i < 6; ++i) {
    LoseWorkers(state, i + 1, 7, {i});
    ApplyRecord(state, MakeGiveUp(7));
    CHECK_EQ(FindJob(state, MakeKey(1))->state_, GraphJobState::kActive);
  }
}

TEST_CASE("a member of a gang that crashes its workers is given up") {
  GraphState state;
  Submit(state, 1, {MakeGang(7, 8, Duration(1), false)}, {});
  for (int i = 0; i < 3; ++i) LoseWorkers(state, i + 1, 7, {4});
  ApplyRecord(state, MakeGiveUp(7));
  CHECK_EQ(FindJob(state, MakeKey(1))->state_, GraphJobState::kFailed);
}

// Other workers restart at about the same time, each without a task.
void AddCrashes(GraphState& state, int workers, std::int64_t restarted) {
  for (int i = 0; i < workers; ++i) {
    PoolWorkerReport report = MakeReport(fmt::format("other{}", i));
    report.address_ = fmt::format("other{}", i);
    report.incarnation_ = WorkerIncarnation(restarted - 10'000);
    ApplyRecord(state, WorkerRecord{{report}, {}});
    report.incarnation_ = WorkerIncarnation(restarted + i);
    ApplyRecord(state, WorkerRecord{{report}, {}});
  }
}

TEST_CASE("a task is not given up for crashes in waves of crashes") {
  for (const bool before : {true, false}) {
    for (const int others : {1, 4}) {
      CAPTURE(before);
      CAPTURE(others);
      GraphState state;
      Submit(state, 1, {MakeStep(1, 1, Duration(1))}, {});
      for (std::uint32_t i = 1; i <= 3; ++i) {
        const std::int64_t restarted = i * 100'000 + 50'000;
        if (before) AddCrashes(state, others, restarted);
        LoseWorkers(state, i, 1, {0});
        if (!before) AddCrashes(state, others, restarted);
      }
      ApplyRecord(state, MakeGiveUp(1));
      CHECK_EQ(FindJob(state, MakeKey(1))->state_,
               others == 1 ? GraphJobState::kFailed : GraphJobState::kActive);
    }
  }
}

// The worker of the task's next attempt crashes alone; the attempt is lost.
void CrashUnder(GraphState& state, int attempt) {
  LoseWorkers(state, static_cast<std::uint32_t>(attempt), 1, {0});
}

TEST_CASE("a task that is done is not given up") {
  GraphState state;
  Submit(state, 1, {MakeStep(2, 1, Duration(1))}, {});
  CrashUnder(state, 1);
  CrashUnder(state, 2);
  // The third crash becomes known after the fourth attempt.
  PoolWorkerReport silent = MakeReport("silent");
  silent.address_ = "silent";
  silent.incarnation_ = WorkerIncarnation(300'000);
  ApplyRecord(state, WorkerRecord{{silent}, {}});
  ApplyRecord(
      state, OpenRecord{{{Attempt(0, 0, 3), silent.id_, silent.incarnation_}}});
  ApplyRecord(state, ConfirmedRecord{silent.id_, {Attempt(0, 0, 3)}});
  EndRecord lost;
  lost.attempts_ = {{Attempt(0, 0, 3), AttemptEnd::kLost, Checkpoint()}};
  lost.ended_ = Time(320'000);
  ApplyRecord(state, lost);
  Open(state, Attempt(0, 0, 4));
  End(state, Attempt(0, 0, 4), AttemptEnd::kDone);
  silent.incarnation_ = WorkerIncarnation(325'000);
  ApplyRecord(state, WorkerRecord{{silent}, {}});
  ApplyRecord(state, MakeGiveUp(1));
  CHECK_EQ(FindJob(state, MakeKey(1))->state_, GraphJobState::kActive);
}

TEST_CASE("workers that are cut off for long are not blamed on a task") {
  GraphState state;
  Submit(state, 1, {MakeStep(1, 1, Duration(1))}, {});
  for (std::uint32_t i = 1; i <= 5; ++i) {
    LoseWorkerUnder(state, i, /*confirmed=*/true, /*returns=*/false);
  }
  CHECK_EQ(FindJob(state, MakeKey(1))->state_, GraphJobState::kActive);
}

TEST_CASE("a snapshot of the first version is read, and the other way round") {
  GraphState state;
  ApplyRecord(state, CatalogRecord{MakeCatalog(5)});
  ApplyRecord(state, EvacuationRecord{{FailureDomain("a"), true, 0, {}}});
  const std::string old =
      Pack(std::tie(state.catalog_, state.jobs_, state.workers_));
  const auto read = DecodeState(old);
  REQUIRE(read.has_value());
  CHECK_EQ(read->catalog_.text_, "text 5");
  CHECK(read->evacuations_.empty());
  CHECK(EncodeState(state).starts_with(old));
}

TEST_CASE("each mistake of a job is found") {
  GraphSpec spec;
  CHECK(FindSpecMistake(spec).has_value());
  spec.steps_ = {MakeStep(1, 1, Duration(1)), MakeStep(1, 1, Duration(1))};
  CHECK_FALSE(FindSpecMistake(spec).has_value());
  SUBCASE("no tasks") { spec.steps_[0].tasks_ = 0; }
  SUBCASE("too many tasks") { spec.steps_[0].tasks_ = kMaxTasksPerJob + 1; }
  SUBCASE("an unknown step") { spec.steps_[0].after_ = {2}; }
  SUBCASE("a cycle") {
    spec.steps_[0].after_ = {1};
    spec.steps_[1].after_ = {0};
  }
  SUBCASE("after itself") { spec.steps_[1].after_ = {1}; }
  CHECK(FindSpecMistake(spec).has_value());
}

}  // namespace
}  // namespace flamingohollow::testing
