// Tests of the entry's table copy: leases, versions and exclusions.

#include "flamingohollow/entry_table.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

namespace flamingohollow {
namespace {

constexpr Time kSentAt = Time(1000);
constexpr Duration kLease = Duration(3000);

Table MakeTable(std::uint64_t version) {
  Table table;
  table.version_ = TableVersion(version);
  Row row;
  row.customer_ = CustomerId("acme");
  row.max_queued_ = static_cast<std::uint32_t>(version);
  table.rows_[row.customer_] = row;
  return table;
}

// A leader's answer with its table, a lease and an empty exclusion set.
ControlSync MakeSync(std::uint64_t term, std::uint64_t version) {
  ControlSync sync;
  sync.is_leader_ = true;
  sync.term_ = Term(term);
  sync.lease_ = kLease;
  sync.table_version_ = TableVersion(version);
  if (version > 0) sync.table_ = MakeTable(version);
  sync.exclusions_version_ = term << 32 | 1;
  sync.exclusions_.emplace();
  sync.worker_lease_ = Duration(10000);
  return sync;
}

TEST_CASE("no row is found before the first lease") {
  EntryTable table;
  CHECK_FALSE(HasLease(table, kSentAt));
  CHECK_FALSE(MayRenew(table, kSentAt));
  CHECK(EnforcedVersion(table) == TableVersion(0));

  ControlSync no_quorum = MakeSync(1, 3);
  no_quorum.lease_ = Duration(0);
  CHECK(ApplySync(table, no_quorum, kSentAt) == SyncOutcome::kNoLease);
  CHECK_FALSE(HasLease(table, kSentAt));
  CHECK(FindRow(table, CustomerId("acme"), kSentAt) == nullptr);

  ControlSync follower = MakeSync(1, 3);
  follower.is_leader_ = false;
  CHECK(ApplySync(table, follower, kSentAt) == SyncOutcome::kNoLease);
  CHECK_FALSE(HasLease(table, kSentAt));
}

TEST_CASE("a lease counts from when the sync was sent, and ends") {
  EntryTable table;
  CHECK(ApplySync(table, MakeSync(1, 3), kSentAt) == SyncOutcome::kGranted);
  CHECK(EnforcedVersion(table) == TableVersion(3));
  CHECK(HasLease(table, kSentAt + kLease - Duration(1)));
  CHECK(FindRow(table, CustomerId("acme"), kSentAt)->max_queued_ == 3);
  CHECK_FALSE(HasLease(table, kSentAt + kLease));
  CHECK_FALSE(MayRenew(table, kSentAt + kLease));
  CHECK(FindRow(table, CustomerId("acme"), kSentAt + kLease) == nullptr);
}

TEST_CASE("version 0 is the empty table and can be confirmed") {
  EntryTable table;
  CHECK(ApplySync(table, MakeSync(1, 0), kSentAt) == SyncOutcome::kGranted);
  CHECK(HasLease(table, kSentAt));
}

TEST_CASE("a sync of an older version or term grants nothing") {
  EntryTable table;
  ApplySync(table, MakeSync(2, 5), kSentAt);
  const Time later = kSentAt + Duration(2000);
  CHECK(ApplySync(table, MakeSync(2, 4), later) == SyncOutcome::kStale);
  CHECK(ApplySync(table, MakeSync(1, 5), later) == SyncOutcome::kStale);
  CHECK(EnforcedVersion(table) == TableVersion(5));
  CHECK_FALSE(HasLease(table, kSentAt + kLease));
}

TEST_CASE("a newer version without its table grants nothing") {
  EntryTable table;
  ApplySync(table, MakeSync(1, 5), kSentAt);
  ControlSync without_table = MakeSync(1, 6);
  without_table.table_.reset();
  const Time later = kSentAt + Duration(2000);
  CHECK(ApplySync(table, without_table, later) == SyncOutcome::kIncomplete);
  ControlSync mismatched = MakeSync(1, 6);
  mismatched.table_ = MakeTable(4);
  CHECK(ApplySync(table, mismatched, later) == SyncOutcome::kIncomplete);
  CHECK_FALSE(HasLease(table, kSentAt + kLease));
  CHECK(EnforcedVersion(table) == TableVersion(5));
}

TEST_CASE("no authority to renew without the exclusions of the lease") {
  EntryTable table;
  ControlSync sync = MakeSync(1, 1);
  sync.exclusions_.reset();
  CHECK(ApplySync(table, sync, kSentAt) == SyncOutcome::kGranted);
  CHECK(HasLease(table, kSentAt));
  CHECK_FALSE(MayRenew(table, kSentAt));

  sync = MakeSync(1, 1);
  sync.exclusions_->push_back(JobId(17));
  ApplySync(table, sync, kSentAt);
  CHECK(MayRenew(table, kSentAt));
  CHECK(table.exclusions_.contains(JobId(17)));

  // A late answer must not restore an older exclusion set.
  ControlSync late = MakeSync(1, 1);
  late.exclusions_version_ -= 1;
  ApplySync(table, late, kSentAt);
  CHECK(table.exclusions_.contains(JobId(17)));
}

TEST_CASE("the version never decreases, in any order of syncs") {
  rc::check([] {
    EntryTable table;
    TableVersion highest;
    Time now = kSentAt;
    const int steps = *rc::gen::inRange(1, 40);
    for (int i = 0; i < steps; ++i) {
      ControlSync sync =
          MakeSync(*rc::gen::inRange(1, 4), *rc::gen::inRange(0, 8));
      if (*rc::gen::arbitrary<bool>()) sync.lease_ = Duration(0);
      if (*rc::gen::arbitrary<bool>()) sync.table_.reset();
      now = now + Duration(*rc::gen::inRange(0, 2000));
      ApplySync(table, sync, now - Duration(*rc::gen::inRange(0, 2000)));
      RC_ASSERT(table.table_.version_ >= highest);
      RC_ASSERT(table.renew_until_ <= table.lease_until_);
      RC_ASSERT(table.lease_until_ <= now + kLease);
      highest = std::max(highest, table.table_.version_);
    }
  });
}

}  // namespace
}  // namespace flamingohollow
