// Tests of the dispatcher: order, bounds, retries and circuit breaking.

#include "flamingohollow/dispatcher.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <set>
#include <utility>

namespace flamingohollow {
namespace {

constexpr Time kNow = Time(100000);
const WorkerId kWorker = WorkerId("w");

WorkerCommand MakeCommand(WorkerCommandKind kind, std::uint64_t job,
                          const WorkerId& worker = kWorker) {
  WorkerCommand command;
  command.kind_ = kind;
  command.worker_ = worker;
  command.job_ = JobId(job);
  command.attempt_ = AttemptId(1);
  return command;
}

WorkerCommand Prepare(std::uint64_t job) {
  return MakeCommand(WorkerCommandKind::kPrepare, job);
}

WorkerCommand Stop(std::uint64_t job) {
  return MakeCommand(WorkerCommandKind::kStop, job);
}

// Takes batches and answers them all with `ok`; gives how many there were.
std::size_t Run(Dispatcher& dispatcher, Time now, bool ok) {
  const auto batches = TakeBatches(dispatcher, now);
  for (const Batch& batch : batches) {
    OnBatchDone(dispatcher, batch.worker_, batch.id_, ok, now, 0);
  }
  return batches.size();
}

TEST_CASE("commands of one attempt are never in two requests") {
  Dispatcher dispatcher = MakeDispatcher({});
  QueueCommands(dispatcher, {Prepare(1)}, kNow);
  const auto first = TakeBatches(dispatcher, kNow);
  REQUIRE(first.size() == 1);
  QueueCommands(dispatcher, {Stop(1), Prepare(2)}, kNow);
  const auto second = TakeBatches(dispatcher, kNow);
  REQUIRE(second.size() == 1);
  CHECK(second[0].commands_ == std::vector<WorkerCommand>{Prepare(2)});
  OnBatchDone(dispatcher, kWorker, first[0].id_, true, kNow, 0);
  const auto third = TakeBatches(dispatcher, kNow);
  REQUIRE(third.size() == 1);
  CHECK(third[0].commands_ == std::vector<WorkerCommand>{Stop(1)});
}

TEST_CASE("a command that waits is replaced, not repeated") {
  Dispatcher dispatcher = MakeDispatcher({});
  WorkerCommand newer = Prepare(1);
  newer.term_ = Term(2);
  QueueCommands(dispatcher, {Prepare(1), Prepare(2), newer}, kNow);
  const auto batches = TakeBatches(dispatcher, kNow);
  REQUIRE(batches.size() == 1);
  CHECK(batches[0].commands_ == std::vector<WorkerCommand>{newer, Prepare(2)});
}

TEST_CASE("requests, queue and batches are bounded") {
  DispatchOptions options;
  options.max_open_ = 2;
  options.max_batch_ = 3;
  options.max_queued_ = 10;
  Dispatcher dispatcher = MakeDispatcher(options);
  for (std::uint64_t job = 1; job <= 20; ++job) {
    QueueCommands(dispatcher, {Prepare(job)}, kNow);
  }
  CHECK(dispatcher.counts_.dropped_full_ == 10);
  const auto batches = TakeBatches(dispatcher, kNow);
  REQUIRE(batches.size() == 2);
  CHECK(batches[0].commands_.size() == 3);
  CHECK(TakeBatches(dispatcher, kNow).empty());
}

TEST_CASE("a failed request is tried again after a pause, while it is young") {
  Dispatcher dispatcher = MakeDispatcher({});
  QueueCommands(dispatcher, {Prepare(1)}, kNow);
  CHECK(Run(dispatcher, kNow, false) == 1);
  CHECK(Run(dispatcher, kNow, false) == 0);
  const Time later = kNow + dispatcher.options_.retry_pause_;
  CHECK(Run(dispatcher, later, false) == 1);
  // Too old: control sends it again when it still wants it.
  CHECK(Run(dispatcher, kNow + dispatcher.options_.max_age_, true) == 0);
  CHECK(dispatcher.counts_.dropped_old_ == 1);
}

TEST_CASE("retries are a bounded share of first tries") {
  DispatchOptions options;
  options.max_retry_budget_ = 3;
  options.retry_share_ = 0.25;
  options.open_after_ = 1000000;
  Dispatcher dispatcher = MakeDispatcher(options);
  Time now = kNow;
  for (std::uint64_t job = 1; job <= 100; ++job) {
    QueueCommands(dispatcher, {Prepare(job)}, now);
    Run(dispatcher, now, false);
    now = now + options.retry_pause_;
  }
  CHECK(dispatcher.counts_.retries_ <= 3 + 100 / 4);
  CHECK(dispatcher.counts_.retries_ >= 20);
}

TEST_CASE("the circuit opens, probes, and closes on the first answer") {
  Dispatcher dispatcher = MakeDispatcher({});
  const DispatchOptions& options = dispatcher.options_;
  Time now = kNow;
  for (std::uint32_t i = 0; i < options.open_after_; ++i) {
    QueueCommands(dispatcher, {Prepare(i + 1)}, now);
    CHECK(Run(dispatcher, now, false) == 1);
    now = now + options.retry_pause_;
  }
  CHECK(IsCircuitOpen(dispatcher, kWorker));
  QueueCommands(dispatcher, {Prepare(50)}, now);
  CHECK(TakeBatches(dispatcher, now).empty());
  // Another worker is not held up.
  QueueCommands(
      dispatcher,
      {MakeCommand(WorkerCommandKind::kPrepare, 7, WorkerId("other"))}, now);
  CHECK(Run(dispatcher, now, true) == 1);
  // One probe only.
  now = now + options.first_open_;
  QueueCommands(dispatcher, {Prepare(51)}, now);
  const auto probe = TakeBatches(dispatcher, now);
  REQUIRE(probe.size() == 1);
  QueueCommands(dispatcher, {Prepare(52)}, now);
  CHECK(TakeBatches(dispatcher, now).empty());
  OnBatchDone(dispatcher, kWorker, probe[0].id_, true, now, 0);
  CHECK_FALSE(IsCircuitOpen(dispatcher, kWorker));
  CHECK(TakeBatches(dispatcher, now).size() == 1);
}

TEST_CASE("any course of events keeps the bounds and the order") {
  rc::check([] {
    DispatchOptions options;
    options.max_open_ = 3;
    options.max_batch_ = 2;
    options.max_queued_ = 8;
    Dispatcher dispatcher = MakeDispatcher(options);
    std::map<BatchId, Batch> open;
    Time now = kNow;
    const int steps = *rc::gen::inRange(1, 60);
    for (int i = 0; i < steps; ++i) {
      const auto kind = static_cast<WorkerCommandKind>(*rc::gen::inRange(0, 4));
      QueueCommands(dispatcher, {MakeCommand(kind, *rc::gen::inRange(1, 5))},
                    now);
      for (const Batch& batch : TakeBatches(dispatcher, now)) {
        open[batch.id_] = batch;
      }
      RC_ASSERT(open.size() <= options.max_open_);
      std::set<JobId> seen;
      for (const auto& [id, batch] : open) {
        std::set<JobId> in_batch;
        for (const WorkerCommand& command : batch.commands_) {
          in_batch.insert(command.job_);
        }
        for (const JobId job : in_batch) RC_ASSERT(seen.insert(job).second);
      }
      const bool answer = *rc::gen::arbitrary<bool>();
      if (answer && !open.empty()) {
        const bool ok = *rc::gen::arbitrary<bool>();
        OnBatchDone(dispatcher, kWorker, open.begin()->first, ok, now, 1);
        open.erase(open.begin());
      }
      now = now + Duration(*rc::gen::inRange(0, 300));
    }
    // Once all is answered and time goes by, nothing is left.
    for (const auto& [id, batch] : open) {
      OnBatchDone(dispatcher, kWorker, id, true, now, 1);
    }
    now = now + options.max_age_;
    RC_ASSERT(TakeBatches(dispatcher, now).empty());
    RC_ASSERT(OpenBatches(dispatcher) == 0U);
  });
}

}  // namespace
}  // namespace flamingohollow
