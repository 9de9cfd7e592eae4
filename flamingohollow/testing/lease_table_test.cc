// Tests of the worker's side of the lease protocol.

#include "flamingohollow/lease_table.h"

#include <doctest/doctest.h>

namespace flamingohollow {
namespace {

constexpr Duration kLease = Duration(10'000);

LeaseTable MakeTable() {
  LeaseTable table;
  table.incarnation_ = Incarnation(7);
  table.accelerators_ = Accelerators(8);
  table.slots_ = 2;
  return table;
}

WorkerCommand MakeCommand(WorkerCommandKind kind, std::uint32_t attempt = 1,
                          std::uint64_t term = 1, std::uint64_t job = 5) {
  WorkerCommand command;
  command.kind_ = kind;
  command.incarnation_ = Incarnation(7);
  command.job_ = JobId(job);
  command.attempt_ = AttemptId(attempt);
  command.term_ = Term(term);
  command.accelerators_ = Accelerators(4);
  command.lease_ = kLease;
  return command;
}

using Kind = WorkerCommandKind;

LeaseState StateOf(const LeaseTable& table, std::uint32_t attempt = 1,
                   std::uint64_t job = 5) {
  return table.leases_.at({JobId(job), AttemptId(attempt), TaskIndex(0)})
      .state_;
}

TEST_CASE("a task runs once however often it is started") {
  LeaseTable table = MakeTable();
  const Time now(100);
  CHECK(ApplyWorkerCommand(table, MakeCommand(Kind::kPrepare), now).size() ==
        1);
  CHECK(ApplyWorkerCommand(table, MakeCommand(Kind::kStart), now).size() == 1);
  CHECK(ApplyWorkerCommand(table, MakeCommand(Kind::kStart), now).empty());
  CHECK(ApplyWorkerCommand(table, MakeCommand(Kind::kPrepare), now).empty());
  const LeaseKey key{JobId(5), AttemptId(1), TaskIndex(0)};
  CHECK(FinishTask(table, key, true, "part"));
  CHECK_FALSE(FinishTask(table, key, true, "again"));
  CHECK(ApplyWorkerCommand(table, MakeCommand(Kind::kStart), now).empty());
  CHECK(ApplyWorkerCommand(table, MakeCommand(Kind::kStop), now).empty());
  CHECK(ReportLeases(table).at(0).part_ == "part");
  CHECK(ReportLeases(table).at(0).state_ == LeaseState::kFinished);
}

TEST_CASE("a late prepare or start of a released attempt runs nothing") {
  LeaseTable table = MakeTable();
  const Time now(100);
  ApplyWorkerCommand(table, MakeCommand(Kind::kPrepare), now);
  ApplyWorkerCommand(table, MakeCommand(Kind::kRelease), now);
  CHECK(ApplyWorkerCommand(table, MakeCommand(Kind::kPrepare), now).empty());
  CHECK(ApplyWorkerCommand(table, MakeCommand(Kind::kStart), now).empty());
  CHECK(table.leases_.empty());
  // It may have run before its release, so a stop must not deny that.
  ApplyWorkerCommand(table, MakeCommand(Kind::kStop), now);
  CHECK(StateOf(table) == LeaseState::kStopped);
}

TEST_CASE("a stop that overtakes its prepare wins") {
  LeaseTable table = MakeTable();
  const Time now(100);
  ApplyWorkerCommand(table, MakeCommand(Kind::kStop), now);
  CHECK(StateOf(table) == LeaseState::kNeverRan);
  ApplyWorkerCommand(table, MakeCommand(Kind::kPrepare), now);
  ApplyWorkerCommand(table, MakeCommand(Kind::kStart), now);
  CHECK(StateOf(table) == LeaseState::kNeverRan);
}

TEST_CASE("older attempts and terms are refused, newer ones take over") {
  LeaseTable table = MakeTable();
  const Time now(100);
  ApplyWorkerCommand(table, MakeCommand(Kind::kPrepare, 1, 2), now);
  CHECK(
      ApplyWorkerCommand(table, MakeCommand(Kind::kStart, 1, 1), now).empty());
  CHECK(StateOf(table) == LeaseState::kPrepared);
  ApplyWorkerCommand(table, MakeCommand(Kind::kStart, 1, 2), now);
  ApplyWorkerCommand(table, MakeCommand(Kind::kPrepare, 2, 2), now);
  CHECK(StateOf(table, 1) == LeaseState::kStopped);
  CHECK(StateOf(table, 2) == LeaseState::kPrepared);
  CHECK(ApplyWorkerCommand(table, MakeCommand(Kind::kPrepare, 1, 3), now)
            .empty());
}

TEST_CASE("capacity and slots are hard limits") {
  LeaseTable table = MakeTable();
  const Time now(100);
  WorkerCommand command = MakeCommand(Kind::kPrepare);
  command.accelerators_ = Accelerators(9);
  const LeaseEvents events = ApplyWorkerCommand(table, command, now);
  CHECK(events.at(0).kind_ == LeaseEventKind::kRefused);
  CHECK(StateOf(table) == LeaseState::kNeverRan);
  for (std::uint64_t job = 6; job < 9; ++job) {
    command = MakeCommand(Kind::kPrepare, 1, 1, job);
    command.accelerators_ = Accelerators(1);
    ApplyWorkerCommand(table, command, now);
  }
  CHECK(StateOf(table, 1, 7) == LeaseState::kPrepared);
  CHECK(StateOf(table, 1, 8) == LeaseState::kNeverRan);
  CHECK(UsedSlots(table) == 2);
  CHECK(UsedAccelerators(table) == Accelerators(2));
}

TEST_CASE("a lease ends by itself unless renewed, and excluded jobs are not") {
  LeaseTable table = MakeTable();
  ApplyWorkerCommand(table, MakeCommand(Kind::kPrepare), Time(0));
  ApplyWorkerCommand(table, MakeCommand(Kind::kStart), Time(0));
  RenewLeases(table, Time(5'000), kLease, {});
  RenewLeases(table, Time(9'000), kLease, {JobId(5)});
  // Neither does a repeated command renew.
  ApplyWorkerCommand(table, MakeCommand(Kind::kPrepare), Time(9'000));
  ApplyWorkerCommand(table, MakeCommand(Kind::kStart), Time(9'000));
  CHECK(NextExpiry(table) == Time(15'000));
  CHECK(ExpireLeases(table, Time(14'999)).empty());
  const LeaseEvents events = ExpireLeases(table, Time(15'000));
  CHECK(events.at(0).was_running_);
  CHECK(StateOf(table) == LeaseState::kStopped);
  CHECK_FALSE(NextExpiry(table).has_value());
}

TEST_CASE("another incarnation's commands and a leaving worker's prepares") {
  LeaseTable table = MakeTable();
  WorkerCommand command = MakeCommand(Kind::kPrepare);
  command.incarnation_ = Incarnation(6);
  ApplyWorkerCommand(table, command, Time(0));
  CHECK(table.leases_.empty());
  table.state_ = WorkerState::kLeaving;
  ApplyWorkerCommand(table, MakeCommand(Kind::kPrepare), Time(0));
  CHECK(StateOf(table) == LeaseState::kNeverRan);
}

TEST_CASE("fences are forgotten after a time, leases never by themselves") {
  LeaseTable table = MakeTable();
  ApplyWorkerCommand(table, MakeCommand(Kind::kPrepare), Time(0));
  ExpireLeases(table, Time(0) + kFenceMemory * 2);
  CHECK(table.fences_.size() == 1);
  CHECK(ReportLeases(table).size() == 1);
  ApplyWorkerCommand(table, MakeCommand(Kind::kRelease),
                     Time(0) + kFenceMemory * 2);
  ExpireLeases(table, Time(1) + kFenceMemory * 3);
  CHECK(table.fences_.empty());
}

TEST_CASE("a worker that shrank below what it runs grants no lease") {
  LeaseTable table = MakeTable();
  const Time now(100);
  ApplyWorkerCommand(table, MakeCommand(Kind::kPrepare), now);
  table.accelerators_ = Accelerators(2);
  ApplyWorkerCommand(table, MakeCommand(Kind::kPrepare, 1, 1, 6), now);
  CHECK(StateOf(table, 1, 6) == LeaseState::kNeverRan);
}

}  // namespace
}  // namespace flamingohollow
