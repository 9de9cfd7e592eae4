// Tests of the job controller with workers that answer at once.

#include "flamingohollow/job.h"

#include <doctest/doctest.h>

#include <deque>
#include <string>
#include <utility>
#include <vector>

#include "flamingohollow/lease_table.h"

namespace flamingohollow {
namespace {

// A leader, its log and its workers; every action is carried out at once.
struct Bench {
  JobRecords records_;
  Table table_;
  JobControllerPtr controller_;
  std::map<WorkerId, LeaseTable> workers_;
  std::uint64_t last_index_ = 0;
  Time now_ = Time(100'000);
  std::vector<WorkerCommand> sent_;
  // Commands to this worker are lost.
  WorkerId cut_;
  // Proposals are kept here instead of committed.
  bool holds_ = false;
  std::vector<Command> held_;
};

void CarryOut(Bench& bench, const JobActions& actions);

WorkerReport ReportOf(const Bench& bench, const WorkerId& id) {
  const LeaseTable& worker = bench.workers_.at(id);
  WorkerReport report;
  report.worker_ = id;
  report.incarnation_ = worker.incarnation_;
  report.sequence_ = worker.changes_ + 1;
  report.place_ = {Region("r"), FailureDomain("d"), Rack("k")};
  report.accelerators_ = worker.accelerators_;
  report.slots_ = worker.slots_;
  report.state_ = worker.state_;
  report.leases_ = ReportLeases(worker);
  return report;
}

void Report(Bench& bench, const WorkerId& id) {
  CarryOut(bench,
           OnWorkerReport(*bench.controller_, ReportOf(bench, id), bench.now_));
}

void Commit(Bench& bench, const Command& command) {
  const LogIndex index(++bench.last_index_);
  const JobApplyResult result = ApplyJobCommand(bench.records_, index, command);
  CarryOut(bench, OnCommitted(*bench.controller_, command, result, bench.now_));
}

void CarryOut(Bench& bench, const JobActions& actions) {
  for (const JobAction& action : actions) {
    if (const auto* propose = std::get_if<ProposeAction>(&action)) {
      if (bench.holds_) {
        bench.held_.push_back(propose->command_);
        continue;
      }
      Commit(bench, propose->command_);
    }
    if (const auto* send = std::get_if<SendAction>(&action)) {
      const WorkerCommand& command = send->command_;
      bench.sent_.push_back(command);
      if (command.worker_ == bench.cut_) continue;
      ApplyWorkerCommand(bench.workers_.at(command.worker_), command,
                         bench.now_);
      Report(bench, command.worker_);
    }
  }
}

void Tick(Bench& bench, Duration step = Duration(100)) {
  bench.now_ = bench.now_ + step;
  CarryOut(bench, OnTick(*bench.controller_, bench.now_));
}

void TakeOffice(Bench& bench, std::uint64_t term) {
  JobControllerOptions options;
  options.placement_.settling_time_ = Duration(0);
  options.wall_at_start_ = bench.now_;
  bench.controller_ = MakeJobController(options, &bench.records_, bench.table_,
                                        Term(term), bench.now_);
}

Bench MakeBench(int workers) {
  Bench bench;
  Row row;
  row.customer_ = CustomerId("c");
  row.max_borrowed_ = 1000;
  row.max_queued_ = 1000;
  row.guaranteed_ = {{2, Accelerators(8), Adjacency::kWorker}};
  bench.table_.rows_[row.customer_] = row;
  bench.table_.version_ = TableVersion(1);
  TakeOffice(bench, 1);
  for (int i = 0; i < workers; ++i) {
    const WorkerId id("w" + std::to_string(i));
    LeaseTable worker;
    worker.incarnation_ = Incarnation(1);
    worker.accelerators_ = Accelerators(8);
    worker.slots_ = 8;
    bench.workers_[id] = worker;
    Report(bench, id);
  }
  return bench;
}

JobAccepted Accepted(const std::string& request, std::uint32_t accelerators) {
  JobAccepted accepted;
  accepted.spec_.customer_ = CustomerId("c");
  accepted.spec_.request_id_ = RequestId(request);
  accepted.spec_.accelerators_ = Accelerators(accelerators);
  return accepted;
}

JobView View(const Bench& bench, std::uint64_t job) {
  return ViewJob(*bench.controller_, JobId(job)).value();
}

void FinishAll(Bench& bench) {
  for (auto& [id, worker] : bench.workers_) {
    for (const LeaseReport& lease : ReportLeases(worker)) {
      FinishTask(worker, {lease.job_, lease.attempt_, lease.task_}, true,
                 "part of " + id.value());
    }
    Report(bench, id);
  }
}

TEST_CASE("a gang runs to its whole answer, and its leases are released") {
  Bench bench = MakeBench(3);
  Commit(bench, Accepted("r", 16));
  Tick(bench);
  CHECK(View(bench, 1).outcome_ == Outcome::kRunning);
  CHECK(View(bench, 1).slices_.size() == 2);
  FinishAll(bench);
  const JobView view = View(bench, 1);
  CHECK(view.outcome_ == Outcome::kCompleted);
  CHECK(view.parts_.size() == 2);
  Tick(bench);
  for (const auto& [id, worker] : bench.workers_) {
    CHECK(worker.leases_.empty());
    CHECK(FreeAccelerators(Placement(*bench.controller_), id) ==
          Accelerators(8));
  }
  CHECK(QueuedJobs(*bench.controller_).empty());
}

int CountSent(const Bench& bench, WorkerCommandKind kind, const char* worker) {
  int count = 0;
  for (const WorkerCommand& command : bench.sent_) {
    if (command.kind_ == kind && command.worker_.value() == worker) ++count;
  }
  return count;
}

TEST_CASE("an old attempt's part never counts for the next attempt") {
  Bench bench = MakeBench(1);
  JobAccepted accepted = Accepted("r", 8);
  accepted.spec_.idempotent_ = true;
  Commit(bench, accepted);
  Tick(bench);
  const LeaseKey first{JobId(1), AttemptId(1), TaskIndex(0)};
  LeaseTable& worker = bench.workers_.at(WorkerId("w0"));
  bench.cut_ = WorkerId("w0");
  CHECK(FinishTask(worker, first, false, "failed"));
  Report(bench, WorkerId("w0"));
  Tick(bench);
  REQUIRE(View(bench, 1).attempt_ == AttemptId(2));
  // The first attempt's lease is still there, and now even claims an answer.
  worker.leases_.at(first).state_ = LeaseState::kFinished;
  worker.leases_.at(first).part_ = "old";
  ++worker.changes_;
  Report(bench, WorkerId("w0"));
  CHECK(View(bench, 1).outcome_ == Outcome::kPreparing);
  bench.cut_ = WorkerId();
  Tick(bench, Duration(600));
  FinishAll(bench);
  CHECK(View(bench, 1).parts_ == std::vector<std::string>{"part of w0"});
}

TEST_CASE("a leaving worker gets no new work, also from a new leader") {
  Bench bench = MakeBench(2);
  bench.workers_.at(WorkerId("w0")).state_ = WorkerState::kLeaving;
  ++bench.workers_.at(WorkerId("w0")).changes_;
  Report(bench, WorkerId("w0"));
  Commit(bench, Accepted("first", 8));
  Commit(bench, Accepted("second", 8));
  Tick(bench);
  CHECK(CountSent(bench, WorkerCommandKind::kPrepare, "w0") == 0);
  CHECK(CountSent(bench, WorkerCommandKind::kPrepare, "w1") == 1);
  TakeOffice(bench, 2);
  Report(bench, WorkerId("w0"));
  Report(bench, WorkerId("w1"));
  Tick(bench);
  CHECK(CountSent(bench, WorkerCommandKind::kPrepare, "w0") == 0);
}

TEST_CASE("a silent worker gets no new work") {
  Bench bench = MakeBench(1);
  Tick(bench, Duration(2500));
  Commit(bench, Accepted("r", 8));
  Tick(bench);
  CHECK(bench.sent_.empty());
  CarryOut(bench,
           OnWorkersAlive(*bench.controller_, {WorkerId("w0")}, bench.now_));
  Tick(bench);
  CHECK(View(bench, 1).outcome_ == Outcome::kRunning);
}

TEST_CASE(
    "a worker with a lease that nobody wants takes no work until it ends") {
  Bench bench = MakeBench(1);
  WorkerCommand stray;
  stray.incarnation_ = Incarnation(1);
  stray.job_ = JobId(77);
  stray.attempt_ = AttemptId(1);
  stray.accelerators_ = Accelerators(8);
  stray.lease_ = Duration(10'000);
  ApplyWorkerCommand(bench.workers_.at(WorkerId("w0")), stray, bench.now_);
  bench.cut_ = WorkerId("w0");
  Report(bench, WorkerId("w0"));
  Commit(bench, Accepted("r", 8));
  Tick(bench);
  CHECK(CountSent(bench, WorkerCommandKind::kPrepare, "w0") == 0);
  CHECK(CountSent(bench, WorkerCommandKind::kStop, "w0") == 1);
  bench.cut_ = WorkerId();
  Tick(bench, Duration(600));
  Tick(bench);
  CHECK(View(bench, 1).outcome_ == Outcome::kRunning);
}

TEST_CASE("a running job is cancelled once its tasks are stopped") {
  Bench bench = MakeBench(2);
  Commit(bench, Accepted("r", 16));
  Tick(bench);
  bench.cut_ = WorkerId("w0");
  CarryOut(bench, OnCancel(*bench.controller_, JobId(1), bench.now_));
  CHECK(View(bench, 1).outcome_ == Outcome::kRunning);
  bench.cut_ = WorkerId();
  Tick(bench, Duration(600));
  CHECK(View(bench, 1).outcome_ == Outcome::kCancelled);
  CHECK(View(bench, 1).reason_ == "cancelled; it ran in part");
  Tick(bench);
  CHECK(bench.workers_.at(WorkerId("w0")).leases_.empty());
}

TEST_CASE("while an end is proposed, nothing else is") {
  Bench bench = MakeBench(2);
  Commit(bench, Accepted("r", 16));
  Tick(bench);
  bench.holds_ = true;
  CarryOut(bench, OnCancel(*bench.controller_, JobId(1), bench.now_));
  REQUIRE(bench.held_.size() == 1);
  bench.workers_.at(WorkerId("w0")).incarnation_ = Incarnation(2);
  Report(bench, WorkerId("w0"));
  for (int i = 0; i < 100; ++i) Tick(bench);
  CHECK(bench.held_.size() == 4);
  for (const Command& command : bench.held_) {
    CHECK(std::get<JobEnded>(command).outcome_ == Outcome::kCancelled);
  }
}

TEST_CASE("records keep one end, and one run of non-idempotent work") {
  JobRecords records;
  const auto apply = [&](std::uint64_t index, const Command& command) {
    return ApplyJobCommand(records, LogIndex(index), command).outcome_;
  };
  CHECK(apply(1, Accepted("r", 8)) == ApplyOutcome::kApplied);
  CHECK(apply(2, Accepted("r", 8)) == ApplyOutcome::kDuplicate);
  CHECK(apply(3, Accepted("r", 4)) == ApplyOutcome::kRequestIdReused);
  CHECK(apply(4, JobMayRun{JobId(1), AttemptId(1), {}, Time()}) ==
        ApplyOutcome::kApplied);
  CHECK(apply(5, JobRequeued{JobId(1), AttemptId(1), "", Time()}) ==
        ApplyOutcome::kIgnored);
  records.jobs_.at(JobId(1)).may_be_running_ = false;
  CHECK(apply(6, JobMayRun{JobId(1), AttemptId(2), {}, Time()}) ==
        ApplyOutcome::kIgnored);
  JobEnded ended;
  ended.job_ = JobId(1);
  CHECK(apply(7, ended) == ApplyOutcome::kApplied);
  ended.outcome_ = Outcome::kNotRun;
  CHECK(apply(8, ended) == ApplyOutcome::kIgnored);
  CHECK(ViewRecord(records, JobId(1))->outcome_ == Outcome::kUnknown);
}

TEST_CASE("a new leader takes no held-back report for a lost lease") {
  Bench bench = MakeBench(1);
  const WorkerReport old = ReportOf(bench, WorkerId("w0"));
  Commit(bench, Accepted("r", 8));
  Tick(bench);
  TakeOffice(bench, 2);
  CarryOut(bench, OnWorkerReport(*bench.controller_, old, bench.now_));
  Tick(bench);
  CHECK(View(bench, 1).outcome_ == Outcome::kStarting);
  Report(bench, WorkerId("w0"));
  CHECK(View(bench, 1).outcome_ == Outcome::kRunning);
  // A worker that goes on without the lease has lost it.
  bench.workers_.at(WorkerId("w0")).leases_.clear();
  ++bench.workers_.at(WorkerId("w0")).changes_;
  for (int i = 0; i < 101; ++i) {
    Report(bench, WorkerId("w0"));
    Tick(bench);
  }
  CHECK(View(bench, 1).outcome_ == Outcome::kUnknown);
}

TEST_CASE("an ended job's accelerators stay taken until its leases are over") {
  Bench bench = MakeBench(2);
  Commit(bench, Accepted("r", 16));
  Tick(bench);
  bench.cut_ = WorkerId("w0");
  bench.workers_.at(WorkerId("w1")).incarnation_ = Incarnation(2);
  bench.workers_.at(WorkerId("w1")).leases_.clear();
  Report(bench, WorkerId("w1"));
  CHECK(View(bench, 1).outcome_ == Outcome::kUnknown);
  Tick(bench);
  const PlacementState& placement = Placement(*bench.controller_);
  CHECK(FreeAccelerators(placement, WorkerId("w0")) == Accelerators(0));
  bench.cut_ = WorkerId();
  Tick(bench, Duration(600));
  Tick(bench);
  CHECK(FreeAccelerators(placement, WorkerId("w0")) == Accelerators(8));
}

TEST_CASE("a part over the limit fails its task, whole") {
  Bench bench = MakeBench(1);
  Commit(bench, Accepted("r", 8));
  Tick(bench);
  FinishTask(bench.workers_.at(WorkerId("w0")),
             {JobId(1), AttemptId(1), TaskIndex(0)}, true,
             std::string(kMaxPartBytes + 1, 'x'));
  Report(bench, WorkerId("w0"));
  CHECK(View(bench, 1).outcome_ == Outcome::kFailed);
  CHECK(View(bench, 1).parts_.empty());
}

TEST_CASE("ended jobs are kept within a size, with or without a snapshot") {
  JobRecords records;
  constexpr std::uint64_t kJobs = 40;
  for (std::uint64_t job = 1; job <= kJobs; ++job) {
    ApplyJobCommand(records, LogIndex(job),
                    Accepted("r" + std::to_string(job), 8));
    JobEnded ended;
    ended.job_ = JobId(job);
    ended.outcome_ = Outcome::kCompleted;
    ended.parts_ = {std::string(1024 * 1024, 'x')};
    ended.at_ = Time(static_cast<std::int64_t>(job));
    if (job == kJobs / 2) {
      // As if restored from a snapshot.
      records.ended_.clear();
      records.ended_bytes_ = 0;
      records.ended_known_ = false;
    }
    ApplyJobCommand(records, LogIndex(100 + job), ended);
  }
  CHECK(records.jobs_.size() == kKeptEndedBytes / (1024 * 1024));
  CHECK(records.jobs_.begin()->first == JobId(25));
  CHECK(records.by_request_.size() == records.jobs_.size());
}

TEST_CASE("a deadline counts on over a leader change") {
  Bench bench = MakeBench(0);
  JobAccepted accepted = Accepted("r", 8);
  accepted.spec_.deadline_ = Duration(1000);
  accepted.at_ = bench.now_;
  Commit(bench, accepted);
  Tick(bench, Duration(600));
  TakeOffice(bench, 2);
  Tick(bench, Duration(500));
  CHECK(View(bench, 1).outcome_ == Outcome::kNotRun);
  CHECK(View(bench, 1).retry_after_ > Duration(0));
}

}  // namespace
}  // namespace flamingohollow
