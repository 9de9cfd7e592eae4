// An entry's copy of the table, enforced only under a lease from control.
//
// Performs no I/O. A table change must be in force everywhere within seconds
// and must never revert. This requires three rules:
//   - The version only increases. A sync with an older one grants no lease.
//   - The table is enforced only under a lease. The entry counts the lease from
//     when it *sent* the sync and control from a later moment, so the lease
//     never ends later at the entry than at control.
//   - An entry has no version when it starts. Its first lease comes with the
//     version that a majority-confirmed leader holds, so after a restart the
//     entry can't enforce an older version than any entry did before.
// The same lease gives the authority to renew the workers' leases, except
// those of excluded jobs, but only if the entry also holds the exclusions whose
// version came with the lease.

#ifndef FLAMINGOHOLLOW_ENTRY_TABLE_H_
#define FLAMINGOHOLLOW_ENTRY_TABLE_H_

#include <cstdint>
#include <set>

#include "flamingohollow/messages.h"
#include "flamingohollow/table.h"
#include "flamingohollow/types.h"
#include "util/clock.h"

namespace flamingohollow {

struct EntryTable {
  // Rows and version; meaningful only once `confirmed_`.
  Table table_;
  // A lease has been granted since the process started.
  bool confirmed_ = false;
  // Newest term heard from; syncs of older terms grant nothing.
  Term term_;
  // Enforced while now < lease_until_.
  Time lease_until_;

  // Jobs whose worker leases are not renewed. Versions grow over all terms.
  std::uint64_t exclusions_version_ = 0;
  std::set<JobId> exclusions_;
  // Worker leases may be renewed while now < renew_until_.
  // Invariant: renew_until_ <= lease_until_.
  Time renew_until_;
  // Duration of a renewed worker lease.
  Duration worker_lease_;
};

enum class SyncOutcome : std::uint8_t {
  // A lease was granted.
  kGranted,
  // The leader grants no lease now.
  kNoLease,
  // From an older term or with an older version.
  kStale,
  // Newer version announced but its table is missing or does not match.
  kIncomplete,
};

// Applies the answer to an EntrySync that was sent at `sent_at`.
SyncOutcome ApplySync(EntryTable& table, const ControlSync& sync, Time sent_at);

bool HasLease(const EntryTable& table, Time now);
bool MayRenew(const EntryTable& table, Time now);

// The version to report to control as enforced; 0 before the first lease.
TableVersion EnforcedVersion(const EntryTable& table);

// The customer's row; null when there is none or no lease.
const Row* FindRow(const EntryTable& table, const CustomerId& customer,
                   Time now);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_ENTRY_TABLE_H_
