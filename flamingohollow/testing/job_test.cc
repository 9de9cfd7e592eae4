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

Bench MakeBench(int workers) {
  Bench bench;
  Row row;
  row.customer_ = CustomerId("c");
  row.max_borrowed_ = 1000;
  row.max_queued_ = 1000;
  row.guaranteed_ = {{2, Accelerators(8), Adjacency::kWorker}};
  bench.table_.rows_[row.customer_] = row;
  bench.table_.version_ = TableVersion(1);
  JobControllerOptions options;
  options.placement_.settling_time_ = Duration(0);
  bench.controller_ = MakeJobController(options, &bench.records_, bench.table_,
                                        Term(1), bench.now_);
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

}  // namespace
}  // namespace flamingohollow
