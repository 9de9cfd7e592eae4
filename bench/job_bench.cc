// Measures the job controller at target size: 1,700 workers and 33,000 running
// tasks in gangs of up to 128.
//
// Runs in one process without a network: the benchmark feeds events to the
// controller and executes its actions at once, commands on the workers' lease
// tables. Prints one line per measurement and runs for a few seconds.
//
//   job_bench

#include <fmt/format.h>
#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <deque>
#include <functional>
#include <string>
#include <vector>

#include "flamingohollow/job.h"
#include "flamingohollow/lease_table.h"

namespace flamingohollow {
namespace {

constexpr std::size_t kWorkers = 1'700;
constexpr std::size_t kTasks = 33'000;
constexpr std::uint32_t kWorkerAccelerators = 32;
constexpr std::size_t kGangs[] = {1, 2, 4, 8, 16, 32, 64, 128};
constexpr std::size_t kMassCancelJobs = 1'000;
constexpr int kTicks = 50;

struct Setup {
  JobRecords records_;
  Table table_;
  std::vector<LeaseTable> workers_;
  std::vector<std::uint64_t> reported_sequences_;
  JobControllerPtr controller_;
  Time now_ = Time(1'000'000);
  std::uint64_t last_index_ = 0;
};

WorkerId NameOf(std::size_t worker) {
  return WorkerId(fmt::format("worker-{}", worker));
}

std::size_t IndexOf(const WorkerId& worker) {
  return std::stoul(worker.value().substr(std::string("worker-").size()));
}

double MillisecondsOf(const std::function<void()>& run) {
  const auto begin = std::chrono::steady_clock::now();
  run();
  const auto end = std::chrono::steady_clock::now();
  return std::chrono::duration<double, std::milli>(end - begin).count();
}

std::size_t HeapBytes() { return mallinfo2().uordblks; }

void AddWorkers(Setup& setup) {
  for (std::size_t i = 0; i < kWorkers; ++i) {
    LeaseTable& worker = setup.workers_.emplace_back();
    worker.incarnation_ = Incarnation(1);
    worker.accelerators_ = Accelerators(kWorkerAccelerators);
    worker.slots_ = kWorkerAccelerators;
  }
  setup.reported_sequences_.resize(kWorkers);
}

// Adds a running gang with one accelerator per task, on consecutive workers.
void AddGang(Setup& setup, std::size_t size, std::size_t first_worker) {
  const JobId job(++setup.last_index_);
  JobAccepted accepted;
  accepted.spec_.customer_ = CustomerId("customer");
  accepted.spec_.request_id_ = RequestId(fmt::format("r{}", job.value()));
  accepted.spec_.accelerators_ = Accelerators(static_cast<std::uint32_t>(size));
  accepted.spec_.idempotent_ = true;
  ApplyJobCommand(setup.records_, LogIndex(job.value()), accepted);
  JobMayRun may_run;
  may_run.job_ = job;
  may_run.attempt_ = AttemptId(1);
  for (std::size_t task = 0; task < size; ++task) {
    const std::size_t worker = (first_worker + task) % kWorkers;
    may_run.slices_.push_back(
        {NameOf(worker), Incarnation(1), Accelerators(1)});
    Lease lease;
    lease.accelerators_ = Accelerators(1);
    lease.state_ = LeaseState::kRunning;
    lease.expires_at_ = Time(2'000'000'000);
    const TaskIndex index(static_cast<std::uint32_t>(task));
    setup.workers_[worker].leases_[{job, AttemptId(1), index}] = lease;
  }
  ApplyJobCommand(setup.records_, LogIndex(++setup.last_index_), may_run);
}

std::size_t AddGangs(Setup& setup) {
  std::size_t tasks = 0;
  std::size_t gangs = 0;
  while (tasks < kTasks) {
    const std::size_t wanted = kGangs[gangs % std::size(kGangs)];
    const std::size_t size = std::min(wanted, kTasks - tasks);
    AddGang(setup, size, tasks);
    tasks += size;
    ++gangs;
  }
  return gangs;
}

WorkerReport ReportOf(const Setup& setup, std::size_t index) {
  const LeaseTable& worker = setup.workers_[index];
  WorkerReport report;
  report.worker_ = NameOf(index);
  report.incarnation_ = worker.incarnation_;
  report.sequence_ = worker.changes_ + 1;
  report.address_ = "127.0.0.1:9000";
  report.place_ = {Region("r"), FailureDomain(fmt::format("d{}", index % 5)),
                   Rack(fmt::format("k{}", index / 8))};
  report.accelerators_ = worker.accelerators_;
  report.slots_ = worker.slots_;
  report.leases_ = ReportLeases(worker);
  return report;
}

// Executes actions, and those that they cause, until none is pending. Returns
// the number of commands sent.
std::size_t ExecuteActions(Setup& setup, JobActions actions) {
  std::size_t commands = 0;
  std::deque<JobAction> pending(actions.begin(), actions.end());
  while (!pending.empty()) {
    const JobAction action = std::move(pending.front());
    pending.pop_front();
    JobActions more;
    if (const auto* propose = std::get_if<ProposeAction>(&action)) {
      const JobApplyResult result = ApplyJobCommand(
          setup.records_, LogIndex(++setup.last_index_), propose->command_);
      more = OnCommitted(*setup.controller_, propose->command_, result,
                         setup.now_);
    }
    if (const auto* send = std::get_if<SendAction>(&action)) {
      ++commands;
      const std::size_t index = IndexOf(send->command_.worker_);
      ApplyWorkerCommand(setup.workers_[index], send->command_, setup.now_);
    }
    for (JobAction& next : more) pending.push_back(std::move(next));
  }
  return commands;
}

// Returns reports of the workers whose leases changed since their last report.
std::vector<WorkerReport> ChangedReports(Setup& setup) {
  std::vector<WorkerReport> reports;
  for (std::size_t i = 0; i < kWorkers; ++i) {
    const std::uint64_t sequence = setup.workers_[i].changes_ + 1;
    if (setup.reported_sequences_[i] == sequence) continue;
    setup.reported_sequences_[i] = sequence;
    reports.push_back(ReportOf(setup, i));
  }
  return reports;
}

void MeasureReports(Setup& setup, const char* name) {
  const std::vector<WorkerReport> reports = ChangedReports(setup);
  double total = 0;
  double worst = 0;
  std::size_t commands = 0;
  for (const WorkerReport& report : reports) {
    JobActions actions;
    const double ms = MillisecondsOf([&] {
      actions = OnWorkerReport(*setup.controller_, report, setup.now_);
    });
    total += ms;
    worst = std::max(worst, ms);
    commands += ExecuteActions(setup, std::move(actions));
  }
  fmt::print("{}: {} reports, {:.1f} us each, worst {:.1f} us, {} commands\n",
             name, reports.size(),
             total * 1000 /
                 static_cast<double>(std::max<std::size_t>(reports.size(), 1)),
             worst * 1000, commands);
}

void MeasureTicks(Setup& setup, const char* name) {
  double total = 0;
  double worst = 0;
  std::size_t commands = 0;
  for (int i = 0; i < kTicks; ++i) {
    setup.now_ = setup.now_ + Duration(10);
    JobActions actions;
    const double ms = MillisecondsOf(
        [&] { actions = OnTick(*setup.controller_, setup.now_); });
    total += ms;
    worst = std::max(worst, ms);
    commands += ExecuteActions(setup, std::move(actions));
  }
  fmt::print("{}: {} ticks, {:.1f} us each, worst {:.1f} us, {} commands\n",
             name, kTicks, total * 1000 / kTicks, worst * 1000, commands);
}

void MeasureBecomeLeader(Setup& setup) {
  const std::size_t before = HeapBytes();
  const double ms = MillisecondsOf([&] {
    setup.controller_ =
        MakeJobController(JobControllerOptions(), &setup.records_, setup.table_,
                          Term(1), setup.now_);
  });
  fmt::print("become leader: {:.1f} ms, {} bytes of state\n", ms,
             HeapBytes() - before);
}

void FinishOneTaskEach(Setup& setup) {
  for (LeaseTable& worker : setup.workers_) {
    const auto lease = worker.leases_.begin();
    if (lease != worker.leases_.end()) {
      FinishTask(worker, lease->first, true, "part");
    }
  }
}

void MeasureMassCancel(Setup& setup) {
  std::vector<JobId> jobs;
  for (const auto& [id, record] : setup.records_.jobs_) {
    if (!record.end_ && jobs.size() < kMassCancelJobs) jobs.push_back(id);
  }
  double total = 0;
  double worst = 0;
  std::size_t commands = 0;
  for (const JobId job : jobs) {
    JobActions actions;
    const double ms = MillisecondsOf(
        [&] { actions = OnCancel(*setup.controller_, job, setup.now_); });
    total += ms;
    worst = std::max(worst, ms);
    commands += ExecuteActions(setup, std::move(actions));
  }
  fmt::print(
      "mass cancel: {} jobs, {:.1f} ms in all, worst {:.1f} us, {} "
      "commands\n",
      jobs.size(), total, worst * 1000, commands);
  MeasureReports(setup, "reports of stops");
  MeasureTicks(setup, "ticks after the mass cancel");
  MeasureReports(setup, "reports of releases");
  const auto ended =
      std::count_if(jobs.begin(), jobs.end(), [&setup](JobId job) {
        return setup.records_.jobs_.at(job).end_.has_value();
      });
  fmt::print("ended after the mass cancel: {} of {}\n", ended, jobs.size());
}

void Run() {
  Setup setup;
  AddWorkers(setup);
  const std::size_t empty = HeapBytes();
  const std::size_t gangs = AddGangs(setup);
  fmt::print("{} workers, {} gangs, {} tasks; {} bytes of records and leases\n",
             kWorkers, gangs, kTasks, HeapBytes() - empty);
  MeasureBecomeLeader(setup);
  const std::size_t before = HeapBytes();
  MeasureReports(setup, "first reports");
  fmt::print("state of the workers: {} bytes\n", HeapBytes() - before);
  MeasureTicks(setup, "ticks");
  FinishOneTaskEach(setup);
  MeasureReports(setup, "reports of a finished task");
  MeasureMassCancel(setup);
}

}  // namespace
}  // namespace flamingohollow

int main() {
  flamingohollow::Run();
  return 0;
}
