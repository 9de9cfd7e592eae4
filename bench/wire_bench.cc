// Prints how many bytes records and messages take as they grow, with the
// least-squares slope of each. The same in every run.
//
//   wire_bench

#include <fmt/format.h>

#include <cmath>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "flamingohollow/codec.h"
#include "flamingohollow/worker_json.h"

namespace flamingohollow::bench {
namespace {

WorkerReport Report(int leases) {
  WorkerReport report;
  report.worker_ = WorkerId("worker-1234");
  report.incarnation_ = Incarnation(1796337447274);
  report.sequence_ = 1000;
  report.address_ = "10.20.30.40:9000";
  report.place_ = {Region("nam-bo"), FailureDomain("saigon-a"),
                   Rack("saigon-a-rack-12")};
  report.accelerators_ = Accelerators(8);
  report.slots_ = 20;
  report.connections_ = 60;
  report.memory_bytes_ = 1ULL << 37;
  for (int i = 0; i < leases; ++i) {
    report.leases_.push_back({JobId(100'000 + i), AttemptId(1), TaskIndex(i),
                              Accelerators(1), LeaseState::kRunning, ""});
  }
  return report;
}

std::size_t SyncBytes(int leases) {
  EntrySync sync;
  sync.entry_ = NodeName("entry-12");
  sync.reports_ = {Report(leases)};
  return Encode(sync).size();
}

std::size_t AnnouncementBytes(int leases) {
  return WriteAnnouncement({true, Report(leases)}).size();
}

std::size_t CommandBytes(int commands) {
  ControlSync sync;
  for (int i = 0; i < commands; ++i) {
    WorkerCommand command;
    command.worker_ = WorkerId(fmt::format("worker-{}", 1000 + i));
    command.incarnation_ = Incarnation(1796337447274);
    command.address_ = "10.20.30.40:9000";
    command.job_ = JobId(100'000);
    command.attempt_ = AttemptId(1);
    command.task_ = TaskIndex(i);
    command.accelerators_ = Accelerators(1);
    command.lease_ = Duration(10'000);
    command.request_id_ = RequestId("0123456789abcdef0123456789abcdef");
    command.customer_ = CustomerId("customer-12");
    sync.commands_.push_back(command);
  }
  return Encode(sync).size();
}

Row MakeRow(int number) {
  Row row;
  row.customer_ = CustomerId(fmt::format("customer-{}", number));
  row.guaranteed_ = {{2, Accelerators(8), Adjacency::kWorker},
                     {1, Accelerators(16), Adjacency::kRack}};
  row.max_borrowed_ = 64;
  row.max_queued_ = 100;
  row.max_rate_ = 10;
  row.version_ = TableVersion(1234);
  return row;
}

std::size_t TableBytes(int customers) {
  Table table;
  for (int i = 0; i < customers; ++i) {
    const Row row = MakeRow(i);
    table.rows_.emplace(row.customer_, row);
  }
  return Encode(table).size();
}

std::size_t ChangeBytes(int rows) {
  TableChange change;
  change.request_id_ = RequestId("0123456789abcdef0123456789abcdef");
  change.operator_ = "operator";
  for (int i = 0; i < rows; ++i) change.upserts_.push_back(MakeRow(i));
  return Encode(Command(change)).size();
}

std::size_t MayRunBytes(int tasks) {
  JobMayRun may_run;
  may_run.job_ = JobId(100'000);
  for (int i = 0; i < tasks; ++i) {
    may_run.slices_.push_back({WorkerId(fmt::format("worker-{}", 1000 + i)),
                               Incarnation(1796337447274), Accelerators(1)});
  }
  return Encode(Command(may_run)).size();
}

std::size_t EndedBytes(int tasks) {
  JobEnded ended;
  ended.job_ = JobId(100'000);
  ended.outcome_ = Outcome::kCompleted;
  ended.parts_.assign(static_cast<std::size_t>(tasks), std::string(32, 'x'));
  return Encode(Command(ended)).size();
}

void Print(const std::string& name, const std::string& unit,
           const std::vector<int>& counts,
           const std::function<std::size_t(int)>& bytes_of) {
  double sum_x = 0;
  double sum_y = 0;
  std::vector<double> values;
  for (const int count : counts) {
    values.push_back(static_cast<double>(bytes_of(count)));
    sum_x += count;
    sum_y += values.back();
  }
  const auto n = static_cast<double>(counts.size());
  double spread = 0;
  double product = 0;
  for (std::size_t i = 0; i < counts.size(); ++i) {
    spread += (counts[i] - sum_x / n) * (counts[i] - sum_x / n);
    product += (counts[i] - sum_x / n) * (values[i] - sum_y / n);
  }
  const double slope = product / spread;
  const double base = sum_y / n - slope * sum_x / n;
  double squares = 0;
  for (std::size_t i = 0; i < counts.size(); ++i) {
    const double error = values[i] - base - slope * counts[i];
    squares += error * error;
  }
  fmt::print("{:28} {:8.1f} + {:7.2f} a {} (residual {:.1f})\n", name, base,
             slope, unit, std::sqrt(squares / n));
}

}  // namespace
}  // namespace flamingohollow::bench

int main() {
  using namespace flamingohollow::bench;  // NOLINT
  Print("report, entry to leader", "lease", {0, 5, 10, 20, 40}, SyncBytes);
  Print("announcement, to an entry", "lease", {0, 5, 10, 20, 40},
        AnnouncementBytes);
  Print("commands, leader to entry", "command", {1, 8, 32, 128}, CommandBytes);
  Print("table", "customer", {4, 16, 70}, TableBytes);
  Print("record: table change", "row", {1, 4, 16}, ChangeBytes);
  Print("record: may run", "task", {1, 8, 32, 128}, MayRunBytes);
  Print("record: ended", "task", {1, 8, 32, 128}, EndedBytes);
  return 0;
}
