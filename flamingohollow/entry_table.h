// An entry's copy of the table, in force only under a lease from control.
//
// Pure. Three rules, each needed for "a change is in force everywhere within
// seconds and never reverts":
//   - The version only goes up. A sync with an older one grants nothing.
//   - Nothing is enforced but under a lease, which counts from when the sync
//     was *sent*; control counts it from a later moment, so it never ends
//     later here than there.
//   - An entry has no version when it starts. Its first lease comes with the
//     version that a majority-confirmed leader holds, so a restart can't go
//     back behind what any entry enforced before.
// The same lease gives the authority to renew the workers' leases, except
// those of excluded jobs. It covers renewals only when the exclusions that
// came with it are held too.

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
  // Some lease has been granted since the start.
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
  // How long a renewed worker lease holds.
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

// Takes the answer of an EntrySync that was sent at `sent_at`.
SyncOutcome TakeSync(EntryTable& table, const ControlSync& sync, Time sent_at);

bool HasLease(const EntryTable& table, Time now);
bool MayRenew(const EntryTable& table, Time now);

// What to tell control: the version enforced, 0 before the first lease.
TableVersion EnforcedVersion(const EntryTable& table);

// The customer's row; null when there is none or no lease.
const Row* FindRow(const EntryTable& table, const CustomerId& customer,
                   Time now);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_ENTRY_TABLE_H_
