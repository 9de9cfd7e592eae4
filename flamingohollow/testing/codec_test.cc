// Tests that every message comes back as it went, and that foreign bytes are
// refused.

#include "flamingohollow/codec.h"

#include <doctest/doctest.h>

#include <boost/leaf/handle_errors.hpp>
#include <random>
#include <string>

namespace flamingohollow {
namespace {

namespace leaf = boost::leaf;

Row SampleRow() {
  Row row;
  row.customer_ = CustomerId("acme");
  row.weight_ = 2.5;
  row.guaranteed_ = {{2, Accelerators(8), Adjacency::kWorker},
                     {1, Accelerators(16), Adjacency::kRack}};
  row.max_borrowed_ = 64;
  row.max_queued_ = 100;
  row.max_rate_ = 10.5;
  row.version_ = TableVersion(3);
  return row;
}

JobSpec SampleSpec() {
  JobSpec spec;
  spec.customer_ = CustomerId("acme");
  spec.request_id_ = RequestId("r-1");
  spec.accelerators_ = Accelerators(16);
  spec.adjacency_ = Adjacency::kRack;
  spec.urgent_ = true;
  spec.reclaimable_ = true;
  spec.run_time_ = Duration(1500);
  return spec;
}

std::vector<Slice> SampleSlices() {
  return {{WorkerId("worker-1"), Incarnation(7), Accelerators(8)},
          {WorkerId("worker-2"), Incarnation(9), Accelerators(8)}};
}

JobEnded SampleEnd() {
  return {JobId(17),    Outcome::kCompleted,      "done",
          Duration(20), {std::string("a\0b", 3)}, Time(99)};
}

TEST_CASE("every command survives the trip") {
  TableChange change;
  change.request_id_ = RequestId("t-1");
  change.base_version_ = TableVersion(4);
  change.upserts_ = {SampleRow()};
  change.removals_ = {CustomerId("gone")};
  change.operator_ = "op";
  change.at_ = Time(12);
  const std::vector<Command> commands = {
      change,
      JobAccepted{SampleSpec(), Time(1)},
      JobMayRun{JobId(17), AttemptId(2), SampleSlices(), Time(2)},
      JobRequeued{JobId(17), AttemptId(2), "worker lost", Time(3), true},
      SampleEnd(),
      EvacuationOrder{FailureDomain("north"), true, 3, Time(4)}};
  for (const Command& command : commands) {
    const auto decoded = DecodeCommand(Encode(command));
    REQUIRE(decoded);
    CHECK(*decoded == command);
  }
}

TEST_CASE("an entry's exchange survives the trip") {
  EntrySync sync;
  sync.entry_ = NodeName("entry-0");
  sync.incarnation_ = Incarnation(5);
  sync.table_version_ = TableVersion(8);
  sync.alive_ = {WorkerId("worker-3")};
  sync.watched_ = {JobId(17)};
  WorkerReport report;
  report.worker_ = WorkerId("worker-1");
  report.place_.rack_ = Rack("r1");
  report.state_ = WorkerState::kLeaving;
  report.leases_ = {{JobId(17), AttemptId(1), TaskIndex(1), Accelerators(8),
                     LeaseState::kFinished, "part"}};
  sync.reports_ = {report};
  const auto decoded = DecodeEntrySync(Encode(sync));
  REQUIRE(decoded);
  CHECK(decoded->entry_ == sync.entry_);
  CHECK(decoded->reports_ == sync.reports_);
  CHECK(decoded->alive_ == sync.alive_);
  CHECK(decoded->watched_ == sync.watched_);
}

TEST_CASE("control's exchange survives the trip") {
  ControlSync sync;
  sync.is_leader_ = true;
  sync.lease_ = Duration(3000);
  sync.table_.emplace();
  sync.table_->version_ = TableVersion(3);
  sync.table_->rows_.emplace(CustomerId("acme"), SampleRow());
  sync.exclusions_ = std::vector<JobId>{JobId(4)};
  WorkerCommand command;
  command.kind_ = WorkerCommandKind::kStart;
  command.worker_ = WorkerId("worker-1");
  command.lease_ = Duration(10000);
  sync.commands_ = {command};
  const auto decoded = DecodeControlSync(Encode(sync));
  REQUIRE(decoded);
  CHECK(decoded->is_leader_);
  REQUIRE(decoded->table_.has_value());
  CHECK(decoded->table_->rows_ == sync.table_->rows_);
  CHECK(decoded->exclusions_ == sync.exclusions_);
  CHECK(decoded->commands_ == sync.commands_);
}

TEST_CASE("job records survive the trip with their request index") {
  JobRecords records;
  JobRecord record;
  record.id_ = JobId(17);
  record.spec_ = SampleSpec();
  record.may_run_attempt_ = AttemptId(7);
  record.may_run_attempts_ = 3;
  record.slices_ = SampleSlices();
  record.end_ = SampleEnd();
  records.jobs_.emplace(record.id_, record);
  records.evacuations_[FailureDomain("north")] = {true, 3, Time(4)};
  const auto decoded = DecodeJobRecords(Encode(records));
  REQUIRE(decoded);
  CHECK(decoded->evacuations_ == records.evacuations_);
  const JobRecord& copy = decoded->jobs_.at(JobId(17));
  CHECK(copy.spec_ == record.spec_);
  CHECK(copy.slices_ == record.slices_);
  CHECK(copy.end_ == record.end_);
  CHECK(copy.may_run_attempts_ == 3);
  CHECK(decoded->by_request_.at({CustomerId("acme"), RequestId("r-1")}) ==
        JobId(17));
}

TEST_CASE("foreign and damaged bytes are refused or decoded, never a crash") {
  const std::string good = Encode(Command(SampleEnd()));
  std::mt19937 random(20261203);
  for (int round = 0; round < 20000; ++round) {
    std::string bytes = good;
    const int flips = 1 + static_cast<int>(random() % 4);
    for (int flip = 0; flip < flips; ++flip) {
      bytes[random() % bytes.size()] = static_cast<char>(random());
    }
    if (random() % 3 == 0) bytes.resize(random() % bytes.size());
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
          BOOST_LEAF_CHECK(DecodeCommand(bytes));
          return {};
        },
        [] {});
  }
  CHECK_FALSE(DecodeCommand(""));
  CHECK_FALSE(DecodeCommand(good.substr(0, good.size() / 2)));
}

}  // namespace
}  // namespace flamingohollow
