// Applies table versions, leases and exclusions from control's answers.

#include "flamingohollow/entry_table.h"

#include <algorithm>

namespace flamingohollow {
namespace {

// Returns whether the entry now holds the exclusions of the version in `sync`,
// or newer ones. A newer set contains everything that the leader at that time
// excluded, and control relies on the newest version the entry has confirmed.
bool ApplyExclusions(EntryTable& table, const ControlSync& sync) {
  if (sync.exclusions_version_ <= table.exclusions_version_) return true;
  if (!sync.exclusions_.has_value()) return false;
  table.exclusions_version_ = sync.exclusions_version_;
  table.exclusions_.clear();
  table.exclusions_.insert(sync.exclusions_->begin(), sync.exclusions_->end());
  return true;
}

// Returns whether the entry now holds the table version in `sync`.
bool ApplyTable(EntryTable& table, const ControlSync& sync) {
  if (sync.table_.has_value() && sync.table_->version_ == sync.table_version_ &&
      sync.table_version_ > table.table_.version_) {
    table.table_ = *sync.table_;
  }
  // Version 0 is the empty table, which is never sent.
  return table.table_.version_ == sync.table_version_;
}

}  // namespace

SyncOutcome ApplySync(EntryTable& table, const ControlSync& sync,
                      Time sent_at) {
  if (!sync.is_leader_) return SyncOutcome::kNoLease;
  if (sync.term_ < table.term_ || sync.table_version_ < table.table_.version_) {
    return SyncOutcome::kStale;
  }
  table.term_ = sync.term_;
  const bool has_exclusions = ApplyExclusions(table, sync);
  if (sync.lease_ <= Duration(0)) return SyncOutcome::kNoLease;
  if (!ApplyTable(table, sync)) return SyncOutcome::kIncomplete;

  table.confirmed_ = true;
  table.worker_lease_ = sync.worker_lease_;
  table.lease_until_ = std::max(table.lease_until_, sent_at + sync.lease_);
  if (has_exclusions) {
    table.renew_until_ = std::max(table.renew_until_, sent_at + sync.lease_);
  }
  return SyncOutcome::kGranted;
}

bool HasLease(const EntryTable& table, Time now) {
  return table.confirmed_ && now < table.lease_until_;
}

bool MayRenew(const EntryTable& table, Time now) {
  return table.confirmed_ && now < table.renew_until_;
}

TableVersion EnforcedVersion(const EntryTable& table) {
  return table.confirmed_ ? table.table_.version_ : TableVersion(0);
}

const Row* FindRow(const EntryTable& table, const CustomerId& customer,
                   Time now) {
  if (!HasLease(table, now)) return nullptr;
  const auto row = table.table_.rows_.find(customer);
  return row == table.table_.rows_.end() ? nullptr : &row->second;
}

}  // namespace flamingohollow
