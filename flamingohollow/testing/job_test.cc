// Tests of the job controller with workers that answer commands at once.

#include "flamingohollow/job.h"

#include <doctest/doctest.h>

#include <deque>
#include <string>
#include <utility>
#include <vector>

#include "flamingohollow/lease_table.h"

namespace flamingohollow {
namespace {

// A leader with its log and its workers. Every action is executed at once.
struct Harness {
  JobRecords records_;
  Table table_;
  JobControllerPtr controller_;
  std::map<WorkerId, LeaseTable> workers_;
  std::uint64_t last_index_ = 0;
  Time now_ = Time(100'000);
  std::vector<WorkerCommand> sent_;
  // Commands to this worker are lost.
  WorkerId unreachable_worker_;
  // If set, proposals go to `held_proposals_` and are not committed.
  bool holds_proposals_ = false;
  std::vector<Command> held_proposals_;
};

void Execute(Harness& harness, const JobActions& actions);

WorkerReport ReportOf(const Harness& harness, const WorkerId& id) {
  const LeaseTable& worker = harness.workers_.at(id);
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

void Report(Harness& harness, const WorkerId& id) {
  Execute(harness, OnWorkerReport(*harness.controller_, ReportOf(harness, id),
                                  harness.now_));
}

void Commit(Harness& harness, const Command& command) {
  const LogIndex index(++harness.last_index_);
  const JobApplyResult result =
      ApplyJobCommand(harness.records_, index, command);
  Execute(harness,
          OnCommitted(*harness.controller_, command, result, harness.now_));
}

void Execute(Harness& harness, const JobActions& actions) {
  for (const JobAction& action : actions) {
    if (const auto* propose = std::get_if<ProposeAction>(&action)) {
      if (harness.holds_proposals_) {
        harness.held_proposals_.push_back(propose->command_);
        continue;
      }
      Commit(harness, propose->command_);
    }
    if (const auto* send = std::get_if<SendAction>(&action)) {
      const WorkerCommand& command = send->command_;
      harness.sent_.push_back(command);
      if (command.worker_ == harness.unreachable_worker_) continue;
      ApplyWorkerCommand(harness.workers_.at(command.worker_), command,
                         harness.now_);
      Report(harness, command.worker_);
    }
  }
}

void Tick(Harness& harness, Duration step = Duration(100)) {
  harness.now_ = harness.now_ + step;
  Execute(harness, OnTick(*harness.controller_, harness.now_));
}

void BecomeLeader(Harness& harness, std::uint64_t term) {
  JobControllerOptions options;
  options.placement_.settling_time_ = Duration(0);
  options.wall_at_start_ = harness.now_;
  harness.controller_ = MakeJobController(
      options, &harness.records_, harness.table_, Term(term), harness.now_);
}

Harness MakeHarness(int workers) {
  Harness harness;
  Row row;
  row.customer_ = CustomerId("c");
  row.max_borrowed_ = 1000;
  row.max_queued_ = 1000;
  row.guaranteed_ = {{2, Accelerators(8), Adjacency::kWorker}};
  harness.table_.rows_[row.customer_] = row;
  harness.table_.version_ = TableVersion(1);
  BecomeLeader(harness, 1);
  for (int i = 0; i < workers; ++i) {
    const WorkerId id("w" + std::to_string(i));
    LeaseTable worker;
    worker.incarnation_ = Incarnation(1);
    worker.accelerators_ = Accelerators(8);
    worker.slots_ = 8;
    harness.workers_[id] = worker;
    Report(harness, id);
  }
  return harness;
}

JobAccepted Accepted(const std::string& request, std::uint32_t accelerators) {
  JobAccepted accepted;
  accepted.spec_.customer_ = CustomerId("c");
  accepted.spec_.request_id_ = RequestId(request);
  accepted.spec_.accelerators_ = Accelerators(accelerators);
  return accepted;
}

JobView View(const Harness& harness, std::uint64_t job) {
  return ViewJob(*harness.controller_, JobId(job)).value();
}

void FinishAll(Harness& harness) {
  for (auto& [id, worker] : harness.workers_) {
    for (const LeaseReport& lease : ReportLeases(worker)) {
      FinishTask(worker, {lease.job_, lease.attempt_, lease.task_}, true,
                 "part of " + id.value());
    }
    Report(harness, id);
  }
}

TEST_CASE("a gang completes with all parts, and its leases are released") {
  Harness harness = MakeHarness(3);
  Commit(harness, Accepted("r", 16));
  Tick(harness);
  CHECK(View(harness, 1).outcome_ == Outcome::kRunning);
  CHECK(View(harness, 1).slices_.size() == 2);
  FinishAll(harness);
  const JobView view = View(harness, 1);
  CHECK(view.outcome_ == Outcome::kCompleted);
  CHECK(view.parts_.size() == 2);
  Tick(harness);
  for (const auto& [id, worker] : harness.workers_) {
    CHECK(worker.leases_.empty());
    CHECK(FreeAccelerators(Placement(*harness.controller_), id) ==
          Accelerators(8));
  }
  CHECK(QueuedJobs(*harness.controller_).empty());
}

int CountSent(const Harness& harness, WorkerCommandKind kind,
              const char* worker) {
  int count = 0;
  for (const WorkerCommand& command : harness.sent_) {
    if (command.kind_ == kind && command.worker_.value() == worker) ++count;
  }
  return count;
}

TEST_CASE("a part of an old attempt is not used for the next attempt") {
  Harness harness = MakeHarness(1);
  JobAccepted accepted = Accepted("r", 8);
  accepted.spec_.idempotent_ = true;
  Commit(harness, accepted);
  Tick(harness);
  const LeaseKey first{JobId(1), AttemptId(1), TaskIndex(0)};
  LeaseTable& worker = harness.workers_.at(WorkerId("w0"));
  harness.unreachable_worker_ = WorkerId("w0");
  CHECK(FinishTask(worker, first, false, "failed"));
  Report(harness, WorkerId("w0"));
  Tick(harness);
  REQUIRE(View(harness, 1).attempt_ == AttemptId(2));
  // The first attempt's lease still exists. Make its report claim an answer.
  worker.leases_.at(first).state_ = LeaseState::kFinished;
  worker.leases_.at(first).part_ = "old";
  ++worker.changes_;
  Report(harness, WorkerId("w0"));
  CHECK(View(harness, 1).outcome_ == Outcome::kPreparing);
  harness.unreachable_worker_ = WorkerId();
  Tick(harness, Duration(600));
  FinishAll(harness);
  CHECK(View(harness, 1).parts_ == std::vector<std::string>{"part of w0"});
}

TEST_CASE("a leaving worker gets no new work, not even from a new leader") {
  Harness harness = MakeHarness(2);
  harness.workers_.at(WorkerId("w0")).state_ = WorkerState::kLeaving;
  ++harness.workers_.at(WorkerId("w0")).changes_;
  Report(harness, WorkerId("w0"));
  Commit(harness, Accepted("first", 8));
  Commit(harness, Accepted("second", 8));
  Tick(harness);
  CHECK(CountSent(harness, WorkerCommandKind::kPrepare, "w0") == 0);
  CHECK(CountSent(harness, WorkerCommandKind::kPrepare, "w1") == 1);
  BecomeLeader(harness, 2);
  Report(harness, WorkerId("w0"));
  Report(harness, WorkerId("w1"));
  Tick(harness);
  CHECK(CountSent(harness, WorkerCommandKind::kPrepare, "w0") == 0);
}

EvacuationOrder Order(bool evacuate) {
  return {FailureDomain("d"), evacuate, 0, Time(1)};
}

TEST_CASE("nothing starts in an evacuated domain, also under a new leader") {
  Harness harness = MakeHarness(2);
  Commit(harness, Accepted("running", 8));
  Tick(harness);
  REQUIRE(View(harness, 1).outcome_ == Outcome::kRunning);
  Commit(harness, Order(true));
  Commit(harness, Accepted("later", 8));
  const std::uint64_t later = harness.last_index_;
  for (std::uint64_t term = 2; term <= 3; ++term) {
    for (int i = 0; i < 20; ++i) Tick(harness);
    CHECK(CountSent(harness, WorkerCommandKind::kPrepare, "w0") +
              CountSent(harness, WorkerCommandKind::kPrepare, "w1") ==
          1);
    BecomeLeader(harness, term);
    for (const char* id : {"w0", "w1"}) Report(harness, WorkerId(id));
  }
  CHECK(CountSent(harness, WorkerCommandKind::kStop, "w0") == 0);
  FinishAll(harness);
  CHECK(View(harness, 1).outcome_ == Outcome::kCompleted);
  Commit(harness, Order(false));
  Tick(harness);
  CHECK(View(harness, later).outcome_ == Outcome::kRunning);
}

TEST_CASE("a start that is committed after the order is not sent") {
  Harness harness = MakeHarness(1);
  harness.holds_proposals_ = true;
  Commit(harness, Accepted("r", 8));
  Tick(harness);
  REQUIRE(harness.held_proposals_.size() == 1);
  harness.holds_proposals_ = false;
  Commit(harness, Order(true));
  Commit(harness, harness.held_proposals_.front());
  for (int i = 0; i < 20; ++i) Tick(harness);
  CHECK(CountSent(harness, WorkerCommandKind::kStart, "w0") == 0);
  CHECK(View(harness, 1).outcome_ == Outcome::kNotRun);
}

TEST_CASE("a silent worker gets no new work") {
  Harness harness = MakeHarness(1);
  Tick(harness, Duration(2500));
  Commit(harness, Accepted("r", 8));
  Tick(harness);
  CHECK(harness.sent_.empty());
  Execute(harness,
          OnWorkersAlive(*harness.controller_, {WorkerId("w0")}, harness.now_));
  Tick(harness);
  CHECK(View(harness, 1).outcome_ == Outcome::kRunning);
}

TEST_CASE(
    "a worker with an orphaned lease gets no new work until the lease ends") {
  Harness harness = MakeHarness(1);
  WorkerCommand orphaned;
  orphaned.incarnation_ = Incarnation(1);
  orphaned.job_ = JobId(77);
  orphaned.attempt_ = AttemptId(1);
  orphaned.accelerators_ = Accelerators(8);
  orphaned.lease_ = Duration(10'000);
  ApplyWorkerCommand(harness.workers_.at(WorkerId("w0")), orphaned,
                     harness.now_);
  harness.unreachable_worker_ = WorkerId("w0");
  Report(harness, WorkerId("w0"));
  Commit(harness, Accepted("r", 8));
  Tick(harness);
  CHECK(CountSent(harness, WorkerCommandKind::kPrepare, "w0") == 0);
  CHECK(CountSent(harness, WorkerCommandKind::kStop, "w0") == 1);
  harness.unreachable_worker_ = WorkerId();
  Tick(harness, Duration(600));
  Tick(harness);
  CHECK(View(harness, 1).outcome_ == Outcome::kRunning);
}

TEST_CASE("a running job is cancelled once its tasks are stopped") {
  Harness harness = MakeHarness(2);
  Commit(harness, Accepted("r", 16));
  Tick(harness);
  harness.unreachable_worker_ = WorkerId("w0");
  Execute(harness, OnCancel(*harness.controller_, JobId(1), harness.now_));
  CHECK(View(harness, 1).outcome_ == Outcome::kRunning);
  harness.unreachable_worker_ = WorkerId();
  Tick(harness, Duration(600));
  CHECK(View(harness, 1).outcome_ == Outcome::kCancelled);
  CHECK(View(harness, 1).reason_ == "cancelled; it ran in part");
  Tick(harness);
  CHECK(harness.workers_.at(WorkerId("w0")).leases_.empty());
}

TEST_CASE("while an end is proposed, no other record is proposed") {
  Harness harness = MakeHarness(2);
  Commit(harness, Accepted("r", 16));
  Tick(harness);
  harness.holds_proposals_ = true;
  Execute(harness, OnCancel(*harness.controller_, JobId(1), harness.now_));
  REQUIRE(harness.held_proposals_.size() == 1);
  harness.workers_.at(WorkerId("w0")).incarnation_ = Incarnation(2);
  Report(harness, WorkerId("w0"));
  for (int i = 0; i < 100; ++i) Tick(harness);
  CHECK(harness.held_proposals_.size() == 4);
  for (const Command& command : harness.held_proposals_) {
    CHECK(std::get<JobEnded>(command).outcome_ == Outcome::kCancelled);
  }
}

TEST_CASE(
    "records allow one end per job and one attempt of a non-idempotent job") {
  JobRecords records;
  const auto apply = [&](std::uint64_t index, const Command& command) {
    return ApplyJobCommand(records, LogIndex(index), command).outcome_;
  };
  CHECK(apply(1, Accepted("r", 8)) == ApplyOutcome::kApplied);
  CHECK(apply(2, Accepted("r", 8)) == ApplyOutcome::kDuplicate);
  CHECK(apply(3, Accepted("r", 4)) == ApplyOutcome::kRequestIdReused);
  CHECK(apply(4, JobMayRun{JobId(1), AttemptId(1), {}, Time()}) ==
        ApplyOutcome::kApplied);
  CHECK(apply(5, JobRequeued{JobId(1), AttemptId(1), "", Time(), false}) ==
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

TEST_CASE("a new leader does not take a delayed old report for a lost lease") {
  Harness harness = MakeHarness(1);
  const WorkerReport old = ReportOf(harness, WorkerId("w0"));
  Commit(harness, Accepted("r", 8));
  Tick(harness);
  BecomeLeader(harness, 2);
  Execute(harness, OnWorkerReport(*harness.controller_, old, harness.now_));
  Tick(harness);
  CHECK(View(harness, 1).outcome_ == Outcome::kStarting);
  Report(harness, WorkerId("w0"));
  CHECK(View(harness, 1).outcome_ == Outcome::kRunning);
  // A worker that keeps reporting without the lease has lost it.
  harness.workers_.at(WorkerId("w0")).leases_.clear();
  ++harness.workers_.at(WorkerId("w0")).changes_;
  for (int i = 0; i < 101; ++i) {
    Report(harness, WorkerId("w0"));
    Tick(harness);
  }
  CHECK(View(harness, 1).outcome_ == Outcome::kUnknown);
}

TEST_CASE(
    "an ended job's accelerators stay allocated until its leases are over") {
  Harness harness = MakeHarness(2);
  Commit(harness, Accepted("r", 16));
  Tick(harness);
  harness.unreachable_worker_ = WorkerId("w0");
  harness.workers_.at(WorkerId("w1")).incarnation_ = Incarnation(2);
  harness.workers_.at(WorkerId("w1")).leases_.clear();
  Report(harness, WorkerId("w1"));
  CHECK(View(harness, 1).outcome_ == Outcome::kUnknown);
  Tick(harness);
  const PlacementState& placement = Placement(*harness.controller_);
  CHECK(FreeAccelerators(placement, WorkerId("w0")) == Accelerators(0));
  harness.unreachable_worker_ = WorkerId();
  Tick(harness, Duration(600));
  Tick(harness);
  CHECK(FreeAccelerators(placement, WorkerId("w0")) == Accelerators(8));
}

TEST_CASE("a part over the size limit fails its task") {
  Harness harness = MakeHarness(1);
  Commit(harness, Accepted("r", 8));
  Tick(harness);
  FinishTask(harness.workers_.at(WorkerId("w0")),
             {JobId(1), AttemptId(1), TaskIndex(0)}, true,
             std::string(kMaxPartBytes + 1, 'x'));
  Report(harness, WorkerId("w0"));
  CHECK(View(harness, 1).outcome_ == Outcome::kFailed);
  CHECK(View(harness, 1).parts_.empty());
}

TEST_CASE("ended jobs are kept up to a total size, also after a snapshot") {
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
      // Resets the index as if the records were restored from a snapshot.
      records.ended_.clear();
      records.ended_bytes_ = 0;
      records.ended_index_built_ = false;
    }
    ApplyJobCommand(records, LogIndex(100 + job), ended);
  }
  CHECK(records.jobs_.size() == kMaxEndedBytes / (1024 * 1024));
  CHECK(records.jobs_.begin()->first == JobId(25));
  CHECK(records.by_request_.size() == records.jobs_.size());
}

TEST_CASE("a deadline keeps running over a leader change") {
  Harness harness = MakeHarness(0);
  JobAccepted accepted = Accepted("r", 8);
  accepted.spec_.deadline_ = Duration(1000);
  accepted.at_ = harness.now_;
  Commit(harness, accepted);
  Tick(harness, Duration(600));
  BecomeLeader(harness, 2);
  Tick(harness, Duration(500));
  CHECK(View(harness, 1).outcome_ == Outcome::kNotRun);
  CHECK(View(harness, 1).retry_after_ > Duration(0));
}

// Starts the job, then restarts its worker with nothing running.
void CrashWorkerOfJob(Harness& harness) {
  Tick(harness);
  LeaseTable& worker = harness.workers_.at(WorkerId("w0"));
  REQUIRE_FALSE(worker.leases_.empty());
  worker.incarnation_ = Next(worker.incarnation_);
  worker.leases_.clear();
  Report(harness, WorkerId("w0"));
}

TEST_CASE("a job that crashes its workers is given up, whoever leads") {
  Harness harness = MakeHarness(1);
  JobAccepted accepted = Accepted("r", 8);
  accepted.spec_.idempotent_ = true;
  Commit(harness, accepted);
  const std::uint32_t limit = JobControllerOptions().max_attempts_;
  for (std::uint32_t attempt = 1; attempt <= limit; ++attempt) {
    CAPTURE(attempt);
    CrashWorkerOfJob(harness);
    if (attempt == limit) break;
    BecomeLeader(harness, 1 + attempt);
    Report(harness, WorkerId("w0"));
  }
  CHECK(View(harness, 1).outcome_ == Outcome::kFailed);
}

// Runs for a second with reports of the worker.
void RunWith(Harness& harness, const WorkerId& worker) {
  for (int i = 0; i < 10; ++i) {
    Report(harness, worker);
    Tick(harness);
  }
}

TEST_CASE("a job that is reclaimed often is not given up") {
  Harness harness = MakeHarness(1);
  const WorkerId worker("w0");
  Row borrower;
  borrower.customer_ = CustomerId("borrower");
  borrower.max_borrowed_ = 8;
  borrower.max_queued_ = 10;
  harness.table_.rows_[borrower.customer_] = borrower;
  harness.table_.rows_.at(CustomerId("c")).guaranteed_.front().count_ = 1;
  BecomeLeader(harness, 2);
  Report(harness, worker);
  JobAccepted accepted = Accepted("r", 8);
  accepted.spec_.customer_ = borrower.customer_;
  accepted.spec_.idempotent_ = true;
  Commit(harness, accepted);
  Tick(harness);
  for (std::uint64_t i = 0; i <= JobControllerOptions().max_attempts_; ++i) {
    CAPTURE(i);
    REQUIRE(View(harness, 1).outcome_ == Outcome::kRunning);
    const std::uint64_t next = harness.last_index_ + 1;
    Commit(harness, Accepted("guaranteed" + std::to_string(i), 8));
    RunWith(harness, worker);
    REQUIRE(View(harness, next).outcome_ == Outcome::kRunning);
    FinishAll(harness);
    RunWith(harness, worker);
  }
  FinishAll(harness);
  CHECK(View(harness, 1).outcome_ == Outcome::kCompleted);
}

}  // namespace
}  // namespace flamingohollow
