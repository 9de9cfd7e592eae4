// Tests the rules of placement through the functions of placement.h.

#include "flamingohollow/placement.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <map>
#include <set>

#include "flamingohollow/testing/placement_fixture.h"

namespace flamingohollow {
namespace {

constexpr Duration kSettling = Duration(3000);
constexpr Time kSettled = Time(3000);
constexpr Duration kMinute = Duration(60 * 1000);

const GuaranteedShape kOneWorker = {{1, Accelerators(8), Adjacency::kWorker}};
const GuaranteedShape kTwoWorkers = {{2, Accelerators(8), Adjacency::kWorker}};

PlacementPtr MakeCluster(int workers) {
  PlacementOptions options;
  options.settling_time_ = kSettling;
  PlacementPtr state = MakePlacement(options, Time(0));
  for (int i = 0; i < workers; ++i) {
    SetWorker(*state, MakeWorker(i, i / 2), Time(0));
  }
  return state;
}

TEST_CASE("a gang stays within its adjacency") {
  PlacementPtr state = MakeCluster(4);
  SetTable(*state,
           MakeTable({{"a", {{2, Accelerators(16), Adjacency::kRack}}}}));
  EnqueueJob(*state, MakeJob(1, "a", 16, Adjacency::kRack));
  const PlacementDecisions decisions = Decide(*state, Time(0));
  REQUIRE(decisions.place_.size() == 1);
  REQUIRE(decisions.place_[0].slices_.size() == 2);
  CHECK(decisions.place_[0].guaranteed_);
  CHECK(decisions.place_[0].slices_[0].worker_ == WorkerId("w0"));
  CHECK(decisions.place_[0].slices_[1].worker_ == WorkerId("w1"));
}

TEST_CASE("a job that never fits is refused after settling, not before") {
  PlacementPtr state = MakeCluster(2);
  SetTable(*state, MakeTable({{"a", kTwoWorkers}}));
  EnqueueJob(*state, MakeJob(1, "a", 9, Adjacency::kWorker));
  CHECK(Decide(*state, kSettled - Duration(1)).refuse_.empty());
  const PlacementDecisions decisions = Decide(*state, kSettled);
  REQUIRE(decisions.refuse_.size() == 1);
  CHECK(decisions.refuse_[0].reason_ ==
        "9 accelerators within one worker fit nowhere: 8 within one worker, or "
        "9 within one rack would fit");
}

TEST_CASE("a job that is not reclaimable stays inside its own guarantee") {
  PlacementPtr state = MakeCluster(2);
  SetTable(*state, MakeTable({{"a", kOneWorker}}, 8));
  EnqueueJob(*state, MakeJob(1, "a", 8, Adjacency::kWorker));
  EnqueueJob(*state, MakeJob(2, "a", 8, Adjacency::kWorker));
  CHECK(Decide(*state, kSettled).place_.size() == 1);
  EnqueueJob(*state, MakeJob(3, "a", 8, Adjacency::kWorker, true));
  const PlacementDecisions decisions = Decide(*state, kSettled);
  REQUIRE(decisions.place_.size() == 1);
  CHECK(decisions.place_[0].job_ == JobId(3));
  CHECK_FALSE(decisions.place_[0].guaranteed_);
}

TEST_CASE(
    "a cell that lost a worker still serves jobs that fit on its other "
    "workers") {
  PlacementPtr state = MakeCluster(2);
  SetTable(*state,
           MakeTable({{"a", {{1, Accelerators(16), Adjacency::kRegion}}}}));
  RemoveWorker(*state, WorkerId("w1"), kSettled);
  CHECK_FALSE(GuaranteeStatuses(*state)[0].backed_);
  EnqueueJob(*state, MakeJob(1, "a", 8, Adjacency::kRegion));
  CHECK(Decide(*state, kSettled).place_.size() == 1);
  SetWorker(*state, MakeWorker(1, 0), kSettled);
  CHECK(GuaranteeStatuses(*state)[0].backed_);
  EnqueueJob(*state, MakeJob(2, "a", 8, Adjacency::kRegion));
  CHECK(Decide(*state, kSettled).place_.size() == 1);
}

TEST_CASE("a job that failed on a worker is tried on another first") {
  PlacementPtr state = MakeCluster(2);
  SetTable(*state, MakeTable({{"a", kTwoWorkers}}));
  const PlacementJob job = MakeJob(1, "a", 8, Adjacency::kWorker, true);
  EnqueueJob(*state, job);
  const PlacementDecisions first = Decide(*state, kSettled);
  REQUIRE(first.place_.size() == 1);
  const WorkerId failed = first.place_[0].slices_[0].worker_;
  RecordTaskResult(*state, job.id_, failed, false, kSettled);
  RemoveJob(*state, job.id_);
  EnqueueJob(*state, job);
  const PlacementDecisions second = Decide(*state, kSettled);
  REQUIRE(second.place_.size() == 1);
  CHECK(second.place_[0].slices_[0].worker_ != failed);
}

TEST_CASE("borrowing ends at max_borrowed") {
  PlacementPtr state = MakeCluster(2);
  SetTable(*state, MakeTable({{"a", {}}}, 8));
  for (std::uint64_t id = 1; id <= 3; ++id) {
    EnqueueJob(*state, MakeJob(id, "a", 4, Adjacency::kWorker, true));
  }
  CHECK(Decide(*state, kSettled).place_.size() == 2);
}

TEST_CASE(
    "a guaranteed job reclaims the cheapest borrower and waits for its end") {
  PlacementPtr state = MakeCluster(2);
  SetTable(*state, MakeTable({{"a", kOneWorker}, {"b", {}}}, 16));
  EnqueueJob(*state, MakeJob(1, "b", 8, Adjacency::kWorker, true));
  REQUIRE(Decide(*state, Time(1000)).place_.size() == 1);
  EnqueueJob(*state, MakeJob(2, "b", 8, Adjacency::kWorker, true));
  REQUIRE(Decide(*state, Time(2000)).place_.size() == 1);
  EnqueueJob(*state, MakeJob(3, "a", 8, Adjacency::kWorker));
  const PlacementDecisions decisions = Decide(*state, kSettled);
  REQUIRE(decisions.reclaim_.size() == 1);
  // Job 2 has run for the shorter time, so less work is lost.
  CHECK(decisions.reclaim_[0].job_ == JobId(2));
  CHECK(decisions.reclaim_[0].for_job_ == JobId(3));
  CHECK(decisions.place_.empty());
  CHECK(Decide(*state, kSettled).reclaim_.empty());
  RemoveJob(*state, JobId(2));
  REQUIRE(Decide(*state, kSettled).place_.size() == 1);
}

TEST_CASE("a borrower moves into its guarantee when that is free") {
  PlacementPtr state = MakeCluster(2);
  SetTable(*state, MakeTable({{"a", kOneWorker}, {"b", kOneWorker}}, 8));
  EnqueueJob(*state, MakeJob(1, "a", 8, Adjacency::kWorker));
  EnqueueJob(*state, MakeJob(2, "a", 8, Adjacency::kWorker, true));
  REQUIRE(Decide(*state, kSettled).place_.size() == 2);
  RemoveJob(*state, JobId(1));
  // The guarantee of "a" is in use again, so its next job has to wait.
  EnqueueJob(*state, MakeJob(3, "a", 8, Adjacency::kWorker));
  CHECK(Decide(*state, kSettled).place_.empty());
  EnqueueJob(*state, MakeJob(4, "b", 8, Adjacency::kWorker));
  const PlacementDecisions decisions = Decide(*state, kSettled);
  CHECK(decisions.reclaim_.empty());
  CHECK(decisions.place_.size() == 1);
}

TEST_CASE("a leaving worker gets no jobs, and the lost guarantee is reported") {
  PlacementPtr state = MakeCluster(2);
  SetTable(*state, MakeTable({{"a", kTwoWorkers}}));
  REQUIRE(Decide(*state, kSettled).place_.empty());
  CHECK(GuaranteeStatuses(*state)[0].backed_);
  PlacementWorker leaving = MakeWorker(0, 0);
  leaving.available_ = false;
  SetWorker(*state, leaving, kSettled);
  EnqueueJob(*state, MakeJob(1, "a", 8, Adjacency::kWorker));
  EnqueueJob(*state, MakeJob(2, "a", 8, Adjacency::kWorker));
  const PlacementDecisions decisions = Decide(*state, kSettled);
  REQUIRE(decisions.place_.size() == 1);
  CHECK(decisions.place_[0].slices_[0].worker_ == WorkerId("w1"));
  const GuaranteeStatus status = GuaranteeStatuses(*state)[0];
  CHECK_FALSE(status.backed_);
  CHECK(status.reason_.find("1 of 2 guaranteed cells") == 0);
}

// Guards against a job being placed on the same failing worker again and again.
// With a tenth of the workers failing every task, one gang was placed on the
// same bad worker once a second for hours.
TEST_CASE("a job that failed on a worker is placed elsewhere if it can be") {
  for (const GuaranteedShape& shape : {kOneWorker, GuaranteedShape()}) {
    PlacementPtr state = MakeCluster(2);
    SetTable(*state, MakeTable({{"a", shape}}, 8));
    std::set<WorkerId> used;
    for (int attempt = 0; attempt < 2; ++attempt) {
      EnqueueJob(*state, MakeJob(1, "a", 8, Adjacency::kWorker, true));
      const PlacementDecisions decisions = Decide(*state, kSettled);
      REQUIRE(decisions.place_.size() == 1);
      const WorkerId worker = decisions.place_[0].slices_[0].worker_;
      CHECK(used.insert(worker).second);
      RecordTaskResult(*state, JobId(1), worker, false, kSettled);
    }
    // It has failed on every worker, so failed workers are used again.
    EnqueueJob(*state, MakeJob(1, "a", 8, Adjacency::kWorker, true));
    CHECK(Decide(*state, kSettled).place_.size() == 1);
  }
}

TEST_CASE("a restored gang holds its accelerators before its worker is known") {
  PlacementPtr state = MakeCluster(1);
  SetTable(*state, MakeTable({{"a", kTwoWorkers}}));
  const PlacementWorker later = MakeWorker(1, 0);
  RestoreRunningJob(*state, MakeJob(1, "a", 8, Adjacency::kWorker),
                    {{later.id_, later.incarnation_, Accelerators(8)}});
  EnqueueJob(*state, MakeJob(2, "a", 8, Adjacency::kWorker));
  EnqueueJob(*state, MakeJob(3, "a", 8, Adjacency::kWorker));
  REQUIRE(Decide(*state, kSettled).place_.size() == 1);
  SetWorker(*state, later, kSettled);
  CHECK(FreeAccelerators(*state, later.id_) == Accelerators(0));
  CHECK(Decide(*state, kSettled).place_.empty());
  RemoveJob(*state, JobId(1));
  CHECK(Decide(*state, kSettled).place_.size() == 1);
}

TEST_CASE("slots are a hard limit") {
  PlacementPtr state = MakePlacement({}, Time(0));
  PlacementWorker worker = MakeWorker(0, 0);
  worker.slots_ = 2;
  SetWorker(*state, worker, Time(0));
  SetTable(*state, MakeTable({{"a", {}}}, 8));
  for (std::uint64_t id = 1; id <= 3; ++id) {
    EnqueueJob(*state, MakeJob(id, "a", 1, Adjacency::kWorker, true));
  }
  CHECK(Decide(*state, kSettled).place_.size() == 2);
  CHECK(FreeAccelerators(*state, worker.id_) == Accelerators(0));
}

TEST_CASE("jobs without accelerators leave slots for the accelerators") {
  PlacementPtr state = MakePlacement({}, Time(0));
  PlacementWorker worker = MakeWorker(0, 0, 2);
  worker.slots_ = 5;
  SetWorker(*state, worker, Time(0));
  SetTable(*state,
           MakeTable({{"a", {{2, Accelerators(1), Adjacency::kWorker}}}}));
  for (std::uint64_t id = 1; id <= 5; ++id) {
    EnqueueJob(*state, MakeJob(id, "a", 0, Adjacency::kRegion, true));
  }
  CHECK(Decide(*state, kSettled).place_.size() == 3);
  EnqueueJob(*state, MakeJob(6, "a", 1, Adjacency::kWorker));
  EnqueueJob(*state, MakeJob(7, "a", 1, Adjacency::kWorker));
  CHECK(Decide(*state, kSettled).place_.size() == 2);
}

TEST_CASE("urgent jobs go first and reclaim borrowers that are not urgent") {
  PlacementPtr state = MakeCluster(1);
  SetTable(*state, MakeTable({{"a", {}}, {"b", {}}}, 8));
  EnqueueJob(*state, MakeJob(1, "a", 8, Adjacency::kWorker, true));
  REQUIRE(Decide(*state, kSettled).place_.size() == 1);
  PlacementJob urgent = MakeJob(2, "b", 8, Adjacency::kWorker, true);
  urgent.urgent_ = true;
  EnqueueJob(*state, urgent);
  REQUIRE(Decide(*state, kSettled).reclaim_.size() == 1);
  EnqueueJob(*state, MakeJob(1, "a", 8, Adjacency::kWorker, true));
  const PlacementDecisions decisions = Decide(*state, kSettled);
  REQUIRE(decisions.place_.size() == 1);
  CHECK(decisions.place_[0].job_ == JobId(2));
}

TEST_CASE("customers share spare accelerators by their weights") {
  PlacementPtr state = MakeCluster(2);
  Table table = MakeTable({{"a", {}}, {"b", {}}}, 16);
  table.rows_[CustomerId("b")].weight_ = 3;
  SetTable(*state, table);
  // The jobs of "a" are queued first.
  for (std::uint64_t id = 1; id <= 32; ++id) {
    EnqueueJob(*state,
               MakeJob(id, id <= 16 ? "a" : "b", 1, Adjacency::kWorker, true));
  }
  int for_b = 0;
  for (const PlaceDecision& place : Decide(*state, kSettled).place_) {
    for_b += place.job_.value() > 16 ? 1 : 0;
  }
  CHECK(for_b == 12);
}

// Runs a worker with 8 accelerators under a stream of small jobs: one is queued
// each minute and runs for ten minutes. A gang of 8 is queued at minute 10.
// Returns how many minutes the gang waits, at most 200.
int MinutesLargeGangWaits(bool reservations, Duration declared) {
  PlacementOptions options;
  options.reservations_ = reservations;
  PlacementPtr state = MakePlacement(options, Time(0));
  SetWorker(*state, MakeWorker(0, 0), Time(0));
  SetTable(*state, MakeTable({{"a", {}}, {"b", {}}}, 8));
  std::map<JobId, int> ends;
  std::uint64_t next_job = 100;
  for (int minute = 0; minute < 210; ++minute) {
    const Time now = kSettled + kMinute * minute;
    for (auto it = ends.begin(); it != ends.end();) {
      if (it->second > minute) {
        ++it;
        continue;
      }
      RemoveJob(*state, it->first);
      it = ends.erase(it);
    }
    PlacementJob job = MakeJob(next_job++, "b", 1, Adjacency::kWorker, true);
    job.run_time_ = declared;
    job.queued_at_ = now;
    EnqueueJob(*state, job);
    if (minute == 10) {
      PlacementJob large = MakeJob(1, "a", 8, Adjacency::kWorker, true);
      large.queued_at_ = now;
      EnqueueJob(*state, large);
    }
    // Reclaimed jobs stop at once and are not requeued.
    for (int round = 0; round < 2; ++round) {
      const PlacementDecisions decisions = Decide(*state, now);
      for (const PlaceDecision& place : decisions.place_) {
        if (place.job_ == JobId(1)) return minute - 10;
        ends[place.job_] = minute + 10;
      }
      for (const ReclaimDecision& reclaim : decisions.reclaim_) {
        ends.erase(reclaim.job_);
        RemoveJob(*state, reclaim.job_);
      }
    }
  }
  return 200;
}

TEST_CASE("a stream of small jobs does not keep a large gang waiting") {
  // The gang reserves after 15 minutes; the worker is empty 10 minutes later.
  CHECK(MinutesLargeGangWaits(true, kMinute * 10) <= 26);
  // Small jobs that declare too short a run time backfill and are reclaimed.
  CHECK(MinutesLargeGangWaits(true, kMinute) <= 26);
  // Without a reservation, it reclaims later jobs after kReclaimLaterJobsAfter.
  CHECK(MinutesLargeGangWaits(false, kMinute * 10) == 120);
}

TEST_CASE("a table that the workers can't keep is refused with a reason") {
  PlacementPtr state = MakePlacement({}, Time(0));
  const Table table = MakeTable({{"a", kTwoWorkers}});
  CHECK(CheckGuarantees(*state, table).empty());
  SetWorker(*state, MakeWorker(0, 0), Time(0));
  CHECK(CheckGuarantees(*state, table) ==
        "customer \"a\": 1 of 2 guaranteed cells have no place, such as 8 "
        "accelerators within one worker: beside the other guarantees at most "
        "0 are left in one");
  // Guarantees that are in force already are not checked again.
  SetTable(*state, table);
  CHECK(CheckGuarantees(*state, table).empty());
}

}  // namespace
}  // namespace flamingohollow
